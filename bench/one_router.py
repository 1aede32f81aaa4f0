"""What one router on a part of a processor places below and beyond its knee.

A router of the platform before stand-ins of engines, told by others, while a
hot and a calm workspace send to it alone. The knee is the highest rate at
which nearly all requests are served in time; then several times that is sent.
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
PART = 0.5
"""Part of a processor that the router may use."""

CALM_PER_S = 8.0
"""Requests a second of the calm workspace, at all loads."""

OUTPUT = 40
"""Tokens that a request generates."""

FIRST_RATE = 40.0
GROWTH = 1.25
GOOD = 0.95
"""Part of the requests in time up to the knee."""

STEP_S = 4.0
SKIPPED_S = 1.0
BEYOND = (3.0, 10.0)
BEYOND_S = 8.0
BEYOND_SKIPPED_S = 2.0
READY_S = 20.0
GONE_S = 0.5
"""Time after which work for a caller that has left must have ended."""

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
    """The processes around one router, and the router."""

    def __init__(self, engines: int, tellers: int, part: float) -> None:
        WORK_DIR.mkdir(parents=True, exist_ok=True)
        self._reserved = ports.ReservedPorts(3)
        self.port = self._reserved.ports[0]
        self._sums = WORK_DIR / "sums.json"
        self._worked = WORK_DIR / "worked.json"
        self._world = self._start(
            "world",
            "bench.one_router_world",
            f"--engines={engines}",
            f"--tellers={tellers}",
            f"--router=127.0.0.1:{self._reserved.ports[2]}",
            f"--out={self._worked}",
            stdout=subprocess.PIPE,
        )
        assert self._world.stdout is not None
        told = json.loads(self._world.stdout.readline())
        settings = WORK_DIR / "settings.conf"
        settings.write_text(
            _SETTINGS.format(*self._reserved.ports, store=told["store"])
        )
        self._router = self._start(
            "router",
            "bench.one_router_sections",
            str(self._sums),
            env={const.SETTINGS_VARIABLE: str(settings)},
        )
        self._quota = self._start(
            "quota", "bench.one_router_quota", str(self._router.pid), str(part)
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
        """Waits until the router is ready."""
        url = f"http://127.0.0.1:{self._reserved.ports[1]}"
        ends = time.monotonic() + READY_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends:
                try:
                    answer = await session.get(url + const.READINESS_PATH)
                    answer.release()
                    if answer.status == 200:
                        return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)
        raise TimeoutError("the router did not get ready")

    def cpu_s(self) -> float:
        """Returns the processor time of the router so far."""
        return time.clock_gettime(quota.cpu_clock(self._router.pid))

    async def async_sums(self) -> dict[str, Any]:
        """Returns the router's processor time by purpose so far."""
        found: dict[str, Any]
        found = await self._async_tell(self._router, self._sums)
        return found

    async def async_worked(self) -> list[tuple[str, float, float]]:
        """Returns when engines began and ended work, by request."""
        found: list[tuple[str, float, float]]
        found = await self._async_tell(self._world, self._worked)
        return found

    async def _async_tell(
        self, proc: subprocess.Popen[bytes], out: pathlib.Path
    ) -> Any:
        return await asyncio.to_thread(_tell, proc, out)

    def stop(self) -> None:
        """Ends all processes."""
        self._quota.kill()
        self._quota.wait()
        self._router.send_signal(signal.SIGCONT)
        for proc in (self._router, self._world):
            proc.kill()
            proc.wait()
        self._reserved.close()


def _tell(proc: subprocess.Popen[bytes], out: pathlib.Path) -> Any:
    """Lets a process write a file, and returns what it holds."""
    out.unlink(missing_ok=True)
    proc.send_signal(signal.SIGUSR1)
    for _ in range(500):
        time.sleep(0.02)
        if out.exists():
            break
    return json.loads(out.read_text())


async def _async_step(
    scene: Scene, callers: load.Load, rate: float, seconds: float, skip: float
) -> dict[str, Any]:
    before, cpu_before = await scene.async_sums(), scene.cpu_s()
    began = time.monotonic()
    rates = {world.HOT: max(rate - CALM_PER_S, 0.0), world.CALM: CALM_PER_S}
    counts = await callers.async_run(rates, seconds, skip)
    took_s = time.monotonic() - began
    cpu_s = scene.cpu_s() - cpu_before
    after = await scene.async_sums()
    spent = {
        name: value - before["spent_s"].get(name, 0.0)
        for name, value in after["spent_s"].items()
    }
    whole = max(sum(spent.values()), 1e-9)
    row: dict[str, Any] = {
        "rate": rate,
        "core": cpu_s / took_s,
        "purposes": {
            name: round(value / whole, 3)
            for name, value in sorted(spent.items(), key=lambda it: -it[1])
            if value / whole >= 0.005
        },
    }
    row["gone"] = _gone(await scene.async_worked(), callers.left_at)
    callers.left_at.clear()
    for name, it in counts.items():
        refused = sum(it.refused.values())
        row[name] = {
            "sent": it.sent / (seconds - skip),
            "served": it.served / (seconds - skip),
            "in_time": it.in_time / (seconds - skip),
            "refused": refused / (seconds - skip),
            "left": it.left / (seconds - skip),
            "failed": it.failed / (seconds - skip),
            "refused_s": it.refused_s / max(refused, 1),
        }
    print(json.dumps(row), flush=True)
    return row


def _gone(
    worked: Sequence[tuple[str, float, float]], left_at: dict[str, float]
) -> dict[str, int]:
    """Returns what engines did for callers that had left."""
    late = [it for it in worked if it[0] in left_at]
    running = [it for it in late if it[1] < left_at[it[0]] < it[2]]
    return {
        "arrived": sum(it[1] > left_at[it[0]] + GONE_S for it in late),
        "running": len(running),
        "not_ended": sum(it[2] > left_at[it[0]] + GONE_S for it in running),
    }


def _good(row: dict[str, Any]) -> bool:
    sent = row[world.HOT]["sent"] + row[world.CALM]["sent"]
    in_time = row[world.HOT]["in_time"] + row[world.CALM]["in_time"]
    return bool(in_time >= GOOD * sent)


async def _async_main(args: argparse.Namespace) -> list[dict[str, Any]]:
    scene = Scene(args.engines, args.tellers, args.part)
    try:
        await scene.async_wait()
        callers = load.Load("127.0.0.1", scene.port, args.seed, args.output)
        await callers.async_run({world.HOT: FIRST_RATE}, STEP_S, 0.0)
        rows = []
        knee = args.knee
        rate = FIRST_RATE
        while not args.knee:
            row = await _async_step(scene, callers, rate, STEP_S, SKIPPED_S)
            rows.append(row)
            if not _good(row):
                break
            knee = rate
            rate *= GROWTH
        knee = knee or FIRST_RATE
        for times in BEYOND:
            row = await _async_step(
                scene, callers, knee * times, BEYOND_S, BEYOND_SKIPPED_S
            )
            rows.append({"times": times, **row})
        return rows
    finally:
        scene.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=45)
    parser.add_argument("--tellers", type=int, default=8)
    parser.add_argument("--part", type=float, default=PART)
    parser.add_argument("--knee", type=float, default=0.0)
    parser.add_argument("--output", type=int, default=OUTPUT)
    parser.add_argument("--seed", type=int, default=1)
    rows = asyncio.run(_async_main(parser.parse_args(argv)))
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(rows, indent=2) + "\n")
