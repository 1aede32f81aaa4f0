"""Circuit breakers that keep requests away from failing servers.

They are driven by the outcomes of this router's own requests.

Load pattern: a server is lost without notice, or fails some of its requests
while its health check passes. The breaker is the one of Nygard's "Release It!",
with an exponential moving average, so that a few outcomes are enough.
"""

import dataclasses

from tamarackbridge.components.gateway import jobs

OUTCOME_WEIGHT = 0.3
"""Weight of one outcome in the moving average: three failures in a row exceed
the limit, while a failure rate of one in five never does."""

OPEN_ABOVE = 0.5
"""Failure average from which on a breaker opens."""

OPEN_MIN_S = 0.5
OPEN_MAX_S = 4.0
"""A breaker opens for `OPEN_MIN_S` at first. Each further failure doubles the
time, up to `OPEN_MAX_S`: about as long as a lost server stays registered,
3.6 s."""

_FAILURES = frozenset(
    (
        jobs.Outcome.FAILED,
        jobs.Outcome.LOST,
        jobs.Outcome.CRASHED,
        jobs.Outcome.TIMED_OUT,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.MISDIRECTED,
    )
)
_IGNORED = frozenset(
    (jobs.Outcome.CANCELLED, jobs.Outcome.UNSENT, jobs.Outcome.REJECTED)
)
_OPENS_AT_ONCE = frozenset(
    (
        jobs.Outcome.CRASHED,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.MISDIRECTED,
    )
)


@dataclasses.dataclass(slots=True)
class _Breaker:
    failure_average: float = 0.0
    open_until: float = 0.0
    open_s: float = OPEN_MIN_S


class CircuitBreakers:
    """The circuit breakers of all servers.

    Attributes:
        changes: Counts openings and resets, so that readers notice that
            results they keep are outdated.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._breakers: dict[str, _Breaker] = {}

    def record_outcome(
        self, server: str, outcome: jobs.Outcome, now: float
    ) -> float:
        """Records the outcome of one attempt.

        Returns:
            The seconds for which this outcome opened the breaker; 0 if it
            did not open it.
        """
        if outcome in _IGNORED:
            return 0.0
        breaker = self._breakers.setdefault(server, _Breaker())
        failed = outcome in _FAILURES
        breaker.failure_average += OUTCOME_WEIGHT * (
            float(failed) - breaker.failure_average
        )
        if not failed:
            breaker.open_s = OPEN_MIN_S
            return 0.0
        if outcome in _OPENS_AT_ONCE:
            breaker.failure_average = max(breaker.failure_average, OPEN_ABOVE)
        if breaker.failure_average < OPEN_ABOVE or now < breaker.open_until:
            return 0.0
        opened_s = breaker.open_s
        breaker.open_until = now + opened_s
        self.changes += 1
        breaker.open_s = min(opened_s * 2, OPEN_MAX_S)
        return opened_s

    def is_open(self, server: str, now: float) -> bool:
        """Returns whether a server's breaker is open."""
        breaker = self._breakers.get(server)
        return breaker is not None and now < breaker.open_until

    def forget(self, server: str) -> None:
        """Resets the breaker of a server that is gone or has restarted."""
        self._breakers.pop(server, None)
        self.changes += 1
