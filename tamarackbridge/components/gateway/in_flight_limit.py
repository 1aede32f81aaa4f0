"""Limits that follow from the memory of a VM: requests in flight, responses."""

MAX_IN_FLIGHT = 1_500
"""Upper limit for any VM: the number of requests that one processor finishes
within the shortest request deadline of 1 s."""

BASE_MEMORY_MB = 64.0
"""Memory of a router without requests, in MB, including the growth of its local
copy of the configuration and registrations in a large fleet."""

RESPONSE_FRACTION = 1 / 3
"""Part of the memory beyond `BASE_MEMORY_MB` that responses may use together
until they are sent. The rest is for requests, and for copies of what is passed
on."""

MIN_RESPONSE_MB = 1.0
"""Memory for responses on a VM of any size."""

REQUEST_MEMORY_MB = 0.05
"""Memory per request in flight, in MB: three copies of its body, 12 KB in the
mean, and the buffers of two connections."""

_MB = 1024 * 1024


def max_in_flight(memory_mb: float) -> int:
    """Returns the limit for a VM with this much memory, at least 1."""
    free_mb = _request_mb(memory_mb)
    return min(max(int(free_mb / REQUEST_MEMORY_MB), 1), MAX_IN_FLIGHT)


def request_memory_bytes(memory_mb: float) -> int:
    """Returns the memory for requests and their bodies, in bytes."""
    return max(int(_request_mb(memory_mb) * _MB), 0)


def max_response_bytes(memory_mb: float) -> int:
    """Returns the memory for responses until they are sent, in bytes."""
    return int(_max_response_mb(memory_mb) * _MB)


def _request_mb(memory_mb: float) -> float:
    return memory_mb - BASE_MEMORY_MB - _max_response_mb(memory_mb)


def _max_response_mb(memory_mb: float) -> float:
    spare_mb = (memory_mb - BASE_MEMORY_MB) * RESPONSE_FRACTION
    return max(spare_mb, MIN_RESPONSE_MB)
