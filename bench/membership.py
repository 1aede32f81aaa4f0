"""Control traffic of membership by fleet size, in process.

Writes build/measure/membership.json: per node and second, of the mean and of
the busiest node, messages and bytes sent and received, and processor time of
the deciders; calls of the whole fleet to the store; and how long a change
takes to be known, a death to be seen and a change to be accepted.
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

STREAM_COST_S = 230e-6
"""Processor time of one message on a gRPC stream, sender and receiver."""

SIZES = (7, 20, 50, 100)
SETTLE_S = 12.0
WINDOW_S = 10.0


class Timed:
    """Adds up the processor time of one router's deciders."""

    def __init__(self, inner: core.DeciderGroup) -> None:
        self.node = inner.node
        self.spent_s = 0.0
        self.received = 0
        self._inner = inner

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        """Delivers one message."""
        self.received += delivery.src not in (const.STORE_NODE, self.node)
        began = time.process_time()
        out = self._inner.handle(delivery, now)
        self.spent_s += time.process_time() - began
        return out

    def tick(self, now: float) -> list[core.Envelope]:
        """Lets time pass."""
        began = time.process_time()
        out = self._inner.tick(now)
        self.spent_s += time.process_time() - began
        return out


class Watcher:
    """Notes when a router learns of a death and of a generation."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        membership.RosterChanged,
        configuration.SnapshotInForce,
        configuration.ChangeReport,
    )

    def __init__(self) -> None:
        self.live: dict[str, float] = {}
        self.gone: dict[str, float] = {}
        self.in_force: dict[int, float] = {}
        self.accepted: dict[str, float] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes local news in."""
        match delivery.msg:
            case membership.RosterChanged(live=live):
                for node in self.live.keys() - set(live):
                    self.gone.setdefault(node, now)
                self.live = dict.fromkeys(live, now)
            case configuration.SnapshotInForce(snapshot=snap):
                self.in_force.setdefault(snap.generation, now)
            case configuration.ChangeReport() as report:
                if report.state is configuration.ChangeState.ACCEPTED:
                    self.accepted[report.change_id] = now
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures of one fleet size; rates are per node and second."""

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
    """A fleet of one size in the harness."""

    def __init__(self, seed: int, size: int) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.sent: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.nodes = [f"r{index:03}" for index in range(size)]
        self.seen: dict[str, Watcher] = {}
        self.timed: dict[str, Timed] = {}
        self.bus.taps.append(self._count)
        for index, node in enumerate(self.nodes):
            self._start(node, f"zone-{index % 3}")

    def _start(self, node: str, zone: str) -> None:
        rng = random.Random(node)
        self.seen[node] = Watcher()
        parts: tuple[core.Decider, ...] = (
            member.MemberDecider(node, zone, "10.0.0.1:7000", 1, rng),
            leases.ShardLeases(node, rng),
            applier.Applier(node, rng),
            changes.ChangeWriter(node, rng),
            self.seen[node],
        )
        timed = Timed(core.DeciderGroup(node, parts))
        self.timed[node] = timed
        self.bus.start(timed)  # type: ignore[arg-type]

    def _count(self, src: str, env: core.Envelope, now: float) -> None:
        if src == const.STORE_NODE or env.to == const.STORE_NODE:
            return
        self.sent[src] += 1
        self.bytes[src] += len(messages.encode_message(env.msg))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.bus.run_until(self.bus.now + seconds)


def measure(seed: int, size: int) -> Row:
    """Measures one fleet size."""
    fleet = Fleet(seed, size)
    fleet.run(SETTLE_S)
    _check_whole(fleet)
    fleet.sent.clear()
    fleet.bytes.clear()
    fleet.store.calls.clear()
    for timed in fleet.timed.values():
        timed.spent_s, timed.received = 0.0, 0
    fleet.run(WINDOW_S)
    sent = [fleet.sent[node] / WINDOW_S for node in fleet.nodes]
    size_b = [fleet.bytes[node] / WINDOW_S for node in fleet.nodes]
    spent = [fleet.timed[n].spent_s / WINDOW_S for n in fleet.nodes]
    cpu = [
        spent[i]
        + STREAM_COST_S / 2 * (sent[i] + fleet.timed[node].received / WINDOW_S)
        for i, node in enumerate(fleet.nodes)
    ]
    calls = sum(fleet.store.calls.values()) / WINDOW_S
    accepted_s, in_force_s = _time_change(fleet)
    return Row(
        members=size,
        sent_mean=round(sum(sent) / size, 1),
        sent_max=round(max(sent), 1),
        bytes_mean=round(sum(size_b) / size),
        bytes_max=round(max(size_b)),
        decider_cpu_mean=round(sum(spent) / size, 5),
        cpu_max=round(max(cpu), 5),
        store_calls=round(calls, 1),
        death_seen_s=_time_death(fleet),
        accepted_s=accepted_s,
        in_force_s=in_force_s,
    )


def _check_whole(fleet: Fleet) -> None:
    live = {len(seen.live) for seen in fleet.seen.values()}
    if live != {len(fleet.nodes)}:
        raise SystemExit(f"not all are live everywhere: {live}")


def _time_change(fleet: Fleet) -> tuple[float, float]:
    began = fleet.bus.now
    edit = configuration.RecordEdit(
        "zone/a", b'{"name":"a","out":false}', configuration.ANY
    )
    node = fleet.nodes[-1]
    ask = configuration.ChangeAsk("c", "operator", (edit,))
    fleet.bus.inject(node, ask)
    fleet.run(10.0)
    accepted = fleet.seen[node].accepted.get("c", float("inf"))
    last = max(
        seen.in_force.get(1, float("inf")) for seen in fleet.seen.values()
    )
    return round(accepted - began, 3), round(last - began, 3)


def _time_death(fleet: Fleet) -> float:
    """Kills the first member, which is a relay where there are any."""
    victim = fleet.nodes[0]
    began = fleet.bus.now
    fleet.bus.kill(victim)
    fleet.run(10.0)
    seen = [
        fleet.seen[node].gone.get(victim, float("inf"))
        for node in fleet.nodes[1:]
    ]
    return round(max(seen) - began, 3)


def slopes(rows: Sequence[Row]) -> dict[str, float]:
    """Returns the growth per added member, from the smallest to the largest."""
    first, last = rows[0], rows[-1]
    more = last.members - first.members
    return {
        "sent_max_per_member": round(
            (last.sent_max - first.sent_max) / more, 3
        ),
        "bytes_max_per_member": round(
            (last.bytes_max - first.bytes_max) / more, 2
        ),
        "cpu_max_per_member": round((last.cpu_max - first.cpu_max) / more, 7),
        "store_calls_per_member": round(
            (last.store_calls - first.store_calls) / more, 3
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
    found = slopes(rows) if len(rows) > 1 else {}
    print(json.dumps(found))
    report = {"rows": [dataclasses.asdict(r) for r in rows], "slopes": found}
    path = pathlib.Path("build/measure/membership.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n")
