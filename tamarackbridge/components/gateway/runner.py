"""Sends a job to servers until it has a response or can't be retried."""

import asyncio
from collections.abc import Callable
import dataclasses

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    attempt_sender,
    exceptions,
    forward,
    jobs,
    models,
    rejections,
    relay,
    request_log,
    response_stream,
    retries,
    stream_ends,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.telemetry import spans
from tamarackbridge.helpers import held_response

REJECTED_RETRY_MIN_S = 0.3
"""Minimum Retry-After when servers rejected the request: one step of a server's
queue takes this long."""

CONFIRMATION_S = 1.0
"""Time for which another server may leave it open whether a stream goes on.
Callers abandon a stream after a pause of two seconds at the earliest."""

_OUT_OF_TIME = "time"
"""Logged if no server confirmed the end of a stream in time."""

_End = forward.AttemptEnd
_Outcome = jobs.Outcome
_Reason = rejections.Reason


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
        confirmation: Unmarked end of its stream that is being confirmed; None
            if there is none.
    """

    job: jobs.Job
    stream: response_stream.ResponseStream
    time_limit: asyncio.Timeout
    progress: attempt_progress.Progress = dataclasses.field(
        default_factory=attempt_progress.Progress
    )
    is_sending: bool = False
    rejection: rejections.Rejection | None = None
    confirmation: stream_ends.Confirmation | None = None


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
        stream_end_policy: stream_ends.StreamEndPolicy,
    ) -> None:
        self._log = log
        self._stream_ends = stream_end_policy
        self._controller = controller
        self._retries = retries.RetryPolicy(controller, clock)
        self._sender = attempt_sender.AttemptSender(forwarder, clock)
        self._dialect = dialect
        self._is_last = is_last
        self._runs: set[_Run] = set()

    def answer_unanswered(self, rejection: rejections.Rejection) -> None:
        """Ends the jobs whose callers have received nothing yet.

        Ends of streams that are being confirmed are decided without.

        Args:
            rejection: Rejection of those that no server has run.
        """
        now = asyncio.get_running_loop().time()
        for run in self._runs:
            if run.time_limit.expired():
                continue
            if run.stream.response is None:
                run.rejection = rejection
                run.time_limit.reschedule(now)
            elif run.confirmation is not None:
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
            if not run.time_limit.expired():
                raise
            # A server may run what is being sent.
            run.progress.may_have_run |= run.is_sending
            return await self._async_give_up(run, run.rejection, _OUT_OF_TIME)
        finally:
            self._finish_confirmation(run)
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
                if not run.time_limit.expired():
                    self._log.record_left_undecided()
                raise
            if isinstance(admitted, result.Err):
                rejection = admitted.err_value
                _end_time_limit(run)
                return await self._async_give_up(
                    run, rejection, rejection.reason.value
                )
            if response_stream.has_left(req):
                admitted.ok_value.finish(_Outcome.UNSENT)
                raise exceptions.CallerGoneError(
                    "caller disconnected before the request was sent"
                )
            run.is_sending = True
            progress.attempts += 1
            with span.child("send") as attempt_span:
                attempt = await self._sender.async_send(
                    job,
                    stream,
                    events,
                    admitted.ok_value,
                    attempt_span,
                    progress.unconfirmed_end() is not None,
                )
            run.is_sending = False
            backend = admitted.ok_value.server
            server = backend.name
            if attempt.streamed and events is not None:
                self._stream_ends.record(attempt, backend, events, progress)
                if progress.is_confirmed:
                    attempt.confirm()
            if attempt.head is not None and attempt.head.invalid_headers:
                self._log.record_invalid_headers(
                    server, attempt.head.invalid_headers
                )
            # A response without a stream can't complete a stream that the
            # caller has already received a part of.
            has_response = attempt.end in forward.WITH_RESPONSE and (
                attempt.streamed or stream.response is None
            )
            may_go_on = attempt.end is _End.UNCONFIRMED and attempt.streamed
            if has_response and not may_go_on and not attempt.is_server_error:
                self._log.record_response(
                    job, stream, attempt, server, progress.attempts
                )
                _end_time_limit(run)
                return await self._async_respond(stream, attempt)
            progress.record_attempt(job, attempt, server)
            progress.denial = self._retries.denial(
                job, progress, attempt, events
            )
            self._log.record_attempt_end(job, attempt, server, progress.denial)
            if progress.denial is None:
                end = progress.unconfirmed_end()
                if end is not None:
                    self._begin_confirmation(run, end)
                attempt.drop_body()
                continue
            _end_time_limit(run)
            if has_response and not may_go_on:
                return await self._async_respond(stream, attempt)
            attempt.drop_body()
            return await self._async_give_up(run, None, progress.denial.value)

    def _begin_confirmation(
        self, run: _Run, end: attempt_progress.UnconfirmedEnd
    ) -> None:
        """Limits the time in which other attempts confirm a stream's end."""
        if run.confirmation is not None:
            return
        now = asyncio.get_running_loop().time()
        run.time_limit.reschedule(now + CONFIRMATION_S)
        confirmation = run.confirmation = self._stream_ends.begin(end)

        def go_on() -> None:
            run.time_limit.reschedule(None)
            run.confirmation = None
            self._stream_ends.refute(confirmation)

        run.stream.watch_next_event(end.events, go_on)

    def _finish_confirmation(self, run: _Run) -> None:
        """Ends the wait of other streams for a confirmation."""
        if run.confirmation is not None:
            self._stream_ends.finish(run.confirmation)
            run.confirmation = None

    async def _async_respond(
        self, stream: response_stream.ResponseStream, attempt: forward.Attempt
    ) -> web.StreamResponse:
        head, framing = attempt.head, attempt.framing
        assert head is not None
        assert framing is not None
        is_empty = not attempt.body and head.begins_stream
        if attempt.streamed or is_empty or attempt.end is _End.UNCONFIRMED:
            try:
                return await stream.async_end(head, framing, attempt.body)
            finally:
                attempt.drop_body()
        resp = web.Response(status=head.status, body=attempt.body)
        resp.headers.popall("Content-Type", None)
        for name, value in head.headers:
            resp.headers.add(name, value)
        held_response.hold(resp, attempt.reservation)
        return resp

    async def _async_give_up(
        self,
        run: _Run,
        rejection: rejections.Rejection | None,
        reason: str,
    ) -> web.StreamResponse:
        """Ends a job that is not sent to a server again.

        Args:
            run: The job and its progress.
            rejection: Rejection for the caller, if there is one already.
            reason: Why it is not sent again, for the log.
        """
        job, stream, progress = run.job, run.stream, run.progress
        self._finish_confirmation(run)
        end = progress.unconfirmed_end()
        if end is None:
            return await self._async_reject_or_cut(run, rejection)
        may_end, instance = await self._stream_ends.async_may_end(job, end)
        if not may_end:
            return await self._async_reject_or_cut(
                run, rejection, reason, instance
            )
        self._log.record_answer(
            job,
            stream,
            end.attempt,
            end.server.name,
            progress.attempts,
            reason,
            instance,
        )
        return await self._async_respond(stream, end.attempt)

    async def _async_reject_or_cut(
        self,
        run: _Run,
        rejection: rejections.Rejection | None,
        unconfirmed: str = "",
        instance: str = "",
    ) -> web.StreamResponse:
        job, stream, progress = run.job, run.stream, run.progress
        if stream.response is not None:
            last = progress.last
            by = "router" if last is None else attempt_progress.cut_by(last)
            self._log.record_cut(
                job.request.request_id,
                job.route.name,
                job.arrived,
                by,
                stream,
                unconfirmed,
                instance,
            )
            await stream.async_abort(may_be_whole=unconfirmed != "")
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
        progress: attempt_progress.Progress,
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


def _end_time_limit(run: _Run) -> None:
    """Ends the limit for a confirmation: only the caller is waited for now."""
    if not run.time_limit.expired():
        run.time_limit.reschedule(None)
