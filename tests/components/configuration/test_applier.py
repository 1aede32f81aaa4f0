"""Tests that a router never goes back to an older configuration."""

import random

from tamarackbridge import const, core
from tamarackbridge.components.configuration import (
    applier,
    json_codec,
    messages,
    stored,
)
from tamarackbridge.components.configuration import const as config_const
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.records import models
from tests.components.membership import fleet


class ApplierHarness:
    """One applier whose messages the test delivers."""

    def __init__(self) -> None:
        self.applier = applier.Applier("r0", random.Random(1))
        self.out: list[core.Message] = []

    def deliver(self, msg: core.Message, now: float, src: str = "r0") -> None:
        """Delivers one message."""
        delivery = core.Delivery(src, msg)
        self.out = [e.msg for e in self.applier.handle(delivery, now)]

    def head(self, generation: int, version: int, now: float) -> None:
        """Delivers a head of the configuration."""
        head = stored.Head(generation, f"config/{generation}", ())
        value = stored.encode_head(head)
        obj = store.StoredObject(membership_const.KEY_CONFIG, version, value)
        self.deliver(membership.FleetObjects((obj,)), now)

    def data(self, generation: int, now: float, body: bytes = b"") -> None:
        """Delivers the records of a generation as a peer's reply."""
        record = stored.StoredRecord(
            body or json_codec.encode(models.Zone("a", False)),
            generation,
            "c",
            "operator",
        )
        value = stored.encode_records({"zone/a": record})
        self.deliver(messages.DataReply(f"config/{generation}", value), now)

    def evidence(self, until: float, now: float) -> None:
        """Delivers evidence that is valid until a time."""
        message = membership.FleetEvidence(9, until, 9, True, now)
        self.deliver(message, now)

    def applied(self) -> list[int]:
        """Returns the generations that the last message put in force."""
        return [
            msg.snapshot.generation
            for msg in self.out
            if isinstance(msg, messages.SnapshotInForce)
        ]


def test_older_head_or_records_are_ignored() -> None:
    """Delayed messages with older generations must not replace newer ones."""
    unit = ApplierHarness()
    unit.head(1, 10, 0.0)
    unit.head(2, 20, 0.1)
    unit.data(1, 0.2)
    assert unit.applied() == []
    unit.data(2, 0.3)
    assert unit.applied() == [2]

    for generation, version in ((1, 10), (1, 30), (2, 40)):
        unit.head(generation, version, 0.4)
        assert unit.out == []
        unit.data(generation, 0.5)
        assert unit.applied() == []


def test_unreadable_newer_generation_ends_serving_when_evidence_ends() -> None:
    """A router of an older release can't decode a record of a newer one.

    It may serve with the former generation while its evidence is valid.
    """
    unit = ApplierHarness()
    unit.evidence(2.0, 0.0)
    unit.head(1, 10, 0.0)
    unit.data(1, 0.1)
    assert messages.ServingChanged(True, "") in unit.out

    unit.head(2, 20, 1.0)
    unit.data(2, 1.1, b'{"name": 3}')
    assert unit.applied() == []
    announced = [env.msg for env in unit.applier.tick(2.1)]
    reason = config_const.REASON_UNREADABLE
    assert announced == [messages.ServingChanged(False, reason)]


def test_fetch_alternates_between_store_and_peers() -> None:
    unit = ApplierHarness()
    unit.deliver(membership.RosterChanged((), ("r0", "r1")), 0.0)
    unit.head(1, 10, 0.0)
    kinds = [type(unit.out[0]).__name__]
    for step in range(1, 9):
        kinds += [type(e.msg).__name__ for e in unit.applier.tick(step * 2.0)]
    kinds = [kind for kind in kinds if kind != "ServingChanged"]

    assert kinds[:4] == ["StoreGet", "DataAsk", "StoreGet", "DataAsk"]


def test_restart_with_the_store_down_fetches_the_newest_from_peers() -> None:
    """A restarted router must not serve until it has the newest generation."""
    flt = fleet.Fleet(1, 5)
    flt.run(4.0)
    for index in range(1, 4):
        flt.change("r1", f"c{index}", fleet.zone_edit("a", index == 3))
        flt.run(2.0)
    flt.store.down = True
    flt.bus.kill("r0")
    flt.start("r0")
    flt.run(1.5)
    assert not flt.seen["r0"].serving.serving

    flt.run(4.0)
    assert flt.seen["r0"].serving.serving
    assert flt.seen["r0"].generation == 3
    assert flt.seen["r0"].reverts == 0


def test_isolated_router_stops_serving_and_catches_up_later() -> None:
    """A router that misses an accepted change must not serve the old state.

    It is cut off from the store and its peers when the change is written.
    """
    flt = fleet.Fleet(1, 5)
    flt.run(4.0)
    flt.change("r1", "c1", fleet.zone_edit("a", False))
    flt.run(4.0)
    flt.cut("r0", store=True)
    flt.change("r1", "c2", fleet.zone_edit("a", True))
    flt.run(0.5)
    accepted = flt.seen["r1"].reports[-1].state
    flt.run(const.LEASE_S)

    assert accepted is messages.ChangeState.ACCEPTED
    assert not flt.seen["r0"].serving.serving
    assert flt.seen["r0"].serving.reason == config_const.REASON_NO_EVIDENCE
    flt.bus.faults.heal()
    flt.run(2.0)
    assert flt.seen["r0"].generation == 2
    assert flt.seen["r0"].serving.serving
