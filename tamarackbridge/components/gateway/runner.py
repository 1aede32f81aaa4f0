"""Sends a job to servers until it has a response or can't be retried."""

import asyncio
from collections.abc import Callable
import dataclasses

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    exceptions,
    forward,
    jobs,
    models,
    rejections,
    relay,
    request_log,
    response_stream,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.telemetry import spans

MAX_CONNECT_FAILURES = 3
"""Failed connection attempts after which a job is rejected. Two unreachable
servers at once are what the loss of a zone causes."""

REJECTED_RETRY_MIN_S = 0.3
"""Minimum Retry-After when servers rejected the request: one step of a server's
queue takes this long."""

_End = forward.AttemptEnd
_Outcome = jobs.Outcome
_Reason = rejections.Reason

_OUTCOME_OF_END = {
    _End.COMPLETE: _Outcome.SERVED,
    _End.NOT_SENT: _Outcome.UNREACHABLE,
    _End.NOT_RUN: _Outcome.REJECTED,
    _End.MISDIRECTED: _Outcome.MISDIRECTED,
    _End.LOST: _Outcome.LOST,
    _End.MISMATCHED: _Outcome.LOST,
    _End.TIMED_OUT: _Outcome.TIMED_OUT,
}


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a job over all its attempts.

    Attributes:
        may_have_run: Whether any server may have run the request.
        attempts: Number of attempts, including those that failed before any
            part of the request was sent.
        connect_failures: Number of the latter.
        last: Last attempt; None if there was none.
    """

    may_have_run: bool = False
    attempts: int = 0
    connect_failures: int = 0
    last: forward.Attempt | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A job that is being run.

    Attributes:
        job: The job.
        stream: Stream of its response.
        time_limit: Ends the run when it expires.
        progress: Its progress.
        is_sending: Whether an attempt is in progress.
        rejection: Rejection with which it is ended early; None before that.
    """

    job: jobs.Job
    stream: response_stream.ResponseStream
    time_limit: asyncio.Timeout
    progress: Progress = dataclasses.field(default_factory=Progress)
    is_sending: bool = False
    rejection: rejections.Rejection | None = None


