"""Works out what one node of the target's fleet needs, from measured slopes.

Reads `build/measure/slopes.json` and `build/measure/path.json` and measures
nothing itself.
"""

import argparse
from collections.abc import Sequence
import dataclasses
import json
import math
import pathlib
from typing import Any

from tamarackbridge.components.dispatch import const as dispatch_const

SLOPES = pathlib.Path("build/measure/slopes.json")
PATH = pathlib.Path("build/measure/path.json")
OUT = pathlib.Path("build/measure/capacity.json")

NODES = 380
ENGINES = 600
REQUESTS_PER_S = 8000
TOKENS_PER_S = 2_100_000
WORKSPACES = 2100
BACKLOGGED = 210
MODELS = 31
ZONES = 8
CHANGES_PER_S = 2000 / 86_400
FIRST_TOKEN_S = 1.3
TOKEN_GAP_S = 0.026
SHARD_ENGINES = 12
GROUP = 16
HEARTBEAT_S = 0.38
"""Mean interval between heartbeats: 0.4 s with jitter down by a tenth."""

PROGRESS_PER_S = 1 / dispatch_const.PROGRESS_INTERVAL_S
KEYED_PART = 0.05
"""Part of the requests that carries an idempotency key; our assumption."""

RETENTION_S = 86_400
RANGES = 8

CORE_LIMIT_US = 23_000
BYTES_LIMIT = 25_000
MEMORY_LIMIT = 32_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one role needs on one node.

    Attributes:
        cpu_us: Processor time a second, in microseconds.
        wire: Bytes a second, in and out.
        memory: Bytes of state.
    """

    role: str
    cpu_us: float
    wire: float
    memory: float


class Slopes:
    """The measured lines."""

    def __init__(self, found: dict[str, Any]) -> None:
        self._found = found

    def at(self, axis: str, metric: str, size: float) -> float:
        """Returns the line's value at a size."""
        line = self._found[axis]["metrics"][metric]
        return float(line["base"] + line["slope"] * size)

    def slope(self, axis: str, metric: str) -> float:
        """Returns the line's slope."""
        return float(self._found[axis]["metrics"][metric]["slope"])

    def message(self, name: str) -> float:
        """Returns the bytes of a message."""
        return float(self._found["message_bytes"][name])


class Target:
    """The target's sizes for one node and one shard."""

    def __init__(self) -> None:
        per_model = math.ceil(ENGINES / MODELS)
        shards_per_model = math.ceil(per_model / SHARD_ENGINES)
        self.shards = MODELS * shards_per_model
        self.engines_per_shard = ENGINES / self.shards
        self.records = WORKSPACES + ENGINES + MODELS + ZONES
        self.tokens_per_request = TOKENS_PER_S / REQUESTS_PER_S
        self.life_s = FIRST_TOKEN_S + self.tokens_per_request * TOKEN_GAP_S
        self.open = REQUESTS_PER_S * self.life_s / NODES
        self.requests_per_s = REQUESTS_PER_S / NODES
        self.shard_requests_per_s = REQUESTS_PER_S / self.shards
        self.permits = REQUESTS_PER_S * self.life_s / self.shards
        self.groups = ZONES * math.ceil(NODES / ZONES / GROUP)
        self.claims_per_s = REQUESTS_PER_S * KEYED_PART

    @property
    def peers_of_entry(self) -> float:
        """Shards in which an entry holds a permit at a time."""
        return self.shards * (1 - math.exp(-self.open / self.shards))

    @property
    def entries_of_shard(self) -> float:
        """Entries that hold a permit of one shard at a time."""
        return NODES * (1 - math.exp(-self.permits / NODES))


def batch_cpu(slopes: Slopes) -> float:
    """One end of one batch: half of what both ends take."""
    return slopes.slope("links", "send_and_receive_cpu_us") / 2


def rows(slopes: Slopes, target: Target) -> list[Row]:
    """Returns what each role needs."""
    return [
        _member(slopes, target, relay=False),
        _member(slopes, target, relay=True),
        _configuration(slopes, target),
        _entry(slopes, target),
        _dispatcher(slopes, target),
        _keeper(slopes, target),
    ]


def _member(slopes: Slopes, target: Target, relay: bool) -> Row:
    suffix = "_most" if relay else ""
    cpu = slopes.at("members", f"cpu_us_per_s{suffix}", NODES)
    peers = GROUP - 1 + (target.groups - 1 if relay else 0)
    batches = 2 * peers / HEARTBEAT_S
    wire = slopes.at("members", f"bytes_in_and_out_per_s{suffix}", NODES)
    state = slopes.at("members", "state_bytes", NODES)
    name = "member, relay of its group" if relay else "member"
    return Row(name, cpu + batches * batch_cpu(slopes), wire, state)


