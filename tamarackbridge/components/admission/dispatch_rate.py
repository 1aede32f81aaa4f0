"""Prediction of queueing times from the recent dispatch rate.

Load pattern: most engines are lost, and those left have work for longer than
callers wait. A request that can't be sent before its deadline is rejected at
once, so that its caller can retry early.
"""

import collections
import math

WINDOW_S = 1.5
"""Time over which dispatched requests are counted. No wait is predicted until
requests have been waiting without interruption for this long: an eighth of the
longest caller timeout."""


class DispatchRate:
    """Counts the recently dispatched requests of one service."""

    def __init__(self) -> None:
        self._dispatches: collections.deque[float] = collections.deque()
        self._last_dispatch = -math.inf
        self._waiting_since = math.inf

    def record_dispatch(self, now: float) -> None:
        """Records that a request was sent."""
        self._dispatches.append(now)
        self._last_dispatch = now
        self._expire(now)

    def record_queue_start(self, now: float) -> None:
        """Records that a request begins to wait in an empty queue."""
        self._waiting_since = now

    def expected_wait_s(self, before: int, now: float) -> float:
        """Returns how much longer a request will wait; 0 if unknown.

        Args:
            before: Number of requests that are sent before it.
            now: The time.
        """
        self._expire(now)
        if now - self._waiting_since < WINDOW_S:
            return 0.0
        idle_s = now - max(self._last_dispatch, self._waiting_since)
        interval_s = (
            WINDOW_S / len(self._dispatches) if self._dispatches else WINDOW_S
        )
        return (before + 1) * max(interval_s, idle_s)

    def _expire(self, now: float) -> None:
        while self._dispatches and now - self._dispatches[0] > WINDOW_S:
            self._dispatches.popleft()
