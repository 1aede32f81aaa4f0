"""Tests of dispatcher and permit client together, in simulated routers."""

import dataclasses

from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import const, messages
from tests.components.dispatch import builders


def _single_slot_fleet() -> builders.Fleet:
    return builders.Fleet(
        builders.snapshot(
            [builders.workspace("a"), builders.workspace("b")],
            [builders.server("s0", limit_cold=1, limit_warm=1)],
        )
    )


def test_ask_grant_finish() -> None:
    fleet = _single_slot_fleet()

    fleet.want("r1", "q1", "a")
    fleet.run(0.5)
    fleet.want("r1", "q2", "a")
    fleet.run(0.3)
    assert fleet.granted == ["q1"]

    fleet.run(0.5)
    assert fleet.granted == ["q1", "q2"]
    fleet.run(2.0)
    assert fleet.ended == {"q1": "ok", "q2": "ok"}
    assert fleet.held() == 0


def test_request_past_its_deadline_is_rejected() -> None:
    fleet = _single_slot_fleet()
    fleet.want("r1", "q1", "a", cost=500.0)
    fleet.run(0.1)
    fleet.want("r1", "q2", "a", deadline_s=2.0)

    fleet.run(10.0)

    assert fleet.ended["q2"] == "deadline"
    assert fleet.granted == ["q1"]


def test_abandoned_request_does_not_run() -> None:
    fleet = _single_slot_fleet()
    fleet.want("r1", "q1", "a")
    fleet.run(0.1)
    fleet.want("r1", "q2", "a")
    fleet.run(0.1)
    fleet.bus.inject("r1", messages.GiveUp("q2"))

    fleet.run(5.0)

    assert fleet.granted == ["q1"]


def test_flood_is_rejected_at_bounded_memory() -> None:
    fleet = _single_slot_fleet()
    fleet.want("r2", "b1", "b")
    for index in range(5000):
        fleet.want("r1", f"q{index}", "a")
        fleet.want("r2", f"p{index}", "a")
    fleet.run(1.0)

    shard = fleet.dispatchers["r0"].shards[builders.SHARD]
    limit = fleet.records.workspaces["a"].max_queued
    assert shard.order.count("a") <= limit
    refused = [
        reason for reason in fleet.ended.values() if reason == "queue_full"
    ]
    assert len(refused) >= 10_000 - 2 * limit
    asked = fleet.bus.sent_messages["r1"] + fleet.bus.sent_messages["r2"]
    assert asked < 4 * limit
    fleet.run(4.0)
    assert fleet.ended["b1"] == "ok"


def test_request_does_not_run_on_avoided_servers() -> None:
    records = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0"), builders.server("s1")],
    )
    fleet = builders.Fleet(records)
    for index in range(4):
        fleet.want("r1", f"q{index}", "a", avoid=("s0",))
    fleet.want("r1", "none", "a", avoid=("s0", "s1"))
    fleet.run(0.5)

    assert len(fleet.servers["s1"].runs) == 2
    assert not fleet.servers["s0"].runs
    assert fleet.ended["none"] == "no_capacity"


def test_draining_server_gets_no_new_requests() -> None:
    records = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0"), builders.server("s1")],
    )
    fleet = builders.Fleet(records)
    draining = dataclasses.replace(records.servers["s0"], draining=True)
    servers = {"s0": draining, "s1": records.servers["s1"]}
    newer = dataclasses.replace(records, generation=2, servers=servers)
    for node in fleet.nodes:
        fleet.bus.inject(node, configuration.SnapshotInForce(newer))

    for index in range(8):
        fleet.want("r1", f"q{index}", "a")
    fleet.run(0.5)

    assert not fleet.servers["s0"].runs
    assert fleet.servers["s1"].runs


def test_changed_share_does_not_move_counters() -> None:
    fleet = _single_slot_fleet()
    fleet.flow("r1", "a", 4, 50.0)
    fleet.flow("r2", "b", 4, 50.0)
    fleet.run(10.0)
    order = fleet.dispatchers["r0"].shards[builders.SHARD].order
    before = order.counters.values()

    heavy = dataclasses.replace(fleet.records.workspaces["a"], share=4.0)
    workspaces = {**fleet.records.workspaces, "a": heavy}
    newer = dataclasses.replace(
        fleet.records, generation=2, workspaces=workspaces
    )
    fleet.bus.inject("r0", configuration.SnapshotInForce(newer))
    assert order.counters.values() == before

    start = len(fleet.granted)
    fleet.run(40.0)
    names = [
        request_id.partition(".")[2][0] for request_id in fleet.granted[start:]
    ]
    ratio = names.count("a") / names.count("b")
    assert 3.0 < ratio < 5.0


def test_waiting_requests_move_to_an_idle_shard() -> None:
    records = builders.snapshot(
        [builders.workspace("a", max_running=20)],
        [builders.server(f"s{index}", limit_cold=4) for index in range(2)],
        shards=2,
    )
    fleet = builders.Fleet(records)
    fleet.run(1.0)
    only = ("s1",)
    for index in range(4):
        fleet.want("r2", f"held{index}", "a", cost=400.0, avoid=only)
    fleet.run(0.5)
    for index in range(4):
        fleet.want("r2", f"free{index}", "a", cost=400.0)
    fleet.run(2 * const.EXCHANGE_INTERVAL_S + 0.2)

    running = [len(item.runs) for item in fleet.servers.values()]
    assert running == [4, 4]


def test_renewal_of_an_unknown_lease_opens_no_shard() -> None:
    fleet = _single_slot_fleet()
    fleet.run(1.0)
    restarted = fleet.dispatchers["r1"]
    held = messages.LeaseHeld(builders.SHARD, 1, 1e9, False)
    fleet.bus.inject("r1", held)
    assert not restarted.shards
