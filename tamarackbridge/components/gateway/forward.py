"""One sending of one call to one backend server."""

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
from tamarackbridge.helpers import response_limits

MAX_PLAIN_BYTES = 16 * 1024 * 1024
"""Largest answer that is held whole."""

MAX_LARGE_BYTES = 2 * MAX_PLAIN_BYTES
"""What all answers under way hold together above the uncounted part of each:
an eighth of a router's memory by default, 256 MB."""

_STREAM_TYPE = "text/event-stream"


class End(enum.Enum):
    """How a sending ended."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    ELSEWHERE = "elsewhere"
    LOST = "lost"
    CROSSED = "crossed"
    TIMED_OUT = "timed_out"


PROVED_NOT_RUN = frozenset((End.NOT_SENT, End.NOT_RUN, End.ELSEWHERE))
"""Ends after which the call certainly has not run."""


@dataclasses.dataclass(slots=True)
class Sent:
    """How far one sending has come.

    Attributes:
        end: How it ended.
        detail: The error's text, for the log.
        head: The answer's head; None while there is none.
        body: The body of an answer that is not streamed.
        streamed: Whether events are passed on as they come.
    """

    end: End = End.LOST
    detail: str = ""
    head: models.Head | None = None
    body: bytes = b""
    streamed: bool = False


class Sink(Protocol):
    """Who takes an answer under way."""

    async def async_events(self, head: models.Head, data: bytes) -> None:
        """Takes whole events to pass on."""
        ...

    def heard(self) -> None:
        """Notes that the server sent something."""
        ...

    def told(self, head: models.Head) -> None:
        """Takes what the head of the server's own answer says of it."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What one sending is to do.

    Attributes:
        call: The caller's request.
        address: Where the server listens.
        sending: What is added for the server.
        events: Follows the answer's events; None on routes without streams.
        sink: Told about the answer.
    """

    call: models.Call
    address: str
    sending: models.Sending
    events: relay.EventRelay | None
    sink: Sink


class Forwarder:
    """Sends calls to backend servers and passes answers on."""

    def __init__(
        self,
        client: servers.ServerClient,
        dialect: models.Dialect,
        spent: processor.ProcessorTime,
    ) -> None:
        self._spent = spent
        self._client = client
        self._dialect = dialect
        self._room = response_limits.MemoryBudget(MAX_LARGE_BYTES)

    async def async_send(self, order: Order) -> Sent:
        """Runs one sending to its end or its time limit."""
        sent = Sent()
        try:
            async with asyncio.timeout(order.sending.left_s):
                await self._async_exchange(order, sent)
        except exceptions.NotSentError as exc:
            sent.end, sent.detail = End.NOT_SENT, str(exc)
        except exceptions.LostError as exc:
            sent.end, sent.detail = End.LOST, str(exc)
        except TimeoutError:
            sent.end, sent.detail = End.TIMED_OUT, _missing(sent)
        return sent

    async def _async_exchange(self, order: Order, sent: Sent) -> None:
        headers = _traced(
            self._dialect.write_call(order.call, order.sending),
            order.sending.trace,
        )
        opened = self._client.async_open(order.address, order.call, headers)
        async with opened as resp:
            head = self._dialect.read_head(
                order.call, resp.status, resp.raw_headers
            )
            sent.head = head
            order.sink.heard()
            if head.told is models.Told.CROSSED:
                sent.end = End.CROSSED
                sent.detail = "the answer names another request"
                resp.close()
                return
            if head.told is not models.Told.ELSEWHERE:
                order.sink.told(head)
            if not head.named:
                # If it came once more, it would pass for the next answer.
                servers.use_no_further(resp)
            events = order.events
            is_stream = resp.content_type == _STREAM_TYPE and head.sealed
            if events is not None and resp.status == 200 and is_stream:
                await self._async_stream(order, sent, resp, events)
                return
            sent.body = await response_limits.async_read(
                resp, MAX_PLAIN_BYTES, self._room
            )
            sent.end, sent.detail = _plain_end(head, resp)

    async def _async_stream(
        self,
        order: Order,
        sent: Sent,
        resp: aiohttp.ClientResponse,
        events: relay.EventRelay,
    ) -> None:
        head = sent.head
        assert head is not None
        sent.streamed = True
        events.begin()
        async for data in resp.content.iter_any():
            order.sink.heard()
            with self._spent.section(processor.Purpose.RELAYING):
                passed = events.feed(data)
            if passed:
                await order.sink.async_events(head, passed)
            if events.broken:
                sent.detail = events.broken
                resp.close()
                return
        if servers.ended_by_reset(resp):
            sent.detail = "the connection was reset within the stream"
        elif events.partial:
            sent.detail = "the stream ended within an event"
        elif not events.ends_here:
            sent.detail = "the stream ended before the caller's last event"
        else:
            sent.end = End.WHOLE


def _traced(
    headers: models.HeaderList, trace: Mapping[str, str]
) -> models.HeaderList:
    """Returns headers that name this hop instead of the one before it."""
    if not trace:
        return headers
    kept = (it for it in headers if it[0].lower() not in trace)
    return (*kept, *trace.items())


def _missing(sent: Sent) -> str:
    """Returns what of an answer did not come in time."""
    if sent.head is None:
        return "no whole head of an answer came"
    if sent.streamed:
        return "the stream did not end"
    return "the body did not end"


def _plain_end(
    head: models.Head, resp: aiohttp.ClientResponse
) -> tuple[End, str]:
    if head.told is models.Told.NOT_RUN:
        return End.NOT_RUN, ""
    if head.told is models.Told.ELSEWHERE:
        return End.ELSEWHERE, ""
    if servers.ended_by_reset(resp):
        return End.LOST, "the connection was reset within the body"
    if resp.status < 300 and not head.sealed:
        return End.LOST, "the answer is not signed"
    return End.WHOLE, ""
