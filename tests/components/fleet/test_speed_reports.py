"""Tests of the exchange of learned server speeds between routers."""

import math

import msgspec
import pytest

from tamarackbridge.components.admission import service_demand
from tamarackbridge.components.fleet import messages, speed_reports
from tamarackbridge.components.placement import server_speeds
from tests.components.fleet import rig
from tests.components.knowledge import builders

NAMES = tuple(f"p{number}" for number in range(5))
SLOW = "p0"


def _add_servers(router: rig.Router) -> None:
    for name in NAMES:
        server = builders.server(name, "app", slots=6)
        router.local_copy.register(server, router.clock.now)


def _make_fleet(count: int) -> rig.Fleet:
    fleet = rig.Fleet(count)
    for router in fleet.routers.values():
        _add_servers(router)
    return fleet


def _observe(router: rig.Router, slow: float = 2.5, count: int = 1) -> None:
    """One router observes each server; the first one is slow."""
    for name in NAMES:
        for _ in range(count):
            log_time = math.log(slow) if name == SLOW else 0.0
            router.speeds.observe(name, log_time, 0.3, router.clock.now)


def _weights(fleet: rig.Fleet) -> set[float]:
    """Returns the different weights that routers know of one server."""
    found = set()
    for router in fleet.routers.values():
        server = router.local_copy.servers[SLOW].server
        now = router.clock.now
        sums = router.speeds.store.merged(server, now).now(now)
        found.add(round(sums.idle_w, 0))
    return found


def _slowness(router: rig.Router) -> float:
    estimate = router.speeds.estimate(SLOW, router.clock.now)
    return estimate.relative_slowness


def test_each_observation_counts_once_at_every_router() -> None:
    """Hubs pass sums on; none may come back to the router that sent it."""
    fleet = _make_fleet(58)
    fleet.run_for(2.0)
    for router in fleet.routers.values():
        _observe(router)
    fleet.run_for(1.5)
    decayed = 58 * math.exp(-1.5 / 30.0)
    assert all(abs(weight - decayed) <= 2.0 for weight in _weights(fleet))


def test_fleet_learns_what_single_routers_can_not() -> None:
    """A quarter of the routers see one request each; all know within 0.8 s."""
    fleet = _make_fleet(81)
    fleet.run_for(2.0)
    for number, router in enumerate(fleet.routers.values()):
        if number % 4 == 0:
            _observe(router)
    fleet.run_for(0.8)
    assert all(_slowness(router) > 1.5 for router in fleet.routers.values())


def test_new_router_knows_all_speeds_after_its_first_reports() -> None:
    fleet = _make_fleet(58)
    fleet.run_for(2.0)
    for router in fleet.routers.values():
        _observe(router)
    fleet.run_for(1.0)
    late = rig.Router(address="r99", zone="z1", clock=fleet.clock)
    _add_servers(late)
    for address, zone in fleet.zones.items():
        late.sharing.view.peers.add(address, zone, fleet.clock.now)
    fleet.routers["r99"] = late
    fleet.run_for(0.6)
    assert _slowness(late) > 1.5


def test_zones_learn_apart_and_together_again_after_a_cut() -> None:
    fleet = _make_fleet(58)
    fleet.run_for(2.0)
    inside = [it for it, zone in fleet.zones.items() if zone == "z0"]
    outside = [it for it, zone in fleet.zones.items() if zone != "z0"]
    fleet.cut = {(a, b) for a in inside for b in outside}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    fleet.run_for(5.0)
    for _ in range(10):
        for router in fleet.routers.values():
            _observe(router)
        fleet.run_for(0.1)
    assert all(_slowness(router) > 1.5 for router in fleet.routers.values())
    assert max(_weights(fleet)) - min(_weights(fleet)) > 100
    fleet.cut.clear()
    fleet.run_for(5.0)
    _observe(fleet.routers[inside[0]], count=40)
    fleet.run_for(1.2)
    assert max(_weights(fleet)) - min(_weights(fleet)) <= 2


def test_restarted_fleet_learns_slow_servers_within_a_second() -> None:
    """All routers start at once while one of five servers is slow."""
    fleet = _make_fleet(58)
    for _ in range(10):
        for number, router in enumerate(fleet.routers.values()):
            if number % 8 == 0:
                _observe(router)
        fleet.run_for(0.1)
    known = [_slowness(router) > 1.5 for router in fleet.routers.values()]
    assert sum(known) == 58


