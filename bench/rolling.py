"""A rolling restart of real routers under load; no request may be cut.

`script/measure rolling [--routers N]`, or `script/measure answers --rolling`.
"""

import argparse
import asyncio
import collections
from collections.abc import Sequence
import contextlib
import json
import pathlib
import statistics
import time
from typing import Any

import aiohttp

from bench import real_fleet, real_load

RESULT = pathlib.Path("build/measure/rolling.json")
WORK_DIR = pathlib.Path("build/rolling")
ROUTERS = 7
WORKSPACES = 6
BALANCER_POLL_S = 0.25
SETTLE_S = 2.0


class Balancer:
    """Sends callers only to routers that say that they are ready."""

    def __init__(
        self, fleet: real_fleet.RealFleet, load: real_load.Load
    ) -> None:
        self._fleet = fleet
        self._load = load

    async def async_run(self) -> None:
        """Polls readiness until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                names = list(self._fleet.operators)
                ready = await asyncio.gather(
                    *(self._async_ready(session, name) for name in names)
                )
                self._load.balanced = [
                    name
                    for name, good in zip(names, ready, strict=True)
                    if good
                ]
                await asyncio.sleep(BALANCER_POLL_S)

    async def _async_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        url = f"{self._fleet.operators[name]}/readyz"
        try:
            async with session.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


async def async_restart_all(
    fleet: real_fleet.RealFleet, took: list[float]
) -> None:
    """Restarts each router in turn, the next one when the last is ready."""
    for name in fleet.operators:
        started = time.monotonic()
        code = await asyncio.to_thread(fleet.stop_router, name)
        if code != 0:
            raise RuntimeError(f"{name} ended with {code}")
        took.append(time.monotonic() - started)
        fleet.start_router(name)
        await fleet.async_wait("/readyz", [name])
        await asyncio.sleep(SETTLE_S)


async def async_roll(fleet: real_fleet.RealFleet, seed: int) -> dict[str, Any]:
    """Runs the load while all routers restart; returns what callers saw."""
    await fleet.async_wait("/healthz")
    fleet.apply_records()
    await fleet.async_wait("/readyz")
    await asyncio.sleep(SETTLE_S)
    load = real_load.Load(fleet, seed)
    balancer = asyncio.create_task(Balancer(fleet, load).async_run())
    kinds = {work.kind: 1 for work in real_load.MIX[fleet.deployment]}
    callers = dict.fromkeys(list(fleet.keys)[:WORKSPACES], kinds)
    stop_s: list[float] = []
    restarts = asyncio.create_task(async_restart_all(fleet, stop_s))
    while not restarts.done():
        await load.async_run(callers, 1.0)
    await load.async_run(callers, SETTLE_S)
    balancer.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await balancer
    await restarts
    return judge(load, stop_s)


def judge(load: real_load.Load, stop_s: list[float]) -> dict[str, Any]:
    """Counts what callers saw; a cut is an answer that broke or never came."""
    ends: collections.Counter[str] = collections.Counter()
    cuts = []
    for one in load.results:
        if one.whole:
            ends["whole"] += 1
        elif one.not_run:
            ends[f"refused {one.reason}, not_run {one.not_run}"] += 1
        else:
            ends["cut"] += 1
            cuts.append(
                f"{one.at:.2f} {one.work.kind} {one.status} {one.reason}"
            )
    return {
        "rolling_cut": ends["cut"],
        "requests": len(load.results),
        "served": sum(one.served for one in load.results),
        "ends": dict(sorted(ends.items())),
        "cuts": cuts[:20],
        "whole_p50_p99_ms": latencies(load),
        "restarted": len(stop_s),
        "stop_s": [round(seconds, 1) for seconds in stop_s],
        "ran_s": round(load.now(), 1),
    }


def latencies(load: real_load.Load) -> dict[str, tuple[float, float]]:
    """Returns median and 99th percentile of whole answers, by kind."""
    table = {}
    for work in real_load.MIX["asahikawa"]:
        took = [
            one.took_s * 1000
            for one in load.results
            if one.whole and one.work is work
        ]
        if len(took) > 1:
            cuts = statistics.quantiles(took, n=100)
            table[work.kind] = (round(cuts[49], 1), round(cuts[98], 1))
    return table


def run(seed: int, routers: int = ROUTERS) -> dict[str, Any]:
    """Starts a fleet, restarts its routers in turn, stops everything."""
    fleet = real_fleet.RealFleet("asahikawa", routers, WORK_DIR)
    try:
        fleet.start_stand_ins()
        fleet.start_routers()
        return asyncio.run(async_roll(fleet, seed))
    finally:
        fleet.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement and writes its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--routers", type=int, default=ROUTERS)
    args = parser.parse_args(argv)
    doc = run(args.seed, args.routers)
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(doc, indent=2) + "\n")
    print(json.dumps(doc, indent=2))
