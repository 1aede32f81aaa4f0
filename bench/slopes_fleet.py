"""Slopes of membership, leases and configuration."""

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
    """Returns a workspace of a usual size."""
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
    """Returns a zone, a service and otherwise workspaces, as stored."""
    found: list[tuple[str, schemas.Model]] = [
        ("zone/one", models.Zone("one", False)),
        ("service/lm", service("lm")),
    ]
    for index in range(count - len(found)):
        item = workspace(index)
        found.append((f"workspace/{item.name}", item))
    return {
        key: stored.StoredRecord(
            codec.encode(schemas.Record(1, model)), 1, "change", "operator"
        )
        for key, model in found
    }


def records(size: int) -> dict[str, float]:
    """Measures one router that applies `size` records."""
    kept = stored_records(size)
    decider = applier.Applier("r0", random.Random(1), snapshot.SnapshotCodec())
    out: list[core.Envelope] = []
    apply_us = _apply(decider, 1, kept, out)
    out.clear()
    changed = codec.encode(schemas.Record(1, models.Zone("one", True)))
    kept["zone/one"] = stored.StoredRecord(changed, 2, "change", "operator")
    change_us = _apply(decider, 2, kept, out)
    force = [
        env.msg.snapshot
        for env in out
        if isinstance(env.msg, configuration.SnapshotInForce)
    ]
    return {
        "stored_bytes": float(len(stored.encode_records(kept))),
        "apply_cpu_us": apply_us,
        "change_cpu_us": change_us,
        "state_bytes": float(slopes_fit.deep_bytes(decider, *force)),
    }


def _apply(
    decider: applier.Applier,
    generation: int,
    kept: dict[str, stored.StoredRecord],
    out: list[core.Envelope],
) -> float:
    """Puts one generation in force; returns the processor time in us."""
    key = f"config/{generation}"
    head = stored.encode_head(stored.Head(generation, key, ()))
    config = membership_const.KEY_CONFIG
    head_object = store.StoredObject(config, generation + 1, head)
    news = core.Delivery("r0", membership.FleetObjects((head_object,)))
    decider.handle(news, 0.0)
    value = store.StoredObject(key, 1, stored.encode_records(kept))
    tag = applier.TAG + key
    reply = store.StoreReply(tag, store.StoreStatus.OK, (value,), 2)
    delivery = core.Delivery(const.STORE_NODE, reply)
    return slopes_fit.cpu_us(
        lambda: out.extend(decider.handle(delivery, 0.1)), 1
    )


class _Traffic:
    """Counts messages and bytes between routers."""

    def __init__(self) -> None:
        self.on = False
        self.sent: dict[str, int] = {}
        self.msgs = 0
        self.size = 0
        self.by_node: dict[str, int] = {}
        self._batches: set[tuple[str, str, int]] = set()
        empty = slopes_fit.EMPTY_BATCH
        self._overhead = len(messages.encode_batch(empty))

    def tap(self, src: str, env: core.Envelope, now: float) -> None:
        """Counts one message on the network."""
        if not self.on or const.STORE_NODE in (src, env.to):
            return
        size = len(messages.encode_message(env.msg))
        self.msgs += 1
        batch = (src, env.to, int(now / const.TICK_S))
        if batch not in self._batches:
            self._batches.add(batch)
            size += self._overhead
        for node in (src, env.to):
            self.by_node[node] = self.by_node.get(node, 0) + size
        self.size += size

    @property
    def batches(self) -> int:
        """Batches sent."""
        return len(self._batches)


def members(size: int) -> dict[str, float]:
    """Measures routers that do nothing but keep together."""
    bus = harness.Harness(1)
    objects = fake_store.FakeStore(bus, const.STORE_NODE)
    bus.add_fake(const.STORE_NODE, objects)
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
    traffic.on = True
    calls = sum(objects.calls.values())
    bus.run_until(bus.now + WINDOW_S)
    cpu = [group.cpu_s / WINDOW_S * 1e6 for group in groups]
    state = [
        slopes_fit.deep_bytes(*group.parts) for group in groups[:: size // 8]
    ]
    by_node = [traffic.by_node.get(group.node, 0) for group in groups]
    return {
        "cpu_us_per_s": sum(cpu) / size,
        "cpu_us_per_s_most": max(cpu),
        "messages_sent_per_s": traffic.msgs / size / WINDOW_S,
        "batches_sent_per_s": traffic.batches / size / WINDOW_S,
        "bytes_in_and_out_per_s": sum(by_node) / size / WINDOW_S,
        "bytes_in_and_out_per_s_most": max(by_node) / WINDOW_S,
        "state_bytes": max(state),
        "store_calls_per_s_fleet": (sum(objects.calls.values()) - calls)
        / WINDOW_S,
    }


class _Member(slopes_fit.MeteredGroup):
    def __init__(self, node: str, parts: tuple[core.Decider, ...]) -> None:
        super().__init__(node, parts)
        self.parts = parts


def _member(bus: harness.Harness, index: int) -> _Member:
    node = f"r{index}"
    rng = random.Random(index)
    zone = f"z{index % ZONES}"
    reader = snapshot.SnapshotCodec()
    group = _Member(
        node,
        (
            member.MemberDecider(node, zone, f"10.0.0.1:{index}", 1, rng),
            leases.ShardLeases(node, rng),
            applier.Applier(node, rng, reader),
            changes.ChangeWriter(node, rng, reader),
        ),
    )
    bus.start(group)
    return group
