"""Test of the end of a process whose service crashed."""

import asyncio

import mode

from tamarackbridge import core, crash_watch


class _Failing(core.Service):
    @mode.Service.task
    async def _async_run(self) -> None:
        raise ValueError("broken decider")


async def test_a_crashed_service_is_reported() -> None:
    told = asyncio.Event()
    failing = _Failing()
    watch = crash_watch.CrashWatch([failing], told.set, interval_s=0.01)
    await failing.start()
    await watch.start()

    async with asyncio.timeout(10.0):
        await told.wait()

    await watch.stop()
    await failing.stop()
