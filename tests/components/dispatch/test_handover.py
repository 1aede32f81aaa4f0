"""Tests of permits handed from one dispatcher to the next."""

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
    """One dispatcher, spoken to by hand."""

    name: str
    made: dispatcher.Dispatcher

    def tell(
        self, msg: core.Message, now: float, src: str = ENTRY, age_s: float = 0
    ) -> list[core.Envelope]:
        return list(self.made.handle(core.Delivery(src, msg, age_s), now))


def _node(name: str) -> Node:
    node = Node(name, dispatcher.Dispatcher(name, random.Random(1)))
    records = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0", limit_cold=1, limit_warm=1)],
    )
    members = tuple(membership.Member(item, "lahore") for item in MEMBERS)
    node.tell(configuration.SnapshotInForce(records), 0.0)
    node.tell(membership.RosterChanged(members, MEMBERS), 0.0)
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


def _handed(old: Node, epoch: int, now: float) -> messages.HandOver | None:
    old.tell(messages.LeaseLost(builders.SHARD, 1), now)
    news = messages.ShardHolder(builders.SHARD, epoch, "r1")
    for env in old.tell(news, now):
        if isinstance(env.msg, messages.HandOver):
            assert env.to == "r1"
            return env.msg
    return None


@pytest.mark.parametrize("handed_first", [True, False])
def test_the_next_dispatcher_goes_on_with_what_runs(handed_first: bool) -> None:
    old, new = _node("r0"), _node("r1")
    old.tell(_lease(1), 1.0)
    assert _granted(old.tell(_ask("q1"), 1.0)) == ["q1"]
    handed = _handed(old, 2, 5.0)
    assert handed is not None

    steps = [(handed, "r0"), (_lease(2), "r1")]
    for msg, src in steps if handed_first else reversed(steps):
        new.tell(msg, 5.0, src)
    assert _granted(new.tell(_ask("q2"), 5.1)) == []
    finish = messages.Finish(builders.SHARD, 1, 1, 10.0, messages.Outcome.OK)
    assert _granted(new.tell(finish, 5.2)) == ["q2"]


def test_nothing_is_issued_without_a_hand_over() -> None:
    new = _node("r1")
    new.tell(_lease(2), 5.0)
    assert _granted(new.tell(_ask("q2"), 5.1)) == []


@pytest.mark.parametrize(
    ("up_s", "granted"),
    [(4.5, ["q2"]), (0.5, [])],
    ids=["entry ended it", "entry is a younger process"],
)
def test_a_permit_that_its_entry_no_longer_names(
    up_s: float, granted: list[str]
) -> None:
    old, new = _node("r0"), _node("r1")
    old.tell(_lease(1), 1.0)
    old.tell(_ask("q1"), 1.0)
    handed = _handed(old, 2, 5.0)
    assert handed is not None
    new.tell(_lease(2), 5.0)
    new.tell(handed, 5.0, "r0")

    report = messages.ResyncReport(
        builders.SHARD, 2, (), (_ask("q2"),), (), up_s=up_s
    )
    assert _granted(new.tell(report, 5.1)) == granted


def test_a_dispatcher_two_epochs_on_gets_nothing() -> None:
    old = _node("r0")
    old.tell(_lease(1), 1.0)
    old.tell(_ask("q1"), 1.0)
    assert _handed(old, 3, 5.0) is None


def test_what_is_not_known_is_not_handed_on() -> None:
    old = _node("r0")
    old.tell(_lease(2), 1.0)
    old.tell(messages.LeaseLost(builders.SHARD, 2), 2.0)
    news = messages.ShardHolder(builders.SHARD, 3, "r1")
    assert old.tell(news, 2.0) == []


def test_load_from_before_the_hand_over_blocks_nothing() -> None:
    old, new = _node("r0"), _node("r1")
    old.tell(_lease(1), 1.0)
    handed = _handed(old, 2, 5.0)
    assert handed is not None
    new.tell(_lease(2), 5.0)
    new.tell(handed, 5.0, "r0")

    new.tell(messages.LoadReport("s0", 1, False, 0.4, "boot"), 5.1, "r1")

    assert _granted(new.tell(_ask("q1"), 5.2)) == ["q1"]
