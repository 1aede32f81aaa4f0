"""Tests of claims across the keepers and claim clients of several routers."""

import pytest

from tests.components.claims import fleet as fleet_lib


@pytest.fixture
def fleet() -> fleet_lib.Fleet:
    return fleet_lib.Fleet()


def test_first_runs_and_retry_on_each_router_is_replayed(
    fleet: fleet_lib.Fleet,
) -> None:
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    retries = [fleet.pay(node, "k") for node in fleet.nodes]
    fleet.advance(1)

    assert fleet.answer(first) == "run"
    assert len(fleet.runs["k"]) == 1
    for retry in retries:
        assert fleet.answer(retry) == "replay"
        assert fleet.answers[retry].body == fleet.answers[first].body


def test_concurrent_requests_of_one_key_run_once_and_share_its_outcome(
    fleet: fleet_lib.Fleet,
) -> None:
    request_ids = [fleet.pay(node, "k") for node in fleet.nodes]
    fleet.advance(2)

    assert len(fleet.runs["k"]) == 1
    assert sorted(fleet.answer(request_id) for request_id in request_ids) == [
        "replay",
        "replay",
        "run",
    ]
    assert (
        len({fleet.answers[request_id].body for request_id in request_ids}) == 1
    )


def test_different_body_under_the_same_key_is_rejected(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.run_s = 1.0
    fleet.pay("r1", "k", "b1")
    fleet.advance(0.3)
    while_running = fleet.pay("r2", "k", "b2")
    fleet.advance(2)
    after = fleet.pay("r3", "k", "b2")
    fleet.advance(1)

    assert fleet.answer(while_running) == "mismatch"
    assert fleet.answer(after) == "mismatch"
    assert len(fleet.runs["k"]) == 1
