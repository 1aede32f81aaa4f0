"""Throughput of one router with limited processor time, up to overload.

A router of the platform serves stand-ins of model engines. Simulated routers
send it load reports, and a hot and a calm workspace send it requests. The knee
is the highest rate at which nearly all requests are served in time. After it is
found, the load is raised to multiples of it.
"""

import argparse
import asyncio
from collections.abc import Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import aiohttp

from bench import one_router_load as load
from bench import one_router_quota as quota
from bench import one_router_world as world
from standins import ports
from tamarackbridge.platform import const

WORK_DIR = pathlib.Path("build/measure/one_router")
OUT = pathlib.Path("build/measure/one_router.json")
DEFAULT_CPU_FRACTION = 0.5
"""Fraction of one processor that the router may use."""

CALM_PER_S = 8.0
"""Requests a second of the calm workspace, whatever the total rate."""

OUTPUT_TOKENS = 40
"""Tokens generated for each request."""

FIRST_RATE_PER_S = 40.0
RATE_GROWTH = 1.25
MIN_IN_TIME_FRACTION = 0.95
"""Fraction of requests that must be in time at rates up to the knee."""

STEP_S = 4.0
EXCLUDED_S = 1.0
OVERLOAD_FACTORS = (3.0, 10.0)
OVERLOAD_STEP_S = 8.0
OVERLOAD_EXCLUDED_S = 2.0
READY_S = 20.0
CANCEL_LIMIT_S = 0.5
"""Time after a caller timeout by which engines must have ended the request."""

_SETTINGS = """node=vm-1
zone=z1
zones.z1=r
ip=127.0.0.1
listen.front=127.0.0.1:{0}
listen.readiness=127.0.0.1:{1}
listen.control=127.0.0.1:{2}
metrics.port=0
provider.address={store}
"""


class Scene:
    """Runs the router under test and the processes around it."""

    def __init__(self, engines: int, tellers: int, cpu_fraction: float) -> None:
        WORK_DIR.mkdir(parents=True, exist_ok=True)
        self._reserved = ports.ReservedPorts(3)
        self.port = self._reserved.ports[0]
        self._cpu_file = WORK_DIR / "sums.json"
        self._work_file = WORK_DIR / "worked.json"
        self._world = self._start(
            "world",
            "bench.one_router_world",
            f"--engines={engines}",
            f"--tellers={tellers}",
            f"--router=127.0.0.1:{self._reserved.ports[2]}",
            f"--out={self._work_file}",
            stdout=subprocess.PIPE,
        )
        assert self._world.stdout is not None
        world_addresses = json.loads(self._world.stdout.readline())
        settings = WORK_DIR / "settings.conf"
        settings.write_text(
            _SETTINGS.format(
                *self._reserved.ports, store=world_addresses["store"]
            )
        )
        self._router = self._start(
            "router",
            "bench.one_router_sections",
            str(self._cpu_file),
            env={const.SETTINGS_VARIABLE: str(settings)},
        )
        self._quota = self._start(
            "quota",
            "bench.one_router_quota",
            str(self._router.pid),
            str(cpu_fraction),
        )

    def _start(
        self,
        name: str,
        module: str,
        *args: str,
        stdout: int | None = None,
        env: dict[str, str] | None = None,
    ) -> subprocess.Popen[bytes]:
        with open(WORK_DIR / f"{name}.log", "wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *args],
                stdout=stdout if stdout is not None else log,
                stderr=log,
                env={**os.environ, **(env or {})},
            )

    async def async_wait(self) -> None:
        """Waits until the router is ready.

        Raises:
            TimeoutError: The router was not ready within `READY_S`.
        """
        url = f"http://127.0.0.1:{self._reserved.ports[1]}"
        deadline = time.monotonic() + READY_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                try:
                    response = await session.get(url + const.READINESS_PATH)
                    response.release()
                    if response.status == 200:
                        return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)
        raise TimeoutError("router did not become ready in time; see its log")

    def cpu_s(self) -> float:
        """Returns the processor time that the router has used so far."""
        return time.clock_gettime(quota.cpu_clock(self._router.pid))

    async def async_cpu_by_purpose(self) -> dict[str, Any]:
        """Returns `spent_s` and `calls`, both by purpose, since the start."""
        found: dict[str, Any]
        found = await self._async_request_dump(self._router, self._cpu_file)
        return found

    async def async_engine_work(self) -> list[tuple[str, float, float]]:
        """Returns request ID, start and end of all work that engines ended."""
        found: list[tuple[str, float, float]]
        found = await self._async_request_dump(self._world, self._work_file)
        return found

    async def _async_request_dump(
        self, process: subprocess.Popen[bytes], out: pathlib.Path
    ) -> Any:
        return await asyncio.to_thread(_request_dump, process, out)

    def stop(self) -> None:
        """Stops all processes."""
        self._quota.kill()
        self._quota.wait()
        self._router.send_signal(signal.SIGCONT)
        for process in (self._router, self._world):
            process.kill()
            process.wait()
        self._reserved.close()


