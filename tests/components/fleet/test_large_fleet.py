"""Tests fleets with hubs, and the relay of the store's data."""

import math

from tamarackbridge.components.fleet import groups, messages
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.knowledge import models, source
from tests.components.fleet import rig
from tests.components.knowledge import builders


def test_every_router_of_a_large_fleet_counts_each_request_once() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.start_requests("s1", 2)
    fleet.run_for(2.0)
    assert fleet.requests_seen("s1") == {116}
    assert all(len(it.sharing.routers()) == 58 for it in fleet.routers.values())
    asked = {
        it.sharing.peers_use()["w"].requested for it in fleet.routers.values()
    }
    assert asked == {570.0}


def test_large_fleet_sends_fewer_messages_than_a_full_mesh() -> None:
    fleet = rig.Fleet(73)
    fleet.run_for(2.0)
    fleet.message_counts.clear()
    fleet.run_for(1.0)
    assert fleet.message_counts.total() <= 10 * 73 * 4


def test_all_work_is_reported_again_after_the_loss_of_all_hubs() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.start_requests("s1", 1)
    fleet.run_for(2.0)
    fleet.kill(fleet.hubs())
    left = len(fleet.routers)
    fleet.run_for(4.0)
    assert fleet.requests_seen("s1") == {left}


def test_router_that_cannot_reach_its_hub_reports_to_another() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.start_requests("s1", 1)
    fleet.run_for(2.0)
    member = next(
        address
        for address, it in fleet.routers.items()
        if it.sharing.view.hub is not None
    )
    hub = fleet.routers[member].sharing.view.hub
    assert hub is not None
    fleet.cut |= {(member, hub), (hub, member)}
    fleet.run_for(4.0)
    assert fleet.routers[member].sharing.view.hub != hub
    assert fleet.requests_seen("s1") == {58}


def test_zones_exchange_reports_again_after_a_partition() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.start_requests("s1", 1)
    fleet.run_for(2.0)
    inside = [it for it, zone in fleet.zones.items() if zone == "z0"]
    outside = [it for it, zone in fleet.zones.items() if zone != "z0"]
    fleet.cut = {(a, b) for a in inside for b in outside}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    fleet.run_for(5.0)
    assert fleet.requests_seen("s1") == {len(inside), len(outside)}
    fleet.cut.clear()
    fleet.run_for(5.0)
    assert fleet.requests_seen("s1") == {58}


def test_router_that_knows_one_hub_is_introduced() -> None:
    fleet = rig.Fleet(58)
    late_router = rig.Router(address="r99", zone="z1", clock=fleet.clock)
    late_router.sharing.view.peers.add(min(fleet.hubs()), "z1", fleet.clock.now)
    fleet.run_for(2.0)
    first = min(fleet.hubs())
    late_router.sharing.view.peers.add(first, "z1", fleet.clock.now)
    fleet.routers["r99"] = late_router
    late_router.start_requests("s1", 1)
    fleet.run_for(4.0)
    assert len(late_router.sharing.routers()) == 59
    assert fleet.requests_seen("s1") == {1}


def _confirm(router: rig.Router, version: int, revision: int) -> None:
    router.local_copy.apply_configuration(builders.configuration(version))
    for kind in source.Kind:
        router.local_copy.record_full_read(kind, revision)
        router.local_copy.confirm(kind, router.clock.now)


def test_hubs_relay_the_store_data_to_all_routers() -> None:
    fleet = rig.Fleet(58)
    fleet.run_for(2.0)
    for hub in fleet.hubs():
        router = fleet.routers[hub]
        _confirm(router, 4, 20)
        router.local_copy.register(builders.server("s1", cold_s=5.0), 100.0)
    fleet.run_for(1.0)
    now = fleet.clock.now
    for router in fleet.routers.values():
        assert router.local_copy.configuration == builders.configuration(4)
        assert router.local_copy.may_accept_keys(now)
        assert [
            it.server.name for it in router.local_copy.usable("lm", now)
        ] == ["s1"]
        assert router.local_copy.servers["s1"].warm_at < 105.5
    fleet.run_for(5.0)
    assert not any(
        it.local_copy.may_accept_keys(fleet.clock.now)
        for it in fleet.routers.values()
    )


def test_router_started_without_the_store_gets_its_data_from_a_peer() -> None:
    old, new = rig.Router(), rig.Router(address="r2")
    _confirm(old, 4, 20)
    new.sharing.view.peers.add("r1", "z1", 100.0)
    new.sharing._share()
    old.receive("r2", new.links.reports()["r1"])
    for _, msg in old.links.posted:
        new.receive("r1", msg, 0.1)
    assert new.local_copy.configuration == builders.configuration(4)
    assert new.local_copy.is_complete()


def test_older_snapshot_is_ignored() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 19, 19, 0)
    old: models.Configuration = builders.configuration(3)
    router.clock.now += 10.0
    router.receive("r2", knowledge.Snapshot(edition, old))
    assert router.local_copy.configuration == builders.configuration(4)
    assert router.local_copy.configuration_age(router.clock.now) == 10.0


