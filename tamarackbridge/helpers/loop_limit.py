"""A time limit that a busy event loop does not use up by itself.

Load pattern: a router has more to do than its processor can, and each pass of
its event loop takes longer than the limit. A timer of the loop is then due
together with the event that it waits for, and would win against it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

PASSES = 6
"""Passes of the event loop that follow a limit; opening a connection takes
four."""


@contextlib.asynccontextmanager
async def async_limit(seconds: float) -> AsyncIterator[None]:
    """Ends what runs inside after some time, and so many passes of the loop.

    Raises:
        TimeoutError: The limit is over.
    """
    async with asyncio.timeout(None) as limit:
        passes = _Passes(limit, seconds)
        try:
            yield
        finally:
            passes.cancel()


class _Passes:
    """Ends a limit some passes of the loop after its time."""

    def __init__(self, limit: asyncio.Timeout, seconds: float) -> None:
        self._limit = limit
        self._left = PASSES
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle
        self._handle = self._loop.call_later(seconds, self._pass)

    def cancel(self) -> None:
        """Stops what is called next."""
        self._handle.cancel()

    def _pass(self) -> None:
        self._left -= 1
        if self._left > 0:
            self._handle = self._loop.call_soon(self._pass)
        else:
            self._limit.reschedule(self._loop.time())
