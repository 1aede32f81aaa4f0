"""Holds each cold server to the rate that it bears, over all routers.

Load pattern: a server starts, or turns cold again, while the whole fleet has
work for it. A few routers, on which all agree by rendezvous hashing, may send
to it; each keeps to its part of the rate, so that the sum holds without any
message between them.
"""

from collections.abc import Collection
import dataclasses
import functools

from tamarackbridge.helpers import rendezvous

OWNERS = 4
"""Routers that may send to one cold server: few enough that their bursts of
one request each stay within the slack, enough that the loss of one leaves
most of the rate in use."""

BURST_S = 0.1
"""Unused rate is kept for this long beside one request, so that requests that
come in clumps use the rate up without a burst above the slack."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


class ColdLimiter:
    """Token buckets of this router, one for each cold server."""

    def __init__(self, router: str) -> None:
        self._router = router
        self._buckets: dict[str, _Bucket] = {}

    def may_send(
        self, server: str, per_s: float, routers: Collection[str], now: float
    ) -> bool:
        """Whether a cold server may get one more request from here."""
        owners = _owners(server, tuple(routers))
        if self._router not in owners:
            return False
        return self._filled(server, per_s, len(owners), now).tokens >= 1.0

    def take(
        self, server: str, per_s: float, routers: Collection[str], now: float
    ) -> None:
        """Counts a request to a cold server."""
        owners = min(len(routers), OWNERS)
        self._filled(server, per_s, owners, now).tokens -= 1.0

    def _filled(
        self, server: str, per_s: float, owners: int, now: float
    ) -> _Bucket:
        rate = per_s / max(owners, 1)
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _Bucket(1.0, now)
            self._buckets[server] = bucket
        gained = max(now - bucket.at, 0.0) * rate
        bucket.tokens = min(bucket.tokens + gained, 1.0 + rate * BURST_S)
        bucket.at = now
        return bucket


@functools.lru_cache(maxsize=256)
def _owners(server: str, routers: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rendezvous.rank(server, routers)[:OWNERS])
