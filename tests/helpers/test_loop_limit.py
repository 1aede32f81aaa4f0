"""Time limits in a loop that has more to do than it can."""

import asyncio
import time

import pytest

from tamarackbridge.helpers import loop_limit
from tests import virtual_loop

LIMIT_S = 0.02


def test_limit_ends_what_is_silent() -> None:
    async def _async_wait() -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(TimeoutError):
            async with loop_limit.async_limit(LIMIT_S):
                await asyncio.Event().wait()
        return loop.time() - began

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(_async_wait()) == pytest.approx(LIMIT_S)


async def test_limit_does_not_end_what_the_loop_has_not_looked_at() -> None:
    found = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with loop_limit.async_limit(LIMIT_S):
        loop.call_soon(time.sleep, 2 * LIMIT_S)
        loop.call_soon(loop.call_soon, found.set)
        await found.wait()


async def test_limit_leaves_nothing_behind() -> None:
    async with loop_limit.async_limit(LIMIT_S):
        pass
    await asyncio.sleep(2 * LIMIT_S)


async def test_busy_loop_stretches_a_limit_by_a_few_passes_only() -> None:
    """A server that is dark is given up soon by a router that lags, too."""
    loop = asyncio.get_running_loop()
    passes = 0

    def busy() -> None:
        nonlocal passes
        passes += 1
        time.sleep(LIMIT_S)
        handles[0] = loop.call_soon(busy)

    handles = [loop.call_soon(busy)]
    with pytest.raises(TimeoutError):
        async with loop_limit.async_limit(LIMIT_S):
            await asyncio.Event().wait()
    handles[0].cancel()
    assert passes <= loop_limit.GRACE_ITERATIONS + 4
