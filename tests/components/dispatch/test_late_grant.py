"""Test of a grant that reaches its entry too late to be used.

The permit is returned unused, and the `Ask` must be resent soon, not only after
the usual resend interval.
"""

import random

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages, permit_client
from tests.components.dispatch import builders


def test_ask_is_resent_soon_after_a_late_grant() -> None:
    client = permit_client.PermitClient("e", random.Random(1))
    records = builders.snapshot(
        [builders.workspace("a")], [builders.server("s0")]
    )
    want = messages.Want(builders.SERVICE, "q1", "a", "", "chat", 10.0, 30.0)
    for msg in (
        configuration.SnapshotInForce(records),
        messages.ShardHolder(builders.SHARD, 1, "r0"),
        want,
    ):
        client.handle(core.Delivery("e", msg), 1.0)
    grant = messages.Grant(builders.SHARD, 1, 1, "q1", "s0", 0.5, 60.0, 10.0, 2)

    returned = client.handle(core.Delivery("r0", grant, 2.0), 3.0)
    resent = client.tick(3.2)

    kinds = [type(env.msg) for env in returned]
    assert kinds == [messages.Finish]
    assert [
        env.msg.request_id
        for env in resent
        if isinstance(env.msg, messages.Ask)
    ] == ["q1"]
