"""Fleets with hubs, and knowledge that is passed on."""

import math

from tamarackbridge.components.fleet import groups, messages
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.knowledge import models, source
from tests.components.fleet import rig
from tests.components.knowledge import builders


def test_every_router_of_a_large_fleet_counts_each_request_once() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 2)
    fleet.play(2.0)
    assert fleet.seen("s1") == {116}
    assert all(len(it.sharing.routers()) == 58 for it in fleet.routers.values())
    asked = {
        it.sharing.others_use()["w"].requested for it in fleet.routers.values()
    }
    assert asked == {570.0}


def test_large_fleet_tells_less_than_all_to_all() -> None:
    fleet = rig.Fleet(73)
    fleet.play(2.0)
    fleet.messages.clear()
    fleet.play(1.0)
    assert fleet.messages.total() <= 10 * 73 * 4


def test_loss_of_all_hubs_is_made_good() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 1)
    fleet.play(2.0)
    fleet.kill(fleet.hubs())
    left = len(fleet.routers)
    fleet.play(4.0)
    assert fleet.seen("s1") == {left}


def test_router_that_can_not_reach_its_hub_takes_another() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 1)
    fleet.play(2.0)
    router = next(
        address
        for address, it in fleet.routers.items()
        if it.sharing.view.hub is not None
    )
    hub = fleet.routers[router].sharing.view.hub
    assert hub is not None
    fleet.cut |= {(router, hub), (hub, router)}
    fleet.play(4.0)
    assert fleet.routers[router].sharing.view.hub != hub
    assert fleet.seen("s1") == {58}


def test_zone_that_was_cut_off_is_found_again() -> None:
    fleet = rig.Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 1)
    fleet.play(2.0)
    inside = [it for it, zone in fleet.zones.items() if zone == "z0"]
    outside = [it for it, zone in fleet.zones.items() if zone != "z0"]
    fleet.cut = {(a, b) for a in inside for b in outside}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    fleet.play(5.0)
    assert fleet.seen("s1") == {len(inside), len(outside)}
    fleet.cut.clear()
    fleet.play(5.0)
    assert fleet.seen("s1") == {58}


def test_router_that_knows_too_few_is_introduced() -> None:
    fleet = rig.Fleet(58)
    late = rig.Router(address="r99", zone="z1", clock=fleet.clock)
    late.sharing.view.peers.know(min(fleet.hubs()), "z1", fleet.clock.now)
    fleet.play(2.0)
    first = min(fleet.hubs())
    late.sharing.view.peers.know(first, "z1", fleet.clock.now)
    fleet.routers["r99"] = late
    late.run("s1", 1)
    fleet.play(4.0)
    assert len(late.sharing.routers()) == 59
    assert fleet.seen("s1") == {1}


def _confirm(router: rig.Router, version: int, revision: int) -> None:
    router.known.take_configuration(builders.configuration(version))
    for kind in source.Kind:
        router.known.restart(kind, revision)
        router.known.confirm(kind, router.clock.now)


def test_hubs_tell_the_rest_what_the_store_holds() -> None:
    fleet = rig.Fleet(58)
    fleet.play(2.0)
    for hub in fleet.hubs():
        router = fleet.routers[hub]
        _confirm(router, 4, 20)
        router.known.register(builders.server("s1", cold_s=5.0), 100.0)
    fleet.play(1.0)
    now = fleet.clock.now
    for router in fleet.routers.values():
        assert router.known.configuration == builders.configuration(4)
        assert router.known.may_honour_keys(now)
        assert [it.server.name for it in router.known.usable("lm", now)] == [
            "s1"
        ]
        assert router.known.servers["s1"].cold_until < 105.5
    fleet.play(5.0)
    assert not any(
        it.known.may_honour_keys(fleet.clock.now)
        for it in fleet.routers.values()
    )


def test_router_that_starts_while_the_store_is_away_is_told() -> None:
    old, new = rig.Router(), rig.Router(address="r2")
    _confirm(old, 4, 20)
    new.sharing.view.peers.know("r1", "z1", 100.0)
    new.sharing._share()
    old.hear("r2", new.wire.reports()["r1"])
    for _, msg in old.wire.posted:
        new.hear("r1", msg, 0.1)
    assert new.known.configuration == builders.configuration(4)
    assert new.known.complete()


def test_older_knowledge_is_not_taken() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 19, 19, 0)
    old: models.Configuration = builders.configuration(3)
    router.clock.now += 10.0
    router.hear("r2", knowledge.Snapshot(edition, old))
    assert router.known.configuration == builders.configuration(4)
    assert router.known.configuration_age(router.clock.now) == 10.0


