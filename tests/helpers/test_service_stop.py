"""Services are stopped within a time limit."""

import asyncio

from tamarackbridge import core
from tamarackbridge.helpers import service_stop

TIMEOUT_S = 10.0


class _Service(core.Service):
    """Records that it begins to stop; may take for ever, also if cancelled."""

    def __init__(self, stopping: list[str], name: str, hangs: int = 0) -> None:
        super().__init__()
        self._stopping = stopping
        self._name = name
        self._hangs = hangs

    async def on_stop(self) -> None:
        self._stopping.append(self._name)
        for _ in range(self._hangs):
            try:
                await asyncio.sleep(2 * TIMEOUT_S)
            except asyncio.CancelledError:
                continue


async def test_services_that_hang_do_not_outlast_the_limit() -> None:
    """Guards against a router that is killed as its services don't stop.

    Only the first one that hung had a limit.
    """
    stopping: list[str] = []
    services = [
        _Service(stopping, "first"),
        _Service(stopping, "second", hangs=1),
        _Service(stopping, "third", hangs=2),
    ]
    for svc in services:
        await svc.start()
    async with asyncio.timeout(TIMEOUT_S):
        await service_stop.async_stop(services, 0.05)
    assert stopping == ["third", "second", "first"]


async def test_services_stop_in_reverse_order() -> None:
    stopping: list[str] = []
    services = [_Service(stopping, "first"), _Service(stopping, "second")]
    for svc in services:
        await svc.start()
    await service_stop.async_stop(services, TIMEOUT_S)
    assert stopping == ["second", "first"]
