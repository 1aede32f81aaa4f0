"""Test of a backend server that changes its shard while it works."""

import dataclasses
import random

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, messages
from tests.components.dispatch import builders


def test_nothing_is_issued_there_before_it_was_seen_idle() -> None:
    made = dispatcher.Dispatcher("r0", random.Random(1))

    def tell(msg: core.Message, now: float) -> list[str]:
        envs = made.handle(core.Delivery("e", msg, 0.0), now)
        grants = [e.msg for e in envs if isinstance(e.msg, messages.Grant)]
        return [grant.server for grant in grants]

    one = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0"), builders.server("s1")],
        shards=2,
    )
    service = dataclasses.replace(one.services[builders.SERVICE], shards=1)
    both = dataclasses.replace(one, services={builders.SERVICE: service})
    tell(configuration.SnapshotInForce(one), 0.0)
    tell(messages.LeaseHeld(builders.SHARD, 2, 1e6, True), 0.0)
    tell(messages.LoadReport("s0", 0, False, 0.4, "b"), 1.0)
    tell(configuration.SnapshotInForce(both), 10.0)

    ask = messages.Ask(
        builders.SHARD, "q1", "a", "", "chat", 10.0, 900.0, ("s0",)
    )
    assert tell(ask, 10.1) == []
    tell(messages.LoadReport("s1", 0, False, 0.4, "b"), 11.0)
    assert tell(ask, 11.1) == []
    tell(messages.LoadReport("s1", 1, False, 0.4, "b"), 16.0)
    assert tell(ask, 16.1) == []
    assert tell(messages.LoadReport("s1", 0, False, 0.4, "b"), 17.0) == ["s1"]