def test_sums_of_a_former_incarnation_are_ignored() -> None:
    fleet = _make_fleet(6)
    fleet.run_for(1.0)
    first, *others = fleet.routers.values()
    restarted = builders.server(SLOW, "app", address="10.0.0.9:1", slots=6)
    for router in others:
        router.local_copy.register(restarted, router.clock.now)
    _observe(first)
    fleet.run_for(1.0)
    assert all(_slowness(router) == 1.0 for router in others)


def test_each_router_knows_the_demand_of_all() -> None:
    fleet = _make_fleet(58)
    fleet.run_for(2.0)
    for _ in range(20):
        for router in fleet.routers.values():
            for is_once in (True, False, False, False):
                router.demand.record_arrival("app", is_once, fleet.clock.now)
        fleet.run_for(0.1)
    for router in fleet.routers.values():
        own, whole = router.demand.of("app", fleet.clock.now)
        assert whole.per_s == pytest.approx(58 * own.per_s, rel=0.25)
        assert whole.once_per_s == pytest.approx(whole.per_s / 4, rel=0.01)


def test_reports_contain_only_servers_with_news() -> None:
    router = rig.Router({"r2": "z1"})
    _add_servers(router)
    router.sharing.view.peers.add("r2", "z1", router.clock.now)
    router.sharing.view.peers.record_message("r2", router.clock.now)
    counts = []
    for step in range(40):
        router.clock.now += 0.05
        router.sharing.view.peers.record_message("r2", router.clock.now)
        if step == 24:
            router.speeds.observe(SLOW, 0.5, 0.3, router.clock.now)
        router.sharing._share()
        report = router.links.reports().get("r2")
        router.links.posted.clear()
        counts.append(len(report.server_speeds) if report else 0)
    assert sum(counts[24:]) == 1


def test_report_is_bounded_and_its_encoding_small() -> None:
    router = rig.Router()
    for number in range(300):
        server = builders.server(f"app-{number:04}", "app", slots=6)
        router.local_copy.register(server, router.clock.now)
    reports = speed_reports.SpeedReports(
        router.speeds.store, service_demand.ServiceDemand()
    )
    sizes = []
    for _ in range(12):
        router.clock.now += 0.3
        for number in range(300):
            name = f"app-{number:04}"
            router.speeds.observe(name, 0.5, 0.3, router.clock.now)
        out = speed_reports.report_builder.Outgoing(
            "r2", messages.Report(messages.Direction.ACROSS)
        )
        (sent,) = reports.add([out], (), ("r2",), router.clock.now)
        sizes.append(len(sent.report.server_speeds))
        encoded = msgspec.msgpack.encode(sent.report)
        assert len(encoded) <= 64 * len(sent.report.server_speeds) + 64
    assert sizes[0] == 300
    assert max(sizes[speed_reports.FIRST_ROUNDS :]) == speed_reports.MAX_SERVERS


def test_sums_of_servers_that_are_gone_do_not_stay() -> None:
    """Another router may report a server after this one has forgotten it."""
    fleet = _make_fleet(6)
    fleet.run_for(1.0)
    for router in fleet.routers.values():
        _observe(router)
    first = next(iter(fleet.routers.values()))
    del first.local_copy.servers[SLOW]
    first.speeds.forget(SLOW)
    fleet.run_for(1.0)
    assert SLOW in first.speeds.store.names()
    fleet.run_for(45.0)
    assert SLOW not in first.speeds.store.names()


@pytest.mark.parametrize("sums", [(), (1,) * 40])
def test_sums_of_another_form_are_ignored(sums: tuple[int, ...]) -> None:
    """A router of another version may report more or fewer sums."""
    router = rig.Router()
    _add_servers(router)
    entry = messages.ServerSpeed(SLOW, 1, 0, sums)
    report = messages.Report(messages.Direction.DOWN, server_speeds=(entry,))
    store = server_speeds.ServerSpeeds(router.local_copy).store
    demand = service_demand.ServiceDemand()
    speed_reports.SpeedReports(store, demand).apply("r2", report, 100.0)
    assert not store.names()
