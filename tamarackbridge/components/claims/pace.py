"""Bounds the rate of a range's writes and lets short bursts through."""

from tamarackbridge.components.claims import const


class Pace:
    """A bucket of writes that refills at a fixed rate."""

    def __init__(self) -> None:
        self._saved = const.COMMIT_BURST
        self._at = 0.0

    def may_write(self, now: float) -> bool:
        """Tells whether a write may start."""
        self._refill(now)
        return self._saved >= 1.0

    def wrote(self, now: float) -> None:
        """Notes the start of a write."""
        self._refill(now)
        self._saved = max(self._saved - 1.0, 0.0)

    def _refill(self, now: float) -> None:
        earned = max(now - self._at, 0.0) / const.COMMIT_INTERVAL_S
        self._saved = min(self._saved + earned, const.COMMIT_BURST)
        self._at = now
