"""Test of the first dispatcher of a shard.

Entries may have requests for the shard from before any router held its lease.
Those requests would wait forever if the first dispatcher didn't ask for them.
"""

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
    first_dispatcher = dispatcher.Dispatcher("r0", random.Random(1))
    for msg in (
        configuration.SnapshotInForce(records),
        membership.RosterChanged(members, ("r0", "r1")),
        messages.LeaseHeld(builders.SHARD, 1, 100.0, True),
    ):
        first_dispatcher.handle(core.Delivery("r0", msg), 1.0)

    asked = {
        env.to
        for env in first_dispatcher.tick(1.1)
        if env.msg == messages.ResyncAsk(builders.SHARD, 1)
    }

    assert asked == {"r0", "r1"}
