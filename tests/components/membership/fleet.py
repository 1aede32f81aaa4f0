"""A simulated fleet of the membership and configuration deciders."""

from bench import fake_store, harness
from tamarackbridge import const, core
from tamarackbridge.components.configuration import (
    applier,
    changes,
    json_codec,
)
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import leases, member
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models


class Recorder:
    """Records the local messages of one router.

    Attributes:
        reverts: Number of snapshots older than the one in force before.
        held: Last lease of each shard that the router holds.
        holders: Announced holder by shard.
    """

    handles = (
        configuration.SnapshotInForce,
        configuration.ServingChanged,
        configuration.ChangeReport,
        membership.RosterChanged,
        membership.FleetEvidence,
        dispatch.LeaseHeld,
        dispatch.LeaseLost,
        dispatch.ShardHolder,
    )

    def __init__(self) -> None:
        self.generation = 0
        self.reverts = 0
        self.serving = configuration.ServingChanged(False, "")
        self.roster = membership.RosterChanged((), ())
        self.evidence: membership.FleetEvidence | None = None
        self.reports: list[configuration.ChangeReport] = []
        self.held: dict[str, dispatch.LeaseHeld] = {}
        self.holders: dict[str, dispatch.ShardHolder] = {}

    def handle(self, delivery: core.Delivery, now: float) -> tuple[()]:
        match delivery.msg:
            case configuration.SnapshotInForce():
                generation = delivery.msg.snapshot.generation
                self.reverts += generation < self.generation
                self.generation = generation
            case configuration.ServingChanged():
                self.serving = delivery.msg
            case configuration.ChangeReport():
                self.reports.append(delivery.msg)
            case membership.RosterChanged():
                self.roster = delivery.msg
            case membership.FleetEvidence():
                self.evidence = delivery.msg
            case dispatch.LeaseHeld():
                self.held[delivery.msg.shard] = delivery.msg
            case dispatch.LeaseLost():
                self.held.pop(delivery.msg.shard, None)
            case dispatch.ShardHolder():
                self.holders[delivery.msg.shard] = delivery.msg
        return ()

    def tick(self, now: float) -> tuple[()]:
        return ()


class Fleet:
    """Routers r0, r1, ..., assigned to the zones round-robin."""

    def __init__(
        self, seed: int, size: int, zones: tuple[str, ...] = ("a", "b", "c")
    ) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.nodes = [f"r{index}" for index in range(size)]
        self.zone = {
            node: zones[index % len(zones)]
            for index, node in enumerate(self.nodes)
        }
        self.seen: dict[str, Recorder] = {}
        self.incarnation = 0
        for node in self.nodes:
            self.start(node)

    def start(self, node: str) -> None:
        """Starts a router, or restarts it with empty state."""
        self.incarnation += 1
        rng = self.bus.rng
        seen = Recorder()
        self.seen[node] = seen
        parts = (
            member.MemberDecider(
                node, self.zone[node], "", self.incarnation, rng
            ),
            leases.ShardLeases(node, rng),
            applier.Applier(node, rng),
            changes.ChangeWriter(node, rng),
            seen,
        )
        self.bus.start(core.DeciderGroup(node, parts))

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        self.bus.run_until(self.bus.now + seconds)

    def change(
        self, node: str, change_id: str, *edits: configuration.RecordEdit
    ) -> None:
        """Requests a change of configuration from a router."""
        ask = configuration.ChangeAsk(change_id, "operator", edits)
        self.bus.inject(node, ask)

    def cut(self, *inside: str, store: bool = False) -> None:
        """Disconnects routers from all others; `store` includes the store."""
        outside = [node for node in self.nodes if node not in inside]
        if store:
            outside.append(const.STORE_NODE)
        self.bus.faults.isolate(inside, outside)


def edit(
    record: object, key: str, expect: int = configuration.ANY
) -> configuration.RecordEdit:
    """Returns an edit that writes a record."""
    return configuration.RecordEdit(key, json_codec.encode(record), expect)


def zone_edit(
    name: str, out: bool, expect: int = configuration.ANY
) -> configuration.RecordEdit:
    """Returns an edit that takes a zone out of service or puts it back."""
    return edit(models.Zone(name, out), f"zone/{name}", expect)


def service_edit(name: str, shards: int) -> configuration.RecordEdit:
    """Returns an edit that writes a service without routes."""
    svc = models.Service(
        name,
        models.Protocol.HTTP,
        models.CostRule.SERVER_MS,
        1.0,
        1000.0,
        10.0,
        shards,
        (),
    )
    return edit(svc, f"service/{name}")
