"""Composes faults at random over all real deciders and checks invariants.

`script/measure chaos --seed N` or `--seeds N`; a broken invariant is printed
with its seed and the fewest faults that still break it.
"""

import argparse
import collections
from collections.abc import Callable, Sequence
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import time

from bench import world
from tamarackbridge import const, core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.records import codec, models, schemas

ZONES = ("asahikawa", "sapporo", "obihiro")
ROUTERS = 6
WARM_UP_S = 12.0
FAULTS_S = 30.0
CALM_S = 25.0
ZONE_OUT_S = 3.0
IN_FORCE_S = 4.0
COLD_KNOWN_S = 1.5
"""Time after which a dispatcher must act on a server that turned cold."""

KINDS = (
    "cut_both",
    "cut_one_way",
    "split",
    "kill",
    "restart",
    "pause",
    "store_down",
    "store_slow",
    "store_lossy",
    "store_cut",
    "zone_out",
    "server_cold",
    "server_gone",
    "race",
    "flood",
    "lossy_network",
)


Undo = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule; `pick` chooses its targets."""

    at: float
    kind: str
    lasts_s: float
    pick: int


def schedule(seed: int) -> list[Fault]:
    """Returns the faults of a seed: several, often twice and together."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 14)):
        start = WARM_UP_S + rng.uniform(0, FAULTS_S)
        lasts_s = min(rng.expovariate(1 / 6.0) + 0.2, 20.0)
        kind = rng.choice(KINDS)
        faults.append(Fault(start, kind, lasts_s, rng.getrandbits(30)))
    return sorted(faults, key=lambda fault: fault.at)


