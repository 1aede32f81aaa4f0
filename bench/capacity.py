"""Calculates the resources of one node in a fleet of the target size.

Extrapolates from the results of other measurements, read from
`build/measure/slopes.json` and `build/measure/path.json`.
"""

import argparse
from collections.abc import Sequence
import dataclasses
import json
import math
import pathlib
from typing import Any

from tamarackbridge.components.dispatch import const as dispatch_const

SLOPES_FILE = pathlib.Path("build/measure/slopes.json")
PATH_FILE = pathlib.Path("build/measure/path.json")
OUTPUT = pathlib.Path("build/measure/capacity.json")

# Size of the target fleet.
NODES = 380
ENGINES = 600
REQUESTS_PER_S = 8000
TOKENS_PER_S = 2_100_000
WORKSPACES = 2100
BACKLOGGED_WORKSPACES = 210
MODELS = 31
ZONES = 8
CONFIGURATION_CHANGES_PER_S = 2000 / 86_400
FIRST_TOKEN_S = 1.3
TOKEN_GAP_S = 0.026
ENGINES_PER_SHARD = 12
GROUP_SIZE = 16
HEARTBEAT_S = 0.38
"""Mean interval between heartbeats: 0.4 s, shortened by up to a tenth."""

PROGRESS_REPORTS_PER_S = 1 / dispatch_const.PROGRESS_INTERVAL_S
KEYED_FRACTION = 0.05
"""Assumed fraction of the requests that carry an idempotency key."""

RETENTION_S = 86_400
CLAIM_RANGES = 8

