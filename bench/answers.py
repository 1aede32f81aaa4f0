"""Measures complete answers and duplicate runs under random faults.

Runs in virtual time by `script/measure answers --seed N` or `--seeds N`;
`--rolling` adds a rolling restart of real routers under load.
"""

import argparse
import collections
from collections.abc import Callable, Sequence
import concurrent.futures
import json
import pathlib
import random
import statistics
import time
import tracemalloc
from typing import Any

from bench import answers_scene, answers_servers, rolling
from tamarackbridge import core
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.claims import replica, segment
from tamarackbridge.components.object_api import messages as store

RESULT = pathlib.Path("build/measure/answers.json")
MINUTES = 10
ROUTERS = 7
SERVER_FAULT_PROBABILITY = 0.08
PAYMENT_RATES = (1, 10, 100)
PAYMENT_RUN_S = 60.0
STORED_CLAIMS = 5000
OUTCOME_BYTES = 256
FAULT_INTERVAL_S = 12.0
SETTLING_S = 60.0
"""Time without new faults up to the last arrival, and from then to the end.

It lets each call get an answer.
"""


class Faults:
    """Injects random faults, which may overlap.

    Attributes:
        counts: Number of injected faults of each kind.
    """

    def __init__(self, scene: answers_scene.Scene, end: float) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._scene = scene
        self._bus = scene.bus
        self._rng = random.Random(scene.rng.random())
        self._end = end
        self._kinds: dict[str, Callable[[], None]] = {
            "router killed": self._kill,
            "router paused": self._pause,
            "router cut off": self._cut_off,
            "store down": self._store_down,
            "store slow": self._store_slow,
            "store loses answers": self._store_lossy,
            "network loses": self._network,
        }
        self._schedule(FAULT_INTERVAL_S, self._inject_next)

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self._bus.at(self._bus.now + seconds, action)

    def _inject_next(self) -> None:
        if self._bus.now >= self._end:
            return
        kind = self._rng.choice(list(self._kinds))
        self.counts[kind] += 1
        self._kinds[kind]()
        self._schedule(
            self._rng.expovariate(1 / FAULT_INTERVAL_S), self._inject_next
        )

    def _random_node(self) -> str:
        return self._rng.choice(self._scene.nodes)

    def _kill(self) -> None:
        node = self._random_node()
        running = [name for name in self._scene.nodes if self._bus.alive(name)]
        if node in running and len(running) > 3:
            self._scene.kill_router(node)
            wait_s = self._rng.uniform(0.5, 10.0)
            self._schedule(wait_s, lambda: self._scene.start_router(node))

    def _pause(self) -> None:
        node = self._random_node()
        self._bus.pause(node)
        self._restore_later(node, lambda: self._bus.resume(node))

    def _cut_off(self) -> None:
        node = self._random_node()
        others = [name for name in self._scene.nodes if name != node]
        if self._rng.random() < 0.5:
            others.append("@store")
        self._bus.faults.isolate([node], others)
        self._restore_later(node, self._bus.faults.heal)

    def _restore_later(self, node: str, restore: Callable[[], None]) -> None:
        self._scene.detect_loss_later(node)

        def end() -> None:
            restore()
            self._scene.lost_routers.discard(node)
            self._scene.publish_rosters()

        self._schedule(self._rng.uniform(1.0, 20.0), end)

    def _store_down(self) -> None:
        self._scene.store.down = True

        def end() -> None:
            self._scene.store.down = False

        self._schedule(self._rng.choice([2.0, 10.0, 60.0]), end)

    def _store_slow(self) -> None:
        self._scene.store.slow_s = 2.0

        def end() -> None:
            self._scene.store.slow_s = answers_scene.STORE_DELAY_S

        self._schedule(self._rng.uniform(5.0, 30.0), end)

    def _store_lossy(self) -> None:
        self._scene.store.lose_answer = 0.3

        def end() -> None:
            self._scene.store.lose_answer = 0.0

        self._schedule(self._rng.uniform(5.0, 30.0), end)

    def _network(self) -> None:
        self._bus.faults.drop = 0.1
        self._bus.faults.duplicate = 0.1
        self._bus.faults.delay_s = (0.0005, 0.2)

        def end() -> None:
            self._bus.faults.drop = self._bus.faults.duplicate = 0.0
            self._bus.faults.delay_s = (0.0005, 0.0015)

        self._schedule(self._rng.uniform(5.0, 20.0), end)


def evaluate(scene: answers_scene.Scene) -> dict[str, Any]:
    """Returns the violations of the invariants and the service of a run."""
    crossed, truncated, empty = 0, 0, 0
    for call in scene.calls:
        if call.status != "whole":
            continue
        expected = {
            answers_servers.whole_body(request_id, call.kind)
            for request_id in call.requests
        }
        empty += call.kind.name == "order-status" and not call.body
        if call.body in expected:
            continue
        is_prefix = any(body.startswith(call.body) for body in expected)
        truncated += is_prefix
        crossed += not is_prefix
    results = collections.Counter(call.status or "open" for call in scene.calls)
    keyed = [call.name for call in scene.calls if call.kind.keyed]
    runs = scene.servers.runs
    return {
        "requests": len(scene.calls),
        "max_runs_per_key": max(runs.get(name, 0) for name in keyed),
        "false_not_run": len(scene.false_not_run),
        "crossed": crossed,
        "truncated_as_whole": truncated,
        "empty_status_answers": empty,
        "whole_and_timely_ratio": round(
            sum(call.timely for call in scene.calls) / len(scene.calls), 5
        ),
        "unanswered": results["open"],
        "ends": dict(sorted(results.items())),
        "by_kind": {
            kind.name: round(
                statistics.mean(
                    call.timely for call in scene.calls if call.kind is kind
                ),
                5,
            )
            for kind in answers_servers.MIX
        },
    }


