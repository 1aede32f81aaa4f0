"""A router enters the directory once, and no more once it has left."""

import asyncio

from tamarackbridge.components.fleet import directory
from tests import virtual_loop
from tests.components.fleet import store_replay

ZONES = {"r1": "z1", "r2": "z2"}


def _calls(
    entries: dict[str, tuple[str, float]],
    removed_at: float = 0.0,
    leaves_at: float = 0.0,
    is_alone: bool = False,
) -> tuple[dict[str, int], set[str]]:
    """Plays a router's first 20 s; returns its calls and the last entries.

    Args:
        entries: Entries of the directory at the start.
        removed_at: Time at which the process before removes the entry.
        leaves_at: Time at which this router leaves.
        is_alone: Whether it hears no other router.
    """

    async def async_run() -> tuple[dict[str, int], set[str]]:
        loop = asyncio.get_running_loop()
        store = store_replay.Store(())
        store.entries = dict(entries)
        entry = directory.Entry(
            store_replay.Directory(store, "r1"),
            "r1",
            "z1",
            virtual_loop.LoopClock(loop),
            lambda listed: None,
            lambda: is_alone,
        )
        running = asyncio.create_task(entry.async_run())
        if removed_at:
            loop.call_later(removed_at, store.entries.pop, "r1")
        if leaves_at:
            await asyncio.sleep(leaves_at)
            await entry.async_leave()
        await running
        calls = {
            operation: count for (_, operation), count in store.calls.items()
        }
        return calls, set(store.entries)

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(async_run())


def test_new_router_enters_once() -> None:
    calls, entries = _calls({})
    assert calls == {"stale_list": 3, "create": 1}
    assert entries == {"r1"}


def test_listed_router_does_not_enter_again() -> None:
    """Guards against two writes of each router after a kill of all."""
    calls, _ = _calls({"r1": ("z1", -100.0)})
    assert calls == {"stale_list": 3}


def test_router_whose_entry_is_removed_after_its_start_enters_again() -> None:
    """The process before may remove the entry that a stale list shows."""
    calls, entries = _calls({"r1": ("z1", -100.0)}, removed_at=2.0)
    assert calls == {"stale_list": 3, "create": 1}
    assert entries == {"r1"}


def test_router_that_has_left_does_not_enter_again() -> None:
    """Guards against an entry that outlives a router stopped at its start."""
    calls, entries = _calls({"r1": ("z1", -100.0)}, leaves_at=2.0)
    assert calls == {"stale_list": 3, "delete": 1}
    assert entries == set()


def test_router_that_hears_no_other_reads_a_list_that_is_not_stale() -> None:
    """Its seeds may be gone, and the others have entered just before it."""
    calls, _ = _calls({}, is_alone=True)
    assert calls == {"stale_list": 3, "list": 1, "create": 1}
