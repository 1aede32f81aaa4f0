"""Injects random faults into a simulated fleet and checks invariants.

Run by `script/measure chaos --seed N` or `--seeds N`. A violation is printed
with its seed and a minimal schedule of faults that still causes it.
"""

import argparse
import collections
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import json
import pathlib
import time
from unittest import mock

from bench import faults, world
from tamarackbridge import const, core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.records import models

ZONE_OUT_DELAY_S = 3.0
"""Time within which routers must stop starting work in a zone taken out."""

CONFIGURATION_DELAY_S = 4.0
"""Time within which each start must be under an accepted configuration."""

SMALL_GROUP_SIZE = 2
"""Group size in every third seed; small enough that relays are needed."""

NOT_RUN_ANSWERS = (
    "deadline",
    "no_capacity",
    "queue_full",
    "not_serving",
    "no_holder",
    "draining",
    "unavailable",
    "mismatch",
)
"""Answers that assert that the request did not run."""

WARM_UP_REPORT_DELAY_S = 1.5
"""Time within which a dispatcher must apply the limit of a warming server."""


class Chaos(faults.FaultyWorld):
    """One run of a schedule of faults that checks all invariants.

    Attributes:
        violations: Violated invariants, each with its time.
        steps: Number of ticks.
        checks: Number of checks of each invariant.
    """

    def __init__(self, seed: int, plan: Sequence[faults.Fault]) -> None:
        super().__init__(seed, plan)
        self.violations: list[str] = []
        self.steps = 0
        self.checks: collections.Counter[str] = collections.Counter()
        self._requests = 0
        self._sent: list[world.Request] = []
        self._accepted: list[tuple[float, int]] = []
        self._generations: dict[world.Entry, int] = {}
        self._rejected: set[tuple[world.Entry, str]] = set()
        self._zones_out_since: dict[str, float] = {}
        self._zone_generations: dict[str, int] = {}
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self.bus.at(faults.WARM_UP_S, self._send_traffic)

    def run(self) -> None:
        """Runs warm-up, faults and the period in which all must recover."""
        end = faults.WARM_UP_S + faults.FAULTS_S + faults.RECOVERY_S
        while self.bus.now < end and not self.violations:
            self.bus.run_until(self.bus.now + const.TICK_S)
            self.steps += 1
            self._check_holders()
        if not self.violations:
            self._check_recovered()

    def record_violation(self, text: str) -> None:
        """Records a violated invariant."""
        self.violations.append(f"t={self.bus.now:.3f} {text}")

    # Hooks of the simulated fleet.

    def observe(
        self, entry: world.Entry, msg: core.Message, now: float
    ) -> None:
        """Checks configuration and permits; records accepted changes."""
        match msg:
            case configuration.SnapshotInForce():
                generation = msg.snapshot.generation
                self.checks["revert"] += 1
                if generation < self._generations.get(entry, 0):
                    self.record_violation(
                        f"{entry.node} reverted to {generation}"
                    )
                self._generations[entry] = generation
                self._record_zones(msg.snapshot)
            case configuration.ChangeReport():
                self._on_change_report(msg, now)
            case dispatch.Refused():
                self._rejected.add((entry, msg.request_id))
            case dispatch.Permitted():
                self.checks["permit"] += 1
                if (entry, msg.request_id) in self._rejected:
                    self.record_violation(
                        f"{msg.request_id} permitted after a refusal"
                    )

    def _record_zones(self, snapshot: models.Snapshot) -> None:
        for zone in snapshot.zones.values():
            newer = snapshot.generation > self._zone_generations.get(
                zone.name, 0
            )
            if newer and not zone.out:
                self._zone_generations[zone.name] = snapshot.generation
                self._zones_out_since.pop(zone.name, None)

    def _on_change_report(
        self, report: configuration.ChangeReport, now: float
    ) -> None:
        if report.state is not configuration.ChangeState.ACCEPTED:
            return
        self._accepted.append((now, report.generation))
        zone, out = self.zone_changes.get(report.change_id, ("", False))
        if zone and report.generation > self._zone_generations.get(zone, 0):
            self._zone_generations[zone] = report.generation
            if out:
                self._zones_out_since[zone] = now
            else:
                self._zones_out_since.pop(zone, None)

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        """Checks limits, zones, configuration and keys at each start."""
        record = server.record
        count = len(server.running)
        self.checks["start"] += 1
        if count > record.limit_warm:
            self.record_violation(
                f"{record.name} runs {count} of {record.limit_warm}"
            )
        reported = now - server.cold_since > WARM_UP_REPORT_DELAY_S
        if reported and now < server.cold_until and count > record.limit_cold:
            self.record_violation(f"{record.name} is cold and runs {count}")
        out_since = self._zones_out_since.get(record.zone)
        if out_since is not None and now > out_since + ZONE_OUT_DELAY_S:
            self.record_violation(
                f"{entry.node} started in {record.zone}, out {out_since}"
            )
        needed = [
            g
            for accepted_at, g in self._accepted
            if now > accepted_at + CONFIGURATION_DELAY_S
        ]
        if entry.snapshot.generation < max(needed, default=0):
            self.record_violation(
                f"{entry.node} started under an old configuration"
            )
        if req.key:
            self._runs_by_key[req.key] += 1
            if self._runs_by_key[req.key] > 1:
                self.record_violation(f"key {req.key} ran twice")

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        """Checks that "not run" is true and no request is answered twice."""
        if req.answer:
            self.record_violation(
                f"{req.request_id} answered {req.answer} and {answer}"
            )
        super().answered(req, answer, now)
        self.checks["answer"] += 1
        if answer in NOT_RUN_ANSWERS and req.started:
            self.record_violation(f"{req.request_id} ran but answered {answer}")
        lost = answer == "connection_lost" and self.bus.now < req.due
        if req.key and lost and self.rng.random() < 0.7:
            self._retry(req)

    def _check_holders(self) -> None:
        holders: dict[str, str] = {}
        for node, entry in self.entries.items():
            for shard, lease in entry.leases.items():
                if lease.until <= self.bus.now:
                    continue
                self.checks["holder"] += 1
                if shard in holders:
                    self.record_violation(
                        f"{shard} held by {holders[shard]} and {node}"
                    )
                holders[shard] = node

    def _check_recovered(self) -> None:
        newest = max((g for _, g in self._accepted), default=0)
        for node in self.nodes:
            entry = self.entries[node]
            if not entry.serving:
                self.record_violation(f"{node} does not serve after recovery")
            if entry.snapshot.generation < newest:
                self.record_violation(f"{node} misses generation {newest}")
        unanswered = [
            req.request_id
            for req in self._sent
            if not req.answer and self.bus.now > req.due + 2.0
        ]
        if unanswered:
            self.record_violation(f"never answered: {unanswered[:5]}")
        recent = [r for r in self._sent if r.due > self.bus.now - 8.0]
        failed = [r for r in recent if r.answer not in ("ok", "replay", "")]
        if len(failed) > len(recent) // 20:
            answers = collections.Counter(req.answer for req in failed)
            self.record_violation(
                f"after recovery {len(failed)} of {len(recent)}: {answers}"
            )

    # Callers.

    def _send_traffic(self) -> None:
        now = self.bus.now
        self._send_request()
        if now < faults.WARM_UP_S + faults.FAULTS_S + faults.RECOVERY_S - 6.0:
            self.bus.at(now + self.rng.expovariate(25.0), self._send_traffic)

    def _send_request(self, node: str = "", workspace: str = "") -> None:
        service, route, work_s, deadline_s = self.rng.choice(_ROUTES)
        self._requests += 1
        request_id = f"q{self._requests}"
        idempotent = route != "supplier-payment"
        req = world.Request(
            request_id,
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
            self._retry(req)

    def _retry(self, req: world.Request) -> None:
        """Schedules a retry under the same key, at a random router."""
        self._requests += 1
        retry = dataclasses.replace(
            req,
            request_id=f"q{self._requests}b",
            answer="",
            started=0,
            avoid=(),
            due=self.bus.now + 6.0,
        )
        node = self.rng.choice(self.nodes)
        when = self.bus.now + self.rng.uniform(0.0, 2.0)
        self._sent.append(retry)
        self.bus.at(when, lambda: self.call(node, retry))

    def on_zone_return(self, zone: str) -> None:
        """Ends the check that nothing starts in a zone."""
        self._zones_out_since.pop(zone, None)

    def flood(self, node: str) -> None:
        """Sends many requests of one workspace to one router at once."""
        for _ in range(200):
            self._send_request(node, "hakodate-dealers")


_ROUTES = (
    ("plate-llm", "order-file", 0.8, 8.0),
    ("order-app", "wording-check", 0.05, 1.0),
    ("order-app", "order-status", 0.05, 2.0),
    ("order-app", "supplier-payment", 0.1, 6.0),
)
"""Service, route, mean running time and deadline, both in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one seed."""

    seed: int
    steps: int
    violations: tuple[str, ...]
    checks: dict[str, int]
    faults: tuple[faults.Fault, ...]


def run_faults(seed: int, plan: Sequence[faults.Fault]) -> Outcome:
    """Runs one schedule, with small groups in every third seed."""
    size = SMALL_GROUP_SIZE if seed % 3 == 0 else membership_const.GROUP_SIZE
    with mock.patch.object(membership_const, "GROUP_SIZE", size):
        chaos = Chaos(seed, plan)
        chaos.run()
    return Outcome(
        seed,
        chaos.steps,
        tuple(chaos.violations),
        dict(chaos.checks),
        tuple(plan),
    )


def run_seed(seed: int) -> Outcome:
    """Runs the schedule of a seed; minimises it after a violation."""
    outcome = run_faults(seed, faults.schedule(seed))
    return _minimise(outcome) if outcome.violations else outcome


def _minimise(outcome: Outcome) -> Outcome:
    """Removes each fault without which the seed still has a violation."""
    for fault in outcome.faults:
        fewer = [item for item in outcome.faults if item != fault]
        shorter = run_faults(outcome.seed, fewer)
        if shorter.violations:
            outcome = shorter
    return outcome


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
    broken = [outcome for outcome in outcomes if outcome.violations]
    for outcome in broken:
        print(f"seed {outcome.seed}: {outcome.violations[0]}")
        for fault in outcome.faults:
            print(f"  {fault}")
    report = {
        "seeds": len(seeds),
        "steps": sum(outcome.steps for outcome in outcomes),
        "violations": len(broken),
        "broken_seeds": [outcome.seed for outcome in broken],
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
    for outcome in outcomes:
        total.update(outcome.checks)
    return dict(total)
