"""Lines of an engine's answer, as many at a time as have arrived."""

from collections.abc import AsyncIterator
from typing import Protocol

from tamarackbridge.components.backend import exceptions

END = b"\n"
MAX_LINE_BYTES = 1024 * 1024


class Content(Protocol):
    """The body of an answer."""

    async def readany(self) -> bytes:
        """Returns what has arrived; empty at the end."""
        ...


async def async_batches(content: Content) -> AsyncIterator[bytes]:
    """Yields the whole lines that have arrived, joined.

    A line that was cut at the answer's end is not yielded.

    Raises:
        BackendError: A line is longer than `MAX_LINE_BYTES`.
    """
    rest = b""
    while data := await content.readany():
        data = rest + data
        cut = data.rfind(END)
        if cut < 0:
            rest = data
        else:
            rest = data[cut + len(END) :]
            yield data[: cut + len(END)]
        if len(rest) > MAX_LINE_BYTES:
            raise exceptions.BackendError("a line is too long")
