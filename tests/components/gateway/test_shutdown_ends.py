"""What callers see of streams that are in progress when a router stops."""

import asyncio

import pytest

from standins import platform_server
from tests.components.gateway import raw_caller, rig

Fault = platform_server.Fault
PATHS = ["/stream/1", "/stream/r/1"]
VERSIONS = ["1.1", "1.0"]


async def _async_stop_within_a_stream(
    env: rig.Environment, path: str, version: str
) -> raw_caller.Answer:
    """Stops the router after the first event; returns the answer."""
    for server in env.servers:
        server.event_interval_s = 60.0
    begun = asyncio.Event()
    calling = asyncio.create_task(
        raw_caller.async_send(env, path, version, begun=begun)
    )
    async with asyncio.timeout(10):
        await begun.wait()
        await env.router.async_stop()
        return await calling


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("path", PATHS)
async def test_unmarked_stream_is_cut_when_its_router_stops(
    path: str, version: str
) -> None:
    """Guards against a router that takes its own close for the server's."""
    async with rig.async_environment() as env:
        env.set_faults(Fault.UNFRAMED)
        answer = await _async_stop_within_a_stream(env, path, version)
        assert answer.body == b"id: 0\ndata: piece 0\n\n"
        assert answer.is_unmarked
        assert answer.end is raw_caller.End.RESET
