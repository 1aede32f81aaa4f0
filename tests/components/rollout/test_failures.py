"""One failure each during an order: routers, the store, and bad input."""

import dataclasses
import random

import pytest

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.rollout import const
from tamarackbridge.components.rollout import evidence as rollout_evidence
from tamarackbridge.components.rollout import models as rollout
from tamarackbridge.helpers import rendezvous
from tests.components.rollout import fleet
from tests.components.rollout import test_fleet as responses

PHASES = rollout.Phase


def _begun(respond: fleet.Respond = responses.good) -> fleet.Fleet:
    scene = fleet.Fleet(respond, routers=8, rate=300.0)
    scene.begin()
    return scene


def _canaries(router: fleet.Router, scene: fleet.Fleet) -> int:
    """Returns how many of 200 requests the router sends to the target."""
    sent = [scene.send(router) for _ in range(200)]
    return sum(item is not None and item.is_new for item in sent)


@pytest.mark.parametrize("died_at", [0.0, 3.0, 5.95, 6.05, 8.95, 9.1])
@pytest.mark.parametrize(
    ("respond", "writes"),
    [
        (responses.good, responses.GOOD),
        (responses.bad_later, responses.ROLLED_BACK),
    ],
)
def test_next_rank_decides(
    respond: fleet.Respond, writes: list[fleet.STATES], died_at: float
) -> None:
    """Guards against an order that stands still with its decider gone."""
    scene = _begun(respond)
    scene.run(died_at)
    for address in rendezvous.rank("app", scene.routers)[:2]:
        del scene.routers[address]
    scene.run(12.0)
    assert scene.writes == writes


def test_two_deciders_write_each_state_once() -> None:
    """Guards against a second write where two routers rank first."""
    scene = _begun()
    for address in rendezvous.rank("app", scene.routers)[1:3]:
        scene.routers[address].is_first = True
    scene.run(12.0)
    assert scene.writes == responses.GOOD


def test_bad_version_is_stopped_without_the_store() -> None:
    """Guards against a verdict that waits for a write, or is lost with it."""
    scene = _begun(responses.bad_at_once)
    scene.store_is_up = False
    scene.run(9.0)
    assert not scene.arrived_new(since=sorted(scene.bad_at)[-1] + 0.5)
    assert {router.phase for router in scene.routers.values()} == {PHASES.BAD}
    scene.store_is_up = True
    scene.run(10.0)
    assert scene.writes == [fleet.STATES.ROLLED_BACK]


def test_starting_router_sends_nothing_until_it_is_told() -> None:
    """Guards against canary requests that nobody counts."""
    scene = _begun(responses.bad_at_once)
    scene.store_is_up = False
    scene.run(5.0)
    router = scene.start("late")
    router.learn(scene.stored, scene.now)
    assert _canaries(router, scene) == 0
    scene.run(5.6)
    assert router.phase is PHASES.BAD


def test_starting_router_takes_the_age_from_reports() -> None:
    """Guards against a deadline that moves with each start of a router."""
    scene = _begun()
    scene.run(4.0)
    router = scene.start("late")
    router.learn(scene.stored, scene.now)
    scene.run(4.6)
    age_s = router.gate.orders["app"].age_s(scene.now)
    assert abs(age_s - 4.6) < 0.5


def test_all_routers_restart() -> None:
    """Guards against an order that nobody carries on."""
    scene = _begun()
    scene.run(4.0)
    for address in list(scene.routers):
        scene.start(address).learn(scene.stored, scene.now)
    scene.run(12.0)
    assert scene.writes == responses.GOOD


def test_all_routers_restart_before_the_status_is_stored() -> None:
    """Guards against routers that wait for each other's state."""
    scene = fleet.Fleet(responses.good, routers=8, rate=300.0)
    for router in scene.routers.values():
        router.learn(scene.stored, scene.now)
    scene.run(2.0)
    assert scene.writes == [fleet.STATES.RUNNING]
    assert scene.arrived_new()


def test_router_without_reports_stops_canaries() -> None:
    """Guards against a router that can't know of the 50th bad response.

    The same holds for one that was frozen: its clock counts the time.
    """
    scene = _begun()
    scene.run(3.0)
    router = scene.routers["r0"]
    assert _canaries(router, scene)
    router.is_alone = True
    scene.run(3.0 + const.EVIDENCE_TIMEOUT_S + 0.3)
    assert _canaries(router, scene) == 0
    assert router.phase is PHASES.RUNNING


def test_reports_that_waited_with_a_frozen_router_are_old() -> None:
    """Guards against evidence that looks new because it was read late."""
    scene = _begun()
    scene.run(3.0)
    router = scene.routers["r0"]
    tallies = scene.routers["r1"].gate.report()
    scene.now += 3.0
    router.gate.apply_report("hub", tallies, 3.0, scene.now)
    assert _canaries(router, scene) == 0
    router.gate.apply_report("hub", tallies, 0.1, scene.now)
    assert _canaries(router, scene)


def test_stored_results_are_not_reported() -> None:
    """Guards against a success that a router takes for a verdict."""
    scene = _begun()
    scene.run(10.5)
    assert scene.writes == responses.GOOD
    (tally,) = scene.routers["r0"].gate.report().values()
    assert tally.phase is PHASES.MOVING
    late = scene.start("late")
    late.learn(
        dataclasses.replace(scene.stored, state=fleet.STATES.RUNNING),
        scene.now,
    )
    late.gate.apply_report("hub", {scene.identity: tally}, 0.1, scene.now)
    assert late.phase is PHASES.MOVING


