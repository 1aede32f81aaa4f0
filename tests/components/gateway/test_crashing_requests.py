"""Requests that crash each server that begins to answer them."""

import pytest

from standins import platform_server
from tests.components.gateway import rig

CRASHES = 5
"""Crashes after which no more requests with the same block may be sent."""

DEADLY = "dd"

REPEATS = 3
"""Repeats of a request that may reach servers after it crashed three."""

DEADLY_BODY = b"deadly"


async def _async_stream(
    env: rig.Environment, number: int, *shared: str, path: str = "/stream/r/1"
) -> int:
    """Sends a request for a stream; returns the status, 0 if it is cut."""
    blocks = [*shared, f"{number:x}"]
    headers = {
        "X-Token-Usage": f"{10 * len(blocks)},9",
        "X-Prompt-Prefix": ",".join(f"{block}:10" for block in blocks),
    }
    try:
        got = await env.async_send(
            path, request_id=f"q{number}", extra_headers=headers
        )
    except rig.STREAM_CUT:
        return 0
    return got.status


def _crashed(env: rig.Environment) -> int:
    return sum(server.has_crashed for server in env.servers)


@pytest.mark.parametrize("crash_after_head", [True, False])
@pytest.mark.parametrize("path", ["/stream/r/1", "/stream/1", "/read/1"])
async def test_requests_with_one_block_do_not_crash_server_after_server(
    path: str, crash_after_head: bool
) -> None:
    async with rig.async_environment(servers=12) as env:
        for server in env.servers:
            server.deadly_block = DEADLY
            server.crash_after_head = crash_after_head
        for number in range(12):
            await _async_stream(env, number, "a1", "b2", DEADLY, path=path)
            # A sound request shares all other blocks.
            await _async_stream(env, 100 + number, "a1", "b2")
        assert _crashed(env) <= CRASHES
        assert await _async_stream(env, 200, "a1", "b2") == 200


@pytest.mark.parametrize(
    "fault",
    [
        platform_server.Fault.LOSE,
        platform_server.Fault.RESET,
        platform_server.Fault.NOT_HTTP,
        platform_server.Fault.FAIL,
    ],
)
async def test_lost_answers_of_running_servers_quarantine_nothing(
    fault: platform_server.Fault,
) -> None:
    async with rig.async_environment(servers=12) as env:
        env.set_faults(*[fault] * 6)
        for number in range(6):
            await _async_stream(env, number, "a1", "b2", path="/stream/1")
        assert await _async_stream(env, 100, "a1", "b2") == 200


async def test_rejection_of_a_quarantined_prompt_promises_not_run() -> None:
    async with rig.async_environment(servers=12) as env:
        for server in env.servers:
            server.deadly_block = DEADLY
        for number in range(4):
            await _async_stream(env, number, "a1", DEADLY)
        headers = {
            "X-Token-Usage": "30,9",
            "X-Prompt-Prefix": f"a1:10,{DEADLY}:10,e:10",
        }
        ran = env.ran()
        got = await env.async_send("/read/1", extra_headers=headers)
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 1.0
        assert env.ran() == ran


async def _async_send_deadly(
    env: rig.Environment, number: int, path: str, *shared: str
) -> int:
    """Sends the same request again; returns the status, 0 if it is cut."""
    headers = {}
    if shared:
        blocks = ",".join(f"{block}:10" for block in (*shared, "own"))
        headers = {"X-Token-Usage": "30,9", "X-Prompt-Prefix": blocks}
    try:
        got = await env.async_send(
            path,
            request_id=f"d{number}",
            body=DEADLY_BODY,
            extra_headers=headers,
        )
    except rig.STREAM_CUT:
        return 0
    return got.status


@pytest.mark.parametrize("crash_after_head", [True, False])
@pytest.mark.parametrize("path", ["/stream/r/1", "/stream/1", "/read/1"])
async def test_one_request_does_not_crash_server_after_server(
    path: str, crash_after_head: bool
) -> None:
    """Guards against a repeated request of which nothing is remembered."""
    async with rig.async_environment(servers=16) as env:
        for server in env.servers:
            server.deadly_body = DEADLY_BODY
            server.crash_after_head = crash_after_head
        statuses = [
            await _async_send_deadly(env, number, path) for number in range(14)
        ]
        assert _crashed(env) <= 3 + REPEATS
        assert statuses[-1] == 503
        assert (await env.async_send(path, request_id="q1")).status == 200


async def test_payment_does_not_crash_server_after_server() -> None:
    """A route that may run once has no repeats but its callers'."""
    async with rig.async_environment(servers=16) as env:
        for server in env.servers:
            server.deadly_body = DEADLY_BODY
        statuses = [
            await _async_send_deadly(env, number, "/pay/1")
            for number in range(14)
        ]
        assert _crashed(env) <= 3 + REPEATS
        assert statuses[-1] == 503
        assert (await env.async_send("/pay/1", request_id="q1")).status == 200


async def test_requests_that_share_blocks_with_a_deadly_one_are_served() -> (
    None
):
    """Guards against a quarantine of all that a deadly request shares."""
    async with rig.async_environment(servers=16) as env:
        for server in env.servers:
            server.deadly_body = DEADLY_BODY
        for number in range(14):
            await _async_send_deadly(env, number, "/stream/1", "a1", "b2")
        assert _crashed(env) <= 3 + REPEATS
        assert await _async_stream(env, 100, "a1", "b2") == 200
