"""Forwards one attempt of a request to a backend server."""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import time

import aiohttp
import msgspec

from tamarackbridge import const as core_const
from tamarackbridge.components.backend import (
    client,
    connection_check,
    exceptions,
)
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import (
    answer_check,
    attempts,
    caller_stream,
    const,
    stream_check,
)
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.records import models
from tamarackbridge.components.telemetry import spans
from tamarackbridge.helpers import (
    message_framing,
    response_limits,
    response_memory,
)

_END = attempts.End
_OK = 200
_STREAM_TYPE = "text/event-stream"


@dataclasses.dataclass(slots=True)
class Attempt:
    """Progress and answer of one attempt.

    Attributes:
        end: How the attempt ended; `TRUNCATED` until it ends otherwise.
        detail: Error text for the log; empty if there is no error.
        cost: Cost so far, in the unit of the service's cost rule.
        first_byte_s: Time from the start to the first byte of the answer; 0 if
            there is no answer.
        status: HTTP status of the answer; 0 while there is none.
        headers: Headers of the answer.
        body: Body of an answer that is not streamed to the caller.
        is_stream: Whether the answer is a stream of events.
        lacks_room: Whether slow callers took the memory for the answer.
        reservation: Memory of the body; None before the attempt runs.
    """

    end: attempts.End = _END.TRUNCATED
    detail: str = ""
    cost: float = 0.0
    first_byte_s: float = 0.0
    status: int = 0
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_stream: bool = False
    lacks_room: bool = False
    reservation: response_memory.Reservation | None = None

    @property
    def outcome(self) -> dispatch.Outcome:
        """The outcome that is reported to the dispatcher."""
        if self.lacks_room:
            return dispatch.Outcome.CANCELLED
        return _OUTCOMES.get(self.end, dispatch.Outcome.FAILED)

    def drop_body(self) -> None:
        """Drops the body and frees its memory."""
        self.body = b""
        if self.reservation is not None:
            self.reservation.resize(0)


