"""Limits that follow from the memory of a VM."""

import pytest

from tamarackbridge.components.gateway import in_flight_limit


@pytest.mark.parametrize("memory_mb", [70.0, 100.0, 150.0, 300.0, 4096.0])
def test_responses_use_less_than_half_of_the_memory(memory_mb: float) -> None:
    response_mb = in_flight_limit.max_response_bytes(memory_mb) / 1024 / 1024
    assert 0 < response_mb < memory_mb / 2
    assert response_mb < memory_mb - in_flight_limit.BASE_MEMORY_MB


@pytest.mark.parametrize("memory_mb", [0.0, 10.0, 64.0])
def test_some_response_fits_on_any_vm(memory_mb: float) -> None:
    assert in_flight_limit.max_response_bytes(memory_mb) > 0
    assert in_flight_limit.max_in_flight(memory_mb) == 1


@pytest.mark.parametrize("memory_mb", [70.0, 100.0, 150.0, 300.0, 4096.0])
def test_requests_and_responses_fit_into_the_memory(memory_mb: float) -> None:
    response_mb = in_flight_limit.max_response_bytes(memory_mb) / 1024 / 1024
    request_mb = in_flight_limit.REQUEST_MEMORY_MB * (
        in_flight_limit.max_in_flight(memory_mb)
    )
    used_mb = in_flight_limit.BASE_MEMORY_MB + request_mb + response_mb
    assert used_mb <= memory_mb
