"""Limits that follow from the memory and the descriptors of a VM.

The memory beyond that of an idle router is shared by responses, request bodies,
and the rest of requests and connections.
"""

from tamarackbridge.components.gateway import memory_account

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

BODY_FRACTION = 2 / 3
"""Part of the memory for requests that bodies may use until their requests have
ended. A full number of requests with bodies of 12 KB uses a quarter."""

MIN_BODY_MB = 6.0
"""Memory for bodies on a VM of any size: one of the largest size fits."""

MIN_CONNECTION_MB = 4.0
"""Memory for connections and requests on a VM of any size."""

HEAD_DIVISOR = 16
"""The incomplete heads of all callers may use the memory for bodies divided by
this, in addition."""

RESERVED_DESCRIPTORS = 600
"""File descriptors reserved for servers, peers, the store and files."""

MIN_CONNECTIONS = 64
"""Connections of callers if fewer than this are left beside the reserved ones,
but at most a quarter of the descriptors."""

ALLOWED_FRACTION = 0.75
"""Part of the descriptors allowed by the kernel that connections of callers may
use, where the kernel allows fewer than the settings say."""

REQUEST_MEMORY_MB = 0.05
"""Memory per request in flight, in MB: three copies of its body, 12 KB in the
mean, and the buffers of two connections."""

_MB = 1024 * 1024


def max_in_flight(memory_mb: float) -> int:
    """Returns the limit for a VM with this much memory, at least 1."""
    free_mb = _request_mb(memory_mb)
    return min(max(int(free_mb / REQUEST_MEMORY_MB), 1), MAX_IN_FLIGHT)


def max_response_bytes(memory_mb: float) -> int:
    """Returns the memory for responses until they are sent, in bytes."""
    return int(_max_response_mb(memory_mb) * _MB)


def max_body_bytes(memory_mb: float) -> int:
    """Returns the memory for request bodies, in bytes."""
    free_mb = _request_mb(memory_mb)
    return int(max(free_mb * BODY_FRACTION, MIN_BODY_MB) * _MB)


def account(memory_mb: float) -> memory_account.MemoryAccount:
    """Returns the account of bodies and connections.

    Half of the memory for bodies is kept from connections, and bodies of the
    largest size in any case.
    """
    bodies = max_body_bytes(memory_mb)
    rest = max(_request_mb(memory_mb) * (1 - BODY_FRACTION), MIN_CONNECTION_MB)
    return memory_account.MemoryAccount(
        bodies + int(rest * _MB),
        max(bodies // 2, int(MIN_BODY_MB * _MB)),
        int(BASE_MEMORY_MB * _MB),
        int(memory_mb * _MB),
    )


def max_head_bytes(memory_mb: float) -> int:
    """Returns the memory for incomplete heads of requests, in bytes."""
    return max_body_bytes(memory_mb) // HEAD_DIVISOR


def max_connections(max_descriptors: int, allowed: int) -> int:
    """Returns the number of connections of callers.

    Args:
        max_descriptors: Descriptors of the process by its settings.
        allowed: Descriptors that the kernel allows it.
    """
    fewest = max(min(MIN_CONNECTIONS, max_descriptors // 4), 1)
    most = max(max_descriptors - RESERVED_DESCRIPTORS, fewest)
    return min(most, max(int(allowed * ALLOWED_FRACTION), 1))


def _request_mb(memory_mb: float) -> float:
    return memory_mb - BASE_MEMORY_MB - _max_response_mb(memory_mb)


def _max_response_mb(memory_mb: float) -> float:
    spare_mb = (memory_mb - BASE_MEMORY_MB) * RESPONSE_FRACTION
    return max(spare_mb, MIN_RESPONSE_MB)
