"""A store that comes back from an older copy of itself, in a new era."""

import dataclasses
import random

import pytest
import result

from tamarackbridge.components.knowledge import (
    applier,
    const,
    follower,
    positions,
    source,
    state,
)
from tamarackbridge.components.knowledge import messages as knowledge
from tests import clocks
from tests.components.fleet import rig
from tests.components.knowledge import builders, test_follower

HISTORY_LOST = test_follower.HISTORY_LOST
S1, S2 = builders.server("s1"), builders.server("s2")


def _batch(era: int, revision: int, *updates: source.Update) -> source.Answer:
    position = positions.make(era, revision)
    return result.Ok(source.UpdateBatch(updates, position))


async def _async_follow(
    kind: source.Kind, *script: tuple[float, source.Answer]
) -> tuple[state.LocalCopy, applier.Applier, clocks.VirtualClock]:
    """Lets a follower take a script; returns its copy at the end."""
    clock = clocks.VirtualClock()
    local_copy = state.LocalCopy(builders.BOUNDS)
    scripted = test_follower.ScriptedSource(clock, list(script))
    update_applier = applier.Applier(
        local_copy, clock, lambda: None, lambda name: None
    )
    svc = follower.Follower(
        kind,
        scripted,
        local_copy,
        update_applier,
        clock,
        random.Random(1),
        lambda kind: False,
    )
    await svc.on_start()
    await scripted.done.wait()
    await svc.on_stop()
    return local_copy, update_applier, clock


def test_later_era_is_newer_whatever_the_revision() -> None:
    assert positions.make(2, 1) > positions.make(1, 10**18)
    assert positions.make(1, 7) > positions.make(1, 6)
    position = positions.make(3, 9)
    assert (positions.era(position), positions.revision(position)) == (3, 9)
    # Revisions of other routers may be anything.
    assert positions.era(positions.make(1, -5)) == 1
    assert positions.era(positions.make(1, 2**70)) == 1


async def test_lower_revision_of_a_later_era_is_taken() -> None:
    local_copy, _, _ = await _async_follow(
        source.Kind.SERVERS,
        (1.1, _batch(1, 50, source.ServerUpdate(S1))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40, source.ServerUpdate(S1))),
        (0.1, _batch(2, 41, source.ServerUpdate(S2))),
    )
    position = local_copy.version(source.Kind.SERVERS).revision
    assert position == positions.make(2, 41)
    assert local_copy.servers.keys() == {"s1", "s2"}


async def test_earlier_era_is_not_taken() -> None:
    local_copy, _, _ = await _async_follow(
        source.Kind.SERVERS,
        (1.1, _batch(2, 40, source.ServerUpdate(S1))),
        (1.1, HISTORY_LOST),
        (1.1, _batch(1, 50, source.ServerUpdate(S2))),
    )
    assert local_copy.servers.keys() == {"s1"}


async def test_servers_missing_in_the_copy_are_kept_for_a_while() -> None:
    local_copy, update_applier, clock = await _async_follow(
        source.Kind.SERVERS,
        (1.1, _batch(1, 50, source.ServerUpdate(S1))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40)),
    )
    assert len(local_copy.usable("lm", clock.now)) == 1
    clock.now += const.EXPIRY_GRACE_S + 0.1
    update_applier.remove_expired()
    assert not local_copy.usable("lm", clock.now)


async def test_drain_that_the_copy_lacks_stays() -> None:
    draining = dataclasses.replace(S1, draining=True)
    local_copy, _, clock = await _async_follow(
        source.Kind.SERVERS,
        (1.1, _batch(1, 50, source.ServerUpdate(draining))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40, source.ServerUpdate(S1))),
    )
    assert not local_copy.usable("lm", clock.now)
    reborn = dataclasses.replace(S1, started_ms=9)
    assert local_copy.register(reborn, clock.now)
    assert local_copy.usable("lm", clock.now)


async def test_evacuation_that_the_copy_lacks_stays_for_a_while() -> None:
    local_copy, update_applier, clock = await _async_follow(
        source.Kind.ZONES,
        (1.1, _batch(1, 50, source.ZoneEvacuation("z1"))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40)),
    )
    assert local_copy.zones_out == {"z1"}
    clock.now += const.ZONE_DOUBT_S + 0.1
    update_applier.remove_expired()
    assert not local_copy.zones_out


async def test_evacuation_that_is_written_again_outlasts_the_doubt() -> None:
    local_copy, update_applier, clock = await _async_follow(
        source.Kind.ZONES,
        (1.1, _batch(1, 50, source.ZoneEvacuation("z1"))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40)),
        (0.5, _batch(2, 41, source.ZoneEvacuation("z1"))),
    )
    clock.now += const.ZONE_DOUBT_S + 0.1
    update_applier.remove_expired()
    assert local_copy.zones_out == {"z1"}


