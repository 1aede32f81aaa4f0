"""A time limit that a busy event loop does not use up by itself.

Load pattern: a router has more to do than its processor can, and each pass of
its event loop takes longer than the limit. A timer of the loop is then due
together with the event that it waits for, and would win against it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

PASSES = 10
"""Passes of the event loop that must fit into a limit; opening a connection
takes four."""


@contextlib.asynccontextmanager
async def async_limit(seconds: float) -> AsyncIterator[None]:
    """Ends what runs inside after some time, and so many passes of the loop.

    Raises:
        TimeoutError: The limit is over.
    """
    async with asyncio.timeout(None) as limit:
        steps = _Steps(limit, seconds / PASSES)
        try:
            yield
        finally:
            steps.cancel()


class _Steps:
    """Timers one after the other, the last of which ends a limit."""

    def __init__(self, limit: asyncio.Timeout, step_s: float) -> None:
        self._limit = limit
        self._step_s = step_s
        self._left = PASSES
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(step_s, self._on_timer)

    def cancel(self) -> None:
        """Stops the timer that is due next."""
        self._timer.cancel()

    def _on_timer(self) -> None:
        self._left -= 1
        if self._left > 0:
            self._timer = self._loop.call_later(self._step_s, self._on_timer)
        else:
            self._limit.reschedule(self._loop.time())
