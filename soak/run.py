"""One run of the soak test, for one seed."""

import asyncio
import dataclasses
import itertools
import pathlib
import random

import aiohttp

from soak import (
    callers,
    checks,
    environment,
    faults,
    stream_counts,
    unconfirmed_ends,
    unmarked_ends,
)

CALLERS = 16
"""Callers that send requests at the same time."""

OLD_CALLERS = 4
"""Callers among them that send HTTP/1.0."""

ROUTERS = 4
"""Router processes, unless the command line sets another number."""

RECOVERY_S = 12.0
"""Time after the last fault within which all routers must be ready again. It
covers a start on a busy machine and the longest pause before a store call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a run.

    Attributes:
        seed: Seed of the run.
        attempts: Number of requests sent.
        served: Number of requests with a complete answer of status 200.
        broken: One line for each broken promise.
        notes: One line for each rare exit that breaks no promise.
        streams: What callers saw of their streams' ends.
    """

    seed: int
    attempts: int
    served: int
    broken: tuple[str, ...]
    notes: tuple[str, ...]
    streams: stream_counts.StreamCounts


async def async_run(
    seed: int, seconds: float, folder: pathlib.Path, routers: int = ROUTERS
) -> Result:
    """Runs a deployment under faults and checks every promise.

    Args:
        seed: Seed of all random draws.
        seconds: Time during which new faults start.
        folder: Folder for the settings and logs of the routers.
        routers: Number of router processes.
    """
    rng = random.Random(seed)
    requests: list[callers.ClientRequest] = []
    request_numbers = itertools.count()
    async with environment.Environment(routers, folder, rng) as env:
        balancer = callers.Balancer(env.routers)
        tasks = [asyncio.create_task(balancer.async_run())]
        became_ready = await _async_wait_until_ready(
            balancer, environment.START_S
        )
        tasks += [
            asyncio.create_task(
                callers.Caller(
                    env,
                    balancer,
                    requests,
                    request_numbers,
                    random.Random(rng.random()),
                    random.Random(f"resumed streams {seed} {number}"),
                    _version(number),
                ).async_run()
            )
            for number in range(CALLERS)
        ]
        broken = (
            []
            if became_ready
            else ["not all routers became ready after the start"]
        )
        # Generators of their own leave the draws of earlier seeds unchanged.
        own_rng = random.Random(f"unmarked ends {seed}")
        cut_rng = random.Random(f"unconfirmed ends {seed}")
        async with asyncio.TaskGroup() as group:
            group.create_task(faults.async_inject(env, rng, seconds))
            group.create_task(unmarked_ends.async_inject(env, own_rng, seconds))
            group.create_task(
                unconfirmed_ends.async_inject(env, cut_rng, seconds)
            )
        if not await _async_wait_until_ready(balancer, RECOVERY_S):
            broken.append("not all routers became ready after the last fault")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        broken += checks.find_broken_promises(env, requests)
    served = sum(
        request.status == 200 and request.complete for request in requests
    )
    notes = tuple(line for router in env.routers for line in router.notes)
    streams = stream_counts.count(requests)
    return Result(seed, len(requests), served, tuple(broken), notes, streams)


def _version(number: int) -> aiohttp.HttpVersion:
    if number < OLD_CALLERS:
        return aiohttp.HttpVersion10
    return aiohttp.HttpVersion11


async def _async_wait_until_ready(
    balancer: callers.Balancer, wait_s: float
) -> bool:
    for _ in range(int(wait_s / callers.PROBE_INTERVAL_S)):
        if balancer.all_ready:
            return True
        await asyncio.sleep(callers.PROBE_INTERVAL_S)
    return False
