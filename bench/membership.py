"""Cost and delay of membership by fleet size, simulated in one process.

Writes build/measure/membership.json. Per second, for the average and for the
busiest router: messages and bytes sent to other routers, and processor time.
Per second for the whole fleet: calls to the store. Also how long it takes until
all routers notice a failed member, until a change is accepted and until it is
in force on all routers.
"""

import argparse
import collections
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import random
import time
from typing import ClassVar

from bench import fake_store, harness
from tamarackbridge import const, core, messages
from tamarackbridge.components.configuration import applier, changes
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.membership import leases, member
from tamarackbridge.components.membership import messages as membership

STREAM_CPU_S = 230e-6
"""Processor time of one gRPC stream message, sender and receiver together."""

SIZES = (7, 20, 50, 100)
SETTLE_S = 12.0
WINDOW_S = 10.0


class MeteredDeciders:
    """Measures the processor time of one router's deciders."""

    def __init__(self, inner: core.DeciderGroup) -> None:
        self.node = inner.node
        self.cpu_s = 0.0
        self.received = 0
        self._inner = inner

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        """Delivers one message to the deciders."""
        self.received += delivery.src not in (const.STORE_NODE, self.node)
        began = time.process_time()
        out = self._inner.handle(delivery, now)
        self.cpu_s += time.process_time() - began
        return out

    def tick(self, now: float) -> list[core.Envelope]:
        """Advances the deciders to `now`."""
        began = time.process_time()
        out = self._inner.tick(now)
        self.cpu_s += time.process_time() - began
        return out


