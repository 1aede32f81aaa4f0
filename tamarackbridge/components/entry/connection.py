"""One caller's connection, with limits on what the caller may hold up."""

import asyncio
import dataclasses
import json
import select
import socket
from typing import Any, Protocol, cast
import uuid

from aiohttp import http_exceptions, web

from tamarackbridge.components.entry import const, problem

FRESH_S = 0.3
"""Time within which the first request of a new connection arrives: a few round
trips of a caller, and a step of a busy event loop."""

SEND_BUFFER_BYTES = 262_144
"""Kernel memory for bytes that one caller has not taken yet."""


@dataclasses.dataclass(slots=True)
class CallerCounts:
    """Counts of one listener's connections.

    Attributes:
        open: Open connections.
        refused: Connections that were closed because too many were open.
        timed_out: Connections whose caller sent or read too slowly.
        malformed: Requests that were not readable as HTTP.
    """

    open: int = 0
    refused: int = 0
    timed_out: int = 0
    malformed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what one caller can send or hold.

    Attributes:
        max_header_bytes: Largest header line and largest header field.
        max_connections: Open connections of all callers.
        header_timeout_s: Time to send the whole header.
        write_stall_s: Time that a caller may leave its answer unread.
    """

    max_header_bytes: int
    max_connections: int
    header_timeout_s: float
    write_stall_s: float


class Screen(Protocol):
    """Decides on requests before they are read."""

    def __call__(self, data: bytes) -> bytes | bool:
        """Returns the answer to a request that is refused.

        Args:
            data: What came first of the request.

        Returns:
            Otherwise whether it was decided that it is read.
        """
        ...


class CallerConnection(web.RequestHandler):
    """Ends a connection whose caller sends or reads too slowly.

    Time for a request's header runs from its first byte; time for reading
    from the moment at which no more of the answer can be written.
    """

    def __init__(
        self,
        server: web.Server,
        cfg: CallerLimits,
        counts: CallerCounts,
        idle_timeout_s: float | None = None,
        screen: Screen | None = None,
        screened: bool = False,
    ) -> None:
        kept: dict[str, Any] = {}
        if idle_timeout_s is not None:
            kept["keepalive_timeout"] = idle_timeout_s
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=cast(Any, None),
            max_line_size=cfg.max_header_bytes,
            max_field_size=cfg.max_header_bytes,
            **kept,
        )
        self._may_idle = idle_timeout_s is not None
        self._cfg = cfg
        self._counts = counts
        self._taken = False
        self._in_request = False
        self._fresh_until = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._screen = screen
        self._screened = screened

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a connection, unless too many are open."""
        super().connection_made(transport)
        if self._counts.open >= self._cfg.max_connections:
            self._counts.refused += 1
            self.force_close()
            return
        self._taken = True
        self._counts.open += 1
        self._fresh_until = asyncio.get_running_loop().time() + FRESH_S
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        if not self._may_idle:
            self._start(self._cfg.header_timeout_s, self._header_late)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._stop()
        if self._taken:
            self._taken = False
            self._counts.open -= 1
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; the first ones of a request start its timer."""
        if not self._in_request and self._timer is None:
            if self._is_refused(data):
                return
            self._start(self._cfg.header_timeout_s, self._header_late)
        super().data_received(data)

    def _is_refused(self, data: bytes) -> bool:
        """Whether the first bytes of a request were answered unread."""
        if self._screen is None or self._screened or self._messages:
            return False
        found = self._screen(data)
        if isinstance(found, bytes):
            if self.transport is not None:
                self.transport.write(found)
            self.force_close()
            return True
        self._screened = found
        return False

    def take_screened(self) -> bool:
        """Whether the present request has been screened; asked once."""
        screened, self._screened = self._screened, False
        return screened

    def begin_request(self) -> None:
        """The header of a request is whole."""
        self._in_request = True
        self._fresh_until = 0.0
        self._stop()

    def end_request(self) -> None:
        """The answer to the request is given."""
        self._in_request = False

    def end_if_idle(self) -> None:
        """Closes the connection if it waits for a request.

        `close` of the base class ends the handler of an idle connection and
        leaves the connection open, and ignores what still comes of a request
        that is on its way; neither is ever answered. The first request of a
        connection that was just made is on its way.
        """
        if self._in_request or self._messages or self._timer is not None:
            return
        if asyncio.get_running_loop().time() < self._fresh_until:
            return
        if self._has_unread():
            return
        self.force_close()

    def _has_unread(self) -> bool:
        """Whether bytes wait that a busy event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        sock = self.transport.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def pause_writing(self) -> None:
        """The caller has not read what was written."""
        super().pause_writing()
        self._start(self._cfg.write_stall_s, self._reader_stalled)

    def resume_writing(self) -> None:
        """The caller reads on."""
        self._stop()
        super().resume_writing()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that is not readable as HTTP."""
        if not isinstance(exc, http_exceptions.HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._counts.malformed += 1
        self._stop()
        reason = const.Reason.BAD_REQUEST
        if isinstance(exc, http_exceptions.LineTooLong):
            reason = const.Reason.HEADER_TOO_LARGE
        resp = _problem(reason, "the request is not readable").response()
        resp.force_close()
        return resp

    def _start(self, seconds: float, late: Any) -> None:
        self._stop()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, late)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _header_late(self) -> None:
        self._timer = None
        self._counts.timed_out += 1
        if self.transport is not None:
            self.transport.write(_late_answer())
        self.force_close()

    def _reader_stalled(self) -> None:
        self._timer = None
        self._counts.timed_out += 1
        if self.transport is not None:
            self.transport.abort()


def end_idle(server: web.Server) -> None:
    """Closes the connections of a server that wait for a request.

    The others end with their answers, which a server that shuts down marks as
    the last ones.
    """
    for conn in server.connections:
        if isinstance(conn, CallerConnection):
            conn.end_if_idle()


def _problem(reason: const.Reason, detail: str) -> problem.Problem:
    request_id = uuid.uuid4().hex
    return problem.Problem(reason, problem.NotRun.TRUE, request_id, detail)


def _late_answer() -> bytes:
    """Returns an answer outside of any request that aiohttp has begun."""
    found = _problem(const.Reason.TIMEOUT, "the header took too long")
    body = json.dumps(found.body()).encode()
    head = (
        "HTTP/1.1 408 Request Timeout\r\n"
        f"Content-Type: {const.PROBLEM_CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
