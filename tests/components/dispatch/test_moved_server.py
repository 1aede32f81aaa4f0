"""Test of a backend server that moves to another shard.

Work that the former shard's dispatcher started may still run there, so that new
permits could exceed the server's limit.
"""

import dataclasses
import random

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, messages
from tests.components.dispatch import builders


def test_no_permit_for_a_moved_server_before_it_was_idle() -> None:
    dispatcher_under_test = dispatcher.Dispatcher("r0", random.Random(1))

    def handle(msg: core.Message, now: float) -> list[str]:
        envs = dispatcher_under_test.handle(core.Delivery("e", msg, 0.0), now)
        grants = [e.msg for e in envs if isinstance(e.msg, messages.Grant)]
        return [grant.server for grant in grants]

    two_shards = builders.snapshot(
        [builders.workspace("a")],
        [builders.server("s0"), builders.server("s1")],
        shards=2,
    )
    service = dataclasses.replace(
        two_shards.services[builders.SERVICE], shards=1
    )
    one_shard = dataclasses.replace(
        two_shards, services={builders.SERVICE: service}
    )
    handle(configuration.SnapshotInForce(two_shards), 0.0)
    handle(messages.LeaseHeld(builders.SHARD, 2, 1e6, True), 0.0)
    handle(messages.LoadReport("s0", 0, False, 0.4, "b"), 1.0)
    handle(configuration.SnapshotInForce(one_shard), 10.0)

    ask = messages.Ask(
        builders.SHARD, "q1", "a", "", "chat", 10.0, 900.0, ("s0",)
    )
    assert handle(ask, 10.1) == []
    handle(messages.LoadReport("s1", 0, False, 0.4, "b"), 11.0)
    assert handle(ask, 11.1) == []
    handle(messages.LoadReport("s1", 1, False, 0.4, "b"), 16.0)
    assert handle(ask, 16.1) == []
    assert handle(messages.LoadReport("s1", 0, False, 0.4, "b"), 17.0) == ["s1"]