def _request_dump(process: subprocess.Popen[bytes], out: pathlib.Path) -> Any:
    """Signals a process to dump its state as JSON; returns the content."""
    out.unlink(missing_ok=True)
    process.send_signal(signal.SIGUSR1)
    for _ in range(500):
        time.sleep(0.02)
        if out.exists():
            break
    return json.loads(out.read_text())


async def _async_step(
    scene: Scene,
    callers: load.Load,
    rate: float,
    seconds: float,
    excluded_s: float,
) -> dict[str, Any]:
    before, cpu_before = await scene.async_cpu_by_purpose(), scene.cpu_s()
    began = time.monotonic()
    rates = {world.HOT: max(rate - CALM_PER_S, 0.0), world.CALM: CALM_PER_S}
    counts = await callers.async_run(rates, seconds, excluded_s)
    took_s = time.monotonic() - began
    cpu_s = scene.cpu_s() - cpu_before
    after = await scene.async_cpu_by_purpose()
    spent = {
        name: value - before["spent_s"].get(name, 0.0)
        for name, value in after["spent_s"].items()
    }
    total_s = max(sum(spent.values()), 1e-9)
    row: dict[str, Any] = {
        "rate": rate,
        "core": cpu_s / took_s,
        "purposes": {
            name: round(value / total_s, 3)
            for name, value in sorted(spent.items(), key=lambda item: -item[1])
            if value / total_s >= 0.005
        },
    }
    row["gone"] = _work_after_disconnect(
        await scene.async_engine_work(), callers.timed_out_at
    )
    callers.timed_out_at.clear()
    for name, outcome in counts.items():
        rejected = sum(outcome.rejected.values())
        row[name] = {
            "sent": outcome.sent / (seconds - excluded_s),
            "served": outcome.served / (seconds - excluded_s),
            "in_time": outcome.in_time / (seconds - excluded_s),
            "refused": rejected / (seconds - excluded_s),
            "left": outcome.timed_out / (seconds - excluded_s),
            "failed": outcome.failed / (seconds - excluded_s),
            "refused_s": outcome.rejected_s / max(rejected, 1),
        }
    print(json.dumps(row), flush=True)
    return row


def _work_after_disconnect(
    engine_work: Sequence[tuple[str, float, float]],
    timed_out_at: dict[str, float],
) -> dict[str, int]:
    """Counts requests that engines worked on after the caller had timed out.

    Returns:
        `arrived`: started more than `CANCEL_LIMIT_S` after the timeout;
        `running`: in progress at the timeout; `not_ended`: of these, the ones
        that ended later than `CANCEL_LIMIT_S` after it.
    """
    late = [work for work in engine_work if work[0] in timed_out_at]
    interrupted = [
        work for work in late if work[1] < timed_out_at[work[0]] < work[2]
    ]
    return {
        "arrived": sum(
            work[1] > timed_out_at[work[0]] + CANCEL_LIMIT_S for work in late
        ),
        "running": len(interrupted),
        "not_ended": sum(
            work[2] > timed_out_at[work[0]] + CANCEL_LIMIT_S
            for work in interrupted
        ),
    }


def _meets_target(row: dict[str, Any]) -> bool:
    sent = row[world.HOT]["sent"] + row[world.CALM]["sent"]
    in_time = row[world.HOT]["in_time"] + row[world.CALM]["in_time"]
    return bool(in_time >= MIN_IN_TIME_FRACTION * sent)


async def _async_main(args: argparse.Namespace) -> list[dict[str, Any]]:
    scene = Scene(args.engines, args.tellers, args.part)
    try:
        await scene.async_wait()
        callers = load.Load("127.0.0.1", scene.port, args.seed, args.output)
        await callers.async_run({world.HOT: FIRST_RATE_PER_S}, STEP_S, 0.0)
        rows = []
        knee = args.knee
        rate = FIRST_RATE_PER_S
        while not args.knee:
            row = await _async_step(scene, callers, rate, STEP_S, EXCLUDED_S)
            rows.append(row)
            if not _meets_target(row):
                break
            knee = rate
            rate *= RATE_GROWTH
        knee = knee or FIRST_RATE_PER_S
        for factor in OVERLOAD_FACTORS:
            row = await _async_step(
                scene,
                callers,
                knee * factor,
                OVERLOAD_STEP_S,
                OVERLOAD_EXCLUDED_S,
            )
            rows.append({"times": factor, **row})
        return rows
    finally:
        scene.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement and writes its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=45)
    parser.add_argument("--tellers", type=int, default=8)
    parser.add_argument("--part", type=float, default=DEFAULT_CPU_FRACTION)
    parser.add_argument("--knee", type=float, default=0.0)
    parser.add_argument("--output", type=int, default=OUTPUT_TOKENS)
    parser.add_argument("--seed", type=int, default=1)
    rows = asyncio.run(_async_main(parser.parse_args(argv)))
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(rows, indent=2) + "\n")