def run_mix(seed: int) -> dict[str, Any]:
    """Runs the mix of requests with random faults; returns the results."""
    scene = answers_scene.Scene(seed, ROUTERS, SERVER_FAULT_PROBABILITY)
    end = MINUTES * 60.0
    faults = Faults(scene, end - SETTLING_S)
    scene.bus.run_until(1.0)
    for kind in answers_servers.MIX:
        scene.schedule_arrivals(kind, end)
    scene.bus.run_until(end + SETTLING_S)
    return {"seed": seed, **evaluate(scene), "faults": dict(faults.counts)}


def run_payments(seed: int, rate: int) -> dict[str, float]:
    """Runs only payments, without faults; returns the cost of claims."""
    scene = answers_scene.Scene(seed, ROUTERS, 0.0)
    scene.bus.run_until(1.0)
    writes_before = scene.store.calls.get(store.StorePut.__name__, 0)
    kind = answers_servers.Kind("payment", rate, 0.05, 15.0, keyed=True)
    scene.schedule_arrivals(kind, 1.0 + PAYMENT_RUN_S)
    sizes: list[int] = []

    def record_size(_: str, env: core.Envelope, __: float) -> None:
        if isinstance(env.msg, store.StorePut):
            sizes.append(len(env.msg.value))

    scene.bus.taps.append(record_size)
    scene.bus.run_until(PAYMENT_RUN_S + 5.0)
    writes = scene.store.calls[store.StorePut.__name__] - writes_before
    percentiles = statistics.quantiles(scene.claim_s, n=100)
    return {
        "payments": len(scene.calls),
        "writes_per_payment": round(writes / len(scene.calls), 3),
        "writes_per_s": round(writes / PAYMENT_RUN_S, 1),
        "written_bytes_per_s": round(sum(sizes) / PAYMENT_RUN_S),
        "added_p50_ms": round(percentiles[49] * 1000, 1),
        "added_p99_ms": round(percentiles[98] * 1000, 1),
    }


def memory_bytes_per_claim() -> int:
    """Returns the memory of one stored claim in a claim keeper's replica."""
    claim_replica = replica.Replica(3600.0)
    encoded_records = tuple(
        segment.encode_record(
            segment.Record(
                key=f"{number:032x}",
                body_hash=f"{number:032x}",
                attempt=f"asahikawa-1.1700000000000.0123abcd.{number}",
                state=state,
                body=b"x" * OUTCOME_BYTES,
            )
        )
        for number in range(STORED_CLAIMS)
        for state in (claims.ClaimState.CLAIMED, claims.ClaimState.FINISHED)
    )
    data = segment.encode(segment.Segment(sealed=True, records=encoded_records))
    del encoded_records
    tracemalloc.start()
    claim_replica.add_archive(segment.decode(data))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used // len(claim_replica.entries)


def combine(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the maximum of each violation, and minimum and mean service."""
    maxima = {
        name: max(run[name] for run in runs)
        for name in (
            "max_runs_per_key",
            "false_not_run",
            "crossed",
            "truncated_as_whole",
            "empty_status_answers",
            "unanswered",
        )
    }
    ratios = [run["whole_and_timely_ratio"] for run in runs]
    return {
        **maxima,
        "whole_and_timely_ratio": round(statistics.mean(ratios), 5),
        "whole_and_timely_least": min(ratios),
    }


def main(argv: Sequence[str]) -> None:
    """Runs the measurement and writes its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--rolling", action="store_true")
    args = parser.parse_args(argv)
    started = time.monotonic()
    seeds = list(range(1, args.seeds + 1)) or [args.seed]
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        runs = list(pool.map(run_mix, seeds))
    rates = {str(rate): run_payments(args.seed, rate) for rate in PAYMENT_RATES}
    doc = {
        **combine(runs),
        "store_writes_per_payment": {
            rate: row["writes_per_payment"] for rate, row in rates.items()
        },
        "payments": rates,
        "memory_bytes_per_claim": memory_bytes_per_claim(),
        "seeds": seeds,
        "runs": runs,
        "wall_s": round(time.monotonic() - started, 1),
    }
    if args.rolling:
        doc["rolling"] = rolling.run(args.seed)
        doc["rolling_cut"] = doc["rolling"]["rolling_cut"]
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(doc, indent=2) + "\n")
    report(doc)


def report(doc: dict[str, Any]) -> None:
    """Prints the result as a table."""
    for name, value in doc.items():
        if name not in ("runs", "payments"):
            print(f"{name:26} {value}")
    for rate, row in doc["payments"].items():
        print(f"{rate:>4} payments/s  {row}")
    for run in doc["runs"]:
        if run["max_runs_per_key"] > 1 or run["false_not_run"]:
            print(f"BROKEN seed {run['seed']}: {run}")