class StateRecorder:
    """Records when one router sees state changes of the fleet.

    Attributes:
        live: The live members; the values are not used.
        failed_at: When a member was first seen to have left the live ones.
        in_force_at: When a configuration generation came into force.
        accepted_at: When a change was reported as accepted.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        membership.RosterChanged,
        configuration.SnapshotInForce,
        configuration.ChangeReport,
    )

    def __init__(self) -> None:
        self.live: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        self.in_force_at: dict[int, float] = {}
        self.accepted_at: dict[str, float] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Records the time of a state change."""
        match delivery.msg:
            case membership.RosterChanged(live=live):
                for node in self.live.keys() - set(live):
                    self.failed_at.setdefault(node, now)
                self.live = dict.fromkeys(live, now)
            case configuration.SnapshotInForce(snapshot=snapshot_in_force):
                self.in_force_at.setdefault(snapshot_in_force.generation, now)
            case configuration.ChangeReport() as report:
                if report.state is configuration.ChangeState.ACCEPTED:
                    self.accepted_at[report.change_id] = now
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures of one fleet size.

    Rates are per second and router; calls to the store are of all routers.
    """

    members: int
    sent_mean: float
    sent_max: float
    bytes_mean: float
    bytes_max: float
    decider_cpu_mean: float
    cpu_max: float
    store_calls: float
    death_seen_s: float
    accepted_s: float
    in_force_s: float


class Fleet:
    """A simulated fleet of a given size with a store."""

    def __init__(self, seed: int, size: int) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.nodes = [f"r{index:03}" for index in range(size)]
        self.recorders: dict[str, StateRecorder] = {}
        self.metered: dict[str, MeteredDeciders] = {}
        self.bus.taps.append(self._count)
        for index, node in enumerate(self.nodes):
            self._start(node, f"zone-{index % 3}")

    def _start(self, node: str, zone: str) -> None:
        rng = random.Random(node)
        self.recorders[node] = StateRecorder()
        deciders: tuple[core.Decider, ...] = (
            member.MemberDecider(node, zone, "10.0.0.1:7000", 1, rng),
            leases.ShardLeases(node, rng),
            applier.Applier(node, rng),
            changes.ChangeWriter(node, rng),
            self.recorders[node],
        )
        meter = MeteredDeciders(core.DeciderGroup(node, deciders))
        self.metered[node] = meter
        self.bus.start(meter)  # type: ignore[arg-type]

    def _count(self, src: str, env: core.Envelope, now: float) -> None:
        if src == const.STORE_NODE or env.to == const.STORE_NODE:
            return
        self.sent_messages[src] += 1
        self.sent_bytes[src] += len(messages.encode_message(env.msg))

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        self.bus.run_until(self.bus.now + seconds)


def measure(seed: int, size: int) -> Row:
    """Measures one fleet size."""
    fleet = Fleet(seed, size)
    fleet.run(SETTLE_S)
    _check_complete(fleet)
    fleet.sent_messages.clear()
    fleet.sent_bytes.clear()
    fleet.store.calls.clear()
    for meter in fleet.metered.values():
        meter.cpu_s, meter.received = 0.0, 0
    fleet.run(WINDOW_S)
    sent = [fleet.sent_messages[node] / WINDOW_S for node in fleet.nodes]
    sent_bytes = [fleet.sent_bytes[node] / WINDOW_S for node in fleet.nodes]
    decider_cpu = [fleet.metered[n].cpu_s / WINDOW_S for n in fleet.nodes]
    cpu = [
        decider_cpu[index]
        + STREAM_CPU_S
        / 2
        * (sent[index] + fleet.metered[node].received / WINDOW_S)
        for index, node in enumerate(fleet.nodes)
    ]
    calls = sum(fleet.store.calls.values()) / WINDOW_S
    accepted_s, in_force_s = _measure_change(fleet)
    return Row(
        members=size,
        sent_mean=round(sum(sent) / size, 1),
        sent_max=round(max(sent), 1),
        bytes_mean=round(sum(sent_bytes) / size),
        bytes_max=round(max(sent_bytes)),
        decider_cpu_mean=round(sum(decider_cpu) / size, 5),
        cpu_max=round(max(cpu), 5),
        store_calls=round(calls, 1),
        death_seen_s=_measure_failure(fleet),
        accepted_s=accepted_s,
        in_force_s=in_force_s,
    )


def _check_complete(fleet: Fleet) -> None:
    live = {len(recorder.live) for recorder in fleet.recorders.values()}
    if live != {len(fleet.nodes)}:
        raise SystemExit(
            f"routers see {live} live members; expected the whole fleet"
        )


def _measure_change(fleet: Fleet) -> tuple[float, float]:
    """Returns the seconds until a change is accepted and in force."""
    began = fleet.bus.now
    edit = configuration.RecordEdit(
        "zone/a", b'{"name":"a","out":false}', configuration.ANY
    )
    node = fleet.nodes[-1]
    request = configuration.ChangeAsk("c", "operator", (edit,))
    fleet.bus.inject(node, request)
    fleet.run(10.0)
    accepted = fleet.recorders[node].accepted_at.get("c", float("inf"))
    last = max(
        recorder.in_force_at.get(1, float("inf"))
        for recorder in fleet.recorders.values()
    )
    return round(accepted - began, 3), round(last - began, 3)


def _measure_failure(fleet: Fleet) -> float:
    """Kills a member; returns the seconds until all others notice it.

    The first member is killed because it is a relay in fleets that have relays.
    """
    failed_node = fleet.nodes[0]
    began = fleet.bus.now
    fleet.bus.kill(failed_node)
    fleet.run(10.0)
    seen_at = [
        fleet.recorders[node].failed_at.get(failed_node, float("inf"))
        for node in fleet.nodes[1:]
    ]
    return round(max(seen_at) - began, 3)


def slopes(rows: Sequence[Row]) -> dict[str, float]:
    """Returns the growth per added member, from the smallest to the largest."""
    first, last = rows[0], rows[-1]
    added_members = last.members - first.members
    return {
        "sent_max_per_member": round(
            (last.sent_max - first.sent_max) / added_members, 3
        ),
        "bytes_max_per_member": round(
            (last.bytes_max - first.bytes_max) / added_members, 2
        ),
        "cpu_max_per_member": round(
            (last.cpu_max - first.cpu_max) / added_members, 7
        ),
        "store_calls_per_member": round(
            (last.store_calls - first.store_calls) / added_members, 3
        ),
    }


def main(argv: Sequence[str]) -> None:
    """Measures all sizes and writes build/measure/membership.json."""
    parser = argparse.ArgumentParser(prog="script/measure membership")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    args = parser.parse_args(argv)
    rows = [measure(args.seed, size) for size in args.sizes]
    for row in rows:
        print(json.dumps(dataclasses.asdict(row)))
    growth = slopes(rows) if len(rows) > 1 else {}
    print(json.dumps(growth))
    report = {"rows": [dataclasses.asdict(r) for r in rows], "slopes": growth}
    path = pathlib.Path("build/measure/membership.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n")
