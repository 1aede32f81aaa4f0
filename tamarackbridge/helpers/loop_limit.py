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
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        left = PASSES

        def _step() -> None:
            nonlocal left, handle
            left -= 1
            if left > 0:
                handle = loop.call_later(seconds / PASSES, _step)
            else:
                limit.reschedule(loop.time())

        handle = loop.call_later(seconds / PASSES, _step)
        try:
            yield
        finally:
            handle.cancel()