class Runner:
    """Sends jobs to servers and responds to their callers."""

    def __init__(
        self,
        controller: jobs.AdmissionController,
        forwarder: forward.Forwarder,
        dialect: models.Dialect,
        clock: core.Clock,
        is_last: Callable[[], bool],
        log: request_log.RequestLog,
    ) -> None:
        self._log = log
        self._controller = controller
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock
        self._is_last = is_last
        self._runs: set[_Run] = set()

    def answer_unanswered(self, rejection: rejections.Rejection) -> None:
        """Ends the jobs whose callers have received nothing yet.

        Args:
            rejection: Rejection of those that no server has run.
        """
        now = asyncio.get_running_loop().time()
        for run in self._runs:
            if run.stream.response is None:
                run.rejection = rejection
                run.time_limit.reschedule(now)

    async def async_run(
        self, req: web.BaseRequest, job: jobs.Job, span: spans.Span
    ) -> web.StreamResponse:
        """Runs a job until its response is complete.

        Args:
            req: HTTP request of the caller.
            job: Job for the request.
            span: Trace span of the request; each attempt is a child span.

        Raises:
            CallerGoneError: The caller closed its connection.
            ResponseAbortedError: A response in progress could not be
                completed.
        """
        stream = response_stream.ResponseStream(req, self._is_last)
        run = _Run(job, stream, asyncio.timeout(None))
        self._runs.add(run)
        try:
            async with run.time_limit:
                return await self._async_run_attempts(req, run, span)
        except TimeoutError:
            if run.rejection is None:
                raise
            # A server may run what is being sent.
            run.progress.may_have_run |= run.is_sending
            return self._reject_or_cut(job, stream, run.progress, run.rejection)
        finally:
            self._runs.discard(run)

    async def _async_run_attempts(
        self, req: web.BaseRequest, run: _Run, span: spans.Span
    ) -> web.StreamResponse:
        job, stream, progress = run.job, run.stream, run.progress
        events = None
        if job.route.kind is knowledge.RouteKind.STREAM:
            events = relay.EventRelay(job.request.resume_after)
        while True:
            try:
                admitted = await self._controller.async_admit(job)
            except asyncio.CancelledError:
                if run.rejection is None:
                    self._log.record_left_undecided()
                raise
            if isinstance(admitted, result.Err):
                return self._reject_or_cut(
                    job, stream, progress, admitted.err_value
                )
            if response_stream.has_left(req):
                admitted.ok_value.finish(_Outcome.UNSENT)
                raise exceptions.CallerGoneError(
                    "caller disconnected before the request was sent"
                )
            run.is_sending = True
            progress.attempts += 1
            with span.child("send") as attempt_span:
                attempt = await self._async_send(
                    job, stream, events, admitted.ok_value, attempt_span
                )
            run.is_sending = False
            server = admitted.ok_value.server.name
            if attempt.head is not None and attempt.head.invalid_headers:
                self._log.record_invalid_headers(
                    server, attempt.head.invalid_headers
                )
            # A response without a stream can't complete a stream that the
            # caller has already received a part of.
            is_complete = attempt.end is _End.COMPLETE and (
                attempt.streamed or stream.response is None
            )
            if is_complete and not _is_failure(attempt):
                self._log.record_response(
                    job, stream, attempt, server, progress.attempts
                )
                return await self._async_respond(stream, attempt)
            _record_failure(job, attempt, progress, server)
            will_retry = (
                events is None or events.resumable
            ) and self._may_retry(job, progress, attempt)
            self._log.record_attempt_end(job, attempt, server, will_retry)
            if will_retry:
                continue
            if is_complete:
                return await self._async_respond(stream, attempt)
            return self._reject_or_cut(job, stream, progress, None)

    async def _async_send(
        self,
        job: jobs.Job,
        stream: response_stream.ResponseStream,
        events: relay.EventRelay | None,
        permit: jobs.Permit,
        attempt_span: spans.Span,
    ) -> forward.Attempt:
        server = permit.server
        attempt_span.set("server", server.name)
        stream.set_placement(permit)
        resume_after = events.resume_after if events else ""
        params = forward.AttemptParameters(
            job.request,
            server.address,
            models.AttemptMetadata(
                server=server.name,
                workspace=job.workspace,
                remaining_s=job.deadline - self._clock.monotonic(),
                resume_after=resume_after,
                trace=attempt_span.headers(),
            ),
            events,
            stream,
        )
        outcome = _Outcome.CANCELLED
        try:
            attempt = await self._forwarder.async_send(params)
            outcome = _outcome(attempt)
            if outcome is _Outcome.LOST and _is_crash_suspect(job, attempt):
                address = params.address
                if await self._forwarder.async_refuses_connections(address):
                    outcome = _Outcome.CRASHED
            attempt_span.set("end", attempt.end.value)
        finally:
            permit.finish(outcome)
        return attempt

    def _may_retry(
        self, job: jobs.Job, progress: Progress, attempt: forward.Attempt
    ) -> bool:
        """Returns whether a failed job may be sent to another server."""
        if self._clock.monotonic() >= job.deadline:
            return False
        if progress.may_have_run and not job.route.is_retryable:
            return False
        if attempt.end is _End.NOT_SENT:
            return progress.connect_failures < MAX_CONNECT_FAILURES
        if job.attempts >= job.route.max_attempts:
            return False
        return self._controller.take_retry(job)

    async def _async_respond(
        self, stream: response_stream.ResponseStream, attempt: forward.Attempt
    ) -> web.StreamResponse:
        head = attempt.head
        assert head is not None
        if stream.response is not None:
            return await stream.async_end(head)
        if not attempt.body and head.status == 200 and _is_stream(head):
            return await stream.async_end(head)
        resp = web.Response(status=head.status, body=attempt.body)
        resp.headers.popall("Content-Type", None)
        for name, value in head.headers:
            resp.headers.add(name, value)
        return resp

    def _reject_or_cut(
        self,
        job: jobs.Job,
        stream: response_stream.ResponseStream,
        progress: Progress,
        rejection: rejections.Rejection | None,
    ) -> web.StreamResponse:
        if stream.response is not None:
            last = progress.last
            by = last.end.value if last is not None else "router"
            self._log.record_cut(
                job.request.request_id,
                job.route.name,
                job.arrived,
                by,
                stream.event_count,
            )
            stream.abort()
            raise exceptions.ResponseAbortedError(by)
        rejection = self._final_rejection(job, progress, rejection)
        self._log.record_rejection(
            job.request.request_id,
            job.route.name,
            rejection,
            job.arrived,
            progress.may_have_run,
        )
        headers = dict(self._dialect.rejection_headers(job.request.request_id))
        return rejections.response(rejection, headers)

    def _final_rejection(
        self,
        job: jobs.Job,
        progress: Progress,
        rejection: rejections.Rejection | None,
    ) -> rejections.Rejection:
        last = progress.last
        if progress.may_have_run:
            if last is not None and last.end is _End.TIMED_OUT:
                return rejections.Rejection(_Reason.TIMED_OUT)
            return rejections.Rejection(_Reason.LOST)
        if rejection is not None:
            return rejection
        retry_after_s = max(
            self._controller.available_in_s(job), REJECTED_RETRY_MIN_S
        )
        return rejections.Rejection(_Reason.SERVER_REJECTED, retry_after_s)


def _record_failure(
    job: jobs.Job, attempt: forward.Attempt, progress: Progress, server: str
) -> None:
    """Records an attempt that did not produce the final response."""
    progress.last = attempt
    job.excluded_servers.add(server)
    if attempt.end is _End.NOT_SENT:
        progress.connect_failures += 1
    else:
        job.attempts += 1
    if attempt.end not in forward.PROVED_NOT_RUN:
        progress.may_have_run = True


def _is_failure(attempt: forward.Attempt) -> bool:
    return attempt.head is not None and attempt.head.status >= 500


def _outcome(attempt: forward.Attempt) -> jobs.Outcome:
    if attempt.end is _End.COMPLETE and _is_failure(attempt):
        return _Outcome.FAILED
    return _OUTCOME_OF_END[attempt.end]


def _is_crash_suspect(job: jobs.Job, attempt: forward.Attempt) -> bool:
    """Returns whether a lost request may have crashed its server.

    Only what it shares with other requests can be held against those.
    """
    return len(job.request.prompt_blocks) > 1 and attempt.events <= 1


def _is_stream(head: models.ResponseHead) -> bool:
    return any(
        name.lower() == "content-type" and "event-stream" in value
        for name, value in head.headers
    )
