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
        self._before_failure = 0
        self._trusted_at = float("-inf")
        self._fell_at = float("-inf")
        self._credit = 0
        self._warm_seen = server.load_lag_s <= 0
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

    def trust(self, limit: int, seen_at: float, fence: float) -> None:
        """Records the limit under an earlier dispatcher, as one entry saw it.

        The latest observation counts. The limit applies once the server
        reports a measurement from after `fence` without a warm-up.

        Args:
            limit: The limit; 0 if the server failed afterwards.
            seen_at: Monotonic time of the observation.
            fence: Monotonic time after which nothing starts by permits of
                earlier epochs.
        """
        if seen_at <= self._trusted_at:
            return
        self._trusted_at = seen_at
        self._before_failure = limit
        self._fell_at = max(self._fell_at, fence)

    def finished(
        self, outcome: messages.Outcome, granted_at: float, now: float
    ) -> None:
        """Adjusts the limit to the outcome of one permit."""
        match outcome:
            case messages.Outcome.OK:
                self._breaker.record(False, now)
                self._rise(granted_at)
            case messages.Outcome.SLOW:
                self._breaker.record(False, now)
                self._fall(now, max(self._limit // 2, self._floor()))
            case messages.Outcome.FAILED:
                self._breaker.record(True, now)
                self._note_failure(now)
            case messages.Outcome.COLD:
                self._turn_cold(now)

    def reported(self, report: messages.LoadReport, now: float) -> None:
        """Adjusts the limit to a load report of the server."""
        restarted = bool(self._boot) and report.boot != self._boot
        self._boot = report.boot
        if report.cold or restarted:
            self._turn_cold(now)
            return
        if now - report.lag_s < self._fell_at:
            return
        self._warm_seen = True
        if self._before_failure:
            self._limit = max(self._limit, self._before_failure)
            self._limit = min(self._limit, self._server.limit_warm)
            self._before_failure = 0

    def _floor(self) -> int:
        return min(self._server.limit_cold, self._server.limit_warm)

    def _fall(self, now: float, limit: int) -> None:
        self._limit = min(self._limit, limit)
        self._fell_at = now
        self._credit = 0

    def _note_failure(self, now: float) -> None:
        before = max(self._before_failure, self._limit)
        self._turn_cold(now)
        if self._server.load_lag_s > 0:
            self._before_failure = before

    def _turn_cold(self, now: float) -> None:
        self._fall(now, self._floor())
        self._before_failure = 0
        self._warm_seen = self._server.load_lag_s <= 0

    def _rise(self, granted_at: float) -> None:
        if granted_at <= self._fell_at or not self._warm_seen:
            return
        self._credit += 1
        needed = 1 if self._server.load_lag_s > 0 else self._limit
        if self._credit < needed:
            return
        self._credit = 0
        self._limit = min(self._limit + 1, self._server.limit_warm)
