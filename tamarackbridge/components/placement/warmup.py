"""Limits the rate of requests to servers that warm up or name a limit.

Load pattern: a server starts, or has to warm up again, while the whole fleet
has work for it. Rendezvous hashing selects a few routers that may send to it,
the same ones on every router. Each of them uses an equal fraction of the
permitted rate, so the total stays within it without messages between routers.
"""

from collections.abc import Collection
import dataclasses
import functools

from tamarackbridge.helpers import rendezvous

ROUTERS_PER_SERVER = 4
"""Routers that may send to one warming server: few enough that their bursts of
one request each stay within the slack, enough that the loss of one router
leaves most of the rate in use."""

BURST_S = 0.1
"""Unused rate accumulates for this long, in addition to one request: requests
that arrive in clumps can use the whole rate, without a burst above the
slack."""


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at: float


class WarmupLimiter:
    """This router's token buckets, one for each warming server."""

    def __init__(self, router: str) -> None:
        self._router = router
        self._buckets: dict[str, _TokenBucket] = {}

    def may_send(
        self,
        server: str,
        rate_per_s: float,
        routers: Collection[str],
        now: float,
    ) -> bool:
        """Returns whether this router may send one more request to a server.

        Args:
            server: Name of the warming server.
            rate_per_s: Requests a second that it permits from all routers.
            routers: The routers that may be sending.
            now: The time.
        """
        selected = _selected_routers(server, tuple(routers))
        if self._router not in selected:
            return False
        return (
            self._refilled(server, rate_per_s, len(selected), now).tokens >= 1.0
        )

    def record_sent(
        self,
        server: str,
        rate_per_s: float,
        routers: Collection[str],
        now: float,
    ) -> None:
        """Counts a request that was sent to a warming server."""
        senders = min(len(routers), ROUTERS_PER_SERVER)
        self._refilled(server, rate_per_s, senders, now).tokens -= 1.0

    def _refilled(
        self, server: str, rate_per_s: float, senders: int, now: float
    ) -> _TokenBucket:
        """Returns a server's bucket with the tokens gained until now."""
        rate = rate_per_s / max(senders, 1)
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _TokenBucket(1.0, now)
            self._buckets[server] = bucket
        gained = max(now - bucket.updated_at, 0.0) * rate
        bucket.tokens = min(bucket.tokens + gained, 1.0 + rate * BURST_S)
        bucket.updated_at = now
        return bucket


@functools.lru_cache(maxsize=256)
def _selected_routers(server: str, routers: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rendezvous.rank(server, routers)[:ROUTERS_PER_SERVER])