def test_report_of_unknown_age_confirms_nothing() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 25, 20, 5)
    report = messages.Report(messages.Direction.ACROSS, versions=(edition,))
    router.receive("r2", report, math.inf)
    assert router.local_copy.configuration_age(router.clock.now) == 10.0
    router.receive("r2", report, 0.1)
    assert (
        abs(router.local_copy.configuration_age(router.clock.now) - 0.105)
        < 1e-6
    )


def test_router_that_missed_a_change_is_not_confirmed() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 30, 25, 5)
    router.receive(
        "r2",
        messages.Report(messages.Direction.ACROSS, versions=(edition,)),
        0.0,
    )
    assert router.local_copy.configuration_age(router.clock.now) == 10.0


def test_fleet_of_the_meshed_size_has_no_groups() -> None:
    fleet = rig.Fleet(groups.MESH_ROUTERS)
    fleet.run_for(1.0)
    assert fleet.hubs() == fleet.routers.keys()


def test_announced_shutdown_reaches_all_routers() -> None:
    """An announcement that one router received has to reach all the others.

    The store is unreachable, so that they learn of it in no other way.
    """
    fleet = rig.Fleet(48)
    fleet.run_for(3.0)
    server = builders.server("s1")
    reporter = next(it for it in fleet.routers if it not in fleet.hubs())
    fleet.routers[reporter].notices.record_shutdown(server, fleet.clock.now)
    fleet.run_for(0.6)
    informed = [
        address
        for address, it in fleet.routers.items()
        if it.notices.is_shutting_down(server)
    ]
    assert len(informed) == 48


def _store_readers(fleet: rig.Fleet) -> set[str]:
    """Returns the hubs to which no other router relays the store's data."""
    now = fleet.clock.now
    return {
        address
        for address, it in fleet.routers.items()
        if not it.sharing.view.store_reader(now)
    }


def test_few_hubs_read_the_store_for_the_whole_fleet() -> None:
    """Guards against a load on the store that grows with the fleet.

    Each router that watches the store makes a call every second or two.
    """
    fleet = rig.Fleet(195)
    fleet.run_for(2.0)
    readers = _store_readers(fleet)
    assert len(readers) == groups.STORE_READERS
    assert len({fleet.zones[it] for it in readers}) == groups.STORE_READERS
    for reader in readers:
        _confirm(fleet.routers[reader], 4, 20)
    fleet.run_for(1.0)
    now = fleet.clock.now
    for router in fleet.routers.values():
        assert router.local_copy.configuration == builders.configuration(4)
        assert router.local_copy.may_accept_keys(now)


def test_other_store_readers_remain_after_the_loss_of_one() -> None:
    fleet = rig.Fleet(58)
    fleet.run_for(2.0)
    before = _store_readers(fleet)
    fleet.kill([min(before)])
    fleet.run_for(0.9)
    assert _store_readers(fleet) >= before - {min(before)}
    fleet.run_for(7.0)
    assert len(_store_readers(fleet)) == groups.STORE_READERS


def test_lost_store_readers_are_replaced_within_a_second() -> None:
    fleet = rig.Fleet(58)
    fleet.run_for(2.0)
    fleet.kill(_store_readers(fleet))
    fleet.run_for(0.9)
    readers = _store_readers(fleet)
    for hub in fleet.hubs() - readers:
        view = fleet.routers[hub].sharing.view
        assert view.store_reader(fleet.clock.now) in readers
    fleet.run_for(8.0)
    assert len(_store_readers(fleet)) == groups.STORE_READERS


def test_router_that_lacks_a_change_reads_the_store() -> None:
    """A hub must not wait for a store reader that is behind.

    The call of its store reader hangs, while another hub reports a newer
    change.
    """
    fleet = rig.Fleet(58)
    fleet.run_for(2.0)
    hub = next(iter(fleet.hubs() - _store_readers(fleet)))
    router = fleet.routers[hub]
    _confirm(router, 4, 20)
    kind = source.Kind.SERVERS
    assert router.sharing.is_relayed(kind)
    edition = knowledge.Edition(kind, 25, 25, 5)
    report = messages.Report(messages.Direction.ACROSS, versions=(edition,))
    other = next(iter(fleet.hubs() - {hub}))
    for _ in range(6):
        router.receive(other, report)
        fleet.run_for(0.1)
    assert not router.sharing.is_relayed(kind)
    assert router.sharing.is_relayed(source.Kind.ZONES)
    router.local_copy.record_revision(kind, 25, changed=True)
    router.receive(other, report)
    assert router.sharing.is_relayed(kind)


def test_two_hubs_never_rely_on_each_other_for_the_store_data() -> None:
    fleet = rig.Fleet(58)
    fleet.run_for(2.0)
    hub = next(iter(fleet.hubs() - _store_readers(fleet)))
    view = fleet.routers[hub].sharing.view
    reader = view.store_reader(fleet.clock.now)
    view._states[reader].store_reader = hub
    assert view.store_reader(fleet.clock.now) != reader
