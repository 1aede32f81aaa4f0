"""Test of what a shard's first dispatcher asks for."""

import random

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, messages
from tamarackbridge.components.membership import messages as membership
from tests.components.dispatch import builders


def test_asks_from_before_the_first_lease_are_fetched() -> None:
    records = builders.snapshot(
        [builders.workspace("a")], [builders.server("s0")]
    )
    members = tuple(membership.Member(node, "lahore") for node in ("r0", "r1"))
    made = dispatcher.Dispatcher("r0", random.Random(1))
    for msg in (
        configuration.SnapshotInForce(records),
        membership.RosterChanged(members, ("r0", "r1")),
        messages.LeaseHeld(builders.SHARD, 1, 100.0, True),
    ):
        made.handle(core.Delivery("r0", msg), 1.0)

    asked = {
        env.to
        for env in made.tick(1.1)
        if env.msg == messages.ResyncAsk(builders.SHARD, 1)
    }

    assert asked == {"r0", "r1"}
