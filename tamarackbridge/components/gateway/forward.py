"""Sends a request to one backend server and forwards the response."""

import asyncio
from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

import aiohttp

from tamarackbridge.components.gateway import (
    exceptions,
    models,
    relay,
    servers,
)
from tamarackbridge.components.telemetry import processor
from tamarackbridge.helpers import (
    message_framing,
    response_limits,
    response_memory,
)

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
"""Maximum size of a response that is buffered."""

_STREAM_TYPE = "text/event-stream"
_UNMARKED = message_framing.Framing.CLOSE


class AttemptEnd(enum.Enum):
    """How an attempt to send a request to a server ended.

    Attributes:
        COMPLETE: A response was received whose server marked its end, or whose
            end another attempt has confirmed.
        UNCONFIRMED: A response was received that may be complete: its
            connection was closed in good order, and nothing marks its end.
        NOT_SENT: No part of the request was sent.
        NOT_RUN: The server guarantees that it has not run the request.
        MISDIRECTED: Another server than the intended one received the request
            and did not run it.
        LOST: The response is missing or incomplete.
        MISMATCHED: The response belongs to another request.
        TIMED_OUT: The response was incomplete at the deadline.
    """

    COMPLETE = "whole"
    UNCONFIRMED = "unconfirmed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MISDIRECTED = "elsewhere"
    LOST = "lost"
    MISMATCHED = "crossed"
    TIMED_OUT = "timed_out"


WITH_RESPONSE = frozenset((AttemptEnd.COMPLETE, AttemptEnd.UNCONFIRMED))
"""Ends after which there is a response that can be passed on."""

PROVED_NOT_RUN = frozenset(
    (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED)
)
"""Ends after which it is certain that the server has not run the request."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """State and result of one attempt.

    Attributes:
        end: How the attempt ended.
        detail: Error text for the log; empty if there is no error.
        head: Head of the response; None until received.
        framing: What marks the end of the body; None until the head is
            received.
        body: Body of a response that is not streamed.
        reservation: Memory of the body; None before the attempt runs.
        lacks_room: Whether slow callers took the memory for the response.
        is_malformed: Whether the response was not HTTP, or too large, so that
            this side closed the connection.
        streamed: Whether events are forwarded as they arrive.
        is_unmarked_and_empty: Whether a stream had no event, and nothing but
            its connection's orderly close marks its end. False if its server
            is gone.
        ended_in_order: Whether a stream without the events that were asked for
            was closed in good order, or not waited for until its deadline. A
            server that goes on with a stream is not blamed for either.
        is_confirmation: Whether the server was to go on after an unmarked end
            of the stream.
        is_continuation: Whether the server was to go on after any event.
        repeats_last: Whether it was to send the last event once more.
        connection_check: Result of a new connection to the server after the
            response; empty without one.
        events: Number of events that were forwarded.
        sent_at: Loop time at which the attempt began.
        head_at: Loop time at which the head was received; None before.
        ended_at: Loop time at which the attempt ended.
    """

    end: AttemptEnd = AttemptEnd.LOST
    detail: str = ""
    head: models.ResponseHead | None = None
    framing: message_framing.Framing | None = None
    body: bytes = b""
    reservation: response_memory.Reservation | None = None
    lacks_room: bool = False
    is_malformed: bool = False
    streamed: bool = False
    is_unmarked_and_empty: bool = False
    ended_in_order: bool = False
    is_confirmation: bool = False
    is_continuation: bool = False
    repeats_last: bool = False
    connection_check: str = ""
    events: int = 0
    sent_at: float = 0.0
    head_at: float | None = None
    ended_at: float = 0.0

    @property
    def may_end_by_crash(self) -> bool:
        """Returns whether a crash of the server would have looked the same.

        A server that shuts down ends its responses after it has stopped
        listening, so that a new connection does not tell.
        """
        if self.head is not None and self.head.announces_shutdown:
            return False
        return self.end is AttemptEnd.UNCONFIRMED or self.is_unmarked_and_empty

    @property
    def is_server_error(self) -> bool:
        """Returns whether the server responded with a server error."""
        return self.head is not None and self.head.status >= 500

    def confirm(self) -> None:
        """Records that another attempt has ended in the same place."""
        self.end = AttemptEnd.COMPLETE
        self.detail = ""
        self.is_unmarked_and_empty = False

    def drop_body(self) -> None:
        """Drops the body and frees its memory."""
        self.body = b""
        if self.reservation is not None:
            self.reservation.resize(0)


class ResponseSink(Protocol):
    """Receiver of a response in progress."""

    async def async_events(
        self,
        head: models.ResponseHead,
        framing: message_framing.Framing,
        data: bytes,
    ) -> None:
        """Forwards complete events to the caller."""
        ...

    def record_activity(self) -> None:
        """Records that the server sent data."""
        ...

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Handles the notices about the server in its response head."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Parameters of one attempt.

    Attributes:
        request: The caller's request.
        address: Host and port of the server.
        metadata: Metadata that is added for the server.
        events: Relay for the events of the response; None on routes without
            streams.
        sink: Receiver of the response.
        repeats_last: Whether the server is to send the last forwarded event
            once more.
    """

    request: models.Request
    address: str
    metadata: models.AttemptMetadata
    events: relay.EventRelay | None
    sink: ResponseSink
    repeats_last: bool = False


