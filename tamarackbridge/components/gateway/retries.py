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

MAX_REPEATS = 2
"""Number of times that a server is asked once more about a stream's end when no
other can be. The first of them may show that the stream goes on."""

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
        unconfirmed = progress.unconfirmed_end()
        if attempt.end is _End.NOT_SENT:
            if progress.connect_failures >= MAX_CONNECT_FAILURES:
                return _Denial.UNREACHABLE
            if unconfirmed is None or self._controller.has_server(job):
                return None
        is_used_up = job.attempts >= job.route.max_attempts
        if unconfirmed is None:
            if is_used_up:
                return _Denial.ATTEMPTS
            if not self._controller.take_retry(job, False):
                return _Denial.BUDGET
            return None
        # The number of attempts limits the servers that a request is sent to.
        is_repeat = is_used_up or not self._controller.has_server(job)
        if is_repeat and progress.repeats >= MAX_REPEATS:
            return _Denial.ATTEMPTS
        if not self._controller.take_retry(job, True):
            return _Denial.BUDGET
        if is_repeat:
            progress.repeats += 1
            self._controller.exclude_others(job, unconfirmed.server.name)
        return None
