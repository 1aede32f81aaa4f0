"""Body of a request, which ends when its memory is released.

Load pattern: large bodies come and go faster than everything that has referred
to them is dropped: queues, timers, futures, tracebacks. Such a reference must
not keep megabytes that the memory budget has given to other bodies.
"""

from collections.abc import Iterator

from tamarackbridge.components.gateway import exceptions, large_body

PIECE_BYTES = 65_536
"""Size of one piece of a large body: a transport copies what its socket does
not take at once."""


class RequestBody:
    """Complete body of one request.

    The bytes exist until `release`, whoever still refers to the body.

    Args:
        data: The bytes; a body above the size of a small one has its own
            memory.
    """

    def __init__(self, data: bytes | large_body.LargeBody = b"") -> None:
        self._data: bytes | large_body.LargeBody | None = data
        self._size = len(data)

    def __len__(self) -> int:
        """Returns the size in bytes, also after the release."""
        return self._size

    @property
    def is_large(self) -> bool:
        """Whether the body has memory of its own, and is sent in pieces."""
        return isinstance(self._data, large_body.LargeBody)

    def read(self) -> bytes:
        """Returns the body; a large one is copied.

        Raises:
            BodyReleasedError: The body has been released.
        """
        return self._data_until_release()[:]

    def pieces(self) -> Iterator[bytes]:
        """Yields the body in pieces of `PIECE_BYTES` at most.

        Each piece is a copy, so that the body can be released in between.

        Raises:
            BodyReleasedError: The body has been released.
        """
        for start in range(0, self._size, PIECE_BYTES):
            end = min(start + PIECE_BYTES, self._size)
            yield self._data_until_release()[start:end]

    def _data_until_release(self) -> bytes | large_body.LargeBody:
        if self._data is None:
            raise exceptions.BodyReleasedError("the request has ended")
        return self._data

    def release(self) -> None:
        """Frees the memory."""
        if isinstance(self._data, large_body.LargeBody):
            self._data.close()
        self._data = None


EMPTY = RequestBody()
"""Body of a request without one."""
