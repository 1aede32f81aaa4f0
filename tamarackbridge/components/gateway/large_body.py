"""Memory of large request bodies, and their transfer to servers."""

import mmap
from typing import Any

from aiohttp import abc, payload

PIECE_BYTES = 65_536
"""Bytes that are given to a transport at once: it copies what the socket does
not take."""


class LargeBody:
    """Memory of a body that grows while the body is read.

    The memory is mapped, so that it returns to the system when it is freed and
    is not copied when it grows. It is private: shared memory can't grow, and
    the process would get SIGBUS.
    """

    def __init__(self, size: int) -> None:
        self._map = mmap.mmap(
            -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        self.size = 0

    def append(self, data: bytes) -> None:
        """Appends bytes; there must be room for them."""
        end = self.size + len(data)
        self._map[self.size : end] = data
        self.size = end

    def resize(self, size: int) -> None:
        """Changes the room."""
        self._map.resize(size)

    def view(self) -> memoryview:
        """Returns the bytes; the room can't be changed any more."""
        return memoryview(self._map)[: self.size]


class PiecewisePayload(payload.Payload):
    """A body that is written in pieces, with backpressure of the server."""

    def __init__(self, value: memoryview) -> None:
        super().__init__(value)
        self._size = value.nbytes

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Writes the body."""
        view: memoryview = self._value
        for start in range(0, view.nbytes, PIECE_BYTES):
            await writer.write(view[start : start + PIECE_BYTES])
            await writer.drain()


def to_payload(body: bytes | memoryview) -> Any:
    """Returns a body as the HTTP client takes it; None for an empty one."""
    if isinstance(body, memoryview):
        return PiecewisePayload(body)
    return body or None
