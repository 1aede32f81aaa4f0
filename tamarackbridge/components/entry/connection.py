"""HTTP connections of callers, with limits against slow or idle callers."""

import asyncio
import dataclasses
import json
import select
import socket
from typing import Any, Protocol, cast
import uuid

from aiohttp import http_exceptions, web

from tamarackbridge.components.entry import const, problem
from tamarackbridge.helpers import resets

FIRST_REQUEST_GRACE_S = 0.3
"""Seconds for which a new connection counts as about to send a request.

Covers a few round trips to the caller and one step of a busy event loop.
"""

SEND_BUFFER_BYTES = 262_144
"""Kernel memory for bytes that one caller has not received yet."""


@dataclasses.dataclass(slots=True)
class CallerCounts:
    """Counts of one listener's connections.

    Attributes:
        open: Open connections.
        refused: Connections closed because too many were open.
        timed_out: Connections closed because the caller was too slow.
        malformed: Requests that were not valid HTTP.
    """

    open: int = 0
    refused: int = 0
    timed_out: int = 0
    malformed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the connections of callers.

    Attributes:
        max_header_bytes: Largest request line and largest header field.
        max_connections: Largest number of open connections of all callers.
        header_timeout_s: Time for a caller to send a complete header.
        write_stall_s: Longest time without the caller reading its answer.
    """

    max_header_bytes: int
    max_connections: int
    header_timeout_s: float
    write_stall_s: float


class Screen(Protocol):
    """Decides whether requests are rejected before they are parsed."""

    def __call__(self, data: bytes) -> bytes | bool:
        """Screens the first bytes of a request.

        Args:
            data: The first bytes received of the request.

        Returns:
            The answer if the request is rejected; True if it is let through;
            False if it has not been screened yet.
        """
        ...


class CallerConnection(web.RequestHandler):
    """A connection that closes if its caller sends or reads too slowly.

    The header timeout runs from the first byte of a request; without an idle
    timeout, that of the first request runs from the connection's start. The
    write timeout runs from the moment at which no more of the answer can be
    written.
    """

    def __init__(
        self,
        server: web.Server,
        limits: CallerLimits,
        counts: CallerCounts,
        idle_timeout_s: float | None = None,
        screen: Screen | None = None,
        screened: bool = False,
        decodes_bodies: bool = True,
        read_buffer_bytes: int | None = None,
    ) -> None:
        options: dict[str, Any] = {"auto_decompress": decodes_bodies}
        if idle_timeout_s is not None:
            options["keepalive_timeout"] = idle_timeout_s
        if read_buffer_bytes is not None:
            options["read_bufsize"] = read_buffer_bytes
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=cast(Any, None),
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            **options,
        )
        self._may_idle_before_request = idle_timeout_s is not None
        self._limits = limits
        self._counts = counts
        self._is_counted = False
        self._in_request = False
        self._first_request_until = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._screen = screen
        self._screened = screened

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the connection, or closes it if too many are open."""
        super().connection_made(transport)
        if self._counts.open >= self._limits.max_connections:
            self._counts.refused += 1
            self.force_close()
            return
        self._is_counted = True
        self._counts.open += 1
        self._first_request_until = (
            asyncio.get_running_loop().time() + FIRST_REQUEST_GRACE_S
        )
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        if not self._may_idle_before_request:
            self._start_timer(
                self._limits.header_timeout_s, self._on_header_timeout
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timer and stops counting the connection."""
        self._cancel_timer()
        if self._is_counted:
            self._is_counted = False
            self._counts.open -= 1
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Aborts the connection if closing is to reset it.

        The TLS library closes the connection when the caller ends its data.
        """
        self._abort_if_close_resets()
        super().eof_received()

    def force_close(self) -> None:
        """Closes the connection; aborts it if closing is to reset it."""
        self._abort_if_close_resets()
        super().force_close()

    def _abort_if_close_resets(self) -> None:
        """Over TLS, a regular close would first mark the end of the data."""
        if self.transport is not None and resets.will_reset(self.transport):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Processes bytes; a request's first ones start its header timer."""
        if not self._in_request and self._timer is None:
            if self._reject_by_screen(data):
                return
            self._start_timer(
                self._limits.header_timeout_s, self._on_header_timeout
            )
        super().data_received(data)

    def _reject_by_screen(self, data: bytes) -> bool:
        """Answers a request that the screen rejects; returns whether it did."""
        if self._screen is None or self._screened or self._messages:
            return False
        decision = self._screen(data)
        if isinstance(decision, bytes):
            if self.transport is not None:
                self.transport.write(decision)
            self.force_close()
            return True
        self._screened = decision
        return False

    def consume_screened(self) -> bool:
        """Returns whether the current request was screened, and resets it."""
        screened, self._screened = self._screened, False
        return screened

    def begin_request(self) -> None:
        """Cancels the header timer: the header of a request is complete."""
        self._in_request = True
        self._first_request_until = 0.0
        self._cancel_timer()

    def end_request(self) -> None:
        """Marks the request as answered."""
        self._in_request = False

    def close_if_idle(self) -> None:
        """Closes the connection if it waits for a request.

        `close` of the base class is not used: it ends the handler of an idle
        connection but leaves the connection open, and it ignores the rest of a
        request that is being received, so that neither is ever answered. A
        connection that was just opened is not idle: its first request is
        expected.
        """
        if self._in_request or self._messages or self._timer is not None:
            return
        if asyncio.get_running_loop().time() < self._first_request_until:
            return
        if self._has_unread_bytes():
            return
        self.force_close()

    def _has_unread_bytes(self) -> bool:
        """Returns whether the socket has bytes that were not read yet.

        A busy event loop may be late to read them.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        sock = self.transport.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def pause_writing(self) -> None:
        """Starts the write timer: the caller does not read the answer."""
        super().pause_writing()
        self._start_timer(self._limits.write_stall_s, self._on_write_stall)

    def resume_writing(self) -> None:
        """Cancels the write timer: the caller reads again."""
        self._cancel_timer()
        super().resume_writing()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that is not valid HTTP."""
        if not isinstance(exc, http_exceptions.HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._counts.malformed += 1
        self._cancel_timer()
        reason = const.Reason.BAD_REQUEST
        if isinstance(exc, http_exceptions.LineTooLong):
            reason = const.Reason.HEADER_TOO_LARGE
        resp = _new_problem(reason, "the request is not readable").response()
        resp.force_close()
        return resp

    def _start_timer(self, seconds: float, on_timeout: Any) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_header_timeout(self) -> None:
        self._timer = None
        self._counts.timed_out += 1
        if self.transport is not None:
            self.transport.write(_header_timeout_answer())
        self.force_close()

    def _on_write_stall(self) -> None:
        self._timer = None
        self._counts.timed_out += 1
        if self.transport is not None:
            self.transport.abort()


def close_idle_connections(server: web.Server) -> None:
    """Closes the connections of a server that wait for a request.

    The others close after their answers, which a server that shuts down marks
    as the last ones of their connections.
    """
    for conn in server.connections:
        if isinstance(conn, CallerConnection):
            conn.close_if_idle()


def _new_problem(reason: const.Reason, detail: str) -> problem.Problem:
    request_id = uuid.uuid4().hex
    return problem.Problem(reason, problem.NotRun.TRUE, request_id, detail)


def _header_timeout_answer() -> bytes:
    """Returns a raw answer: aiohttp has no request object for it yet."""
    timeout_problem = _new_problem(
        const.Reason.TIMEOUT, "the header took too long"
    )
    body = json.dumps(timeout_problem.body()).encode()
    head = (
        "HTTP/1.1 408 Request Timeout\r\n"
        f"Content-Type: {const.PROBLEM_CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