_OUTCOMES = {
    _END.COMPLETE: dispatch.Outcome.OK,
    _END.UNCONFIRMED: dispatch.Outcome.OK,
    _END.PERMIT_EXPIRED: dispatch.Outcome.UNUSED,
    _END.NOT_STARTED: dispatch.Outcome.COLD,
    _END.CUT_OFF: dispatch.Outcome.CANCELLED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Inputs of one attempt.

    Attributes:
        request: The caller's request.
        server: The backend server on which it runs.
        permit: The permit under which it runs.
        check: State of the request's stream over all attempts.
        stream: Receives a streamed answer; None to buffer it.
        limit_s: Longest time until a non-streamed answer is complete.
        report_cost: Called with the cost so far while a stream runs.
        span: Trace span of this attempt.
    """

    request: entry_models.Request
    server: models.BackendServer
    permit: dispatch.Permitted
    check: stream_check.StreamCheck
    stream: caller_stream.CallerStream | None
    limit_s: float
    report_cost: Callable[[float], None]
    span: spans.Span


class Forwarder:
    """Sends requests to backend servers and forwards streamed answers."""

    def __init__(self, backend: client.BackendClient) -> None:
        self._backend = backend
        self._memory = response_memory.MemoryBudget(
            const.MAX_ALL_BUFFERED_BYTES
        )

    async def async_run(self, job: Job, attempt: Attempt) -> None:
        """Runs one attempt and records its progress and end in `attempt`.

        The body of the answer stays reserved until `Attempt.drop_body`, or
        until the response that is made of it has been sent.

        Raises:
            CallerGoneError: The caller disconnected during a stream. The
                connection to the backend server is closed, which cancels the
                work.
        """
        started = time.monotonic()
        job.check.begin()
        reservation = response_memory.Reservation(self._memory)
        attempt.reservation = reservation
        limit_s = min(job.limit_s, job.permit.life_s)
        try:
            async with asyncio.timeout(limit_s) as timer:
                await self._async_exchange(
                    job, attempt, started, timer, reservation
                )
        except exceptions.NotSentError as exc:
            attempt.end, attempt.detail = _END.NOT_SENT, str(exc)
        except exceptions.BackendError as exc:
            attempt.end, attempt.detail = _END.TRUNCATED, str(exc)
            attempt.lacks_room = response_limits.is_held_by_callers(exc)
        except TimeoutError:
            attempt.end = _END.CUT_OFF if attempt.is_stream else _END.TIMED_OUT
        finally:
            job.check.drop_incomplete()
            reservation.resize(len(attempt.body))
            _record_cost(job, attempt, time.monotonic() - started)

    async def async_check_connection(
        self, address: str
    ) -> connection_check.Check:
        """Returns whether a backend server accepts connections."""
        return await self._backend.async_check_connection(address)

    async def _async_exchange(
        self,
        job: Job,
        attempt: Attempt,
        started: float,
        timer: asyncio.Timeout,
        reservation: response_memory.Reservation,
    ) -> None:
        request = job.request
        async with self._backend.async_open(
            request.route.method,
            job.server.address,
            request.path,
            _headers(job),
            request.body,
        ) as resp:
            attempt.first_byte_s = time.monotonic() - started
            attempt.status = resp.status
            attempt.headers = resp.headers
            end = answer_check.end_by_header(
                resp.status, resp.headers, request.request_id
            )
            if end is not None:
                attempt.end = end
            elif resp.status == _OK and resp.content_type == _STREAM_TYPE:
                attempt.is_stream = True
                now = asyncio.get_running_loop().time()
                timer.reschedule(now + job.permit.life_s)
                await self._async_forward_stream(
                    job, attempt, resp, reservation
                )
            elif job.check.begun:
                attempt.end = _END.NOT_A_STREAM
            else:
                attempt.body = await _async_read_body(resp, reservation)
                attempt.end = answer_check.end_by_body(
                    attempt.body, resp.headers, request.route.empty_is_failure
                )
                if attempt.end is _END.COMPLETE and not _is_marked(resp):
                    attempt.end = _END.UNCONFIRMED

    async def _async_forward_stream(
        self,
        job: Job,
        attempt: Attempt,
        resp: aiohttp.ClientResponse,
        reservation: response_memory.Reservation,
    ) -> None:
        reported_at = time.monotonic()
        first_offset = job.check.offset
        buffered = bytearray()  # A list would take more for many small events.
        async for data in resp.content.iter_any():
            events = job.check.feed(data)
            if events and job.stream is not None:
                await job.stream.async_write(resp.headers, events)
            elif events:
                size = len(buffered) + len(events)
                if size > const.MAX_BUFFERED_BYTES:
                    raise response_memory.ResponseLimitError(
                        "stream exceeds the size limit of buffered answers"
                    )
                reservation.resize(size + job.check.incomplete_bytes)
                buffered += events
            reservation.resize(len(buffered) + job.check.incomplete_bytes)
            if job.check.broken or job.check.complete:
                break
            now = time.monotonic()
            if now - reported_at > const.COST_REPORT_INTERVAL_S:
                reported_at = now
                tokens = job.check.offset - first_offset
                job.report_cost(tokens * job.request.service.output_weight)
        attempt.body = bytes(buffered)
        if job.check.complete:
            attempt.end = _END.COMPLETE
        elif job.check.wrong_request:
            attempt.end = _END.MISMATCHED
        elif job.check.broken:
            attempt.detail = "stream has an event that can't be passed on"
        else:
            attempt.detail = "stream ended without its end marker"


async def _async_read_body(
    resp: aiohttp.ClientResponse, reservation: response_memory.Reservation
) -> bytes:
    """Returns the complete body of an answer.

    Raises:
        ResponseLimitError: The body exceeds `const.MAX_BUFFERED_BYTES`, or
            memory has no room for it.
        BackendError: A reset ended the body.
    """
    body = await response_limits.async_read_reserved(
        resp, const.MAX_BUFFERED_BYTES, reservation
    )
    if not _is_marked(resp) and response_limits.ended_by_reset(resp):
        raise exceptions.BackendError("connection was reset during the body")
    return body


def _is_marked(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a length or a final chunk marked the end of the body."""
    framing = message_framing.of_response(resp)
    return framing is not message_framing.Framing.CLOSE


def _headers(job: Job) -> dict[str, str]:
    headers = dict(job.request.headers)
    if trace_headers := job.span.headers():
        for name in [key for key in headers if key.lower() in trace_headers]:
            del headers[name]
        headers.update(trace_headers)
    headers[const.HEADER_REQUEST_ID] = job.request.request_id
    if job.server.checks_fencing:
        headers[const.HEADER_FENCING] = str(job.permit.epoch)
    if job.check.offset:
        headers[const.HEADER_RESUME_OFFSET] = str(job.check.offset)
    return headers


class _BodyUsage(msgspec.Struct):
    usage: stream_check.Usage | None = None


_USAGE_DECODER = msgspec.json.Decoder(_BodyUsage)


def _record_cost(job: Job, attempt: Attempt, took_s: float) -> None:
    service = job.request.service
    if attempt.end in attempts.PROVED_NOT_RUN:
        return
    if service.cost_rule is models.CostRule.SERVER_MS:
        attempt.cost = took_s * core_const.MS_PER_S
        return
    usage = job.check.usage
    if not attempt.is_stream:
        usage = _body_usage(attempt.body)
    tokens = float(job.check.offset)
    if usage is not None:
        tokens = max(tokens, usage.completion_tokens)
        attempt.cost = usage.prompt_tokens
    attempt.cost += service.output_weight * tokens


def _body_usage(body: bytes) -> stream_check.Usage | None:
    try:
        return _USAGE_DECODER.decode(body).usage
    except msgspec.MsgspecError:
        return None