def test_message_of_unknown_age_confirms_nothing() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 25, 20, 5)
    report = messages.Report(messages.Way.ACROSS, editions=(edition,))
    router.hear("r2", report, math.inf)
    assert router.known.configuration_age(router.clock.now) == 10.0
    router.hear("r2", report, 0.1)
    assert abs(router.known.configuration_age(router.clock.now) - 0.105) < 1e-6


def test_router_that_missed_a_change_is_not_confirmed() -> None:
    router = rig.Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 30, 25, 5)
    router.hear(
        "r2", messages.Report(messages.Way.ACROSS, editions=(edition,)), 0.0
    )
    assert router.known.configuration_age(router.clock.now) == 10.0


def test_fleet_of_the_meshed_size_has_no_groups() -> None:
    fleet = rig.Fleet(groups.MESH_ROUTERS)
    fleet.play(1.0)
    assert fleet.hubs() == fleet.routers.keys()


def test_all_routers_learn_that_a_server_leaves() -> None:
    """One router of a large fleet has read it; the store is away."""
    fleet = rig.Fleet(48)
    fleet.play(3.0)
    server = builders.server("s1")
    follower = next(it for it in fleet.routers if it not in fleet.hubs())
    fleet.routers[follower].notices.note_leaving(server, fleet.clock.now)
    fleet.play(0.6)
    knowing = [
        address
        for address, it in fleet.routers.items()
        if it.notices.is_leaving(server)
    ]
    assert len(knowing) == 48


def _readers(fleet: rig.Fleet) -> set[str]:
    """Returns the hubs that nobody tells what the store holds."""
    now = fleet.clock.now
    return {
        address
        for address, it in fleet.routers.items()
        if not it.sharing.view.teller(now)
    }


def test_few_readers_tell_the_whole_fleet() -> None:
    """Each watch of a hub on the store costs a call every second or two."""
    fleet = rig.Fleet(195)
    fleet.play(2.0)
    readers = _readers(fleet)
    assert len(readers) == groups.READERS
    assert len({fleet.zones[it] for it in readers}) == groups.READERS
    for reader in readers:
        _confirm(fleet.routers[reader], 4, 20)
    fleet.play(1.0)
    now = fleet.clock.now
    for router in fleet.routers.values():
        assert router.known.configuration == builders.configuration(4)
        assert router.known.may_honour_keys(now)


def test_lost_reader_is_made_up_for_by_the_others() -> None:
    fleet = rig.Fleet(58)
    fleet.play(2.0)
    before = _readers(fleet)
    fleet.kill([min(before)])
    fleet.play(0.9)
    assert _readers(fleet) >= before - {min(before)}
    fleet.play(7.0)
    assert len(_readers(fleet)) == groups.READERS


def test_lost_readers_are_replaced_within_a_second() -> None:
    fleet = rig.Fleet(58)
    fleet.play(2.0)
    fleet.kill(_readers(fleet))
    fleet.play(0.9)
    readers = _readers(fleet)
    for hub in fleet.hubs() - readers:
        view = fleet.routers[hub].sharing.view
        assert view.teller(fleet.clock.now) in readers
    fleet.play(8.0)
    assert len(_readers(fleet)) == groups.READERS


def test_router_that_lacks_a_change_reads_for_itself() -> None:
    """Its reader hangs on a call; another hub tells of a newer change."""
    fleet = rig.Fleet(58)
    fleet.play(2.0)
    told = next(iter(fleet.hubs() - _readers(fleet)))
    router = fleet.routers[told]
    _confirm(router, 4, 20)
    kind = source.Kind.SERVERS
    assert router.sharing.is_told(kind)
    edition = knowledge.Edition(kind, 25, 25, 5)
    report = messages.Report(messages.Way.ACROSS, editions=(edition,))
    other = next(iter(fleet.hubs() - {told}))
    for _ in range(6):
        router.hear(other, report)
        fleet.play(0.1)
    assert not router.sharing.is_told(kind)
    assert router.sharing.is_told(source.Kind.ZONES)
    router.known.advance(kind, 25, changed=True)
    router.hear(other, report)
    assert router.sharing.is_told(kind)


def test_two_hubs_never_rely_on_each_other() -> None:
    fleet = rig.Fleet(58)
    fleet.play(2.0)
    told = next(iter(fleet.hubs() - _readers(fleet)))
    view = fleet.routers[told].sharing.view
    teller = view.teller(fleet.clock.now)
    view._told[teller].reader = told
    assert view.teller(fleet.clock.now) != teller
