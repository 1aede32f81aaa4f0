"""Concurrency limit of one backend server.

The limit starts at the record's limit for a warming server. It rises only on
evidence (successful requests and load reports) and falls at once.
"""

from tamarackbridge.components.dispatch import breaker, messages
from tamarackbridge.components.records import models

PROBE_LIMIT = 1
"""Concurrent requests while the circuit breaker is half open."""


class ServerLimit:
    """The concurrency limit of one backend server.

    Attributes:
        use_breaker: True if a failing server gets no requests but probes.
    """

    def __init__(
        self, server: models.BackendServer, use_breaker: bool = True
    ) -> None:
        self.use_breaker = use_breaker
        self._server = server
        self._limit = server.limit_cold
        self._limit_to_restore = 0
        self._earlier_limit_seen_at = float("-inf")
        self._lowered_at = float("-inf")
        self._successes = 0
        self._is_warm = server.load_lag_s <= 0
        self._boot = ""
        self._breaker = breaker.Breaker()

    def update(self, server: models.BackendServer) -> None:
        """Applies a changed record; a lower limit takes effect at once."""
        self._server = server
        self._limit = min(self._limit, server.limit_warm)

    def allowed(self, now: float) -> int:
        """Returns how many requests may run concurrently now."""
        if not self.use_breaker:
            return self._limit
        state = self._breaker.state(now)
        if state is breaker.State.OPEN:
            return 0
        if state is breaker.State.HALF_OPEN:
            return min(PROBE_LIMIT, self._limit)
        return self._limit

    def record_earlier_limit(
        self, limit: int, seen_at: float, fence: float
    ) -> None:
        """Records the limit under an earlier dispatcher, as one entry saw it.

        The latest observation counts. The limit applies once the server
        reports a measurement from after `fence` without a warm-up.

        Args:
            limit: The limit; 0 if the server failed afterwards.
            seen_at: Monotonic time of the observation.
            fence: Monotonic time after which nothing starts by permits of
                earlier epochs.
        """
        if seen_at <= self._earlier_limit_seen_at:
            return
        self._earlier_limit_seen_at = seen_at
        self._limit_to_restore = limit
        self._lowered_at = max(self._lowered_at, fence)

    def record_outcome(
        self, outcome: messages.Outcome, granted_at: float, now: float
    ) -> None:
        """Adjusts the limit to the outcome of one permit."""
        match outcome:
            case messages.Outcome.OK:
                self._breaker.record(False, now)
                self._count_success(granted_at)
            case messages.Outcome.SLOW:
                self._breaker.record(False, now)
                self._lower(now, max(self._limit // 2, self._floor()))
            case messages.Outcome.FAILED:
                self._breaker.record(True, now)
                self._record_failure(now)
            case messages.Outcome.COLD:
                self._begin_warm_up(now)

    def handle_load_report(
        self, report: messages.LoadReport, now: float
    ) -> None:
        """Adjusts the limit to a load report of the server."""
        restarted = bool(self._boot) and report.boot != self._boot
        self._boot = report.boot
        if report.cold or restarted:
            self._begin_warm_up(now)
            return
        if now - report.lag_s < self._lowered_at:
            return
        self._is_warm = True
        if self._limit_to_restore:
            self._limit = max(self._limit, self._limit_to_restore)
            self._limit = min(self._limit, self._server.limit_warm)
            self._limit_to_restore = 0

    def _floor(self) -> int:
        return min(self._server.limit_cold, self._server.limit_warm)

    def _lower(self, now: float, limit: int) -> None:
        self._limit = min(self._limit, limit)
        self._lowered_at = now
        self._successes = 0

    def _record_failure(self, now: float) -> None:
        before = max(self._limit_to_restore, self._limit)
        self._begin_warm_up(now)
        if self._server.load_lag_s > 0:
            self._limit_to_restore = before

    def _begin_warm_up(self, now: float) -> None:
        self._lower(now, self._floor())
        self._limit_to_restore = 0
        self._is_warm = self._server.load_lag_s <= 0

    def _count_success(self, granted_at: float) -> None:
        if granted_at <= self._lowered_at or not self._is_warm:
            return
        self._successes += 1
        needed = 1 if self._server.load_lag_s > 0 else self._limit
        if self._successes < needed:
            return
        self._successes = 0
        self._limit = min(self._limit + 1, self._server.limit_warm)
