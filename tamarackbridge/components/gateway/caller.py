"""The streamed answer to one caller."""

from collections.abc import Callable
import select
import time

import aiohttp
from aiohttp import web

from tamarackbridge.components.gateway import exceptions, jobs, models
from tamarackbridge.helpers import resets

_CLOSED = select.POLLRDHUP
"""Errors and the end of both directions are told without being asked for."""


def has_left(req: web.BaseRequest) -> bool:
    """Whether a caller has closed its connection.

    The kernel knows it before a busy event loop does.
    """
    transport = req.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), _CLOSED)
    return bool(poll.poll(0))


class CallerStream:
    """Passes events to a caller, under the head of the first server.

    Attributes:
        response: The answer; None until its head is sent.
        events: Events that were passed on.
        first_at: Time of the first event; None before it.
        longest_pause_s: Longest time between two writes of events.
    """

    def __init__(
        self, req: web.BaseRequest, is_last: Callable[[], bool]
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.events = 0
        self.first_at: float | None = None
        self.longest_pause_s = 0.0
        self._last_at = 0.0
        self._req = req
        self._is_last = is_last
        self._placement: jobs.Permit | None = None

    def place(self, placement: jobs.Permit) -> None:
        """Names the placement that the next signs of life belong to."""
        self._placement = placement

    def record_activity(self) -> None:
        """Notes that the server sent something."""
        if self._placement is not None:
            self._placement.record_activity()

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Passes on what the server's answer says of the server."""
        if self._placement is not None:
            self._placement.handle_notices(head)

    async def async_events(
        self, head: models.ResponseHead, data: bytes
    ) -> None:
        """Writes whole events to the caller.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        try:
            if self.response is None:
                await self._async_begin(head)
            assert self.response is not None
            await self.response.write(data)
        except (ConnectionError, RuntimeError) as exc:
            raise exceptions.CallerGoneError(str(exc)) from exc
        self._count(data.count(b"\n\n"))
        if self._placement is not None:
            self._placement.record_progress()

    def _count(self, events: int) -> None:
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self.first_at is None:
            self.first_at = now
        else:
            pause_s = now - self._last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_at = now
        self.events += events

    async def async_end(self, head: models.ResponseHead) -> web.StreamResponse:
        """Ends a whole answer.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        try:
            if self.response is None:
                await self._async_begin(head)
            assert self.response is not None
            await self.response.write_eof()
        except (ConnectionError, RuntimeError) as exc:
            raise exceptions.CallerGoneError(str(exc)) from exc
        return self.response

    def cut(self) -> None:
        """Ends an answer so that it can't be taken for a whole one."""
        if self._req.transport is not None:
            if not self._has_chunks():
                # An answer that is closed looks whole.
                resets.reset_on_close(self._req.transport)
            self._req.transport.abort()

    def _has_chunks(self) -> bool:
        """Whether an answer's end can be told from its connection's."""
        return self._req.version >= aiohttp.HttpVersion11

    async def _async_begin(self, head: models.ResponseHead) -> None:
        self.response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            self.response.headers.add(name, value)
        if self._has_chunks():
            self.response.enable_chunked_encoding()
        if self._is_last():
            self.response.force_close()
        await self.response.prepare(self._req)
