"""Tests of the hand-over of permits from one dispatcher to the next.

A dispatcher that doesn't know a running permit would exceed a server's limit.
One that keeps a permit after its end would leave capacity unused.
"""

import dataclasses
import random

import pytest

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, messages
from tamarackbridge.components.membership import messages as membership
from tests.components.dispatch import builders

ENTRY = "e"
MEMBERS = ("r0", "r1", ENTRY)


@dataclasses.dataclass
class Node:
    """One dispatcher that gets its messages from the test."""

    name: str
    dispatcher_under_test: dispatcher.Dispatcher

    def handle(
        self, msg: core.Message, now: float, src: str = ENTRY, age_s: float = 0
    ) -> list[core.Envelope]:
        return list(
            self.dispatcher_under_test.handle(
                core.Delivery(src, msg, age_s), now
            )
        )


def _node(name: str) -> Node:
    node = Node(name, dispatcher.Dispatcher(name, random.Random(1)))
    records = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0", limit_cold=1, limit_warm=1)],
    )
    members = tuple(membership.Member(item, "lahore") for item in MEMBERS)
    node.handle(configuration.SnapshotInForce(records), 0.0)
    node.handle(membership.RosterChanged(members, MEMBERS), 0.0)
    return node


def _ask(request_id: str) -> messages.Ask:
    return messages.Ask(builders.SHARD, request_id, "a", "", "chat", 10.0, 60.0)


def _lease(epoch: int) -> messages.LeaseHeld:
    return messages.LeaseHeld(builders.SHARD, epoch, 1000.0, True)


def _granted(envs: list[core.Envelope]) -> list[str]:
    return [
        env.msg.request_id
        for env in envs
        if isinstance(env.msg, messages.Grant)
    ]


def _hand_over(old: Node, epoch: int, now: float) -> messages.HandOver | None:
    old.handle(messages.LeaseLost(builders.SHARD, 1), now)
    change = messages.ShardHolder(builders.SHARD, epoch, "r1")
    for env in old.handle(change, now):
        if isinstance(env.msg, messages.HandOver):
            assert env.to == "r1"
            return env.msg
    return None


@pytest.mark.parametrize("handed_first", [True, False])
def test_next_dispatcher_counts_running_work(handed_first: bool) -> None:
    old, new = _node("r0"), _node("r1")
    old.handle(_lease(1), 1.0)
    assert _granted(old.handle(_ask("q1"), 1.0)) == ["q1"]
    handed = _hand_over(old, 2, 5.0)
    assert handed is not None

    steps = [(handed, "r0"), (_lease(2), "r1")]
    for msg, src in steps if handed_first else reversed(steps):
        new.handle(msg, 5.0, src)
    assert _granted(new.handle(_ask("q2"), 5.1)) == []
    finish = messages.Finish(builders.SHARD, 1, 1, 10.0, messages.Outcome.OK)
    assert _granted(new.handle(finish, 5.2)) == ["q2"]


def test_no_permit_is_issued_without_a_hand_over() -> None:
    new = _node("r1")
    new.handle(_lease(2), 5.0)
    assert _granted(new.handle(_ask("q2"), 5.1)) == []


@pytest.mark.parametrize(
    ("up_s", "granted"),
    [(4.5, ["q2"]), (0.5, [])],
    ids=["entry ended it", "entry is a younger process"],
)
def test_handed_permit_that_its_entry_no_longer_reports(
    up_s: float, granted: list[str]
) -> None:
    old, new = _node("r0"), _node("r1")
    old.handle(_lease(1), 1.0)
    old.handle(_ask("q1"), 1.0)
    handed = _hand_over(old, 2, 5.0)
    assert handed is not None
    new.handle(_lease(2), 5.0)
    new.handle(handed, 5.0, "r0")

    report = messages.ResyncReport(
        builders.SHARD, 2, (), (_ask("q2"),), (), up_s=up_s
    )
    assert _granted(new.handle(report, 5.1)) == granted


def test_no_hand_over_to_a_dispatcher_two_epochs_later() -> None:
    old = _node("r0")
    old.handle(_lease(1), 1.0)
    old.handle(_ask("q1"), 1.0)
    assert _hand_over(old, 3, 5.0) is None


def test_no_hand_over_while_permits_are_unknown() -> None:
    old = _node("r0")
    old.handle(_lease(2), 1.0)
    old.handle(messages.LeaseLost(builders.SHARD, 2), 2.0)
    change = messages.ShardHolder(builders.SHARD, 3, "r1")
    assert old.handle(change, 2.0) == []


def test_load_measured_before_the_hand_over_blocks_no_grant() -> None:
    old, new = _node("r0"), _node("r1")
    old.handle(_lease(1), 1.0)
    handed = _hand_over(old, 2, 5.0)
    assert handed is not None
    new.handle(_lease(2), 5.0)
    new.handle(handed, 5.0, "r0")

    new.handle(messages.LoadReport("s0", 1, False, 0.4, "boot"), 5.1, "r1")

    assert _granted(new.handle(_ask("q1"), 5.2)) == ["q1"]