def _configuration(slopes: Slopes, target: Target) -> Row:
    apply_us = slopes.at("records", "change_cpu_us", target.records)
    stored = slopes.at("records", "stored_bytes", target.records)
    state = slopes.at("records", "state_bytes", target.records)
    cpu, wire = apply_us * CHANGES_PER_S, stored * CHANGES_PER_S
    return Row("configuration", cpu, wire, state)


def _entry(slopes: Slopes, target: Target) -> Row:
    cycle = slopes.at("known_servers", "cycle_cpu_us", ENGINES)
    report = slopes.at("open_requests", "report_cpu_us", target.open)
    report_bytes = slopes.at("open_requests", "report_bytes", target.open)
    request_batches = 3 * target.requests_per_s
    batches = request_batches + target.peers_of_entry * PROGRESS_PER_S
    cpu = target.requests_per_s * cycle + PROGRESS_PER_S * report
    size = sum(slopes.message(name) for name in ("ask", "grant", "finish"))
    wire = (
        target.requests_per_s * size
        + report_bytes * PROGRESS_PER_S
        + batches * slopes.message("batch")
    )
    memory = slopes.at("open_requests", "state_bytes", target.open)
    cpu += batches * batch_cpu(slopes)
    return Row("entry, permits", cpu, wire, memory)


def _dispatcher(slopes: Slopes, target: Target) -> Row:
    engines = target.engines_per_shard
    cycle = slopes.at("workspaces", "cycle_cpu_us", BACKLOGGED)
    cycle += slopes.slope("servers", "cycle_cpu_us") * max(engines - 8, 0)
    cycle += slopes.slope("permits", "cycle_cpu_us") * (target.permits - 64)
    progress = slopes.at("permits", "progress_cpu_us", target.permits)
    reports = target.entries_of_shard * PROGRESS_PER_S
    batches = 3 * target.shard_requests_per_s + reports
    cpu = (
        target.shard_requests_per_s * cycle
        + reports * progress
        + 50 * slopes.at("servers", "tick_cpu_us", engines)
        + batches * batch_cpu(slopes)
    )
    size = sum(slopes.message(name) for name in ("ask", "grant", "finish"))
    progress_bytes = slopes.slope("open_requests", "report_bytes")
    wire = (
        target.shard_requests_per_s * size
        + PROGRESS_PER_S * target.permits * progress_bytes
        + batches * slopes.message("batch")
    )
    memory = slopes.at("permits", "state_bytes", target.permits)
    memory += slopes.slope("workspaces", "state_bytes") * BACKLOGGED
    return Row("dispatcher of one shard", cpu, wire, memory)


def _keeper(slopes: Slopes, target: Target) -> Row:
    each = target.claims_per_s / RANGES
    held = each * RETENTION_S
    batches = 4 * each
    cpu = each * slopes.at("claims", "claim_cpu_us", 0)
    cpu += batches * batch_cpu(slopes)
    wire = each * slopes.at("claims", "put_bytes_per_claim", 0)
    memory = held * slopes.slope("claims", "state_bytes")
    return Row("claim keeper of one range", cpu, wire, memory)


def data_path(found: dict[str, Any], target: Target) -> dict[str, float]:
    """Returns what the data path takes on one node."""
    tokens = TOKENS_PER_S / NODES
    per_token = float(found["tokens"][-1]["cpu_us_per_token"])
    per_request = float(found["requests"]["cpu_ms_per_request"]) * 1000
    token_core = tokens * per_token / 1e6
    request_core = target.requests_per_s * per_request / 1e6
    return {
        "tokens_per_s": tokens,
        "cpu_us_per_token": per_token,
        "core_of_tokens": token_core,
        "core_of_requests": request_core,
        "open_streams": target.open,
        "stream_memory_bytes": target.open
        * float(found["memory"]["kb_per_stream"])
        * 1024,
    }


def main(argv: Sequence[str]) -> None:
    """Prints and writes the figures."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    slopes, target = Slopes(json.loads(SLOPES.read_text())), Target()
    found = rows(slopes, target)
    print(f"{'role':28} {'us/s':>10} {'of a core':>9} {'B/s':>11} {'B':>14}")
    for row in found:
        share = row.cpu_us / 1e6
        print(
            f"{row.role:28} {row.cpu_us:>10,.0f} {share:>9.1%}"
            f" {row.wire:>11,.0f} {row.memory:>14,.0f}"
        )
    print(f"limit{CORE_LIMIT_US:>34,} {0.023:>9.1%} {BYTES_LIMIT:>11,}")
    path = data_path(json.loads(PATH.read_text()), target)
    sizes = {
        name: getattr(target, name)
        for name in ("shards", "records", "open", "permits", "groups")
    }
    for name, value in (sizes | path).items():
        print(f"{name:28} {value:>14,.3f}")
    doc = {"rows": [dataclasses.asdict(row) for row in found], "path": path}
    OUT.write_text(json.dumps(doc, indent=2))