# Limits of one role on one node.
CPU_LIMIT_US_PER_S = 23_000
BYTES_LIMIT_PER_S = 25_000
MEMORY_LIMIT_BYTES = 32_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Resources that one role needs on one node.

    Attributes:
        role: Name of the role.
        cpu_us: Processor time a second, in microseconds.
        wire: Bytes a second, received and sent.
        memory: Bytes of state.
    """

    role: str
    cpu_us: float
    wire: float
    memory: float


class Slopes:
    """Lines fitted to the measured points."""

    def __init__(self, measured: dict[str, Any]) -> None:
        self._measured = measured

    def at(self, axis: str, metric: str, size: float) -> float:
        """Returns the value of a metric at a size on an axis."""
        line = self._measured[axis]["metrics"][metric]
        return float(line["base"] + line["slope"] * size)

    def slope(self, axis: str, metric: str) -> float:
        """Returns the slope of a metric along an axis."""
        return float(self._measured[axis]["metrics"][metric]["slope"])

    def message(self, name: str) -> float:
        """Returns the size of a message in bytes."""
        return float(self._measured["message_bytes"][name])


class Target:
    """Target size of the fleet, for one node and one shard.

    Attributes:
        shards: Shards of all models.
        engines_per_shard: Mean number of engines in a shard.
        records: Records in the configuration.
        tokens_per_request: Mean output of a request.
        life_s: Mean duration of a request.
        open: Open requests at a node.
        requests_per_s: Requests a second at a node.
        shard_requests_per_s: Requests a second in a shard.
        permits: Permits in use in a shard.
        groups: Groups of routers.
        claims_per_s: Requests with an idempotency key in the whole fleet.
    """

    def __init__(self) -> None:
        per_model = math.ceil(ENGINES / MODELS)
        shards_per_model = math.ceil(per_model / ENGINES_PER_SHARD)
        self.shards = MODELS * shards_per_model
        self.engines_per_shard = ENGINES / self.shards
        self.records = WORKSPACES + ENGINES + MODELS + ZONES
        self.tokens_per_request = TOKENS_PER_S / REQUESTS_PER_S
        self.life_s = FIRST_TOKEN_S + self.tokens_per_request * TOKEN_GAP_S
        self.open = REQUESTS_PER_S * self.life_s / NODES
        self.requests_per_s = REQUESTS_PER_S / NODES
        self.shard_requests_per_s = REQUESTS_PER_S / self.shards
        self.permits = REQUESTS_PER_S * self.life_s / self.shards
        self.groups = ZONES * math.ceil(NODES / ZONES / GROUP_SIZE)
        self.claims_per_s = REQUESTS_PER_S * KEYED_FRACTION

    @property
    def peers_of_entry(self) -> float:
        """Mean number of shards of which an entry holds a permit."""
        return self.shards * (1 - math.exp(-self.open / self.shards))

    @property
    def entries_of_shard(self) -> float:
        """Mean number of entries that hold a permit of one shard."""
        return NODES * (1 - math.exp(-self.permits / NODES))


def batch_cpu_us(slopes: Slopes) -> float:
    """Returns the processor time of a batch at one end, in microseconds.

    Both ends are measured together; each is taken as half of that.
    """
    return slopes.slope("links", "send_and_receive_cpu_us") / 2


def rows(slopes: Slopes, target: Target) -> list[Row]:
    """Returns the resources of each role."""
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
    peers = GROUP_SIZE - 1 + (target.groups - 1 if relay else 0)
    batches = 2 * peers / HEARTBEAT_S
    wire = slopes.at("members", f"bytes_in_and_out_per_s{suffix}", NODES)
    state = slopes.at("members", "state_bytes", NODES)
    name = "member, relay of its group" if relay else "member"
    return Row(name, cpu + batches * batch_cpu_us(slopes), wire, state)


def _configuration(slopes: Slopes, target: Target) -> Row:
    apply_us = slopes.at("records", "change_cpu_us", target.records)
    stored = slopes.at("records", "stored_bytes", target.records)
    state = slopes.at("records", "state_bytes", target.records)
    cpu, wire = (
        apply_us * CONFIGURATION_CHANGES_PER_S,
        stored * CONFIGURATION_CHANGES_PER_S,
    )
    return Row("configuration", cpu, wire, state)


def _entry(slopes: Slopes, target: Target) -> Row:
    cycle = slopes.at("known_servers", "cycle_cpu_us", ENGINES)
    report = slopes.at("open_requests", "report_cpu_us", target.open)
    report_bytes = slopes.at("open_requests", "report_bytes", target.open)
    request_batches = 3 * target.requests_per_s
    batches = request_batches + target.peers_of_entry * PROGRESS_REPORTS_PER_S
    cpu = target.requests_per_s * cycle + PROGRESS_REPORTS_PER_S * report
    request_bytes = sum(
        slopes.message(name) for name in ("ask", "grant", "finish")
    )
    wire = (
        target.requests_per_s * request_bytes
        + report_bytes * PROGRESS_REPORTS_PER_S
        + batches * slopes.message("batch")
    )
    memory = slopes.at("open_requests", "state_bytes", target.open)
    cpu += batches * batch_cpu_us(slopes)
    return Row("entry, permits", cpu, wire, memory)


def _dispatcher(slopes: Slopes, target: Target) -> Row:
    engines = target.engines_per_shard
    cycle = slopes.at("workspaces", "cycle_cpu_us", BACKLOGGED_WORKSPACES)
    cycle += slopes.slope("servers", "cycle_cpu_us") * max(engines - 8, 0)
    cycle += slopes.slope("permits", "cycle_cpu_us") * (target.permits - 64)
    progress = slopes.at("permits", "progress_cpu_us", target.permits)
    reports = target.entries_of_shard * PROGRESS_REPORTS_PER_S
    batches = 3 * target.shard_requests_per_s + reports
    cpu = (
        target.shard_requests_per_s * cycle
        + reports * progress
        + 50 * slopes.at("servers", "tick_cpu_us", engines)
        + batches * batch_cpu_us(slopes)
    )
    request_bytes = sum(
        slopes.message(name) for name in ("ask", "grant", "finish")
    )
    progress_bytes = slopes.slope("open_requests", "report_bytes")
    wire = (
        target.shard_requests_per_s * request_bytes
        + PROGRESS_REPORTS_PER_S * target.permits * progress_bytes
        + batches * slopes.message("batch")
    )
    memory = slopes.at("permits", "state_bytes", target.permits)
    memory += slopes.slope("workspaces", "state_bytes") * BACKLOGGED_WORKSPACES
    return Row("dispatcher of one shard", cpu, wire, memory)


def _keeper(slopes: Slopes, target: Target) -> Row:
    range_claims_per_s = target.claims_per_s / CLAIM_RANGES
    retained = range_claims_per_s * RETENTION_S
    batches = 4 * range_claims_per_s
    cpu = range_claims_per_s * slopes.at("claims", "claim_cpu_us", 0)
    cpu += batches * batch_cpu_us(slopes)
    wire = range_claims_per_s * slopes.at("claims", "put_bytes_per_claim", 0)
    memory = retained * slopes.slope("claims", "state_bytes")
    return Row("claim keeper of one range", cpu, wire, memory)


def data_path(measured: dict[str, Any], target: Target) -> dict[str, float]:
    """Returns the resources of the data path on one node."""
    tokens = TOKENS_PER_S / NODES
    per_token = float(measured["tokens"][-1]["cpu_us_per_token"])
    per_request = float(measured["requests"]["cpu_ms_per_request"]) * 1000
    token_cores = tokens * per_token / 1e6
    request_cores = target.requests_per_s * per_request / 1e6
    return {
        "tokens_per_s": tokens,
        "cpu_us_per_token": per_token,
        "core_of_tokens": token_cores,
        "core_of_requests": request_cores,
        "open_streams": target.open,
        "stream_memory_bytes": target.open
        * float(measured["memory"]["kb_per_stream"])
        * 1024,
    }


def main(argv: Sequence[str]) -> None:
    """Prints the results and writes them to a file."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    slopes, target = Slopes(json.loads(SLOPES_FILE.read_text())), Target()
    roles = rows(slopes, target)
    print(f"{'role':28} {'us/s':>10} {'of a core':>9} {'B/s':>11} {'B':>14}")
    for row in roles:
        fraction = row.cpu_us / 1e6
        print(
            f"{row.role:28} {row.cpu_us:>10,.0f} {fraction:>9.1%}"
            f" {row.wire:>11,.0f} {row.memory:>14,.0f}"
        )
    print(
        f"limit{CPU_LIMIT_US_PER_S:>34,} {0.023:>9.1%} {BYTES_LIMIT_PER_S:>11,}"
    )
    path = data_path(json.loads(PATH_FILE.read_text()), target)
    sizes = {
        name: getattr(target, name)
        for name in ("shards", "records", "open", "permits", "groups")
    }
    for name, value in (sizes | path).items():
        print(f"{name:28} {value:>14,.3f}")
    doc = {"rows": [dataclasses.asdict(row) for row in roles], "path": path}
    OUTPUT.write_text(json.dumps(doc, indent=2))
