"""Timeouts in an overloaded event loop."""

import asyncio
import time

import pytest

from tamarackbridge.helpers import loop_limit
from tests import virtual_loop

LIMIT_S = 0.02


def test_limit_cancels_a_wait() -> None:
    async def _async_wait() -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(TimeoutError):
            async with loop_limit.async_limit(LIMIT_S):
                await asyncio.Event().wait()
        return loop.time() - began

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(_async_wait()) == pytest.approx(LIMIT_S)


async def test_limit_does_not_cancel_before_the_event_is_handled() -> None:
    found = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with loop_limit.async_limit(LIMIT_S):
        loop.call_soon(time.sleep, 2 * LIMIT_S)
        loop.call_soon(loop.call_soon, found.set)
        await found.wait()


async def test_limit_has_no_effect_after_its_body() -> None:
    async with loop_limit.async_limit(LIMIT_S):
        pass
    await asyncio.sleep(2 * LIMIT_S)


async def test_busy_loop_extends_a_limit_by_a_few_iterations_only() -> None:
    """Guards against long waits of a lagging router for a dead server."""
    loop = asyncio.get_running_loop()
    iterations = 0

    def busy() -> None:
        nonlocal iterations
        iterations += 1
        time.sleep(LIMIT_S)
        handles[0] = loop.call_soon(busy)

    handles = [loop.call_soon(busy)]
    with pytest.raises(TimeoutError):
        async with loop_limit.async_limit(LIMIT_S):
            await asyncio.Event().wait()
    handles[0].cancel()
    assert iterations <= loop_limit.GRACE_ITERATIONS + 4