def test_cold_servers_and_new_connections_are_not_slow() -> None:
    """Guards against good versions that are rejected for their start."""
    evidence = rollout_evidence.Evidence()
    old = rollout.CellKey("a", "z1", False)
    new = rollout.CellKey("a", "z1", True)
    evidence.use_cells({old: rollout.Counts(100, 0, 0, 500)})

    def bad_after(took_s: float, server: str, is_cold: bool) -> int:
        before = evidence.cells.get(new, rollout.NO_COUNTS).bad
        evidence.record_sent("q", new, 0.0, server, is_cold)
        evidence.record_head("q", took_s)
        evidence.record_end("q", jobs.Outcome.SERVED, took_s)
        return evidence.cells[new].bad - before

    assert bad_after(3.0, "cold", True) == 0
    assert bad_after(0.08, "s", False) == 0
    assert bad_after(0.08, "s", False) == 1
    assert bad_after(0.2, "t", False) == 1


def test_replaced_order_begins_anew_and_the_old_one_is_dropped() -> None:
    """Guards against a verdict on one order that is applied to the next."""
    scene = _begun(responses.bad_at_once)
    scene.run(4.0)
    router = scene.routers["r0"]
    assert scene.writes == responses.ROLLED_BACK
    replacing = dataclasses.replace(fleet.order(40), target="v3", created=40)
    router.learn(replacing, scene.now)
    assert router.phase is PHASES.RUNNING
    assert not router.gate.apply_report("hub", {}, 0.0, scene.now)
    assert router.gate.orders["app"].fleet == rollout.Tally()


def test_withdrawn_order_leaves_all_servers_in_use() -> None:
    """Guards against servers that stay without requests for no order."""
    scene = _begun(responses.bad_at_once)
    scene.run(4.0)
    router = scene.routers["r0"]
    assert _canaries(router, scene) == 0
    router.learn(None, scene.now)
    assert not router.gate.is_active
    assert 60 < _canaries(router, scene) < 140


@pytest.mark.parametrize(
    ("changes", "detail"),
    [
        ({"error": "expected a duration"}, "expected a duration"),
        ({"service": "nope"}, "unknown service 'nope'"),
    ],
)
def test_refused_order_moves_nothing(
    changes: dict[str, str],
    detail: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against traffic that moves for an order that isn't understood."""
    scene = fleet.Fleet(responses.good, routers=1)
    router = scene.routers["r0"]
    item = dataclasses.replace(fleet.order(), **changes)  # type: ignore[arg-type]
    with caplog.at_level("INFO"):
        router.learn(None, 0.0)
        router.learn(item, 0.0)
        router.learn(dataclasses.replace(item, revision=11), 0.0)
    assert caplog.text.count(detail) == 1
    assert scene.send(router) is not None
    if "error" in changes:
        assert _canaries(router, scene) == 0
    assert router.gate.due_writes(1.0) == []


def test_second_object_for_a_service_is_refused() -> None:
    """Guards against two orders that move one service two ways."""
    scene = _begun()
    router = scene.routers["r0"]
    other = dataclasses.replace(
        fleet.order(), name="x", error="name and service differ"
    )
    router.local_copy.rollouts["x"] = other
    router.gate.sync(scene.now)
    assert router.phase is PHASES.RUNNING
    assert router.gate.refused == {}


def test_version_without_servers_is_rolled_back() -> None:
    """Guards against a move to a version that doesn't exist."""
    scene = fleet.Fleet(responses.good, routers=4, rate=100.0)
    scene.stored = fleet.order(target="v9")
    scene.begin()
    scene.run(11.0)
    assert scene.writes == responses.ROLLED_BACK
    assert all(sent.server.version != "v9" for sent in scene.sent)


def test_too_few_slots_are_rolled_back() -> None:
    """Guards against a move that overloads the new servers."""
    scene = fleet.Fleet(responses.good, routers=4, rate=600.0, slots=1)
    scene.begin()
    scene.run(11.0)
    assert scene.writes == responses.ROLLED_BACK


def test_status_lost_by_a_restored_store_is_written_again() -> None:
    """Guards against a bad version that is tried again after a restore."""
    scene = _begun(responses.bad_at_once)
    scene.run(4.0)
    assert scene.writes == responses.ROLLED_BACK
    scene.stored = fleet.order(10)
    for router in scene.routers.values():
        router.learn(scene.stored, scene.now)
        assert router.phase is PHASES.ROLLED_BACK
    scene.run(5.0)
    assert scene.writes[2:] == [fleet.STATES.ROLLED_BACK]


def test_in_flight_at_old_servers_delays_success() -> None:
    """Guards against old servers that stop with requests in flight."""

    def respond(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
        took_s, outcome = responses.good(rng, sent)
        long = not sent.is_new and sent.at > 5.5 and rng.random() < 0.2
        return (1.5 if long else took_s), outcome

    scene = fleet.Fleet(respond, routers=8, rate=300.0)
    scene.begin()
    while len(scene.writes) < 2:
        scene.run(scene.now + fleet.STEP_S)
        assert scene.now < 12.0
    for router in scene.routers.values():
        own = router.work.own()
        assert not [name for name in own if name.startswith("v1")]
    written_at = scene.now
    scene.run(written_at + 0.5)
    assert all(item.is_new for item in scene.sent if item.at > written_at)
