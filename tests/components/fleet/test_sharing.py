"""Routers that tell each other, without a network between them."""

import asyncio
import collections
from collections.abc import Iterable
import math
from typing import cast

from tamarackbridge import core
from tamarackbridge.components.admission import shares
from tamarackbridge.components.fleet import groups, messages, peers, sharing
from tamarackbridge.components.fleet import view as fleet_view
from tamarackbridge.components.knowledge import (
    applier,
    models,
    relay,
    source,
    state,
)
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.placement import ledger, parts
from tamarackbridge.components.transport import service as transport
from tests.components.knowledge import builders

Way = messages.Way


class VirtualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 0.0


class Wire:
    """Takes what a router posts."""

    def __init__(self) -> None:
        self.posted: list[tuple[str, core.Message]] = []
        self.addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses

    def post(self, to: str, msg: core.Message) -> None:
        self.posted.append((to, msg))

    def reports(self) -> dict[str, messages.Report]:
        return {
            to: msg
            for to, msg in self.posted
            if isinstance(msg, messages.Report)
        }


class ListedRouters:
    def __init__(self, listed: dict[str, str] | None) -> None:
        self.listed = listed

    async def async_enter(self, address: str, zone: str) -> bool:
        return self.listed is not None

    async def async_leave(self, address: str) -> None:
        """Nothing is kept."""

    async def async_routers(self) -> dict[str, str] | None:
        return self.listed


class Router:
    def __init__(
        self,
        listed: dict[str, str] | None = None,
        seeds: tuple[str, ...] = (),
        address: str = "r1",
        zone: str = "z1",
        clock: VirtualClock | None = None,
    ) -> None:
        self.clock = clock or VirtualClock()
        self.work, self.held = ledger.Ledger(), parts.HeldParts()
        self.known = state.Knowledge(builders.BOUNDS)
        self.fresh: list[tuple[str, int]] = []
        self.wire = Wire()
        taking = applier.Applier(
            self.known, self.clock, lambda: None, lambda name: None
        )
        relaying = relay.Relay(self.known, taking, self.clock)
        own = fleet_view.Own(
            work=self.work,
            held=self.held,
            use=lambda: {"w": shares.Use(10.0, 5.0)},
            fresh_parts=self._take_fresh,
            read_per_s=lambda server: 0.0,
            editions=relaying.editions,
        )
        self.sharing = sharing.SharingService(
            address,
            zone,
            seeds,
            ListedRouters(listed),
            self.clock,
            own,
            relaying,
            lambda: None,
        )
        self.sharing.use(cast(transport.PeerService, self.wire))

    def _take_fresh(self) -> list[tuple[str, int]]:
        fresh, self.fresh = self.fresh, []
        return fresh

    def hear(self, src: str, msg: core.Message, age_s: float = 0.0) -> None:
        self.sharing.receive(core.Delivery(src, msg, age_s))

    def run(self, server: str, requests: int) -> None:
        """Begins requests at a server."""
        registered = builders.server(server)
        for _ in range(requests):
            self.work.begin(ledger.Ticket(registered, "w", 1_000, 2_000, 0.0))

    def requests_at(self, server: str) -> int:
        """Returns the requests that the whole fleet has at a server."""
        return self.work.at(server, self.clock.now, 0.0).requests


REPORT = messages.Report(
    Way.ACROSS,
    work=(messages.ServerWork("s1", 3, 9_000, 12_000),),
    held=(messages.Held("s1", (11,)),),
    use=(messages.WorkspaceUse("w", 100, 60),),
    routers=(messages.ZoneRouters("z2", ("r2",)),),
)


def test_what_is_heard_is_in_the_view() -> None:
    router = Router()
    router.hear("r2", REPORT)
    assert router.work.at("s1", 100.0, 0.0).unread == 9_000
    assert router.sharing.others_use() == {"w": shares.Use(100.0, 60.0)}
    assert router.sharing.routers() == ("r1", "r2")


def test_late_message_counts_from_its_sending() -> None:
    router = Router()
    router.hear("r2", REPORT, age_s=0.125)
    assert router.work.at("s1", 100.0, 40_000.0).unread == 4_000


