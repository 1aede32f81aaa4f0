"""Decides whether a request is sent to another server."""

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    forward,
    jobs,
    relay,
)

MAX_CONNECT_FAILURES = 3
"""Failed connection attempts after which a job is rejected. Two unreachable
servers at once are what the loss of a zone causes."""

_Denial = attempt_progress.RetryDenial
_End = forward.AttemptEnd


class RetryPolicy:
    """Decides on the attempt that may follow another.

    Args:
        controller: Keeps the retry budget.
        clock: Clock of the deadlines.
    """

    def __init__(
        self, controller: jobs.AdmissionController, clock: core.Clock
    ) -> None:
        self._controller = controller
        self._clock = clock

    def denial(
        self,
        job: jobs.Job,
        progress: attempt_progress.Progress,
        attempt: forward.Attempt,
        events: relay.EventRelay | None,
    ) -> attempt_progress.RetryDenial | None:
        """Returns why a failed job is not sent again; None if it is."""
        if events is not None and not events.resumable:
            return _Denial.EVENTS
        if self._clock.monotonic() >= job.deadline:
            return _Denial.DEADLINE
        if progress.may_have_run and not job.route.is_retryable:
            return _Denial.ROUTE
        if attempt.end is _End.NOT_SENT:
            if progress.connect_failures < MAX_CONNECT_FAILURES:
                return None
            return _Denial.UNREACHABLE
        if job.attempts >= job.route.max_attempts:
            return _Denial.ATTEMPTS
        # Whatever became of the servers that were asked to confirm it.
        unconfirmed = progress.unconfirmed_end()
        is_confirmation = (
            unconfirmed is not None
            and unconfirmed.attempt.end is _End.UNCONFIRMED
        )
        if self._controller.take_retry(job, is_confirmation):
            return None
        return _Denial.BUDGET
