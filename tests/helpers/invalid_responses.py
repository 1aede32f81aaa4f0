"""Invalid and second responses for the tests of all HTTP clients."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

_INTERIM = b"HTTP/1.1 %b X\r\n\r\n"
CASES = [
    "000",
    "099",
    "600",
    "100-alone",
    "102-before",
    "101",
    "101-upgrade",
    "204-body",
    "204-length",
    "304-length",
]
SECOND = ["second", "second-600", "second-closing"]
"""Cases of a valid response that is followed by another."""


def make(case: str, body: bytes, fields: bytes = b"") -> bytes:
    """Returns the bytes of an invalid response, or of two responses.

    Args:
        case: One of `CASES` or `SECOND`.
        body: Body that a client would accept in a valid response.
        fields: Header fields that a client would accept, with line ends.
    """

    def head(status: str, framing: bytes) -> bytes:
        line = f"HTTP/1.1 {status} X\r\n".encode()
        return line + fields + framing + b"\r\n"

    length = b"Content-Length: %d\r\n" % len(body)
    whole = head("200", length) + body
    status, _, kind = case.partition("-")
    match status, kind:
        case _, "alone":
            return _INTERIM % status.encode()
        case _, "before":
            return _INTERIM % status.encode() + whole
        case _, "upgrade":
            return head(status, b"Connection: Upgrade\r\nUpgrade: x\r\n") + body
        case _, "body":
            return head(status, b"") + body
        case "second", "":
            return whole + whole.replace(b"200", b"503", 1)
        case "second", "closing":
            return head("200", length + b"Connection: close\r\n") + body + whole
        case "second", _:
            return whole + head(kind, length) + body
    return head(status, length) + body


@contextlib.asynccontextmanager
async def async_serve(data: bytes) -> AsyncIterator[str]:
    """Yields the address of a server that sends these bytes and closes."""

    async def async_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()

    listener = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    async with listener:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
