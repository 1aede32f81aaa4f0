"""Calls to the store are counted and logged by cause."""

import pytest

from standins import platform_store
from tamarackbridge import core, platform_gauges
from tamarackbridge.components.telemetry import events, metrics
from tamarackbridge.platform import store, store_call_log


async def test_calls_are_counted_and_logged_by_kind_and_operation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls without a cause, refused ones among them."""
    log: list[events.Event] = []
    monkeypatch.setattr(events, "write", log.append)
    async with platform_store.PlatformStore() as stand_in:
        await stand_in.async_put("members", "a", {})
        client = store.Store(stand_in.address)
        await client.start()
        call_log = store_call_log.StoreCallLog(client)
        await call_log.on_start()
        await client.async_list("servers")
        await client.async_list("members", allow_stale=True)
        await client.async_watch("servers", stand_in.revision, 0.0)
        await client.async_put("members", "a", {})
        stand_in.faults.status = 429
        await client.async_list("servers")
        await call_log.on_stop()
        await client.stop()
    assert log == [
        events.StoreCalls(
            6,
            {
                "members create": 1,
                "members replace": 1,
                "members stale_list": 1,
                "servers list": 2,
                "servers watch": 1,
            },
        )
    ]
    registry = metrics.Metrics(core.SystemClock().monotonic)
    platform_gauges.add_store_calls(registry, client)
    line = 'store_calls_by_cause_total{kind="servers",operation="list"} 2.0'
    assert line in registry.render().decode()
