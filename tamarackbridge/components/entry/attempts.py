"""Retry decisions: what follows the end of each attempt."""

import dataclasses
import enum
import random

from tamarackbridge.components.entry import const, problem, retry_budget

MAX_ATTEMPTS = 4
"""Largest number of attempts on backend servers for one request."""

BACKOFF_S = 0.02
"""Upper bound of the random pause before the first retry.

The bound doubles with each further retry.
"""


class End(enum.Enum):
    """How one attempt on a backend server ended."""

    COMPLETE = "whole"
    UNCONFIRMED = "unconfirmed"
    """The answer has neither a length nor chunks, and its connection was closed
    in order. It may be complete."""
    PERMIT_EXPIRED = "lapsed"
    """The permit expired before anything was sent."""
    NOT_SENT = "not_sent"
    """The connection failed; nothing was sent."""
    NOT_STARTED = "not_started"
    """The backend server confirmed that it did not start the work."""
    FAILED = "failed"
    """An error status without confirmation that the work did not start."""
    MISMATCHED = "crossed"
    """The answer carried the identifier of another request."""
    EMPTY = "empty"
    TRUNCATED = "truncated"
    """The connection ended before the answer was complete."""
    NOT_A_STREAM = "not_the_rest"
    """The retry of a partly delivered stream was answered without a stream."""
    TIMED_OUT = "timed_out"
    CUT_OFF = "cut_off"
    """The router ended a stream that outlasted its permit."""


class Step(enum.Enum):
    """What the entry does after an attempt has ended."""

    FINISH = "finish"
    RETRY = "retry"
    """Request another permit and try again; a stream resumes at its offset."""
    REJECT = "refuse"
    """Answer the caller with a problem document."""
    ABORT = "break"
    """Abort the caller's connection: part of the answer was already sent."""


PROVED_NOT_RUN = frozenset({End.PERMIT_EXPIRED, End.NOT_SENT, End.NOT_STARTED})
"""Ends after which the work is known not to have run."""

_ANSWERED = frozenset({End.COMPLETE, End.UNCONFIRMED})

_NEVER_RETRIED = frozenset({End.TIMED_OUT, End.CUT_OFF})


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The next step of a request.

    Attributes:
        pause_s: Seconds to wait before a retry.
        reason: Why there is no complete answer.
        not_run: What the problem document states about the work.
    """

    step: Step
    pause_s: float = 0.0
    reason: const.Reason = const.Reason.BACKEND_FAILED
    not_run: problem.NotRun = problem.NotRun.UNKNOWN


class AttemptHistory:
    """The attempts of one request so far; decides what follows each.

    Attributes:
        avoid: Backend servers on which an attempt has failed.
        may_have_run: Whether a finished attempt may have started the work.
        in_flight: Whether an attempt that may start the work is in flight.
    """

    def __init__(
        self,
        idempotent: bool,
        deadline: float,
        budget: retry_budget.RetryBudget,
        rng: random.Random,
    ) -> None:
        self.avoid: tuple[str, ...] = ()
        self.may_have_run = False
        self.in_flight = False
        self._idempotent = idempotent
        self._deadline = deadline
        self._budget = budget
        self._rng = rng
        self._ended_count = 0

    @property
    def not_run(self) -> problem.NotRun:
        """What is known about the work so far."""
        if self.may_have_run:
            return problem.NotRun.UNKNOWN
        return problem.NotRun.TRUE

    def record_end(
        self,
        end: End,
        server: str,
        now: float,
        partly_sent: bool = False,
        resumable: bool = True,
    ) -> Decision:
        """Records the end of an attempt and returns the next step.

        Args:
            end: How the attempt ended.
            server: The backend server of the attempt.
            now: Monotonic time in seconds.
            partly_sent: Whether part of the answer was sent to the caller.
            resumable: Whether another attempt can continue that answer.
        """
        self.in_flight = False
        if end in _ANSWERED:
            return Decision(Step.FINISH)
        self._ended_count += 1
        self.may_have_run |= end not in PROVED_NOT_RUN
        if end is not End.PERMIT_EXPIRED:
            self.avoid = (*self.avoid, server)
        if self._can_retry(end, partly_sent, resumable, now):
            max_pause_s = BACKOFF_S * 2 ** (self._ended_count - 1)
            return Decision(Step.RETRY, self._rng.uniform(0.0, max_pause_s))
        return self.fail(_FAILURE_REASONS.get(end), partly_sent)

    def fail(self, reason: const.Reason | None, partly_sent: bool) -> Decision:
        """Returns how the request ends without a complete answer."""
        if partly_sent:
            return Decision(Step.ABORT, reason=const.Reason.TRUNCATED)
        if not self._idempotent and self.may_have_run:
            reason = const.Reason.OUTCOME_UNKNOWN
        return Decision(
            Step.REJECT,
            reason=reason or const.Reason.BACKEND_FAILED,
            not_run=self.not_run,
        )

    def _can_retry(
        self, end: End, partly_sent: bool, resumable: bool, now: float
    ) -> bool:
        if end in _NEVER_RETRIED or self._ended_count >= MAX_ATTEMPTS:
            return False
        if self.may_have_run and not self._idempotent:
            return False
        if partly_sent and not resumable:
            return False
        if now >= self._deadline and not partly_sent:
            return False
        return self._budget.try_draw(now)


_FAILURE_REASONS = {
    End.TIMED_OUT: const.Reason.DEADLINE,
    End.CUT_OFF: const.Reason.TRUNCATED,
    End.TRUNCATED: const.Reason.TRUNCATED,
    End.NOT_A_STREAM: const.Reason.TRUNCATED,
    End.PERMIT_EXPIRED: const.Reason.NO_CAPACITY,
}
