"""Limit on the requests that a router has in flight."""

MAX_IN_FLIGHT = 1_500
"""Upper limit for any VM: the number of requests that one processor finishes
within the shortest request deadline of 1 s."""

BASE_MEMORY_MB = 64.0
"""Memory of a router without requests, in MB, including the growth of its local
copy of the configuration and registrations in a large fleet."""

REQUEST_MEMORY_MB = 0.05
"""Memory per request in flight, in MB: three copies of its body, 12 KB in the
mean, and the buffers of two connections."""


def max_in_flight(memory_mb: float) -> int:
    """Returns the limit for a VM with this much memory, at least 1."""
    fitting = int((memory_mb - BASE_MEMORY_MB) / REQUEST_MEMORY_MB)
    return min(max(fitting, 1), MAX_IN_FLIGHT)
