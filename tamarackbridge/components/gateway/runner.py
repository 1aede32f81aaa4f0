"""Sends a job to servers until it is answered or must be given up."""

import asyncio
from collections.abc import Callable
import dataclasses

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    answers,
    caller,
    exceptions,
    forward,
    jobs,
    models,
    relay,
    request_log,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.telemetry import spans

MAX_UNSENT = 3
"""Servers that may fail to take a connection before a job is refused; two
dark ones at once are the loss of a zone."""

REFUSED_RETRY_S = 0.3
"""Least advice after a server refused; a step of its queue takes this long."""

_End = forward.End
_Outcome = jobs.Outcome
_Reason = answers.Reason

_OUTCOMES = {
    _End.WHOLE: _Outcome.SERVED,
    _End.NOT_SENT: _Outcome.UNREACHABLE,
    _End.NOT_RUN: _Outcome.REFUSED,
    _End.ELSEWHERE: _Outcome.MISDIRECTED,
    _End.LOST: _Outcome.LOST,
    _End.CROSSED: _Outcome.LOST,
    _End.TIMED_OUT: _Outcome.TIMED_OUT,
}


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a job has come, over all sendings.

    Attributes:
        may_have_run: Whether some server may have run it.
        unsent: Servers that took no connection.
        last: The last sending; None if there was none.
    """

    may_have_run: bool = False
    unsent: int = 0
    last: forward.Sent | None = None


class Runner:
    """Sends jobs on and answers their callers."""

    def __init__(
        self,
        desk: jobs.Desk,
        forwarder: forward.Forwarder,
        dialect: models.Dialect,
        clock: core.Clock,
        is_last: Callable[[], bool],
        log: request_log.RequestLog,
    ) -> None:
        self._log = log
        self._desk = desk
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock
        self._is_last = is_last

    async def async_run(
        self, req: web.BaseRequest, job: jobs.Job, span: spans.Span
    ) -> web.StreamResponse:
        """Sees a job to its answer.

        Args:
            req: The caller's request.
            job: What it asks for.
            span: The hop that this is; each sending is one within it.

        Raises:
            CallerGoneError: The caller closed its connection.
            AnswerCutError: An answer under way could not be finished.
        """
        stream = caller.CallerStream(req, self._is_last)
        events = None
        if job.route.kind is knowledge.RouteKind.STREAM:
            events = relay.EventRelay(job.call.resume_after)
        progress = Progress()
        while True:
            try:
                admitted = await self._desk.async_admit(job)
            except asyncio.CancelledError:
                self._log.left_undecided()
                raise
            if isinstance(admitted, result.Err):
                return self._give_up(job, stream, progress, admitted.err_value)
            if caller.has_left(req):
                admitted.ok_value.finish(_Outcome.UNSENT)
                raise exceptions.CallerGoneError("closed before the sending")
            with span.child("send") as hop:
                sent = await self._async_send(
                    job, stream, events, admitted.ok_value, hop
                )
            server = admitted.ok_value.server.name
            if sent.head is not None and sent.head.unreadable:
                self._log.unreadable(server, sent.head.unreadable)
            # What is no stream can't end one that has begun.
            is_answer = sent.end is _End.WHOLE and (
                sent.streamed or stream.response is None
            )
            if is_answer and not _is_failure(sent):
                self._log.answered(job, stream, sent, server)
                return await self._async_answer(stream, sent)
            _note(job, sent, progress, server)
            again = (events is None or events.resumable) and self._may_go_on(
                job, progress, sent
            )
            self._log.sending_ended(job, sent, server, again)
            if again:
                continue
            if is_answer:
                return await self._async_answer(stream, sent)
            return self._give_up(job, stream, progress, None)

    async def _async_send(
        self,
        job: jobs.Job,
        stream: caller.CallerStream,
        events: relay.EventRelay | None,
        placement: jobs.Placement,
        hop: spans.Span,
    ) -> forward.Sent:
        server = placement.server
        hop.set("server", server.name)
        stream.place(placement)
        resume_after = events.resume_after if events else ""
        order = forward.Order(
            job.call,
            server.address,
            models.Sending(
                server=server.name,
                workspace=job.workspace,
                left_s=job.deadline - self._clock.monotonic(),
                resume_after=resume_after,
                trace=hop.headers(),
            ),
            events,
            stream,
        )
        outcome = _Outcome.CANCELLED
        try:
            sent = await self._forwarder.async_send(order)
            outcome = _outcome(sent)
            hop.set("end", sent.end.value)
        finally:
            placement.finish(outcome)
        return sent

    def _may_go_on(
        self, job: jobs.Job, progress: Progress, sent: forward.Sent
    ) -> bool:
        """Whether a job may be sent to another server after a failure."""
        if self._clock.monotonic() >= job.deadline:
            return False
        if progress.may_have_run and not job.route.is_retryable:
            return False
        if sent.end is _End.NOT_SENT:
            return progress.unsent < MAX_UNSENT
        if job.sendings >= job.route.max_attempts:
            return False
        return self._desk.may_repeat(job)

    async def _async_answer(
        self, stream: caller.CallerStream, sent: forward.Sent
    ) -> web.StreamResponse:
        head = sent.head
        assert head is not None
        if stream.response is not None:
            return await stream.async_end(head)
        if not sent.body and head.status == 200 and _is_stream(head):
            return await stream.async_end(head)
        resp = web.Response(status=head.status, body=sent.body)
        resp.headers.popall("Content-Type", None)
        for name, value in head.headers:
            resp.headers.add(name, value)
        return resp

    def _give_up(
        self,
        job: jobs.Job,
        stream: caller.CallerStream,
        progress: Progress,
        refusal: answers.Refusal | None,
    ) -> web.StreamResponse:
        if stream.response is not None:
            last = progress.last
            by = last.end.value if last is not None else "router"
            self._log.cut(
                job.call.request_id,
                job.route.name,
                job.arrived,
                by,
                stream.events,
            )
            stream.cut()
            raise exceptions.AnswerCutError(by)
        refusal = self._final(job, progress, refusal)
        self._log.refused(
            job.call.request_id,
            job.route.name,
            refusal,
            job.arrived,
            progress.may_have_run,
        )
        headers = dict(self._dialect.refusal(job.call.request_id))
        return answers.response(refusal, headers)

    def _final(
        self,
        job: jobs.Job,
        progress: Progress,
        refusal: answers.Refusal | None,
    ) -> answers.Refusal:
        last = progress.last
        if progress.may_have_run:
            if last is not None and last.end is _End.TIMED_OUT:
                return answers.Refusal(_Reason.TIMED_OUT)
            return answers.Refusal(_Reason.LOST)
        if refusal is not None:
            return refusal
        retry_s = max(self._desk.opens_in_s(job), REFUSED_RETRY_S)
        return answers.Refusal(_Reason.SERVER_REFUSED, retry_s)


def _note(
    job: jobs.Job, sent: forward.Sent, progress: Progress, server: str
) -> None:
    """Notes a sending that did not give the answer."""
    progress.last = sent
    job.avoid.add(server)
    if sent.end is _End.NOT_SENT:
        progress.unsent += 1
    else:
        job.sendings += 1
    if sent.end not in forward.PROVED_NOT_RUN:
        progress.may_have_run = True


def _is_failure(sent: forward.Sent) -> bool:
    return sent.head is not None and sent.head.status >= 500


def _outcome(sent: forward.Sent) -> jobs.Outcome:
    if sent.end is _End.WHOLE and _is_failure(sent):
        return _Outcome.FAILED
    return _OUTCOMES[sent.end]


def _is_stream(head: models.Head) -> bool:
    return any(
        name.lower() == "content-type" and "event-stream" in value
        for name, value in head.headers
    )
