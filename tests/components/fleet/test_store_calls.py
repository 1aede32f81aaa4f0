"""Tests how many calls a fleet makes to the store, and what it knows then."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest

from tamarackbridge.components.knowledge import first_read, positions, source
from tests import virtual_loop
from tests.components.fleet import store_replay

ROUTERS = 24
SEEDS = ("r001", "r003", "10.0.0.9:1")
"""Two routers, and one that is gone."""

READY_S = first_read.LONGEST_WAIT_S + 0.1
"""Longest time without the store's data, beside the calls of a router."""

T = TypeVar("T")


def _run(trial: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(trial)


def _replay(call_s: float = store_replay.CALL_S) -> store_replay.StoreReplay:
    replay = store_replay.StoreReplay(ROUTERS)
    replay.store.call_s = call_s
    replay.store.stale_s = 3.0
    return replay


def _list_all(replay: store_replay.StoreReplay) -> None:
    """Fills the directory with the entries of killed routers."""
    replay.store.entries = {
        address: (zone, -100.0) for address, zone in replay.zones.items()
    }


def _charge(replay: store_replay.StoreReplay) -> float:
    """Returns the cost of the calls so far, in calls that are not stale."""
    return sum(
        count * (0.1 if operation == "stale_list" else 1.0)
        for (_, operation), count in replay.store.calls.items()
    )


def _incomplete(replay: store_replay.StoreReplay) -> list[str]:
    return [
        address
        for address, router in replay.routers.items()
        if not router.local_copy.is_complete()
    ]


@pytest.mark.parametrize("call_s", [store_replay.CALL_S, 0.25])
@pytest.mark.parametrize("is_restart", [False, True])
def test_start_of_a_whole_fleet_makes_few_calls(
    call_s: float, is_restart: bool
) -> None:
    """Guards against routers that all read the store at their start.

    Without the wait for others' data, 24 routers made 198 calls in the first
    four seconds, or 8 each.
    """

    async def async_run() -> None:
        replay = _replay(call_s)
        if is_restart:
            _list_all(replay)
        await replay.async_start_spread(SEEDS)
        await asyncio.sleep(READY_S + call_s)
        assert not _incomplete(replay)
        lists = sum(
            replay.store.calls[kind.value, "list"] for kind in source.Kind
        )
        assert lists <= 3 * ROUTERS * (0.25 if call_s < 0.1 else 0.6)
        assert replay.store.calls["members", "list"] == 0
        await asyncio.sleep(4.0 - READY_S - call_s)
        # Beside the watches of the three readers, six calls a second.
        assert _charge(replay) <= ROUTERS * (2 if call_s < 0.1 else 3) + 24
        await asyncio.sleep(10.0)
        assert {
            len(router.sharing.routers()) for router in replay.routers.values()
        } <= {ROUTERS, ROUTERS + 1}
        await replay.async_stop()

    _run(async_run())


def test_few_calls_in_a_calm_minute_and_at_changes() -> None:
    """Guards against one call of each reader for each single change.

    Ten changes in a second cost each of the three readers 13 watches.
    """

    async def async_run() -> None:
        replay = _replay()
        await replay.async_start_spread(SEEDS)
        await asyncio.sleep(12.0)
        replay.store.calls.clear()
        await asyncio.sleep(60.0)
        # Three readers, whose watches last 1, 2 and 2 s with these limits.
        assert _charge(replay) <= 3 * (60 + 30 + 30)
        replay.store.calls.clear()
        for number in range(10):
            replay.store.drain(f"s{number}")
            await asyncio.sleep(0.1)
        assert replay.store.calls["servers", "watch"] <= 3 * 7
        await replay.async_stop()

    _run(async_run())


@pytest.mark.parametrize("failure", ["none", "refused", "slow", "history"])
def test_server_that_leaves_during_a_start_is_known_in_time(
    failure: str,
) -> None:
    """Guards against routers that rely on others' data and miss a change.

    They do so before they know the hubs. The store refuses those that read
    first, or is slow, or loses its history.
    """

    async def async_run() -> float:
        replay = _replay(0.25 if failure == "slow" else store_replay.CALL_S)
        _list_all(replay)
        await replay.async_start_spread(SEEDS)
        if failure == "refused":
            replay.store.refuse(sorted(replay.zones)[:12])
        await asyncio.sleep(0.5)
        if failure == "history":
            replay.store.lose_history()
        replay.store.drain("s3")
        used_s = await replay.async_used_s("s3", 4.0)
        assert not _incomplete(replay)
        await replay.async_stop()
        return used_s

    assert _run(async_run()) < store_replay.ALLOWED_S


def test_fleet_without_its_first_readers_gets_the_data_all_the_same() -> None:
    """The store refuses all that would read it first, and most others."""

    async def async_run() -> None:
        replay = _replay()
        _list_all(replay)
        replay.store.refuse(sorted(replay.zones)[2:])
        await replay.async_start_spread(SEEDS)
        await asyncio.sleep(2 * READY_S)
        assert not _incomplete(replay)
        await replay.async_stop()

    _run(async_run())


def test_fleet_follows_a_store_that_is_restored_during_its_start() -> None:
    """Data of the era before must not be relied on for long."""

    async def async_run() -> None:
        replay = _replay()
        await replay.async_start_spread(SEEDS)
        await asyncio.sleep(0.4)
        replay.store.restore("s3")
        await asyncio.sleep(3.0)
        eras = {
            positions.era(router.local_copy.version(kind).revision)
            for router in replay.routers.values()
            for kind in router.local_copy.kinds
        }
        assert eras == {1}
        await replay.async_stop()

    _run(async_run())


@pytest.mark.parametrize("call_s", [store_replay.CALL_S, 0.25])
def test_knowledge_is_no_older_than_a_watch_and_a_relay(call_s: float) -> None:
    """The pause after a change must not add to the age of the knowledge."""

    async def async_run() -> float:
        replay = _replay(call_s)
        await replay.async_start_spread(SEEDS)
        await asyncio.sleep(READY_S + call_s)
        oldest_s = 0.0
        loop = asyncio.get_running_loop()
        for step in range(300):
            if step % 40 < 10:
                replay.store.drain(f"s{step % 10}")
            await asyncio.sleep(0.05)
            oldest_s = max(
                oldest_s,
                *(
                    router.local_copy.servers_age(loop.time())
                    for router in replay.routers.values()
                ),
            )
        await replay.async_stop()
        return oldest_s

    # A change just before the end of a watch confirms only its beginning.
    watch_s = 2.0 + call_s
    assert _run(async_run()) < 2 * watch_s + 0.7


def test_waits_are_short_and_few_routers_read_first() -> None:
    """A wait for others must end soon, and not for all at the same time."""
    waits = [first_read.wait_s((n + 0.5) / 64) for n in range(64)]
    assert first_read.wait_s(0.0) == 0.0
    assert max(waits) <= first_read.LONGEST_WAIT_S == 0.5
    assert sum(wait == 0.0 for wait in waits) == 1
    assert sum(wait < 0.2 for wait in waits) <= 5
