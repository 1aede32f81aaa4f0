"""Tasks that must last as long as their service."""

import asyncio
from typing import Any

import pytest

from tamarackbridge import background_task, core
from tamarackbridge.components.gateway import event_loop_lag
from tamarackbridge.components.telemetry import events
from tests import virtual_loop


def test_failed_task_is_run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a task that ends for good without a line in the log."""
    written: list[Any] = []
    monkeypatch.setattr(events, "write", written.append)
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs < 4:
            raise ValueError("odd value")

    async def async_main() -> None:
        await background_task.start("follower", run)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        runner.run(async_main())
    assert [(event.task, event.failures) for event in written] == [
        ("follower", 1),
        ("follower", 2),
        ("follower", 3),
    ]
    assert all("odd value" in event.error for event in written)
    assert [event.pause_s for event in written] == [0.25, 0.5, 1.0]


def test_lag_is_measured_although_its_callback_fails() -> None:
    """Guards against a router that keeps its last lag for good."""

    def fail(lag_s: float, now: float) -> None:
        raise RuntimeError("a request's callback failed")

    async def async_main() -> None:
        meter = event_loop_lag.LagMeter()
        for _ in range(20):
            meter.add_lag(0.2)
        assert meter.lagging
        service = event_loop_lag.LagService(meter, core.SystemClock(), fail)
        await service.on_start()
        for _ in range(600):
            await asyncio.sleep(0.05)
            if not meter.lagging:
                break
        await service.on_stop()
        assert not meter.lagging

    asyncio.run(async_main())
