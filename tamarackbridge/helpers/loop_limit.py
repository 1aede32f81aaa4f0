"""Timeout that a busy event loop does not cause by itself.

Load pattern: a router is overloaded, and each iteration of its event loop takes
longer than the timeout. The loop then finds the timer due in the same iteration
as the awaited event, and the timer would win.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

GRACE_ITERATIONS = 6
"""Iterations of the event loop that must follow the time limit before the
timeout; opening a connection takes four."""


@contextlib.asynccontextmanager
async def async_limit(seconds: float) -> AsyncIterator[None]:
    """Cancels its body after a time and some more iterations of the loop.

    The number of iterations is `GRACE_ITERATIONS`.

    Raises:
        TimeoutError: The body was cancelled.
    """
    async with asyncio.timeout(None) as limit:
        countdown = _Countdown(limit, seconds)
        try:
            yield
        finally:
            countdown.cancel()


class _Countdown:
    """Expires a timeout some iterations of the loop after its time."""

    def __init__(self, limit: asyncio.Timeout, seconds: float) -> None:
        self._limit = limit
        self._iterations_left = GRACE_ITERATIONS
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle
        self._handle = self._loop.call_later(seconds, self._count_iteration)

    def cancel(self) -> None:
        """Cancels the next scheduled call."""
        self._handle.cancel()

    def _count_iteration(self) -> None:
        self._iterations_left -= 1
        if self._iterations_left > 0:
            self._handle = self._loop.call_soon(self._count_iteration)
        else:
            self._limit.reschedule(self._loop.time())
