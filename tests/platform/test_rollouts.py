"""Rollout orders of the store, and a complete router that carries them out."""

import asyncio
from typing import Any

import pytest
import result

from standins import platform_server, platform_store
from tamarackbridge.components.knowledge import models, source
from tamarackbridge.platform import const, rollouts, settings, store
from tamarackbridge.platform import source as platform_source
from tests.components.gateway import rig

SPEC: dict[str, Any] = {"service": "app", "target": "v2", "duration_s": 12}
STATES = models.RolloutState
VERSIONS = ("v1", "v1", "v2", "v2")
ACTIVE = "bounds.exposure_share=0.1"


def _order(spec: Any, status: Any = None) -> models.RolloutOrder:
    item = store.StoredObject("app", 12, spec, False, status, 10)
    return rollouts.order(item)


def test_order_is_read() -> None:
    found = _order(SPEC, {"state": "running", "target": "v2"})
    assert found == models.RolloutOrder(
        "app", "app", "v2", 12.0, 10, 12, STATES.RUNNING
    )


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        {},
        *({k: v for k, v in SPEC.items() if k != name} for name in SPEC),
        {**SPEC, "duration_s": 0},
        {**SPEC, "duration_s": -3},
        {**SPEC, "duration_s": 1e12},
        {**SPEC, "duration_s": "12"},
        {**SPEC, "target": 2},
        {**SPEC, "target": ""},
        {**SPEC, "target": "v" * 5000},
        {**SPEC, "service": "other"},
    ],
)
def test_bad_order_says_why(spec: Any) -> None:
    """Guards against an order that is carried out as somebody guesses."""
    assert _order(spec).error


@pytest.mark.parametrize(
    "status",
    [
        {"state": "succeeded", "target": "v1"},
        {"state": "done", "target": "v2"},
        {"state": 1, "target": "v2"},
        ["succeeded"],
        "succeeded",
    ],
)
def test_foreign_status_does_not_count(status: Any) -> None:
    """Guards against a status that somebody else wrote."""
    found = _order(SPEC, status)
    assert found.state is STATES.NONE
    assert found.status_error
    assert not found.error


def test_revisions_that_no_report_can_hold_are_left_out() -> None:
    """Guards against a report that can't be encoded."""
    item = store.StoredObject("app", 12, SPEC, False, None, 10**30)
    assert rollouts.order(item).created == 0


def test_settings_are_read() -> None:
    text = rig.settings_text("127.0.0.1:1", [1, 2, 3, 4])
    assert settings.parse(text).bounds.exposure_share == 0
    lines = "\nbounds.exposure_share=0.1\nbounds.rollback_ms=4000"
    bounds = settings.parse(text + lines).bounds
    assert (bounds.exposure_share, bounds.rollback_s) == (0.1, 4.0)
    assert bounds.exposure_slack == 50


async def test_object_with_unreadable_creation_is_kept() -> None:
    """Guards against a field of no use elsewhere that hides an object."""
    async with platform_store.PlatformStore() as stand_in:
        await stand_in.async_put("servers", "a", {})
        stored = stand_in.get("servers", "a")
        assert stored is not None
        stored["metadata"]["created"] = ["\ud800"]
        client = store.Store(stand_in.address)
        await client.start()
        (item,) = (await client.async_list("servers")).unwrap().objects
        assert (item.name, item.created) == ("a", 0)
        await client.stop()


async def test_status_write_is_conditional() -> None:
    """Guards against a verdict on an order that was replaced meanwhile."""
    async with platform_store.PlatformStore() as stand_in:
        await stand_in.async_put(const.KIND_ROLLOUTS, "app", SPEC)
        client = store.Store(stand_in.address)
        await client.start()
        data_source = platform_source.StoreSource(client)
        status = rollouts.StoreStatus(client, data_source)
        (update,) = (await status.async_read()).unwrap().updates
        assert isinstance(update, source.RolloutUpdate)
        read = update.order
        written = await status.async_write_status(read, STATES.RUNNING)
        assert written.unwrap().revision == stand_in.revision
        assert written.unwrap().state is STATES.RUNNING
        again = await status.async_write_status(read, STATES.ROLLED_BACK)
        assert again == result.Err(source.StatusFailure.CONFLICT)
        stand_in.faults.status = 503
        failed = await status.async_write_status(read, STATES.ROLLED_BACK)
        assert failed == result.Err(source.StatusFailure.UNREACHABLE)
        await client.stop()


async def _async_run_order(
    env: rig.Environment, duration_s: float
) -> tuple[str, list[int]]:
    """Sends requests during an order; returns its final state and statuses."""
    spec = {**SPEC, "duration_s": duration_s}
    await env.store.async_put(const.KIND_ROLLOUTS, "app", spec)
    statuses = []
    for number in range(round(duration_s * 40)):
        resp = await env.async_send("/read/1", request_id=f"q{number}")
        statuses.append(resp.status)
        stored = env.store.get(const.KIND_ROLLOUTS, "app")
        assert stored is not None
        state = (stored["status"] or {}).get("state", "")
        if state in ("succeeded", "rolled_back"):
            return state, statuses
        await asyncio.sleep(0.02)
    return "", statuses


def _ran(env: rig.Environment) -> tuple[int, int]:
    """Returns how many requests the old and the new servers have run."""
    counts = [len(server.ran) for server in env.servers]
    return sum(counts[:2]), sum(counts[2:])


async def test_router_moves_a_service_to_a_good_version() -> None:
    async with rig.async_environment(
        4, versions=VERSIONS, extra_settings=ACTIVE
    ) as env:
        state, statuses = await _async_run_order(env, 3.0)
        assert state == "succeeded"
        assert set(statuses) == {200}
        old, _ = _ran(env)
        for number in range(10):
            await env.async_send("/read/1", request_id=f"after{number}")
        assert _ran(env)[0] == old


async def test_router_takes_a_service_back_from_a_bad_version() -> None:
    async with rig.async_environment(
        4, versions=VERSIONS, extra_settings=ACTIVE
    ) as env:
        for server in env.servers[2:]:
            server.faults = [platform_server.Fault.FAIL] * 1000
        state, _ = await _async_run_order(env, 3.0)
        assert state == "rolled_back"
        _, new = _ran(env)
        assert new <= 0.1 * sum(_ran(env)) + 50
        for number in range(10):
            resp = await env.async_send("/read/1", request_id=f"after{number}")
            assert resp.status == 200
        assert _ran(env)[1] == new
        rendered = env.router._registry.render().decode()
        assert "tamarackbridge_rollouts_running 0.0" in rendered
        assert "tamarackbridge_rollout_bad_responses 0.0" not in rendered
        await env.store.async_remove(const.KIND_ROLLOUTS, "app")
        rollout_gate = env.router._dependencies.rollouts
        assert rollout_gate is not None
        await rig.async_wait_until(lambda: not rollout_gate.is_active)


async def test_order_means_nothing_without_the_setting() -> None:
    """Guards against a behaviour that no deployment has asked for."""
    async with rig.async_environment(4, versions=VERSIONS) as env:
        await env.store.async_put(const.KIND_ROLLOUTS, "app", SPEC)
        sent = (
            env.async_send("/read/1", request_id=f"q{number}")
            for number in range(24)
        )
        assert {resp.status for resp in await asyncio.gather(*sent)} == {200}
        old, new = _ran(env)
        assert min(old, new) > 5
        assert env.router._dependencies.rollouts is None
        stored = env.store.get(const.KIND_ROLLOUTS, "app")
        assert stored is not None
        assert stored["status"] is None
