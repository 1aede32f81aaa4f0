"""Connections of callers, with bounds on what is read ahead.

Load pattern: clients that open many connections, send heads without end, or
pipeline requests without reading the responses. Each connection may hold only
a few reads that its handler has not taken.
"""

import asyncio
import dataclasses
from typing import Any

from aiohttp import http_parser, web

from tamarackbridge.components.entry import connection
from tamarackbridge.components.gateway import memory_account

READ_BYTES = 16_384
"""Maximum size of one read: an ordinary request fits into it."""

BUFFER_BYTES = 8_192
"""Half of the unread bytes of a body at which a connection is not read."""

MAX_QUEUED_REQUESTS = 1
"""Requests that are parsed while an earlier one is in progress. A parsed one
takes many times the bytes of a short request. Callers of the platform don't
pipeline; for others the next request is ready when the last one has ended."""

HEAD_FACTOR = 4
"""Largest head, as a multiple of `max_header_bytes`, which applies to each of
its lines."""

REFUSED_S = 0.5
"""Time for which a refused connection is read and what it sends is dropped.
Closing it with unread bytes would reset it, and the response could be lost."""

_NO_MEMORY = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


@dataclasses.dataclass(slots=True)
class HeadMemory:
    """Memory of the incomplete heads of one listener's connections.

    Attributes:
        max_bytes: Bytes that long heads may take together.
        used: Bytes of incomplete heads.
        refused: Heads that were refused.
    """

    max_bytes: int
    used: int = 0
    refused: int = 0


class GatewayConnection(connection.CallerConnection):
    """A connection that reads little ahead of its handler.

    Args:
        limits: Limits of the connection.
        heads: Memory of incomplete heads, shared by all connections.
        account: Account of the memory of all connections.
    """

    def __init__(
        self,
        server: web.Server,
        limits: connection.CallerLimits,
        heads: HeadMemory,
        account: memory_account.MemoryAccount,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        kwargs["read_buffer_bytes"] = BUFFER_BYTES
        super().__init__(server, limits, *args, **kwargs)
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._heads = heads
        self._account = account
        self._entry = memory_account.Entry(
            "", self._may_close, self._close_for_others
        )
        self._request_head_bytes = 0
        self._max_line_bytes = limits.max_header_bytes
        self._parser = self._new_parser()
        self._head_bytes = 0
        self._body: Any = None
        self._is_refused = False

    def _new_parser(self) -> http_parser.HttpRequestParser:
        """Returns a parser that stops after `MAX_QUEUED_REQUESTS`.

        The library's own one parses up to 32 requests, which one read may hold.
        """
        return http_parser.HttpRequestParser(
            self,
            self._loop,
            BUFFER_BYTES,
            max_line_size=self._max_line_bytes,
            max_field_size=self._max_line_bytes,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the size of one read."""
        if hasattr(transport, "max_size"):  # A TLS transport has none.
            transport.max_size = READ_BYTES
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self._entry.address = peer[0] if isinstance(peer, tuple) else ""
        if not self._account.open(self._entry, self._loop.time()):
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the charge of the connection."""
        self._set_head_bytes(0)
        self._account.close(self._entry)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Processes bytes; refuses a head that exceeds its limits."""
        if self._is_refused:
            return
        requests = self._request_count
        is_head = self._body is None or self._body.is_eof()
        if is_head and data and not self._in_request:
            needed = memory_account.REQUEST_BYTES
            needed += memory_account.HEAD_COPIES * len(data)
            if not self.has_room(needed):
                self._refuse(_NO_MEMORY)
                return
        super().data_received(data)
        if self._request_count != requests:
            if self._messages:
                self._body = self._messages[-1][1]
                self._request_head_bytes = max(
                    self._head_bytes + len(data) - self._body.total_bytes, 0
                )
            if self._head_bytes:
                self._set_head_bytes(0)
        elif is_head:
            self._set_head_bytes(self._head_bytes + len(data))
            self._check_head()
        self._charge()

    def end_request(self) -> None:
        """Ends the charge of the request."""
        super().end_request()
        self._charge()

    def has_room(self, extra: int = 0) -> bool:
        """Returns whether there is memory for what the connection needs.

        Args:
            extra: Bytes that it needs beyond those that it holds.
        """
        return self._account.has_room(self._entry, extra, self._loop.time())

    def _charge(self) -> None:
        """Charges the connection with what it holds now."""
        if self.transport is None or not self._entry.held:
            return
        held = memory_account.CONNECTION_BYTES + self._head_bytes
        if self._in_request or self._messages:
            held += memory_account.REQUEST_BYTES
            held += memory_account.HEAD_COPIES * self._request_head_bytes
        if self._body is not None and not self._body.is_eof():
            # What the parser keeps while the body is not read isn't told.
            held += 2 * READ_BYTES if self._reading_paused else READ_BYTES
        self._account.set_held(self._entry, held, self._loop.time())

    def _may_close(self) -> bool:
        """Returns whether closing loses no request that is being served."""
        if self.writing_paused:
            return True
        if self._in_request or self._messages:
            return False
        return bool(self._head_bytes) or not self._has_unread_bytes()

    def _close_for_others(self) -> None:
        if self._head_bytes:
            self._refuse(_NO_MEMORY)
        elif self.writing_paused and self.transport is not None:
            self.transport.abort()
        else:
            self.force_close()

    def _set_head_bytes(self, size: int) -> None:
        self._heads.used += size - self._head_bytes
        self._head_bytes = size

    def _check_head(self) -> None:
        size, heads = self._head_bytes, self._heads
        if size <= self._max_line_bytes:
            return
        is_too_large = size > HEAD_FACTOR * self._max_line_bytes
        if is_too_large or heads.used > heads.max_bytes:
            heads.refused += 1
            self._refuse(_HEAD_TOO_LARGE)

    def _refuse(self, answer: bytes) -> None:
        """Responds to an incomplete head, and closes the connection.

        Resets a connection whose responses are not done.
        """
        self._is_refused = True
        self._set_head_bytes(0)
        if self.transport is None:
            return
        if self._in_request or self._messages:
            self.transport.abort()
            return
        # The parser keeps the bytes of an incomplete head.
        self._parser = self._new_parser()
        self._cancel_timer()
        self.transport.write(answer)
        self._start_timer(REFUSED_S, self.force_close)
