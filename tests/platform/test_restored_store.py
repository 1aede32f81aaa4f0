"""A complete router while the store comes back from an older copy."""

import pytest

from tamarackbridge.components.fleet import sharing
from tamarackbridge.components.knowledge import positions
from tamarackbridge.platform import const
from tests.components.gateway import rig


async def _async_configure(env: rig.Environment, version: int) -> None:
    spec = {**rig.CONFIGURATION, "version": version}
    await env.store.async_put("config", "main", spec)
    await env.async_wait_for_configuration(version)


async def test_router_follows_the_store_into_new_eras(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sharing, "ENTER_AGAIN_SPREAD_S", 0.1)
    async with rig.async_environment() as env:
        store = env.store
        local_copy = env.router._local_copy
        store.era = 1
        kind = const.KIND_MEMBERS
        await rig.async_wait_until(lambda: bool(store.names(kind)))
        entered = store.names(kind)
        await _async_configure(env, 2)
        saved = store.copy()
        saved[1][kind] = {}
        del saved[1]["servers"][env.servers[0].name]
        await _async_configure(env, 3)
        for era in (2, 3):
            await store.async_restore(saved)

            def is_followed(era: int = era) -> bool:
                return all(
                    positions.era(local_copy.version(each).revision) == era
                    for each in local_copy.kinds
                )

            await rig.async_wait_until(is_followed)
            assert env.router._version()[0] == 3
            await _async_configure(env, 3)
            assert (await env.async_send("/read/1")).status == 200
            await rig.async_wait_until(lambda: store.names(kind) == entered)
        await _async_configure(env, 4)