class Forwarder:
    """Sends requests to backend servers and forwards their responses.

    Args:
        client: HTTP client for the servers.
        dialect: Writes requests and reads response heads.
        processor_time: Meter of the processor time.
        max_response_bytes: Memory for plain bodies and incomplete events of all
            attempts together.
    """

    def __init__(
        self,
        client: servers.ServerClient,
        dialect: models.Dialect,
        processor_time: processor.ProcessorTime,
        max_response_bytes: int,
    ) -> None:
        self._processor_time = processor_time
        self._client = client
        self._dialect = dialect
        self._response_memory = response_memory.MemoryBudget(max_response_bytes)

    async def async_send(self, params: AttemptParameters) -> Attempt:
        """Runs one attempt until it ends or reaches its time limit.

        The body stays reserved until `Attempt.drop_body`, or until the response
        that is made of it has been sent.
        """
        loop = asyncio.get_running_loop()
        reservation = response_memory.Reservation(self._response_memory)
        attempt = Attempt(sent_at=loop.time(), reservation=reservation)
        try:
            async with asyncio.timeout(params.metadata.remaining_s):
                await self._async_exchange(params, attempt, reservation)
        except exceptions.NotSentError as exc:
            attempt.end, attempt.detail = AttemptEnd.NOT_SENT, str(exc)
        except exceptions.LostError as exc:
            attempt.end, attempt.detail = AttemptEnd.LOST, str(exc)
            attempt.lacks_room = response_limits.is_held_by_callers(exc)
            attempt.is_malformed = response_limits.is_malformed(exc)
        except TimeoutError:
            attempt.end, attempt.detail = (
                AttemptEnd.TIMED_OUT,
                _missing_part(attempt),
            )
        except BaseException:
            attempt.drop_body()
            raise
        finally:
            if params.events is not None:
                params.events.drop_partial_event()
            reservation.resize(len(attempt.body))
        attempt.ended_at = loop.time()
        return attempt

    async def async_check_connection(
        self, address: str
    ) -> servers.ConnectionCheck:
        """Returns whether a server accepts connections."""
        return await self._client.async_check_connection(address)

    async def _async_exchange(
        self,
        params: AttemptParameters,
        attempt: Attempt,
        reservation: response_memory.Reservation,
    ) -> None:
        headers = _with_trace(
            self._dialect.write_request(params.request, params.metadata),
            params.metadata.trace,
        )
        response_context = self._client.async_open(
            params.address, params.request, headers
        )
        async with response_context as resp:
            head = self._dialect.read_response_head(
                params.request, resp.status, resp.raw_headers
            )
            attempt.head = head
            attempt.framing = message_framing.of_response(resp)
            attempt.head_at = asyncio.get_running_loop().time()
            params.sink.record_activity()
            if head.disposition is models.Disposition.MISMATCHED:
                attempt.end = AttemptEnd.MISMATCHED
                attempt.detail = "response belongs to another request"
                resp.close()
                return
            if head.disposition is not models.Disposition.MISDIRECTED:
                params.sink.handle_notices(head)
            if not head.has_request_id:
                # A duplicate without a request ID is indistinguishable from the
                # response to the next request on this connection.
                servers.close_after_response(resp)
            events = params.events
            is_stream = resp.content_type == _STREAM_TYPE and head.sealed
            if events is not None and resp.status == 200 and is_stream:
                await self._async_stream(
                    params, attempt, resp, events, reservation
                )
                return
            attempt.body = await response_limits.async_read_reserved(
                resp, MAX_BUFFERED_BYTES, reservation
            )
            attempt.end, attempt.detail = _buffered_end(
                head, resp, attempt.framing
            )

    async def _async_stream(
        self,
        params: AttemptParameters,
        attempt: Attempt,
        resp: aiohttp.ClientResponse,
        events: relay.EventRelay,
        reservation: response_memory.Reservation,
    ) -> None:
        head, framing = attempt.head, attempt.framing
        assert head is not None
        assert framing is not None
        attempt.streamed = True
        events.switch_server(params.repeats_last)
        async for data in resp.content.iter_any():
            params.sink.record_activity()
            with self._processor_time.section(processor.Purpose.RELAYING):
                forwarded = events.feed(data)
            if forwarded:
                attempt.events += relay.count_events(forwarded)
                await params.sink.async_events(head, framing, forwarded)
            if events.error:
                attempt.detail = events.error
                resp.close()
                return
            reservation.resize(events.partial_bytes)
        response_limits.check_valid(resp)
        if response_limits.ended_by_reset(resp):
            attempt.detail = (
                "stream was cut by a reset, or before the request was sent"
            )
        elif events.has_partial_event:
            attempt.detail = "stream ended in the middle of an event"
        elif events.is_empty and framing is _UNMARKED:
            attempt.detail = "connection closed before the first event"
            attempt.is_unmarked_and_empty = True
            attempt.ended_in_order = True
        elif not events.may_end:
            attempt.ended_in_order = True
            attempt.detail = "stream ended before the last event the caller has"
        else:
            attempt.end = _end_of_body(framing)


