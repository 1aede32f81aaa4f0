"""Latency, throughput and resources that one router adds to a request.

The same callers call the stand-in directly and through one router, alternately
within one run, so that the two can be compared as ratios. Resident memory with
open streams and processor time per relayed token are measured as well.
"""

import argparse
import asyncio
from collections.abc import Sequence
import dataclasses
import hashlib
import json
import os
import pathlib
import statistics
import time
from typing import Any

import aiohttp

from bench import path_load, real_fleet

WORK_DIR = pathlib.Path("build/measure/path")
OUT = pathlib.Path("build/measure/path.json")
SECTIONS = ("requests", "tokens", "memory", "burst")
BURST_STREAMS = 600
TOKENS_PER_BURST_STREAM = 50
IDLE_S = 5.0
ROUNDS = 5
ROUND_S = 2.0
PARALLEL_CALLERS = 32
TOKEN_STREAMS = (50, 100, 200)
TOKEN_INTERVAL_S = 0.026
"""Time between tokens, as in the target deployment."""

TOKENS_PER_STREAM = 200
OPEN_STREAMS = (250, 500, 1000)
API_KEY = "path-bench-key"
OPERATOR_TOKEN = "path-bench-operator"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

_RECORDS = """
[[records]]
kind = "zone"
schema_version = 1
name = "one"

[[records]]
kind = "service"
schema_version = 1
name = "lm"
protocol = "engine"
cost_rule = "tokens"
max_cost = 1000000.0
max_request_s = 600.0
output_weight = 2.0

[[records.routes]]
name = "complete"
method = "POST"
path = "/v1/completions"
idempotent = true
deadline_s = 600.0
empty_is_failure = false

[[records]]
kind = "service"
schema_version = 1
name = "app"
protocol = "http"
cost_rule = "server_ms"
max_cost = 5000.0
max_request_s = 10.0

[[records.routes]]
name = "lookup"
method = "GET"
path = "/pens/*"
idempotent = true
deadline_s = 10.0
empty_is_failure = true

[[records]]
kind = "workspace"
schema_version = 1
name = "bench"
share = 1.0
key_hashes = ["{key_hash}"]
max_queued = 4096
max_running = 4096
end_user_header = ""
"""

_SERVER = """
[[records]]
kind = "server"
schema_version = 1
name = "{service}-1"
service = "{service}"
zone = "one"
address = "127.0.0.1:{port}"
limit_warm = 4096
limit_cold = 4096
checks_fencing = true
load_lag_s = 1.0
"""

_ROUTER = """
node = "bench-1"
zone = "one"
advertise = "127.0.0.1:19201"

[caller]
port = 19101

[peer]
port = 19201

[operator]
port = 19401
token_hashes = ["{token_hash}"]

[platform]
object_api = "http://127.0.0.1:19001"
vm_list = "http://127.0.0.1:19002/vms"
"""

_KEYS = """
operator_token = "{token}"

[workspace_keys]
bench = "{key}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_s: Processor time since its start.
        rss_kb: Current resident memory.
    """

    cpu_s: float
    rss_kb: int


