"""Cost of membership, leases and configuration by members and records."""

import hashlib
import random

from bench import fake_store, harness, slopes_fit
from tamarackbridge import const, core, messages
from tamarackbridge.components.configuration import applier, changes, stored
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.membership import leases, member
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.records import (
    codec,
    models,
    schemas,
    snapshot,
)

ZONES = 8
SETTLE_S = 12.0
WINDOW_S = 4.0
SERVICES = 4


def workspace(index: int) -> models.Workspace:
    """Returns a workspace record of typical size."""
    return models.Workspace(
        name=f"workspace-{index:05d}",
        share=1.0 + index % 7,
        key_hashes=(hashlib.sha256(str(index).encode()).hexdigest(),),
        max_queued=512,
        max_running=64,
        end_user_header="X-End-User",
    )


def service(name: str, shards: int = 1) -> models.Service:
    """Returns an engine service with one route."""
    route = models.Route("go", "POST", "/v1/completions", True, 60.0, False)
    return models.Service(
        name,
        models.Protocol.ENGINE,
        models.CostRule.TOKENS,
        2.0,
        16384.0,
        60.0,
        shards,
        (route,),
    )


def stored_records(count: int) -> dict[str, stored.StoredRecord]:
    """Returns `count` stored records: a zone, a service and workspaces."""
    named_models: list[tuple[str, schemas.Model]] = [
        ("zone/one", models.Zone("one", False)),
        ("service/lm", service("lm")),
    ]
    for index in range(count - len(named_models)):
        record = workspace(index)
        named_models.append((f"workspace/{record.name}", record))
    return {
        key: stored.StoredRecord(
            codec.encode(schemas.Record(1, model)), 1, "change", "operator"
        )
        for key, model in named_models
    }


def records(size: int) -> dict[str, float]:
    """Measures the application of `size` records, and of a change to one."""
    current_records = stored_records(size)
    decider = applier.Applier("r0", random.Random(1), snapshot.SnapshotCodec())
    envelopes: list[core.Envelope] = []
    apply_us = _apply(decider, 1, current_records, envelopes)
    envelopes.clear()
    changed = codec.encode(schemas.Record(1, models.Zone("one", True)))
    current_records["zone/one"] = stored.StoredRecord(
        changed, 2, "change", "operator"
    )
    change_us = _apply(decider, 2, current_records, envelopes)
    snapshots = [
        env.msg.snapshot
        for env in envelopes
        if isinstance(env.msg, configuration.SnapshotInForce)
    ]
    return {
        "stored_bytes": float(len(stored.encode_records(current_records))),
        "apply_cpu_us": apply_us,
        "change_cpu_us": change_us,
        "state_bytes": float(slopes_fit.deep_bytes(decider, *snapshots)),
    }


def _apply(
    decider: applier.Applier,
    generation: int,
    current_records: dict[str, stored.StoredRecord],
    envelopes: list[core.Envelope],
) -> float:
    """Brings a generation into force.

    Returns:
        Processor time in microseconds.
    """
    key = f"config/{generation}"
    head = stored.encode_head(stored.Head(generation, key, ()))
    config = membership_const.KEY_CONFIG
    head_object = store.StoredObject(config, generation + 1, head)
    announcement = core.Delivery("r0", membership.FleetObjects((head_object,)))
    decider.handle(announcement, 0.0)
    value = store.StoredObject(key, 1, stored.encode_records(current_records))
    tag = applier.TAG + key
    reply = store.StoreReply(tag, store.StoreStatus.OK, (value,), 2)
    delivery = core.Delivery(const.STORE_NODE, reply)
    return slopes_fit.cpu_us(
        lambda: envelopes.extend(decider.handle(delivery, 0.1)), 1
    )


class _Traffic:
    """Counts messages, batches and bytes between routers while enabled."""

    def __init__(self) -> None:
        self.enabled = False
        self.sent: dict[str, int] = {}
        self.message_count = 0
        self.byte_count = 0
        self.bytes_by_node: dict[str, int] = {}
        self._batches: set[tuple[str, str, int]] = set()
        empty = slopes_fit.EMPTY_BATCH
        self._batch_overhead = len(messages.encode_batch(empty))

    def tap(self, src: str, env: core.Envelope, now: float) -> None:
        """Counts a message, and once per batch the overhead of the batch."""
        if not self.enabled or const.STORE_NODE in (src, env.to):
            return
        size = len(messages.encode_message(env.msg))
        self.message_count += 1
        batch = (src, env.to, int(now / const.TICK_S))
        if batch not in self._batches:
            self._batches.add(batch)
            size += self._batch_overhead
        for node in (src, env.to):
            self.bytes_by_node[node] = self.bytes_by_node.get(node, 0) + size
        self.byte_count += size

    @property
    def batches(self) -> int:
        """Number of batches sent."""
        return len(self._batches)


def members(size: int) -> dict[str, float]:
    """Measures `size` idle routers: no requests and no further changes."""
    bus = harness.Harness(1)
    object_store = fake_store.FakeStore(bus, const.STORE_NODE)
    bus.add_fake(const.STORE_NODE, object_store)
    traffic = _Traffic()
    bus.taps.append(traffic.tap)
    groups = [_member(bus, index) for index in range(size)]
    bus.run_until(3.0)
    edits = tuple(
        configuration.RecordEdit(
            f"service/lm-{index}",
            codec.encode(schemas.Record(1, service(f"lm-{index}"))),
            configuration.ANY,
        )
        for index in range(SERVICES)
    )
    ask = configuration.ChangeAsk("c1", "operator", edits)
    bus.inject("r0", ask)
    bus.run_until(3.0 + SETTLE_S)
    for group in groups:
        group.cpu_s = 0.0
    traffic.enabled = True
    calls_before = sum(object_store.calls.values())
    bus.run_until(bus.now + WINDOW_S)
    cpu = [group.cpu_s / WINDOW_S * 1e6 for group in groups]
    state_bytes = [
        slopes_fit.deep_bytes(*group.deciders) for group in groups[:: size // 8]
    ]
    bytes_by_node = [
        traffic.bytes_by_node.get(group.node, 0) for group in groups
    ]
    return {
        "cpu_us_per_s": sum(cpu) / size,
        "cpu_us_per_s_most": max(cpu),
        "messages_sent_per_s": traffic.message_count / size / WINDOW_S,
        "batches_sent_per_s": traffic.batches / size / WINDOW_S,
        "bytes_in_and_out_per_s": sum(bytes_by_node) / size / WINDOW_S,
        "bytes_in_and_out_per_s_most": max(bytes_by_node) / WINDOW_S,
        "state_bytes": max(state_bytes),
        "store_calls_per_s_fleet": (
            sum(object_store.calls.values()) - calls_before
        )
        / WINDOW_S,
    }


class _Member(slopes_fit.MeteredGroup):
    def __init__(self, node: str, deciders: tuple[core.Decider, ...]) -> None:
        super().__init__(node, deciders)
        self.deciders = deciders


def _member(bus: harness.Harness, index: int) -> _Member:
    node = f"r{index}"
    rng = random.Random(index)
    zone = f"z{index % ZONES}"
    snapshot_codec = snapshot.SnapshotCodec()
    group = _Member(
        node,
        (
            member.MemberDecider(node, zone, f"10.0.0.1:{index}", 1, rng),
            leases.ShardLeases(node, rng),
            applier.Applier(node, rng, snapshot_codec),
            changes.ChangeWriter(node, rng, snapshot_codec),
        ),
    )
    bus.start(group)
    return group
