"""Limits on the bytes that aiohttp's client accepts for a response.

aiohttp limits the length of each header line and the number of lines. It
accepts without limit what its parser skips (blanks before a value, leading
zeros of a chunk's size, chunk extensions), informational responses, and
responses to no request. Connections with such a flood are closed here, and so
are those with a response that `response_rules` rejects.
"""

import asyncio
from collections.abc import Mapping
import functools
from typing import Any, Final

import aiohttp
from aiohttp import client_proto, http_exceptions, streams

from tamarackbridge.helpers import (
    resets,
    response_memory,
    response_rules,
)

MAX_LINE_BYTES: Final = 8190
"""Longest status line and longest header field; the library's default, which
also applies to requests of clients."""

MAX_HEADERS: Final = 128
"""Largest number of header and trailer fields of a response together; the
library's default, several times what a server sends."""

LIMITS: Final[Mapping[str, Any]] = {
    "max_line_size": MAX_LINE_BYTES,
    "max_field_size": MAX_LINE_BYTES,
    "max_headers": MAX_HEADERS,
}
"""Keyword arguments of a client session that apply these limits."""

MAX_FRAMING_BYTES: Final = 64 * 1024
"""Bytes that a response may have in addition to twice its body: eight lines of
the largest length. A head usually takes one or two KB, and the framing of a
chunk less than the chunk carries."""


RECEIVE_BYTES: Final = 16 * 1024
"""Maximum size of one read from a connection. All connections with data are
read in one run of the event loop, before any of it is passed on."""

_HEAD_END: Final = b"\r\n\r\n"


class BoundedProtocol(client_proto.ResponseHandler):
    """A client connection that closes when it gets too many bytes.

    Attributes:
        failure: Why the body of the response is not complete, although the
            connection may have been closed in good order; None if there is no
            such reason.
        is_chunked: Whether the parser reads the response in chunks. What it
            accepts as such can't be told from the decoded headers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.failure: BaseException | None = None
        self.is_chunked = False
        self._received = 0
        self._body: streams.StreamReader | None = None
        self._heads: list[tuple[Any, int]] = []
        self._parsed_body: Any = None
        self._status = 0
        self._begin = b""
        self._violation = ""
        self._is_unrequested = False
        self._is_closed_by_server = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the size of one read."""
        if hasattr(transport, "max_size"):  # A TLS transport has none.
            transport.max_size = RECEIVE_BYTES
        super().connection_made(transport)

    def eof_received(self) -> None:
        """Records that the server closed the connection in good order.

        If it had not received the whole request by then, nothing tells whether
        it meant its response to end there.
        """
        self._is_closed_by_server = True
        transport = self.transport
        is_sending = transport is not None and resets.has_unsent(transport)
        if self._is_within_body and is_sending:
            self.failure = ConnectionAbortedError("closed during the upload")
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records the error, or that this side closed it, within a body."""
        if self.failure is None and self._is_within_body:
            self.failure = exc
            if exc is None and not self._is_closed_by_server:
                self.failure = ConnectionAbortedError("closed by this side")
        super().connection_lost(exc)

    @property
    def _is_within_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    @property
    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def set_response_params(self, **params: Any) -> None:
        """Resets the state for the next request."""
        self._received = 0
        self._body = None
        self._heads = []
        self._begin = b""
        self._violation = ""
        self._is_unrequested = False
        super().set_response_params(**params)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Names the status of a response that the parser rejects.

        Bytes that it rejects after a complete response don't affect it, unless
        they are the body of a response that must not have one.
        """
        if isinstance(exc, http_exceptions.HttpProcessingError):
            if (
                self._is_complete
                and self._status not in response_rules.BODILESS
            ):
                self._is_unrequested = True
                return
            line = self._begin.decode("ascii", "backslashreplace").strip()
            exc = response_rules.InvalidResponseError(
                f"can't parse the response that begins with {line!r}: "
                f"{exc.message}"
            )
            self.failure = exc
            if self._heads:
                self._violation = str(exc)
        super().set_exception(exc, *cause)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Checks a response head from the parser and keeps it.

        It is passed on after all bytes of the same read have been parsed, so
        that what follows an invalid response can't be overtaken by its head.
        A second response belongs to no request and is dropped.
        """
        message, body = data
        status = message.code
        if self._violation:
            return
        if self._body is not None:
            self._is_unrequested = True
            return
        self._violation = response_rules.head_violation(status, message.headers)
        if response_rules.is_final(status):
            self._body, self._status = body, status
            self._parsed_body = self._payload
            self.is_chunked = message.chunked
        self._heads.append((data, size))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection on an excess."""
        if data and self._is_complete:
            self._close(self._excess_error())
            return
        self._received += len(data)
        missing = response_rules.STATUS_LINE_BYTES - len(self._begin)
        if missing > 0:
            self._begin += data[:missing]
        self._parse(data)
        heads, self._heads = self._heads, []
        if not self._violation and self._has_forbidden_body():
            self._violation = f"status {self._status:03} with a body"
        if self._violation:
            self._fail(response_rules.InvalidResponseError(self._violation))
            return
        for head, size in heads:
            super().feed_data(head, size)
        if self._is_unrequested:
            self._close(self._excess_error())
            return
        if self._reading_paused or self.transport is None:
            return  # Bytes that the parser still holds may belong to the body.
        body_bytes = self._body.total_bytes if self._body else 0
        if self._received - 2 * body_bytes > MAX_FRAMING_BYTES:
            part = "response" if self._body else "response head"
            self._fail(
                response_memory.ResponseLimitError(
                    f"received {self._received} bytes without a whole {part}"
                )
            )

    def _parse(self, data: bytes) -> None:
        """Parses received bytes, each head apart from what follows it.

        The parser returns no head from a call in which it rejects a byte, so a
        complete response would be lost with the bytes after it.
        """
        while self._body is None and self.exception() is None:
            end = data.find(_HEAD_END) + len(_HEAD_END)
            if end < len(_HEAD_END) or end == len(data):
                break
            super().data_received(data[:end])
            if self._violation:
                return
            data = data[end:]
        super().data_received(data)

    def _has_forbidden_body(self) -> bool:
        """Returns whether the parser has read a body that must not be one.

        It hands on an empty body in its place.
        """
        parsed = self._parsed_body
        is_empty = self._body is streams.EMPTY_PAYLOAD
        return is_empty and parsed is not None and parsed.total_bytes > 0

    def _excess_error(self) -> response_memory.ResponseLimitError:
        return response_memory.ResponseLimitError(
            "received bytes after the end of the response with status "
            f"{self._status:03}"
        )

    def _close(self, exc: aiohttp.ClientPayloadError) -> None:
        """Closes the connection; a complete response remains valid."""
        self.abort()
        self.set_exception(exc)

    def _fail(self, exc: aiohttp.ClientPayloadError) -> None:
        """Closes the connection and makes its response invalid."""
        body = self._body
        self.failure = exc
        self._close(exc)
        if body is not None and not body.is_eof():
            body.set_exception(exc)


