"""Tests of dispatcher and permit client together in the harness."""

from tamarackbridge.components.dispatch import messages
from tamarackbridge.components.membership import messages as membership
from tests.components.dispatch import builders


def test_ask_grant_finish() -> None:
    records = builders.snapshot(
        [builders.workspace("a")], [builders.server("s0", limit_cold=1)]
    )
    fleet = builders.Fleet(records)
    fleet.lease("r0", 1)

    fleet.want("r1", "q1", "a")
    fleet.run(0.1)
    fleet.want("r1", "q2", "a")
    fleet.run(0.1)
    assert [it.request_id for it in fleet.entries["r1"].permitted] == ["q1"]

    fleet.done("r1", "q1")
    fleet.run(0.1)
    granted = [it.request_id for it in fleet.entries["r1"].permitted]
    assert granted == ["q1", "q2"]


def test_asks_from_before_the_first_lease_are_fetched() -> None:
    records = builders.snapshot(
        [builders.workspace("a")], [builders.server("s0")]
    )
    fleet = builders.Fleet(records)
    members = tuple(membership.Member(node, "lahore") for node in fleet.entries)
    for node in fleet.entries:
        live = tuple(fleet.entries)
        fleet.bus.inject(node, membership.RosterChanged(members, live))
        fleet.bus.inject(node, messages.ShardHolder(builders.SHARD, 1, "r0"))
    fleet.want("r1", "q1", "a")
    fleet.run(2.0)
    assert not fleet.entries["r1"].permitted

    fleet.lease("r0", 1)
    fleet.run(0.3)
    assert [it.request_id for it in fleet.entries["r1"].permitted] == ["q1"]
