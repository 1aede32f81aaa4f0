"""Tests that servers leave in time while the store rejects many routers."""

import asyncio
import random

import pytest

from tests import virtual_loop
from tests.components.fleet import store_replay

REJECTED_S = 8.0
"""Time for which the store rejects the routers."""


async def _async_used_s(
    replay: store_replay.StoreReplay,
    refused: set[str],
    change: str,
    after_s: float,
) -> float:
    """Returns for how long a server is used after it left in the store.

    Args:
        replay: The started fleet; stopped at the end.
        refused: Routers that the store rejects for `REJECTED_S`.
        change: Method of the store by which the server leaves.
        after_s: Time from the first rejection to the change.
    """
    loop = asyncio.get_running_loop()
    replay.store.refuse(refused)
    loop.call_later(REJECTED_S, replay.store.refuse, ())
    await asyncio.sleep(after_s)
    getattr(replay.store, change)("s3")
    used_s = await replay.async_used_s("s3", 4.0)
    await replay.async_stop()
    return used_s


@pytest.mark.parametrize("change", ["drain", "remove"])
@pytest.mark.parametrize("after_s", [3.0, 6.5, 7.8])
def test_small_fleet_stops_using_a_server_in_time(
    change: str, after_s: float
) -> None:
    """A rejected router learns of the change from its peers, or late.

    The store rejects four of six routers. A router that gets the change too
    late would use the server beyond the agreed time.
    """

    async def async_run() -> float:
        replay = store_replay.StoreReplay(6)
        await replay.async_start()
        refused = set(random.Random(1).sample(sorted(replay.zones), 4))
        return await _async_used_s(replay, refused, change, after_s)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_run()) < store_replay.ALLOWED_S


@pytest.mark.parametrize(
    ("change", "after_s"), [("drain", 3.0), ("drain", 5.0), ("remove", 7.8)]
)
def test_large_fleet_with_rejected_store_readers_stops_using_a_server(
    change: str, after_s: float
) -> None:
    """Routers to which no hub relays the store's data read it themselves.

    The store rejects its readers and 35 of the 58 routers. A router that
    waited for them would use the server beyond the agreed time.
    """

    async def async_run() -> float:
        replay = store_replay.StoreReplay(58)
        await replay.async_start()
        refused = set(random.Random(1).sample(sorted(replay.zones), 35))
        refused |= replay.readers()
        return await _async_used_s(replay, refused, change, after_s)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_run()) < store_replay.ALLOWED_S


@pytest.mark.parametrize("routers", [6, 58])
def test_registration_that_ends_while_all_are_rejected_keeps_its_grace(
    routers: int,
) -> None:
    """The server may be used for the full time after routers learn of its end.

    The store rejects all routers until a second after the registration ended;
    the first router that reads it again relays the end to the others.
    """

    async def async_run() -> float:
        replay = store_replay.StoreReplay(routers)
        await replay.async_start()
        refused = set(replay.zones)
        return await _async_used_s(replay, refused, "remove", REJECTED_S - 1.0)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        assert runner.run(async_run()) > 1.0 + store_replay.ALLOWED_S
