"""Rollouts in the reports of small and large fleets."""

import pytest

from tamarackbridge import messages as wire
from tamarackbridge.components.fleet import messages, rollout_reports
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import source
from tamarackbridge.components.rollout import models as rollout
from tests.components.fleet import rig
from tests.components.knowledge import builders
from tests.components.rollout import fleet as orders

CELL = rollout.CellKey("r", "z1", True)


def _fleet(count: int) -> rig.Fleet:
    """Returns a fleet in which each router has two responses, one bad."""
    fleet = rig.Fleet(count, orders.BOUNDS)
    for router in fleet.routers.values():
        _learn(router, fleet.clock.now)
        evidence = router.gate.orders["app"].evidence
        for outcome in (jobs.Outcome.SERVED, jobs.Outcome.FAILED):
            evidence.record_sent(outcome, CELL, fleet.clock.now)
            evidence.record_end(outcome, outcome, fleet.clock.now)
    return fleet


def _learn(router: rig.Router, now: float) -> None:
    router.local_copy.configuration = builders.configuration()
    router.local_copy.record_revision(source.Kind.ROLLOUTS, 9, True)
    router.gate.sync(now)
    router.local_copy.rollouts = {"app": orders.order()}
    router.gate.sync(now)


def _run(fleet: rig.Fleet, seconds: float) -> None:
    for _ in range(round(seconds / 0.1)):
        for router in fleet.routers.values():
            router.gate.tick(fleet.clock.now)
        fleet.run_for(0.1)


def _responses(fleet: rig.Fleet) -> set[tuple[int, int]]:
    found = set()
    for router in fleet.routers.values():
        counts = router.gate.orders["app"].fleet.cells[CELL]
        found.add((counts.responses, counts.bad))
    return found


@pytest.mark.parametrize("count", [3, 58])
def test_every_router_counts_each_response_once(count: int) -> None:
    """Guards against sums that hubs count twice, or not at all."""
    fleet = _fleet(count)
    _run(fleet, 3.0)
    assert _responses(fleet) == {(2 * count, count)}
    assert {
        router.gate.orders["app"].fleet.routers
        for router in fleet.routers.values()
    } == {count}
    lost = fleet.hubs() if count > 16 else {"r00"}
    fleet.kill(lost)
    _run(fleet, 4.0)
    left = count - len(lost)
    assert _responses(fleet) == {(2 * left, left)}


def test_verdict_reaches_all_routers_of_a_large_fleet() -> None:
    """Guards against routers that go on sending to a bad version."""
    fleet = _fleet(58)
    _run(fleet, 2.0)
    fleet.routers["r33"].gate.orders["app"].phase = rollout.Phase.BAD
    _run(fleet, 1.2)
    phases = {it.gate.orders["app"].phase for it in fleet.routers.values()}
    assert phases == {rollout.Phase.BAD}


def test_orders_are_relayed() -> None:
    """Guards against routers that read the store for each order."""
    fleet = rig.Fleet(20, orders.BOUNDS)
    fleet.run_for(1.0)
    hub = fleet.routers[min(fleet.hubs())]
    hub.local_copy.rollouts = {"app": orders.order()}
    kind = source.Kind.ROLLOUTS
    hub.local_copy.record_full_read(kind, 40)
    hub.local_copy.confirm(kind, fleet.clock.now)
    fleet.run_for(2.0)
    known = [it.local_copy.rollouts for it in fleet.routers.values()]
    assert known == [{"app": orders.order()}] * 20


def test_report_without_rollouts_is_as_long_as_before() -> None:
    """Guards against a field that deployments without rollouts send."""
    fleet = rig.Fleet(2)
    fleet.run_for(1.0)
    fleet.routers["r00"].sharing._share()
    reports = fleet.routers["r00"].links.reports().values()
    assert [report.rollouts for report in reports] == [None]


def test_tallies_survive_the_wire() -> None:
    identity = rollout.Identity("app", 10, "v2", 12_000)
    tally = rollout.Tally(
        rollout.Phase.MOVING, 50, 3, 2, 1, 9, {CELL: rollout.Counts(4, 1, 1, 7)}
    )
    report = messages.Report(
        messages.Direction.UP,
        rollouts=rollout_reports.encode({identity: tally}),
    )
    decoder = wire.Decoder(messages.PEER_MESSAGES)
    found = decoder.decode(wire.encode_message(report))
    assert isinstance(found, messages.Report)
    assert found.rollouts is not None
    assert rollout_reports.decode(found.rollouts, 0.0) == {identity: tally}
