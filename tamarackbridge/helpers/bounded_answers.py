"""Ends connections on which bytes come that can't become an answer.

aiohttp's client bounds each line of a head and their number. It takes without
end what its parser skips (blanks before a value, zeros of a chunk's size, chunk
extensions), informational answers, and answers to no request.
"""

import asyncio
from collections.abc import Mapping
import functools
from typing import Any, Final

import aiohttp
from aiohttp import client_proto, streams

MAX_LINE_BYTES: Final = 8190
"""Longest status line and longest header field; the library's default, which
is what callers may send as well."""

MAX_HEADERS: Final = 128
"""Most header fields and trailer fields of an answer together; the library's
default, several times what a server sends."""

LIMITS: Final[Mapping[str, Any]] = {
    "max_line_size": MAX_LINE_BYTES,
    "max_field_size": MAX_LINE_BYTES,
    "max_headers": MAX_HEADERS,
}
"""Arguments of a client session."""

MAX_FRAMING_BYTES: Final = 64 * 1024
"""What an answer may have beside its body, beyond as much as its body has:
eight of the longest lines, where a whole head takes one or two KB and a chunk
less than it carries."""


UNCOUNTED_BYTES: Final = 64 * 1024
"""What each answer may hold whatever others hold: more than most answers, and
96 MB for the 1,500 requests that a router holds at most."""


class EndlessError(aiohttp.ClientPayloadError):
    """Bytes came that can't become an answer."""


class BoundedProtocol(client_proto.ResponseHandler):
    """A client's connection that ends itself when no answer can come of it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._received = 0
        self._body: streams.StreamReader | None = None
        self._surplus = False

    def set_response_params(self, **params: Any) -> None:
        """Begins with a request."""
        self._received = 0
        self._body = None
        self._surplus = False
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes the head of an answer that the parser has read."""
        message, body = data
        if self._body is not None:
            self._surplus = True
            return
        if message.code >= 200:
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Takes bytes, unless too many came that were no answer's."""
        if data and self._body is not None and self._body.is_eof():
            self._give_up("bytes after a whole answer")
            return
        self._received += len(data)
        super().data_received(data)
        if self._surplus:
            self._give_up("an answer to no request")
            return
        if self._reading_paused or self.transport is None:
            return  # What the parser holds back may be of the body.
        body_bytes = self._body.total_bytes if self._body else 0
        if self._received - 2 * body_bytes > MAX_FRAMING_BYTES:
            what = "an answer" if self._body else "an answer's head"
            self._give_up(f"{self._received} bytes are not {what}")

    def _give_up(self, reason: str) -> None:
        body = self._body
        exc = EndlessError(reason)
        self.abort()
        self.set_exception(exc)
        if body is not None and not body.is_eof():
            body.set_exception(exc)


class Room:
    """Memory that large answers share while they are read.

    Attributes:
        left: Bytes that may still be taken.
    """

    def __init__(self, max_bytes: int) -> None:
        self.left = max_bytes

    def resize(self, taken: int, size: int) -> int:
        """Takes or gives back room for an answer; returns what it has now.

        Raises:
            EndlessError: There is no room for it.
        """
        wanted = max(size - UNCOUNTED_BYTES, 0)
        if wanted - taken > self.left:
            raise EndlessError(f"no room for an answer of {size} bytes")
        self.left -= wanted - taken
        return wanted


async def async_read(
    resp: aiohttp.ClientResponse, max_bytes: int, room: Room | None = None
) -> bytes:
    """Returns a whole body; the caller leaves the answer after an error.

    Args:
        resp: The answer.
        max_bytes: Largest body that is taken.
        room: What it shares with other answers until it is whole.

    Raises:
        EndlessError: It is larger, or there is no room for it.
        ClientError: It did not come whole.
    """
    if room is None:
        room = Room(max_bytes)
    parts: list[bytes] = []
    size = taken = 0
    try:
        async for part in resp.content.iter_any():
            size += len(part)
            if size > max_bytes:
                raise EndlessError(f"the answer is over {max_bytes} bytes")
            taken = room.resize(taken, size)
            parts.append(part)
        return b"".join(parts)
    finally:
        room.resize(taken, 0)


def bind(
    connector: aiohttp.BaseConnector,
    kind: type[BoundedProtocol] = BoundedProtocol,
) -> None:
    """Makes all connections of a connector bounded ones."""
    loop = asyncio.get_running_loop()
    factory: Any = functools.partial(kind, loop=loop)
    unknown: Any = connector
    unknown._factory = factory
