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
    """Load balancer: directs callers to the routers that report readiness."""

    def __init__(
        self, fleet: real_fleet.RealFleet, load: real_load.Load
    ) -> None:
        self._fleet = fleet
        self._load = load

    async def async_run(self) -> None:
        """Polls the readiness of all routers until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                names = list(self._fleet.operators)
                ready = await asyncio.gather(
                    *(self._async_ready(session, name) for name in names)
                )
                self._load.ready_routers = [
                    name
                    for name, is_ready in zip(names, ready, strict=True)
                    if is_ready
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
    fleet: real_fleet.RealFleet, stop_times_s: list[float]
) -> None:
    """Restarts one router after the other, each once the last is ready again.

    Appends the time that each router took to stop to `stop_times_s`.

    Raises:
        RuntimeError: A router ended with an exit code other than 0.
    """
    for name in fleet.operators:
        stop_started_at = time.monotonic()
        exit_code = await asyncio.to_thread(fleet.stop_router, name)
        if exit_code != 0:
            raise RuntimeError(
                f"{name} ended with exit code {exit_code}, expected 0"
            )
        stop_times_s.append(time.monotonic() - stop_started_at)
        fleet.start_router(name)
        await fleet.async_wait("/readyz", [name])
        await asyncio.sleep(SETTLE_S)


async def async_roll(fleet: real_fleet.RealFleet, seed: int) -> dict[str, Any]:
    """Runs the load while all routers restart; returns the figures."""
    await fleet.async_wait("/healthz")
    fleet.apply_records()
    await fleet.async_wait("/readyz")
    await asyncio.sleep(SETTLE_S)
    load = real_load.Load(fleet, seed)
    balancer = asyncio.create_task(Balancer(fleet, load).async_run())
    loops_by_kind = {work.kind: 1 for work in real_load.MIX[fleet.deployment]}
    callers = dict.fromkeys(list(fleet.keys)[:WORKSPACES], loops_by_kind)
    stop_times_s: list[float] = []
    restarts = asyncio.create_task(async_restart_all(fleet, stop_times_s))
    while not restarts.done():
        await load.async_run(callers, 1.0)
    await load.async_run(callers, SETTLE_S)
    balancer.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await balancer
    await restarts
    return judge(load, stop_times_s)


def judge(load: real_load.Load, stop_times_s: list[float]) -> dict[str, Any]:
    """Counts outcomes; a cut is a truncated or missing answer.

    A rejection that states `not_run` is not a cut.
    """
    outcomes: collections.Counter[str] = collections.Counter()
    cuts = []
    for result in load.results:
        if result.complete:
            outcomes["whole"] += 1
        elif result.not_run:
            outcomes[f"refused {result.reason}, not_run {result.not_run}"] += 1
        else:
            outcomes["cut"] += 1
            cuts.append(
                f"{result.at:.2f} {result.work.kind} "
                f"{result.status} {result.reason}"
            )
    return {
        "rolling_cut": outcomes["cut"],
        "requests": len(load.results),
        "served": sum(result.served for result in load.results),
        "ends": dict(sorted(outcomes.items())),
        "cuts": cuts[:20],
        "whole_p50_p99_ms": latencies(load),
        "restarted": len(stop_times_s),
        "stop_s": [round(seconds, 1) for seconds in stop_times_s],
        "ran_s": round(load.now(), 1),
    }


def latencies(load: real_load.Load) -> dict[str, tuple[float, float]]:
    """Returns the median and 99th percentile of the latency, in ms, by kind.

    Only complete answers count.
    """
    by_kind = {}
    for work in real_load.MIX["asahikawa"]:
        latencies_ms = [
            result.took_s * 1000
            for result in load.results
            if result.complete and result.work is work
        ]
        if len(latencies_ms) > 1:
            percentiles = statistics.quantiles(latencies_ms, n=100)
            by_kind[work.kind] = (
                round(percentiles[49], 1),
                round(percentiles[98], 1),
            )
    return by_kind


def run(seed: int, routers: int = ROUTERS) -> dict[str, Any]:
    """Starts a fleet, restarts its routers one by one and stops everything."""
    fleet = real_fleet.RealFleet("asahikawa", routers, WORK_DIR)
    try:
        fleet.start_stand_ins()
        fleet.start_routers()
        return asyncio.run(async_roll(fleet, seed))
    finally:
        fleet.stop()


def main(argv: Sequence[str]) -> None:
    """Runs the measurement, writes and prints its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--routers", type=int, default=ROUTERS)
    args = parser.parse_args(argv)
    figures = run(args.seed, args.routers)
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(figures, indent=2) + "\n")
    print(json.dumps(figures, indent=2))
