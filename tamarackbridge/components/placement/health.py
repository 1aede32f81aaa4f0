"""Which servers fail, judged by the outcomes of this router's requests.

Load pattern: a server is lost without notice, or fails part of its requests
while its health check is good. A circuit breaker as in Nygard's "Release It!",
over an exponential average, so that a few outcomes are enough.
"""

import dataclasses

from tamarackbridge.components.gateway import jobs

OUTCOME_WEIGHT = 0.3
"""Part of the average that one outcome makes up: three failures in a row pass
the limit, as a rate of one failure in five never does."""

OPEN_ABOVE = 0.5
"""Average of failures above which a server is avoided."""

OPEN_MIN_S = 0.5
OPEN_MAX_S = 4.0
"""A server is avoided this long, doubled at each failure after it; at most
the time after which a lost server is no longer registered, 3.6 s."""

_FAILURES = frozenset(
    (
        jobs.Outcome.FAILED,
        jobs.Outcome.LOST,
        jobs.Outcome.TIMED_OUT,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.MISDIRECTED,
    )
)
_TELL_NOTHING = frozenset(
    (jobs.Outcome.CANCELLED, jobs.Outcome.UNSENT, jobs.Outcome.REJECTED)
)
_CERTAIN = frozenset((jobs.Outcome.UNREACHABLE, jobs.Outcome.MISDIRECTED))


@dataclasses.dataclass(slots=True)
class _State:
    failing: float = 0.0
    open_until: float = 0.0
    open_s: float = OPEN_MIN_S


class Health:
    """The breakers of all servers.

    Attributes:
        changes: Number of changes of who is avoided.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._states: dict[str, _State] = {}

    def note(self, server: str, outcome: jobs.Outcome, now: float) -> float:
        """Takes the outcome of one sending.

        Returns:
            For how long the server is avoided from now on, in seconds; 0 if
            this changes nothing.
        """
        if outcome in _TELL_NOTHING:
            return 0.0
        state = self._states.setdefault(server, _State())
        failed = outcome in _FAILURES
        state.failing += OUTCOME_WEIGHT * (float(failed) - state.failing)
        if not failed:
            state.open_s = OPEN_MIN_S
            return 0.0
        if outcome in _CERTAIN:
            state.failing = max(state.failing, OPEN_ABOVE)
        if state.failing < OPEN_ABOVE or now < state.open_until:
            return 0.0
        opened_s = state.open_s
        state.open_until = now + opened_s
        self.changes += 1
        state.open_s = min(opened_s * 2, OPEN_MAX_S)
        return opened_s

    def avoided(self, server: str, now: float) -> bool:
        """Whether a server should get no request now."""
        state = self._states.get(server)
        return state is not None and now < state.open_until

    def forget(self, server: str) -> None:
        """Drops what was learned of a server that is gone or started anew."""
        self._states.pop(server, None)
        self.changes += 1