def _with_trace(
    headers: models.HeaderList, trace: Mapping[str, str]
) -> models.HeaderList:
    """Returns the headers with the trace headers replaced by this hop's."""
    if not trace:
        return headers
    kept = (header for header in headers if header[0].lower() not in trace)
    return (*kept, *trace.items())


def _missing_part(attempt: Attempt) -> str:
    """Returns which part of a response was missing at the deadline."""
    if attempt.head is None:
        return "timed out before the response head was complete"
    if attempt.streamed:
        return "timed out before the stream ended"
    return "timed out before the body was complete"


def _end_of_body(framing: message_framing.Framing) -> AttemptEnd:
    """Returns the end of an attempt whose body ended without an error."""
    if framing is _UNMARKED:
        return AttemptEnd.UNCONFIRMED
    return AttemptEnd.COMPLETE


def _buffered_end(
    head: models.ResponseHead,
    resp: aiohttp.ClientResponse,
    framing: message_framing.Framing,
) -> tuple[AttemptEnd, str]:
    if head.disposition is models.Disposition.NOT_RUN:
        return AttemptEnd.NOT_RUN, ""
    if head.disposition is models.Disposition.MISDIRECTED:
        return AttemptEnd.MISDIRECTED, ""
    if response_limits.ended_by_reset(resp):
        return (
            AttemptEnd.LOST,
            "body was cut by a reset, or before the request was sent",
        )
    if resp.status < 300 and not head.sealed:
        return AttemptEnd.LOST, "response has no signature"
    # To its caller it is a stream, and no other server can confirm its end.
    if framing is _UNMARKED and resp.content_type == _STREAM_TYPE:
        return AttemptEnd.LOST, "nothing marks the end of the event stream"
    return _end_of_body(framing), ""
