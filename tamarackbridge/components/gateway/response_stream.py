"""Streamed response to one caller."""

import asyncio
from collections.abc import Callable
import dataclasses
import select
import time

import aiohttp
from aiohttp import web

from tamarackbridge.components.gateway import (
    exceptions,
    forward,
    jobs,
    models,
    relay,
)
from tamarackbridge.helpers import (
    message_framing,
    resets,
    unmarked_response,
)

TAKE_EVENTS_CHECK_S = 0.02
"""Time between two checks whether a caller has taken all events."""

TAKE_EVENTS_CHECKS = 50
"""Number of checks before the events left are discarded: a second in all, many
times what the way to a caller takes."""

_UNCONFIRMED = forward.AttemptEnd.UNCONFIRMED
_CLOSE_EVENTS = select.POLLRDHUP
"""poll() always reports POLLERR and POLLHUP, so they need not be requested."""


def has_left(req: web.BaseRequest) -> bool:
    """Returns whether the caller has closed its connection.

    Asks the kernel, because a busy event loop notices the close late.
    """
    transport = req.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), _CLOSE_EVENTS)
    return bool(poll.poll(0))


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class EventWatch:
    """Calls back once the events pass a position."""

    events: relay.EventRelay
    position: int
    callback: Callable[[], None]


class ResponseStream:
    """Writes server-sent events to a caller.

    The response has the head of the first server that sends events. If the
    request is retried on another server, its events continue the same response.

    Its end is unmarked if that of the server's response is.

    Attributes:
        response: The response; None until its head is sent.
        is_unmarked: Whether nothing marks the end of the response.
        event_count: Number of events written.
        first_event_at: Time at which the first event was written; None before.
        longest_pause_s: Longest time between two writes of events, in seconds.
    """

    def __init__(
        self, req: web.BaseRequest, is_last: Callable[[], bool]
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.is_unmarked = False
        self.event_count = 0
        self.first_event_at: float | None = None
        self.longest_pause_s = 0.0
        self._last_write_at = 0.0
        self._req = req
        self._is_last = is_last
        self._placement: jobs.Permit | None = None
        self._watches: list[EventWatch] = []

    def ends_unmarked(self, attempt: forward.Attempt) -> bool:
        """Returns whether nothing marks the end of a response to the caller.

        Args:
            attempt: Attempt whose end is that of the response, which may not
                have begun yet.
        """
        if self.response is not None:
            return self.is_unmarked
        # Other plain bodies get a length.
        is_passed_on = attempt.streamed or attempt.end is _UNCONFIRMED
        return (
            is_passed_on
            and attempt.framing is not None
            and self._would_be_unmarked(attempt.framing)
        )

    def _would_be_unmarked(self, framing: message_framing.Framing) -> bool:
        # HTTP/1.0 has no chunks.
        return (
            framing is message_framing.Framing.CLOSE
            or self._req.version < aiohttp.HttpVersion11
        )

    def set_placement(self, placement: jobs.Permit) -> None:
        """Sets the placement to which server activity is reported from now."""
        self._placement = placement

    def watch_next_event(
        self, events: relay.EventRelay, callback: Callable[[], None]
    ) -> EventWatch:
        """Calls back once, when the next event comes.

        Args:
            events: Relay of the events; a comment does not change its position.
            callback: Called before the event is forwarded.
        """
        watch = EventWatch(events, events.position, callback)
        self._watches.append(watch)
        return watch

    def forget_watch(self, watch: EventWatch) -> None:
        """Ends a watch; further calls have no effect."""
        if watch in self._watches:
            self._watches.remove(watch)

    def record_activity(self) -> None:
        """Reports to the placement that the server sent data."""
        if self._placement is not None:
            self._placement.record_activity()

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Passes the head of a server's own response to the placement."""
        if self._placement is not None:
            self._placement.handle_notices(head)

    async def async_events(
        self,
        head: models.ResponseHead,
        framing: message_framing.Framing,
        data: bytes,
    ) -> None:
        """Writes complete events to the caller.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        for watch in list(self._watches):
            if watch.events.position != watch.position:
                self._watches.remove(watch)
                watch.callback()
        try:
            if self.response is None:
                await self._async_begin(head, framing)
            assert self.response is not None
            await self.response.write(data)
        except (ConnectionError, RuntimeError) as exc:
            raise exceptions.CallerGoneError(str(exc)) from exc
        events = relay.count_events(data)
        self._record_events(events)
        if self._placement is not None:
            self._placement.record_progress(events)

    def _record_events(self, events: int) -> None:
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self._last_write_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_write_at = now
        self.event_count += events

    async def async_end(
        self,
        head: models.ResponseHead,
        framing: message_framing.Framing,
        body: bytes = b"",
    ) -> web.StreamResponse:
        """Finishes a response.

        Args:
            head: Head of the server's response.
            framing: What marks the end of the server's response.
            body: Body of a response that was not streamed.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        try:
            if self.response is None:
                await self._async_begin(head, framing)
            assert self.response is not None
            await self.response.write_eof(body)
        except (ConnectionError, RuntimeError) as exc:
            raise exceptions.CallerGoneError(str(exc)) from exc
        return self.response

    def abort(self) -> None:
        """Aborts the connection so that the response is seen as truncated."""
        if self._req.transport is not None:
            self._req.transport.abort()

    async def async_abort(self, may_be_whole: bool) -> None:
        """Aborts the connection as `abort` does.

        Args:
            may_be_whole: Whether the caller is given time to take all events:
                a reset discards those that are on their way.
        """
        try:
            for _ in range(TAKE_EVENTS_CHECKS if may_be_whole else 0):
                if not self._has_unsent():
                    break
                await asyncio.sleep(TAKE_EVENTS_CHECK_S)
        finally:
            self.abort()

    def _has_unsent(self) -> bool:
        transport = self._req.transport
        return (
            transport is not None
            and not has_left(self._req)
            and resets.has_unsent(transport)
        )

    async def _async_begin(
        self, head: models.ResponseHead, framing: message_framing.Framing
    ) -> None:
        self.is_unmarked = self._would_be_unmarked(framing)
        kind = (
            unmarked_response.UnmarkedResponse
            if self.is_unmarked
            else web.StreamResponse
        )
        self.response = kind(status=head.status)
        if not self.is_unmarked:
            self.response.enable_chunked_encoding()
        for name, value in head.headers:
            self.response.headers.add(name, value)
        if self._is_last():
            self.response.force_close()
        await self.response.prepare(self._req)