def usage(pid: int) -> Usage:
    """Reads the resource usage of a process from /proc."""
    proc_dir = pathlib.Path("/proc") / str(pid)
    fields = (proc_dir / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    rss_kb = 0
    for line in (proc_dir / "status").read_text().splitlines():
        if line.startswith("VmRSS"):
            rss_kb = int(line.split()[1])
    return Usage(ticks / _TICKS_PER_S, rss_kb)


def write_source() -> pathlib.Path:
    """Writes the files of a fleet of one router; returns their folder."""
    folder = WORK_DIR / "examples"
    (folder / "bench").mkdir(parents=True, exist_ok=True)
    key_hash = hashlib.sha256(API_KEY.encode()).hexdigest()
    token_hash = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    servers = _SERVER.format(service="lm", port=19301)
    servers += _SERVER.format(service="app", port=19302)
    texts = {
        "records": _RECORDS.format(key_hash=key_hash) + servers,
        "router-1": _ROUTER.format(token_hash=token_hash),
        "demo-plain-keys": _KEYS.format(token=OPERATOR_TOKEN, key=API_KEY),
    }
    for name, text in texts.items():
        (folder / "bench" / f"{name}.toml").write_text(text)
    return folder


class PathBench:
    """One run of the measurement.

    "Straight" figures are of calls to the stand-in, "through" figures of calls
    through the router.
    """

    def __init__(self, fleet: real_fleet.RealFleet) -> None:
        self._pid = fleet.processes.pid("router-1")
        router = fleet.callers["router-1"]
        servers = {srv.service: srv.address for srv in fleet.servers}
        self._straight = {
            name: f"http://{address}" for name, address in servers.items()
        }
        self._through = {name: f"{router}/{name}" for name in servers}

    async def async_run(self, sections: Sequence[str]) -> dict[str, Any]:
        """Measures the given sections and returns the figures."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            headers={"X-Api-Key": API_KEY},
        ) as session:
            load = path_load.PathLoad(session)
            await self._async_configure(session, "app", work_s=0.0)
            idle_rss_kb = usage(self._pid).rss_kb
            found: dict[str, Any] = {"idle": await self._async_idle_cpu()}
            if "requests" in sections:
                found["requests"] = await self._async_requests(load)
            if "tokens" in sections:
                found["tokens"] = await self._async_tokens(session, load)
            if "memory" in sections:
                memory = await self._async_memory(session, load, idle_rss_kb)
                found["memory"] = memory
            if "burst" in sections:
                found["burst"] = await self._async_burst(session, load)
            return found

    async def _async_configure(
        self, session: aiohttp.ClientSession, service: str, **settings: float
    ) -> None:
        url = f"{self._straight[service]}/control"
        engine_defaults = {"cold_s": 0.0, "load_slope": 0.0}
        body = settings if service == "app" else engine_defaults | settings
        async with session.post(url, json=body) as resp:
            resp.raise_for_status()

    async def _async_idle_cpu(self) -> dict[str, float]:
        before = usage(self._pid).cpu_s
        await asyncio.sleep(IDLE_S)
        return {"core_share": (usage(self._pid).cpu_s - before) / IDLE_S}

    async def _async_requests(
        self, load: path_load.PathLoad
    ) -> dict[str, float]:
        rounds = []
        for _ in range(ROUNDS):
            cpu_before = usage(self._pid).cpu_s
            through = await load.async_lookups(
                self._through["app"], PARALLEL_CALLERS, ROUND_S
            )
            cpu_s = usage(self._pid).cpu_s - cpu_before
            straight = await load.async_lookups(
                self._straight["app"], PARALLEL_CALLERS, ROUND_S
            )
            single_through = await load.async_lookups(
                self._through["app"], 1, ROUND_S
            )
            single_straight = await load.async_lookups(
                self._straight["app"], 1, ROUND_S
            )
            rounds.append(
                {
                    "straight_per_s": straight.per_s,
                    "through_per_s": through.per_s,
                    "ratio": through.per_s / straight.per_s,
                    "cpu_ms_per_request": cpu_s * 1000 / through.count,
                    "straight_p50_ms": single_straight.quantile_ms(0.5),
                    "straight_p99_ms": single_straight.quantile_ms(0.99),
                    "through_p50_ms": single_through.quantile_ms(0.5),
                    "through_p99_ms": single_through.quantile_ms(0.99),
                    "added_p50_ms": single_through.quantile_ms(0.5)
                    - single_straight.quantile_ms(0.5),
                    "added_p99_ms": single_through.quantile_ms(0.99)
                    - single_straight.quantile_ms(0.99),
                    "failed": float(through.failed + single_through.failed),
                }
            )
        return _medians(rounds)

    async def _async_burst(
        self, session: aiohttp.ClientSession, load: path_load.PathLoad
    ) -> dict[str, float]:
        await self._async_configure(
            session, "lm", token_s=TOKEN_INTERVAL_S, first_token_s=0.02
        )
        through = await load.async_streams(
            self._through["lm"], BURST_STREAMS, TOKENS_PER_BURST_STREAM
        )
        return {
            "at_once": float(BURST_STREAMS),
            "failed": float(through.failed),
        }

    async def _async_tokens(
        self, session: aiohttp.ClientSession, load: path_load.PathLoad
    ) -> list[dict[str, float]]:
        await self._async_configure(
            session, "lm", token_s=TOKEN_INTERVAL_S, first_token_s=0.02
        )
        rows = []
        for streams in TOKEN_STREAMS:
            straight = await load.async_streams(
                self._straight["lm"], streams, TOKENS_PER_STREAM
            )
            before, began = usage(self._pid).cpu_s, time.monotonic()
            through = await load.async_streams(
                self._through["lm"], streams, TOKENS_PER_STREAM
            )
            cpu_s = usage(self._pid).cpu_s - before
            took_s = time.monotonic() - began
            rows.append(
                {
                    "streams": float(streams),
                    "tokens": float(through.tokens),
                    "tokens_per_s": through.tokens / took_s,
                    "cpu_us_per_token": cpu_s * 1e6 / through.tokens,
                    "core_share": cpu_s / took_s,
                    "gap_p95_ms": through.gap_ms(0.95),
                    "straight_gap_p95_ms": straight.gap_ms(0.95),
                    "failed": float(through.failed),
                }
            )
        return rows

    async def _async_memory(
        self,
        session: aiohttp.ClientSession,
        load: path_load.PathLoad,
        idle_rss_kb: int,
    ) -> dict[str, float]:
        await self._async_configure(
            session, "lm", token_s=1.0, first_token_s=0.02
        )
        before = usage(self._pid).rss_kb
        found = {
            "idle_kb": float(idle_rss_kb),
            "before_streams_kb": float(before),
        }
        for streams in OPEN_STREAMS:
            tasks = await load.async_open(self._through["lm"], streams)
            open_rss_kb = usage(self._pid).rss_kb
            found[f"with_{streams}_streams_kb"] = float(open_rss_kb)
            await _async_cancel(tasks)
        growth_kb = found[f"with_{OPEN_STREAMS[-1]}_streams_kb"] - before
        found["kb_per_stream"] = growth_kb / OPEN_STREAMS[-1]
        return found


async def _async_cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(1.0)


def _medians(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: statistics.median(row[name] for row in rounds)
        for name in rounds[0]
    }


def print_report(found: dict[str, Any]) -> None:
    """Prints the figures, one section after the other."""
    for name, section in found.items():
        print(f"\n{name}")
        rows = section if isinstance(section, list) else [section]
        for row in rows:
            for key, value in row.items():
                print(f"  {key:28} {value:12.3f}")


async def _async_main(sections: Sequence[str]) -> dict[str, Any]:
    fleet = real_fleet.RealFleet("bench", 1, WORK_DIR, write_source())
    try:
        fleet.start_stand_ins()
        fleet.start_routers()
        await fleet.async_wait("/healthz")
        fleet.apply_records()
        await fleet.async_wait("/readyz")
        await asyncio.sleep(2.0)
        return await PathBench(fleet).async_run(sections)
    finally:
        fleet.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement; sections that are not run keep old figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", choices=SECTIONS)
    found = asyncio.run(_async_main(parser.parse_args(argv).only or SECTIONS))
    OUT.parent.mkdir(parents=True, exist_ok=True)
    before = json.loads(OUT.read_text()) if OUT.exists() else {}
    OUT.write_text(json.dumps(before | found, indent=2))
    print_report(found)
