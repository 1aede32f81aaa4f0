"""A store that turns many routers away, while servers leave."""

import asyncio
import random

import pytest

from tests import virtual_loop
from tests.components.fleet import store_replay

CUT_S = 8.0


async def _async_used_s(
    replay: store_replay.StoreReplay,
    refused: set[str],
    change: str,
    after_s: float,
) -> float:
    """Returns for how long a server is used after the store ended that."""
    loop = asyncio.get_running_loop()
    replay.store.refuse(refused)
    loop.call_later(CUT_S, replay.store.refuse, ())
    await asyncio.sleep(after_s)
    getattr(replay.store, change)("s3")
    used_s = await replay.async_used_s("s3", 4.0)
    await replay.async_stop()
    return used_s


@pytest.mark.parametrize("change", ["drain", "remove"])
@pytest.mark.parametrize("after_s", [3.0, 6.5, 7.8])
def test_small_fleet_leaves_a_server_alone_in_time(
    change: str, after_s: float
) -> None:
    """Some routers hear of it from others only, or late from the store."""

    async def async_play() -> float:
        replay = store_replay.StoreReplay(6)
        await replay.async_start()
        refused = set(random.Random(1).sample(sorted(replay.zones), 4))
        return await _async_used_s(replay, refused, change, after_s)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_play()) < store_replay.ALLOWED_S


@pytest.mark.parametrize(
    ("change", "after_s"), [("drain", 3.0), ("drain", 5.0), ("remove", 7.8)]
)
def test_large_fleet_whose_readers_are_refused_leaves_a_server_alone(
    change: str, after_s: float
) -> None:
    """Those that nobody tells of the store read it for themselves."""

    async def async_play() -> float:
        replay = store_replay.StoreReplay(58)
        await replay.async_start()
        refused = set(random.Random(1).sample(sorted(replay.zones), 35))
        refused |= replay.readers()
        return await _async_used_s(replay, refused, change, after_s)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_play()) < store_replay.ALLOWED_S


@pytest.mark.parametrize("routers", [6, 58])
def test_registration_that_lapses_while_all_are_refused_has_its_grace(
    routers: int,
) -> None:
    """The first router to come back tells the others of its end."""

    async def async_play() -> float:
        replay = store_replay.StoreReplay(routers)
        await replay.async_start()
        refused = set(replay.zones)
        return await _async_used_s(replay, refused, "remove", CUT_S - 1.0)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_play()) > 1.0 + store_replay.ALLOWED_S
