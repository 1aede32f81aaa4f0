"""Memory of large request bodies."""

import mmap


class LargeBody:
    """Memory of a body that grows while the body is read.

    The memory is mapped, so that it returns to the system when it is freed and
    is not copied when it grows. It is private: shared memory can't grow, and
    the process would get SIGBUS. Nothing outside refers to the memory itself,
    so closing it always frees it.
    """

    def __init__(self, size: int) -> None:
        self._map = mmap.mmap(
            -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        self.size = 0

    def __len__(self) -> int:
        """Returns the bytes that were appended."""
        return self.size

    def __getitem__(self, part: slice) -> bytes:
        """Returns a copy of a part of the bytes that were appended."""
        start, end, _ = part.indices(self.size)
        return self._map[start:end]

    def append(self, data: bytes) -> None:
        """Appends bytes; there must be room for them."""
        end = self.size + len(data)
        self._map[self.size : end] = data
        self.size = end

    def resize(self, size: int) -> None:
        """Changes the room."""
        self._map.resize(size)

    def close(self) -> None:
        """Frees the memory."""
        self._map.close()
