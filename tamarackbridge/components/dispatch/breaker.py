"""Circuit breaker for one backend server."""

import collections
import enum

WINDOW = 20
"""Latest outcomes over which the failure ratio is taken."""

MIN_OUTCOMES = 5
"""Fewest outcomes at which the breaker may open."""

OPEN_RATIO = 0.5
"""Failure ratio at which the breaker opens."""

FIRST_OPEN_S = 1.0
"""Time that the breaker first stays open; doubles with each failed probe."""

MAX_OPEN_S = 30.0
"""Longest time that the breaker stays open between two probes."""


class State(enum.Enum):
    """Which requests a breaker allows: all, none, or a probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    """One probe at a time."""


class Breaker:
    """Opens at a high failure ratio and closes after a successful probe."""

    def __init__(self) -> None:
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=WINDOW
        )
        self._failures = 0
        self._opened_at: float | None = None
        self._open_s = FIRST_OPEN_S

    def state(self, now: float) -> State:
        """Returns the state at monotonic time `now`."""
        if self._opened_at is None:
            return State.CLOSED
        if now < self._opened_at + self._open_s:
            return State.OPEN
        return State.HALF_OPEN

    def record(self, failed: bool, now: float) -> None:
        """Records the outcome of one request; ignored while open."""
        state = self.state(now)
        if state is State.OPEN:
            return
        if state is State.HALF_OPEN:
            self._record_probe(failed, now)
            return
        if len(self._outcomes) == WINDOW:
            self._failures -= self._outcomes[0]
        self._outcomes.append(failed)
        self._failures += failed
        if self._failure_ratio_reached():
            self._open(now)

    def _failure_ratio_reached(self) -> bool:
        count = len(self._outcomes)
        return count >= MIN_OUTCOMES and self._failures >= OPEN_RATIO * count

    def _record_probe(self, failed: bool, now: float) -> None:
        if failed:
            self._open_s = min(2 * self._open_s, MAX_OPEN_S)
            self._open(now)
            return
        self._opened_at = None
        self._open_s = FIRST_OPEN_S

    def _open(self, now: float) -> None:
        self._opened_at = now
        self._outcomes.clear()
        self._failures = 0
