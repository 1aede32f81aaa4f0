"""What one router costs on the way of a request.

The same client goes straight to the stand-in and through one router, in turns
of one run; results are ratios. Then resident memory with open streams, and
processor time for each token passed through.
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
PARTS = ("requests", "tokens", "memory", "burst")
BURST = 600
BURST_TOKENS = 50
IDLE_S = 5.0
ROUNDS = 5
ROUND_S = 2.0
BUSY_CALLERS = 32
TOKEN_STREAMS = (50, 100, 200)
TOKEN_GAP_S = 0.026
"""The target's time between tokens."""

TOKENS_PER_STREAM = 200
OPEN_STREAMS = (250, 500, 1000)
KEY = "path-bench-key"
TOKEN = "path-bench-operator"
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
    """What a process has used so far.

    Attributes:
        cpu_s: Processor time.
        rss_kb: Resident memory.
    """

    cpu_s: float
    rss_kb: int


def usage(pid: int) -> Usage:
    """Reads what a process has used."""
    proc = pathlib.Path("/proc") / str(pid)
    fields = (proc / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    rss_kb = 0
    for line in (proc / "status").read_text().splitlines():
        if line.startswith("VmRSS"):
            rss_kb = int(line.split()[1])
    return Usage(ticks / _TICKS_PER_S, rss_kb)


def write_source() -> pathlib.Path:
    """Writes records and settings of a fleet of one router."""
    folder = WORK_DIR / "examples"
    (folder / "bench").mkdir(parents=True, exist_ok=True)
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    token_hash = hashlib.sha256(TOKEN.encode()).hexdigest()
    servers = _SERVER.format(service="lm", port=19301)
    servers += _SERVER.format(service="app", port=19302)
    texts = {
        "records": _RECORDS.format(key_hash=key_hash) + servers,
        "router-1": _ROUTER.format(token_hash=token_hash),
        "demo-plain-keys": _KEYS.format(token=TOKEN, key=KEY),
    }
    for name, text in texts.items():
        (folder / "bench" / f"{name}.toml").write_text(text)
    return folder


class PathBench:
    """One run of the measurement."""

    def __init__(self, fleet: real_fleet.RealFleet) -> None:
        self._pid = fleet.processes.pid("router-1")
        router = fleet.callers["router-1"]
        servers = {srv.service: srv.address for srv in fleet.servers}
        self._straight = {
            name: f"http://{address}" for name, address in servers.items()
        }
        self._through = {name: f"{router}/{name}" for name in servers}

    async def async_run(self, parts: Sequence[str]) -> dict[str, Any]:
        """Measures some parts and returns the figures."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            headers={"X-Api-Key": KEY},
        ) as session:
            load = path_load.PathLoad(session)
            await self._async_control(session, "app", work_s=0.0)
            idle = usage(self._pid).rss_kb
            found: dict[str, Any] = {"idle": await self._async_idle()}
            if "requests" in parts:
                found["requests"] = await self._async_requests(load)
            if "tokens" in parts:
                found["tokens"] = await self._async_tokens(session, load)
            if "memory" in parts:
                memory = await self._async_memory(session, load, idle)
                found["memory"] = memory
            if "burst" in parts:
                found["burst"] = await self._async_burst(session, load)
            return found

    async def _async_control(
        self, session: aiohttp.ClientSession, service: str, **faults: float
    ) -> None:
        url = f"{self._straight[service]}/control"
        common = {"cold_s": 0.0, "load_slope": 0.0}
        wanted = faults if service == "app" else common | faults
        async with session.post(url, json=wanted) as resp:
            resp.raise_for_status()

    async def _async_idle(self) -> dict[str, float]:
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
                self._through["app"], BUSY_CALLERS, ROUND_S
            )
            cpu_s = usage(self._pid).cpu_s - cpu_before
            straight = await load.async_lookups(
                self._straight["app"], BUSY_CALLERS, ROUND_S
            )
            one = await load.async_lookups(self._through["app"], 1, ROUND_S)
            bare = await load.async_lookups(self._straight["app"], 1, ROUND_S)
            rounds.append(
                {
                    "straight_per_s": straight.per_s,
                    "through_per_s": through.per_s,
                    "ratio": through.per_s / straight.per_s,
                    "cpu_ms_per_request": cpu_s * 1000 / through.count,
                    "straight_p50_ms": bare.quantile_ms(0.5),
                    "straight_p99_ms": bare.quantile_ms(0.99),
                    "through_p50_ms": one.quantile_ms(0.5),
                    "through_p99_ms": one.quantile_ms(0.99),
                    "added_p50_ms": one.quantile_ms(0.5)
                    - bare.quantile_ms(0.5),
                    "added_p99_ms": one.quantile_ms(0.99)
                    - bare.quantile_ms(0.99),
                    "failed": float(through.failed + one.failed),
                }
            )
        return _medians(rounds)

    async def _async_burst(
        self, session: aiohttp.ClientSession, load: path_load.PathLoad
    ) -> dict[str, float]:
        await self._async_control(
            session, "lm", token_s=TOKEN_GAP_S, first_token_s=0.02
        )
        through = await load.async_streams(
            self._through["lm"], BURST, BURST_TOKENS
        )
        return {"at_once": float(BURST), "failed": float(through.failed)}

    async def _async_tokens(
        self, session: aiohttp.ClientSession, load: path_load.PathLoad
    ) -> list[dict[str, float]]:
        await self._async_control(
            session, "lm", token_s=TOKEN_GAP_S, first_token_s=0.02
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
        idle: int,
    ) -> dict[str, float]:
        await self._async_control(
            session, "lm", token_s=1.0, first_token_s=0.02
        )
        before = usage(self._pid).rss_kb
        found = {"idle_kb": float(idle), "before_streams_kb": float(before)}
        for streams in OPEN_STREAMS:
            tasks = await load.async_open(self._through["lm"], streams)
            opened = usage(self._pid).rss_kb
            found[f"with_{streams}_streams_kb"] = float(opened)
            await _async_end(tasks)
        grown = found[f"with_{OPEN_STREAMS[-1]}_streams_kb"] - before
        found["kb_per_stream"] = grown / OPEN_STREAMS[-1]
        return found


async def _async_end(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(1.0)


def _medians(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: statistics.median(row[name] for row in rounds)
        for name in rounds[0]
    }


def report(found: dict[str, Any]) -> None:
    """Prints the figures as tables."""
    for name, part in found.items():
        print(f"\n{name}")
        rows = part if isinstance(part, list) else [part]
        for row in rows:
            for key, value in row.items():
                print(f"  {key:28} {value:12.3f}")


async def _async_main(parts: Sequence[str]) -> dict[str, Any]:
    fleet = real_fleet.RealFleet("bench", 1, WORK_DIR, write_source())
    try:
        fleet.start_stand_ins()
        fleet.start_routers()
        await fleet.async_wait("/healthz")
        fleet.apply_records()
        await fleet.async_wait("/readyz")
        await asyncio.sleep(2.0)
        return await PathBench(fleet).async_run(parts)
    finally:
        fleet.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", choices=PARTS)
    found = asyncio.run(_async_main(parser.parse_args(argv).only or PARTS))
    OUT.parent.mkdir(parents=True, exist_ok=True)
    before = json.loads(OUT.read_text()) if OUT.exists() else {}
    OUT.write_text(json.dumps(before | found, indent=2))
    report(found)