def test_first_message_of_unknown_age_is_taken() -> None:
    router = Router()
    router.hear("r2", REPORT, age_s=math.inf)
    assert router.requests_at("s1") == 3


def test_silent_router_has_no_work_but_counts_for_budgets() -> None:
    router = Router()
    router.hear("r2", REPORT)
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.settle(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING
    assert router.sharing.others_use() == {}
    assert router.sharing.routers() == ("r1", "r2")
    router.clock.now += peers.REMEMBERED_S
    assert router.sharing.routers() == ("r1",)


def test_work_without_use_is_forgotten_too() -> None:
    router = Router()
    router.hear("r2", messages.Report(Way.ACROSS, work=REPORT.work))
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.settle(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING


def test_gone_routers_are_dropped() -> None:
    router = Router()
    router.hear("r2", REPORT)
    router.clock.now += peers.GONE_S + 1
    assert router.sharing.view.peers.drop_gone(router.clock.now) == ("r2",)
    assert router.sharing.view.peers.addresses == ()


def test_router_that_nobody_listed_is_told_from_then_on() -> None:
    router = Router()
    router.hear("r9", REPORT)
    router.sharing._share()
    assert "r9" in router.wire.reports()
    assert "r9" in router.wire.addresses


def test_part_in_use_is_told_once_until_it_grows_old() -> None:
    held = parts.HeldParts()
    assert held.note("s1", 7, 100.0)
    assert not held.note("s1", 7, 101.0)
    assert held.note("s1", 7, 101.0 + parts.RETELL_S + 0.1)


async def _async_until_posted(router: Router, count: int) -> None:
    for _ in range(2000):
        if len(router.wire.posted) >= count:
            return
        await asyncio.sleep(0.005)
    raise AssertionError("nothing was told")


async def test_listed_routers_and_seeds_are_told() -> None:
    router = Router({"r1": "z1", "r2": "z2"}, seeds=("r1", "r3"))
    await router.sharing.on_start()
    await _async_until_posted(router, 2)
    await router.sharing.on_stop()
    assert router.wire.reports().keys() == {"r2", "r3"}


async def test_seeds_are_enough_while_the_store_is_away() -> None:
    router = Router(None, seeds=("r3",))
    router.fresh.append(("s1", 7))
    await router.sharing.on_start()
    await _async_until_posted(router, 1)
    await router.sharing.on_stop()
    to, msg = router.wire.posted[0]
    assert to == "r3"
    assert isinstance(msg, messages.Report)
    assert msg.held == (messages.Held("s1", (7,)),)


def test_bounds_of_the_fleet_are_not_about_one_router() -> None:
    assert builders.BOUNDS.retry_window_s < peers.REMEMBERED_S


class Fleet:
    """Routers on one virtual clock, with links that can be cut."""

    def __init__(self, count: int) -> None:
        self.clock = VirtualClock()
        self.zones = {f"r{it:02}": f"z{it % 3}" for it in range(count)}
        self.routers = {
            address: Router(address=address, zone=zone, clock=self.clock)
            for address, zone in self.zones.items()
        }
        self.cut: set[tuple[str, str]] = set()
        self.messages: collections.Counter[str] = collections.Counter()
        for router in self.routers.values():
            for address, zone in self.zones.items():
                peers_of = router.sharing.view.peers
                peers_of.know(address, zone, self.clock.now)

    def play(self, seconds: float) -> None:
        """Lets all routers share every 0.1 s; each message takes one turn."""
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            for router in self.routers.values():
                router.sharing._share()
            for src, router in self.routers.items():
                posted, router.wire.posted = router.wire.posted, []
                for to, msg in posted:
                    self.messages[src] += 1
                    if to in self.routers and (src, to) not in self.cut:
                        self.routers[to].hear(src, msg)

    def kill(self, addresses: Iterable[str]) -> None:
        for address in list(addresses):
            del self.routers[address]

    def hubs(self) -> set[str]:
        return {
            address
            for address, it in self.routers.items()
            if it.sharing.view.hub is None
        }

    def seen(self, server: str) -> set[int]:
        return {it.requests_at(server) for it in self.routers.values()}


def test_every_router_of_a_large_fleet_counts_each_request_once() -> None:
    fleet = Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 2)
    fleet.play(2.0)
    assert fleet.seen("s1") == {116}
    assert all(len(it.sharing.routers()) == 58 for it in fleet.routers.values())
    asked = {
        it.sharing.others_use()["w"].asked for it in fleet.routers.values()
    }
    assert asked == {570.0}


def test_large_fleet_tells_less_than_all_to_all() -> None:
    fleet = Fleet(73)
    fleet.play(2.0)
    fleet.messages.clear()
    fleet.play(1.0)
    assert fleet.messages.total() <= 10 * 73 * 4


def test_loss_of_all_hubs_is_made_good() -> None:
    fleet = Fleet(58)
    for router in fleet.routers.values():
        router.run("s1", 1)
    fleet.play(2.0)
    fleet.kill(fleet.hubs())
    left = len(fleet.routers)
    fleet.play(4.0)
    assert fleet.seen("s1") == {left}


def test_router_that_can_not_reach_its_hub_takes_another() -> None:
    fleet = Fleet(58)
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
    fleet = Fleet(58)
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
    fleet = Fleet(58)
    late = Router(address="r99", zone="z1", clock=fleet.clock)
    late.sharing.view.peers.know(min(fleet.hubs()), "z1", fleet.clock.now)
    fleet.play(2.0)
    first = min(fleet.hubs())
    late.sharing.view.peers.know(first, "z1", fleet.clock.now)
    fleet.routers["r99"] = late
    late.run("s1", 1)
    fleet.play(4.0)
    assert len(late.sharing.routers()) == 59
    assert fleet.seen("s1") == {1}


def _confirm(router: Router, version: int, revision: int) -> None:
    router.known.take_configuration(builders.configuration(version))
    for kind in source.Kind:
        router.known.restart(kind, revision)
        router.known.confirm(kind, router.clock.now)


def test_hubs_tell_the_rest_what_the_store_holds() -> None:
    fleet = Fleet(58)
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
    old, new = Router(), Router(address="r2")
    _confirm(old, 4, 20)
    new.sharing.view.peers.know("r1", "z1", 100.0)
    new.sharing._share()
    old.hear("r2", new.wire.reports()["r1"])
    for _, msg in old.wire.posted:
        new.hear("r1", msg, 0.1)
    assert new.known.configuration == builders.configuration(4)
    assert new.known.complete()


def test_older_knowledge_is_not_taken() -> None:
    router = Router()
    _confirm(router, 4, 20)
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 19, 19, 0)
    old: models.Configuration = builders.configuration(3)
    router.clock.now += 10.0
    router.hear("r2", knowledge.Snapshot(edition, old))
    assert router.known.configuration == builders.configuration(4)
    assert router.known.configuration_age(router.clock.now) == 10.0


def test_message_of_unknown_age_confirms_nothing() -> None:
    router = Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 25, 20, 5)
    report = messages.Report(Way.ACROSS, editions=(edition,))
    router.hear("r2", report, math.inf)
    assert router.known.configuration_age(router.clock.now) == 10.0
    router.hear("r2", report, 0.1)
    assert abs(router.known.configuration_age(router.clock.now) - 0.105) < 1e-6


def test_router_that_missed_a_change_is_not_confirmed() -> None:
    router = Router()
    _confirm(router, 4, 20)
    router.clock.now += 10.0
    edition = knowledge.Edition(source.Kind.CONFIGURATION, 30, 25, 5)
    router.hear("r2", messages.Report(Way.ACROSS, editions=(edition,)), 0.0)
    assert router.known.configuration_age(router.clock.now) == 10.0


def test_fleet_of_the_meshed_size_has_no_groups() -> None:
    fleet = Fleet(groups.MESH_ROUTERS)
    fleet.play(1.0)
    assert fleet.hubs() == fleet.routers.keys()
