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
        heads: Memory of incomplete heads, shared by all connections.
        limits: Limits of the connection.
    """

    def __init__(
        self,
        server: web.Server,
        limits: connection.CallerLimits,
        heads: HeadMemory,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        kwargs["read_buffer_bytes"] = BUFFER_BYTES
        super().__init__(server, limits, *args, **kwargs)
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        # The library's own parser does not stop before it has parsed 32
        # requests, which one read may hold.
        self._parser = http_parser.HttpRequestParser(
            self,
            asyncio.get_running_loop(),
            BUFFER_BYTES,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self._heads = heads
        self._max_line_bytes = limits.max_header_bytes
        self._head_bytes = 0
        self._body: Any = None
        self._is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the size of one read."""
        if hasattr(transport, "max_size"):  # A TLS transport has none.
            transport.max_size = READ_BYTES
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Frees the memory of an incomplete head."""
        self._set_head_bytes(0)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Processes bytes; refuses a head that exceeds its limits."""
        if self._is_refused:
            return
        requests = self._request_count
        is_head = self._body is None or self._body.is_eof()
        super().data_received(data)
        if self._request_count != requests:
            if self._messages:
                self._body = self._messages[-1][1]
            if self._head_bytes:
                self._set_head_bytes(0)
        elif is_head:
            self._set_head_bytes(self._head_bytes + len(data))
            self._check_head()

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
            self._refuse()

    def _refuse(self) -> None:
        """Responds 431; resets a connection whose responses are not done."""
        self._is_refused = True
        self._set_head_bytes(0)
        if self.transport is None:
            return
        if self._in_request or self._messages:
            self.transport.abort()
            return
        self._cancel_timer()
        self.transport.write(_HEAD_TOO_LARGE)
        self._start_timer(REFUSED_S, self.force_close)