def is_held_by_callers(exc: BaseException) -> bool:
    """Returns whether slow callers caused an error of a request."""
    cause = exc.__cause__
    return (
        isinstance(cause, response_memory.NoRoomError)
        and cause.is_held_by_callers
    )


def is_malformed(exc: BaseException) -> bool:
    """Returns whether a response was rejected by this side."""
    return isinstance(
        exc.__cause__,
        aiohttp.ClientResponseError
        | response_memory.ResponseLimitError
        | response_rules.InvalidResponseError,
    )


async def async_read(
    resp: aiohttp.ClientResponse,
    max_bytes: int,
    room: response_memory.MemoryBudget | None = None,
) -> bytes:
    """Reads the whole body of a response.

    After an error, the caller must close the response.

    Args:
        resp: The response.
        max_bytes: Largest body that is accepted.
        room: Memory budget shared with other responses while they are read.

    Raises:
        ResponseLimitError: The body is larger, or the budget is exhausted.
        InvalidResponseError: The response breaks a rule after its head.
        ClientError: The body is incomplete.
    """
    if room is None:
        room = response_memory.MemoryBudget(
            (response_memory.MAX_PART_OF_LEFT + 1) * max_bytes
        )
    with room.reserve() as reservation:
        return await async_read_reserved(resp, max_bytes, reservation)


async def async_read_reserved(
    resp: aiohttp.ClientResponse,
    max_bytes: int,
    reservation: response_memory.Reservation,
) -> bytes:
    """Reads the whole body of a response; it stays reserved.

    After an error, the caller must close the response.

    Args:
        resp: The response.
        max_bytes: Largest body that is accepted.
        reservation: Grows with the body.

    Raises:
        ResponseLimitError: The body is larger, or the budget is exhausted.
        InvalidResponseError: The response breaks a rule after its head.
        ClientError: The body is incomplete.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise response_memory.ResponseLimitError(
                f"response body is larger than {max_bytes} bytes"
            )
        reservation.resize(size)
        chunks.append(chunk)
    check_valid(resp)
    return b"".join(chunks)


def check_valid(resp: aiohttp.ClientResponse) -> None:
    """Checks what followed the body of a response, once it was read.

    Raises:
        InvalidResponseError: The response breaks a rule after its head.
    """
    proto = _protocol(resp)
    failure = None if proto is None else proto.failure
    if isinstance(failure, response_rules.InvalidResponseError):
        raise failure


def is_chunked(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a final chunk marks the end of a response."""
    proto = _protocol(resp)
    return proto is not None and proto.is_chunked


def ended_by_reset(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether the body of a response ended without being complete.

    That is by an error, by this side, or in good order before the server had
    the whole request. A response with neither a length nor chunks can
    otherwise look complete.
    """
    proto = _protocol(resp)
    return proto is not None and proto.failure is not None


def _protocol(resp: aiohttp.ClientResponse) -> BoundedProtocol | None:
    untyped: Any = resp  # The attribute is private to aiohttp.
    proto = untyped._protocol
    return proto if isinstance(proto, BoundedProtocol) else None


def bind(
    connector: aiohttp.BaseConnector,
    kind: type[BoundedProtocol] = BoundedProtocol,
) -> None:
    """Makes a connector create connections with these limits."""
    loop = asyncio.get_running_loop()
    factory: Any = functools.partial(kind, loop=loop)
    untyped: Any = connector  # The attribute is private to aiohttp.
    untyped._factory = factory
