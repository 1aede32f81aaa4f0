"""Writes of the status against a scripted store."""

import asyncio
import collections
import dataclasses
import random

import pytest
import result

from tamarackbridge.components.knowledge import (
    applier,
    models,
    positions,
    source,
    state,
)
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import gate, writer
from tamarackbridge.components.rollout import models as rollout
from tests import clocks
from tests.components.knowledge import builders
from tests.components.rollout import fleet

CONFLICT = source.StatusFailure.CONFLICT
UNREACHABLE = source.StatusFailure.UNREACHABLE


class NoDateClock(clocks.VirtualClock):
    """Clock whose time of day must not be read."""

    def wall(self) -> float:
        raise AssertionError("the time of day may jump")


class ScriptedStore:
    """Fails as a script says, and then stores.

    Attributes:
        writes: States that routers tried to write, with the revision.
        stored: The order as it is read again.
    """

    def __init__(self, *failures: source.StatusFailure) -> None:
        self.writes: list[tuple[models.RolloutState, int]] = []
        self.stored: models.RolloutOrder | None = fleet.order()
        self._failures = collections.deque(failures)

    async def async_write_status(
        self, order: models.RolloutOrder, state: models.RolloutState
    ) -> result.Result[models.RolloutOrder, source.StatusFailure]:
        self.writes.append((state, order.revision))
        if self._failures:
            return result.Err(self._failures.popleft())
        return result.Ok(
            dataclasses.replace(order, state=state, revision=order.revision + 1)
        )

    async def async_read(self) -> source.Answer:
        found = self.stored
        updates = (source.RolloutUpdate(found),) if found is not None else ()
        return result.Ok(source.UpdateBatch(updates, 99))


class Rig:
    """One router's gate and writer."""

    def __init__(self, store: ScriptedStore) -> None:
        self.clock = NoDateClock()
        self.local_copy = state.LocalCopy(fleet.BOUNDS)
        self.local_copy.configuration = builders.configuration()
        self.gate = gate.Gate(
            "r1",
            fleet.BOUNDS,
            self.local_copy,
            ledger.ReservationLedger(),
            random.Random(1),
        )
        self.applier = applier.Applier(
            self.local_copy, self.clock, self._sync, lambda name: None
        )
        self.writer = writer.StatusWriter(
            store, self.gate, self.applier, self.clock
        )
        self.read(1, 9)
        self.read(1, 10, fleet.order())

    def _sync(self) -> None:
        self.gate.sync(self.clock.now)
        self.gate.tick(self.clock.now)

    def read(
        self, era: int, revision: int, *found: models.RolloutOrder
    ) -> None:
        """Reads all orders from the store."""
        kind = source.Kind.ROLLOUTS
        before = self.local_copy.version(kind).revision
        position = positions.make(era, revision)
        is_restored = positions.era(before) < era and before > 0
        updates = [source.RolloutUpdate(item) for item in found]
        self.applier.replace(kind, updates, 0.0, is_restored)
        self.local_copy.record_full_read(kind, position)
        self._sync()

    @property
    def phase(self) -> rollout.Phase:
        return self.gate.orders["app"].phase


async def test_failed_write_is_repeated() -> None:
    """Guards against an order that stays open after an outage."""
    store = ScriptedStore(UNREACHABLE, UNREACHABLE)
    router = Rig(store)
    for _ in range(4):
        await router.writer.async_write_due()
    assert store.writes == [(fleet.STATES.RUNNING, 10)] * 3


async def test_writer_waits_between_failed_writes() -> None:
    """Guards against calls without end while the store is away."""
    store = ScriptedStore(*[UNREACHABLE] * 9)
    router = Rig(store)
    await router.writer.on_start()
    for _ in range(50):
        await asyncio.sleep(0)
    await router.writer.on_stop()
    assert len(store.writes) == 1


async def test_conflict_leads_to_the_stored_status() -> None:
    """Guards against two routers that act on different results."""
    store = ScriptedStore(CONFLICT)
    store.stored = fleet.order(14, fleet.STATES.ROLLED_BACK)
    router = Rig(store)
    await router.writer.async_write_due()
    assert router.phase is rollout.Phase.ROLLED_BACK
    await router.writer.async_write_due()
    assert len(store.writes) == 1


async def test_conflict_with_a_replaced_order_drops_the_old_one() -> None:
    """Guards against a status for an order that is no more."""
    store = ScriptedStore(CONFLICT)
    replaced = dataclasses.replace(fleet.order(20), created=20, target="v3")
    store.stored = replaced
    router = Rig(store)
    await router.writer.async_write_due()
    assert router.gate.orders["app"].order == replaced


async def test_order_lost_by_a_restored_store_is_kept_for_a_time() -> None:
    """Guards against traffic to a version while its order is missing."""
    store = ScriptedStore()
    router = Rig(store)
    router.clock.now += 4.0
    router.read(2, 5)
    assert router.gate.is_active
    again = dataclasses.replace(fleet.order(7), created=7)
    router.read(2, 7, again)
    assert router.gate.orders["app"].age_s(router.clock.now) == 4.0
    assert router.gate.orders["app"].identity.created == 7


async def test_order_that_is_not_written_again_ends() -> None:
    router = Rig(ScriptedStore())
    router.read(2, 5)
    router.clock.now += 6.0
    router.applier.remove_expired()
    router.gate.sync(router.clock.now)
    assert not router.gate.is_active


@pytest.mark.parametrize("confirmed", [False, True])
def test_new_version_waits_until_no_order_is_certain(confirmed: bool) -> None:
    """Guards against routers that know the servers before their order."""
    router = Rig(ScriptedStore())
    router.read(1, 11)
    now = router.clock.now

    def permitted(*versions: str) -> set[str]:
        servers = [
            state.RegisteredServer(
                dataclasses.replace(builders.server(name, "app"), version=name),
                now,
            )
            for name in versions
        ]
        found = router.gate.permitted("app", servers, now)
        return {registered.server.version for registered in found}

    assert permitted("v1") == {"v1"}
    assert permitted("v1", "v2") == {"v1"}
    assert permitted("v2") == {"v2"}
    if confirmed:
        router.local_copy.confirm(source.Kind.ROLLOUTS, now + 0.1)
    assert permitted("v1", "v2") == ({"v1", "v2"} if confirmed else {"v1"})