async def test_revoked_key_does_not_come_back() -> None:
    before = builders.configuration(7, keys={"old": "w"})
    after = builders.configuration(8, keys={})
    local_copy, _, _ = await _async_follow(
        source.Kind.CONFIGURATION,
        (1.1, _batch(1, 50, source.ConfigurationUpdate(after))),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40, source.ConfigurationUpdate(before))),
    )
    assert local_copy.configuration == after


async def test_older_configuration_confirms_nothing() -> None:
    older = source.ConfigurationUpdate(builders.configuration(6))
    newer = source.ConfigurationUpdate(builders.configuration(7))
    script = (
        (1.1, _batch(1, 50, newer)),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40, older)),
        (1.0, _batch(2, 40)),
    )
    kind = source.Kind.CONFIGURATION
    local_copy, _, clock = await _async_follow(kind, *script)
    assert local_copy.configuration_age(clock.now) >= 2.2
    written_again = (0.3, _batch(2, 41, newer))
    local_copy, _, clock = await _async_follow(kind, *script, written_again)
    assert local_copy.configuration_age(clock.now) < 0.5


async def test_copy_with_the_configuration_in_force_confirms_it() -> None:
    cfg = source.ConfigurationUpdate(builders.configuration(7))
    local_copy, _, clock = await _async_follow(
        source.Kind.CONFIGURATION,
        (1.1, _batch(1, 50, cfg)),
        (1.1, HISTORY_LOST),
        (0.1, _batch(2, 40, cfg)),
    )
    assert local_copy.configuration_age(clock.now) < 0.5


async def test_rising_eras_do_not_end_in_a_loop_of_full_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits: list[float] = []

    async def async_sleep(seconds: float) -> None:
        waits.append(seconds)

    monkeypatch.setattr(follower.asyncio, "sleep", async_sleep)
    script: list[tuple[float, source.Answer]] = []
    for era in range(1, 4):
        script += [(0.0, _batch(era, 5)), (0.0, HISTORY_LOST)]
    await _async_follow(source.Kind.SERVERS, *script)
    # Neither the first read nor that of the first new era waits.
    assert len(waits) == 2
    assert min(waits) >= const.RESTORED_READ_INTERVAL_S


def _read(router: rig.Router, version: int, era: int, revision: int) -> None:
    """Lets a router read the store in an era."""
    router.local_copy.apply_configuration(builders.configuration(version))
    for kind in source.Kind:
        position = positions.make(era, revision)
        router.local_copy.record_full_read(kind, position)
        router.local_copy.confirm(kind, router.clock.now)


def test_router_of_the_lost_history_learns_and_does_not_teach() -> None:
    fleet = rig.Fleet(6)
    fleet.run_for(2.0)
    reader = fleet.routers["r03"]
    for router in fleet.routers.values():
        if router is reader:
            _read(router, 9, 2, 40)
        else:
            _read(router, 9, 1, 50)
            router.local_copy.register(builders.server("lost"), 100.0)
    reader.local_copy.register(S1, 100.0)
    fleet.run_for(1.5)
    for router in fleet.routers.values():
        for kind in router.local_copy.kinds:
            position = router.local_copy.version(kind).revision
            assert position == positions.make(2, 40)
        assert "s1" in router.local_copy.servers
    assert "lost" not in reader.local_copy.servers


def test_report_of_the_lost_history_confirms_nothing() -> None:
    router = rig.Router()
    _read(router, 4, 2, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 25, 20, 5, False, 1)
    router.sharing._relay.handle_versions((edition,), 0.1)
    assert router.local_copy.configuration_age(router.clock.now) == 10.0


def test_routers_that_know_no_eras_are_understood() -> None:
    router = rig.Router()
    _read(router, 4, 2, 20)
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 25, 25, 5)
    configuration = builders.configuration(5)
    router.receive("r2", knowledge.Snapshot(edition, configuration))
    assert router.local_copy.configuration == configuration
    position = router.local_copy.version(source.Kind.CONFIGURATION).revision
    assert position == positions.make(2, 25)


def test_doubts_about_a_zone_end_at_all_routers() -> None:
    old, new = rig.Router(), rig.Router(address="r2")
    for router in (old, new):
        _read(router, 4, 1, 50)
        router.local_copy.zones_out = frozenset(("z1",))
    old.sharing._relay._applier.replace(source.Kind.ZONES, (), 0.0, True)
    _read(old, 4, 2, 40)
    snapshot = old.sharing._relay._snapshot(source.Kind.ZONES, old.clock.now)
    new.receive("r1", snapshot)
    assert new.local_copy.zones_out == {"z1"}
    new.clock.now += const.ZONE_DOUBT_S + 0.1
    new.sharing._relay._applier.remove_expired()
    assert not new.local_copy.zones_out
