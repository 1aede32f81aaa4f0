"""Holds each cold server to the rate that it bears, over all routers.

Load pattern: a server starts, or turns cold again, while the whole fleet has
work for it. Each router keeps to its part of the rate, so that the sum holds
without any message between them.
"""

import dataclasses

FULL_S = 1.0
"""Unused rate is kept for one second, the span of the users' bound."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


class ColdLimiter:
    """Token buckets of this router, one for each cold server."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def may_send(
        self, server: str, per_s: float, routers: int, now: float
    ) -> bool:
        """Whether a cold server may get one more request from here."""
        return self._filled(server, per_s, routers, now).tokens >= 1.0

    def take(self, server: str, per_s: float, routers: int, now: float) -> None:
        """Counts a request to a cold server."""
        self._filled(server, per_s, routers, now).tokens -= 1.0

    def _filled(
        self, server: str, per_s: float, routers: int, now: float
    ) -> _Bucket:
        rate = per_s / max(routers, 1)
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _Bucket(1.0, now)
            self._buckets[server] = bucket
        gained = max(now - bucket.at, 0.0) * rate
        bucket.tokens = min(bucket.tokens + gained, max(rate * FULL_S, 1.0))
        bucket.at = now
        return bucket
