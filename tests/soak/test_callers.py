"""Callers of the soak test that resume broken streams."""

import asyncio
import itertools
import random
import types
from typing import cast

import aiohttp

from soak import callers, checks, environment
from standins import platform_server
from tests.components.gateway import rig

Fault = platform_server.Fault


class _ResumedRoute(random.Random):
    """Draws the route of resumable streams, and abandons no request."""

    def choice(self, seq: list[str]) -> str:  # type: ignore[override]
        return "resumed" if "resumed" in seq else seq[0]

    def random(self) -> float:
        return 0.5


async def _async_call(
    server: environment.Server,
) -> list[callers.ClientRequest]:
    """Lets a caller send requests until it has resumed a stream to its end."""
    env = types.SimpleNamespace(
        routes=[],
        links={"callers-vm-0": types.SimpleNamespace(address=server.address)},
    )
    router = types.SimpleNamespace(name="vm-0")
    balancer = types.SimpleNamespace(rotation=lambda: [router])
    requests: list[callers.ClientRequest] = []
    caller = callers.Caller(
        cast(environment.Environment, env),
        cast(callers.Balancer, balancer),
        requests,
        itertools.count(),
        _ResumedRoute(),
        random.Random(1),
        aiohttp.HttpVersion11,
    )
    task = asyncio.create_task(caller.async_run())
    await rig.async_wait_until(
        lambda: any(
            request.resumes and request.is_whole_stream and request.ended_at
            for request in requests
        )
    )
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return requests


async def test_broken_stream_is_resumed_in_the_remaining_time() -> None:
    async with environment.Server("i-0", "z1", [], []) as server:
        server.faults = [Fault.CUT_BETWEEN, Fault.REFUSE, Fault.CUT_BETWEEN]
        requests = await _async_call(server)
        headers = [seen.headers for seen in server.seen[:4]]
    assert [request.status for request in requests[:4]] == [200, 503, 200, 200]
    assert [request.events for request in requests[:4]] == [
        [0, 1],
        [],
        [2, 3],
        [4, 5],
    ]
    assert requests[3].joined_events == checks.COMPLETE_STREAM
    assert [each.get("Last-Event-Id") for each in headers] == [
        None,
        "1",
        "1",
        "3",
    ]
    assert len({each["X-Request-Id"] for each in headers}) == 4
    remaining = [int(each["X-Deadline-Ms"]) for each in headers]
    assert remaining[0] == callers.CALLER_TIMEOUT_S * 1000
    assert remaining == sorted(set(remaining), reverse=True)
