"""Rate limiter for the writes of a range that allows short bursts."""

from tamarackbridge.components.claims import const


class WriteLimiter:
    """Token bucket; each write consumes one token."""

    def __init__(self) -> None:
        self._tokens = const.WRITE_BURST
        self._refilled_at = 0.0

    def may_write(self, now: float) -> bool:
        """Returns whether a write may start."""
        self._refill(now)
        return self._tokens >= 1.0

    def record_write(self, now: float) -> None:
        """Records the start of a write."""
        self._refill(now)
        self._tokens = max(self._tokens - 1.0, 0.0)

    def _refill(self, now: float) -> None:
        earned = max(now - self._refilled_at, 0.0) / const.WRITE_INTERVAL_S
        self._tokens = min(self._tokens + earned, const.WRITE_BURST)
        self._refilled_at = now