class Chaos(world.World):
    """One run of a schedule of faults, with all checks."""

    def __init__(self, seed: int, faults: Sequence[Fault]) -> None:
        nodes = [f"r{index}" for index in range(ROUTERS)]
        zones = {node: ZONES[i % 3] for i, node in enumerate(nodes)}
        super().__init__(seed, zones)
        self.violations: list[str] = []
        self.steps = 0
        self.checks: collections.Counter[str] = collections.Counter()
        self._requests = 0
        self._sent: list[world.Request] = []
        self._accepted: list[tuple[float, int]] = []
        self._generation: dict[world.Entry, int] = {}
        self._zone_out_at: dict[str, float] = {}
        self._zone_asks: dict[str, tuple[str, bool]] = {}
        self._zone_order: dict[str, int] = {}
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self._records: dict[str, models.Route] = {}
        self._edits = self.load_records()
        self._changes = 0
        self.nodes = nodes
        for node in nodes:
            self.router(node)
        first = configuration.ChangeAsk("first", "operator", self._edits)
        self.bus.at(3.0, lambda: self.bus.inject("r0", first))
        for fault in faults:
            self.bus.at(fault.at, self._starter(fault))
        self.bus.at(WARM_UP_S, self._traffic)

    def run(self) -> None:
        """Runs warm-up, faults, and a calm end in which all must recover."""
        calm = WARM_UP_S + FAULTS_S
        self.bus.at(calm, self._heal)
        end = calm + CALM_S
        while self.bus.now < end and not self.violations:
            self.bus.run_until(self.bus.now + const.TICK_S)
            self.steps += 1
            self._check_holders()
        if not self.violations:
            self._check_recovered()

    def fail(self, text: str) -> None:
        """Records a broken invariant."""
        self.violations.append(f"t={self.bus.now:.3f} {text}")

    # What is seen.

    def observe(
        self, entry: world.Entry, msg: core.Message, now: float
    ) -> None:
        """Checks that configuration never reverts; notes acceptance."""
        match msg:
            case configuration.SnapshotInForce():
                generation = msg.snapshot.generation
                self.checks["revert"] += 1
                if generation < self._generation.get(entry, 0):
                    self.fail(f"{entry.node} reverted to {generation}")
                self._generation[entry] = generation
            case configuration.ChangeReport():
                self._on_report(msg, now)

    def _on_report(
        self, report: configuration.ChangeReport, now: float
    ) -> None:
        if report.state is not configuration.ChangeState.ACCEPTED:
            return
        self._accepted.append((now, report.generation))
        zone, out = self._zone_asks.get(report.change_id, ("", False))
        if zone and report.generation > self._zone_order.get(zone, 0):
            self._zone_order[zone] = report.generation
            if out:
                self._zone_out_at[zone] = now
            else:
                self._zone_out_at.pop(zone, None)

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        """Checks limits, zones, configuration and single runs at each start."""
        record = server.record
        count = len(server.running)
        self.checks["start"] += 1
        if count > record.limit_warm:
            self.fail(f"{record.name} runs {count} of {record.limit_warm}")
        known = now - server.cold_since > COLD_KNOWN_S
        if known and now < server.cold_until and count > record.limit_cold:
            self.fail(f"{record.name} is cold and runs {count}")
        out_at = self._zone_out_at.get(record.zone)
        if out_at is not None and now > out_at + ZONE_OUT_S:
            self.fail(f"{entry.node} started in {record.zone}, out {out_at}")
        needed = [g for at, g in self._accepted if now > at + IN_FORCE_S]
        if entry.snapshot.generation < max(needed, default=0):
            self.fail(f"{entry.node} started under an old configuration")
        if req.key:
            self._runs_by_key[req.key] += 1
            if self._runs_by_key[req.key] > 1:
                self.fail(f"key {req.key} ran twice")

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        """Checks that "not run" is true and nothing is answered twice."""
        if req.answer:
            self.fail(f"{req.request_id} answered {req.answer} and {answer}")
        super().answered(req, answer, now)
        self.checks["answer"] += 1
        not_run = answer not in ("ok", "backend_failed", "connection_lost")
        replayed = answer in ("replay", "outcome_unknown", "in_progress")
        if not_run and not replayed and req.started and not req.avoid:
            self.fail(f"{req.request_id} ran but answered {answer}")

    def _check_holders(self) -> None:
        holders: dict[str, str] = {}
        for node, entry in self.entries.items():
            for shard, held in entry.held.items():
                if held.until <= self.bus.now:
                    continue
                self.checks["holder"] += 1
                if shard in holders:
                    self.fail(f"{shard} held by {holders[shard]} and {node}")
                holders[shard] = node

    def _check_recovered(self) -> None:
        newest = max((g for _, g in self._accepted), default=0)
        for node in self.nodes:
            entry = self.entries[node]
            if not entry.serving:
                self.fail(f"{node} does not serve after recovery")
            if entry.snapshot.generation < newest:
                self.fail(f"{node} misses generation {newest}")
        late = [
            req.request_id
            for req in self._sent
            if not req.answer and self.bus.now > req.due + 2.0
        ]
        if late:
            self.fail(f"never answered: {late[:5]}")
        tail = [r for r in self._sent if r.due > self.bus.now - 8.0]
        bad = [r for r in tail if r.answer not in ("ok", "replay", "")]
        if len(bad) > len(tail) // 20:
            answers = collections.Counter(req.answer for req in bad)
            self.fail(f"after recovery {len(bad)} of {len(tail)}: {answers}")

    # Callers.

    def _traffic(self) -> None:
        now = self.bus.now
        self._send_one()
        if now < WARM_UP_S + FAULTS_S + CALM_S - 6.0:
            self.bus.at(now + self.rng.expovariate(25.0), self._traffic)

    def _send_one(self, node: str = "", workspace: str = "") -> None:
        service, route, work_s, deadline_s = self.rng.choice(_ROUTES)
        self._requests += 1
        name = f"q{self._requests}"
        idempotent = route != "supplier-payment"
        req = world.Request(
            name,
            service,
            models.Route(route, "GET", "/", idempotent, deadline_s, False),
            workspace or self.rng.choice(("stamping-line", "otaru-dealers")),
            work_s * self.rng.uniform(0.5, 1.5),
            self.bus.now + deadline_s,
            "" if idempotent else f"key-{self._requests}",
        )
        self._sent.append(req)
        self.call(node or self.rng.choice(self.nodes), req)
        if req.key and self.rng.random() < 0.3:
            self._repeat(req)

    def _repeat(self, req: world.Request) -> None:
        """Lets a caller repeat a payment elsewhere under the same key."""
        again = dataclasses.replace(
            req, request_id=f"{req.request_id}b", answer="", started=0, avoid=()
        )
        node = self.rng.choice(self.nodes)
        when = self.bus.now + self.rng.uniform(0.0, 1.0)
        self._sent.append(again)
        self.bus.at(when, lambda: self.call(node, again))

    def change(self, node: str, *edits: configuration.RecordEdit) -> str:
        """Has an operator ask a router for a change; returns its id."""
        self._changes += 1
        name = f"change-{self._changes}"
        ask = configuration.ChangeAsk(name, "operator", edits)
        if self.bus.alive(node):
            self.bus.inject(node, ask)
        return name

    def set_zone(self, node: str, zone: str, out: bool) -> None:
        """Has an operator take a zone out or bring it back."""
        record = schemas.Record(1, models.Zone(zone, out))
        body = codec.encode(record)
        if not out:
            self._zone_out_at.pop(zone, None)
        name = self.change(node, configuration.RecordEdit(f"zone/{zone}", body))
        self._zone_asks[name] = (zone, out)

    # Faults.

    def _starter(self, fault: Fault) -> Undo:
        def start() -> None:
            undo = getattr(self, f"_{fault.kind}")(random.Random(fault.pick))
            end = min(fault.at + fault.lasts_s, WARM_UP_S + FAULTS_S)
            self.bus.at(end, undo)

        return start

    def _heal(self) -> None:
        self.bus.faults.heal()
        self.bus.faults.drop = 0.0
        self.bus.faults.duplicate = 0.0
        self.store.down = False
        self.store.slow_s = 0.0
        self.store.lose_answer = 0.0
        for zone in ZONES:
            self.set_zone("r0", zone, out=False)
        for node in self.nodes:
            if self.bus.alive(node):
                self.bus.resume(node)
            else:
                self.router(node)

    def _cut(self, pairs: set[tuple[str, str]]) -> Undo:
        self.bus.faults.cut |= pairs

        def undo() -> None:
            self.bus.faults.cut -= pairs

        return undo

    def _cut_both(self, rng: random.Random) -> Undo:
        a, b = rng.sample(self.nodes, 2)
        return self._cut({(a, b), (b, a)})

    def _cut_one_way(self, rng: random.Random) -> Undo:
        a, b = rng.sample([*self.nodes, const.STORE_NODE], 2)
        return self._cut({(a, b)})

    def _split(self, rng: random.Random) -> Undo:
        inside = rng.sample(self.nodes, rng.randint(1, ROUTERS // 2))
        outside = [node for node in self.nodes if node not in inside]
        if rng.random() < 0.5:
            outside.append(const.STORE_NODE)
        pairs = {(a, b) for a in inside for b in outside}
        return self._cut(pairs | {(b, a) for a, b in pairs})

    def _store_cut(self, rng: random.Random) -> Undo:
        nodes = rng.sample(self.nodes, rng.randint(1, ROUTERS))
        pairs = {(node, const.STORE_NODE) for node in nodes}
        return self._cut(pairs | {(b, a) for a, b in pairs})

    def _kill(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        if self.bus.alive(node):
            self.kill(node)

        def undo() -> None:
            if not self.bus.alive(node):
                self.router(node)

        return undo

    def _restart(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        if self.bus.alive(node):
            self.kill(node)
        self.router(node)
        return lambda: None

    def _pause(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        self.bus.pause(node)
        return lambda: self.bus.resume(node)

    def _store_down(self, rng: random.Random) -> Undo:
        self.store.down = True

        def undo() -> None:
            self.store.down = False

        return undo

    def _store_slow(self, rng: random.Random) -> Undo:
        self.store.slow_s = rng.uniform(0.05, 3.0)

        def undo() -> None:
            self.store.slow_s = 0.0

        return undo

    def _store_lossy(self, rng: random.Random) -> Undo:
        self.store.lose_answer = rng.uniform(0.1, 0.9)

        def undo() -> None:
            self.store.lose_answer = 0.0

        return undo

    def _zone_out(self, rng: random.Random) -> Undo:
        zone = rng.choice(ZONES)
        self.set_zone(rng.choice(self.nodes), zone, out=True)
        node = rng.choice(self.nodes)
        return lambda: self.set_zone(node, zone, out=False)

    def _server_cold(self, rng: random.Random) -> Undo:
        self.chill(rng.choice(sorted(self.servers)), rng.uniform(1.0, 6.0))
        return lambda: None

    def _server_gone(self, rng: random.Random) -> Undo:
        name = rng.choice(sorted(self.servers))
        self.vanish(name)
        return lambda: self.come_back(name)

    def _race(self, rng: random.Random) -> Undo:
        zone = rng.choice(ZONES)
        for node in rng.sample(self.nodes, 2):
            self.set_zone(node, zone, out=rng.random() < 0.3)
        return lambda: self.set_zone(rng.choice(self.nodes), zone, out=False)

    def _flood(self, rng: random.Random) -> Undo:
        node = rng.choice(self.nodes)
        for _ in range(200):
            self._send_one(node, "hakodate-dealers")
        return lambda: None

    def _lossy_network(self, rng: random.Random) -> Undo:
        self.bus.faults.drop = rng.uniform(0.01, 0.3)
        self.bus.faults.duplicate = rng.uniform(0.0, 0.2)

        def undo() -> None:
            self.bus.faults.drop = 0.0
            self.bus.faults.duplicate = 0.0

        return undo


_ROUTES = (
    ("plate-llm", "order-file", 0.8, 8.0),
    ("order-app", "wording-check", 0.05, 1.0),
    ("order-app", "order-status", 0.05, 2.0),
    ("order-app", "supplier-payment", 0.1, 6.0),
)
"""Service, route, mean work and deadline, both in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one seed came to."""

    seed: int
    steps: int
    violations: tuple[str, ...]
    checks: dict[str, int]
    faults: tuple[Fault, ...]


def run_faults(seed: int, faults: Sequence[Fault]) -> Outcome:
    """Runs one schedule."""
    chaos = Chaos(seed, faults)
    chaos.run()
    return Outcome(
        seed,
        chaos.steps,
        tuple(chaos.violations),
        dict(chaos.checks),
        tuple(faults),
    )


def run_seed(seed: int) -> Outcome:
    """Runs the schedule of a seed; shortens it when it breaks something."""
    found = run_faults(seed, schedule(seed))
    return _shorten(found) if found.violations else found


def _shorten(found: Outcome) -> Outcome:
    """Leaves out every fault without which the seed still breaks."""
    for fault in found.faults:
        fewer = [item for item in found.faults if item != fault]
        tried = run_faults(found.seed, fewer)
        if tried.violations:
            found = tried
    return found


def main(argv: Sequence[str]) -> None:
    """Runs the seeds and writes build/measure/chaos.json."""
    parser = argparse.ArgumentParser(prog="script/measure chaos")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    args = parser.parse_args(argv)
    seeds = [args.seed] if args.seed else list(range(1, args.seeds + 1))
    began = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        outcomes = list(pool.map(run_seed, seeds))
    broken = [found for found in outcomes if found.violations]
    for found in broken:
        print(f"seed {found.seed}: {found.violations[0]}")
        for fault in found.faults:
            print(f"  {fault}")
    report = {
        "seeds": len(seeds),
        "steps": sum(found.steps for found in outcomes),
        "violations": len(broken),
        "broken_seeds": [found.seed for found in broken],
        "checks": _total(outcomes),
        "wall_s": round(time.monotonic() - began, 1),
    }
    path = pathlib.Path("build/measure/chaos.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report))
    if broken:
        raise SystemExit(1)


def _total(outcomes: Sequence[Outcome]) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for found in outcomes:
        total.update(found.checks)
    return dict(total)
