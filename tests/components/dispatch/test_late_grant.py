"""Test of a grant that reaches its entry too late."""

import random

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages, permit_client
from tests.components.dispatch import builders


def test_a_request_whose_grant_came_too_late_is_asked_again_soon() -> None:
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

    given_back = client.handle(core.Delivery("r0", grant, 2.0), 3.0)
    again = client.tick(3.2)

    kinds = [type(env.msg) for env in given_back]
    assert kinds == [messages.Finish]
    assert [
        env.msg.request_id for env in again if isinstance(env.msg, messages.Ask)
    ] == ["q1"]
