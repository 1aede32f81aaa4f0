"""The watchdog that ends a process after a crash of a service."""

import asyncio

import mode

from tamarackbridge import core, crash_watch


class _Failing(core.Service):
    @mode.Service.task
    async def _async_run(self) -> None:
        raise ValueError("broken decider")


async def test_crashed_service_is_reported() -> None:
    reported = asyncio.Event()
    failing = _Failing()
    watch = crash_watch.CrashWatch([failing], reported.set, interval_s=0.01)
    await failing.start()
    await watch.start()

    async with asyncio.timeout(10.0):
        await reported.wait()

    await watch.stop()
    await failing.stop()
