"""Requests of each kind through a complete router, with faults of servers."""

import asyncio
import contextlib

import aiohttp
import pytest

from standins import platform_server
from tests.components.gateway import rig

Fault = platform_server.Fault
WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(platform_server.EVENTS)
)


@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
async def test_response_of_the_server_is_forwarded(path: str) -> None:
    async with rig.async_environment() as env:
        got = await env.async_send(f"{path}?a=%2F&b", request_id="q7")
        assert got.status == 200
        assert got.body == b"answer to q7"
        assert got.headers["X-Response-Seal"] == "s"
        assert got.headers["X-Request-Id"] == "q7"
        seen = [request for server in env.servers for request in server.seen]
        assert len(seen) == 1
        assert seen[0].target == f"{path}?a=%2F&b"
        assert seen[0].body == b"question"
        assert seen[0].headers["X-Tenant"] == "w"
        assert "X-Api-Key" not in seen[0].headers
        assert 0 < int(seen[0].headers["X-Deadline-Ms"]) <= 3000


@pytest.mark.parametrize("path", ["/stream/1", "/stream/r/1"])
async def test_complete_stream_is_forwarded(path: str) -> None:
    async with rig.async_environment() as env:
        got = await env.async_send(path)
        assert got.status == 200
        assert got.body == WHOLE


@pytest.mark.parametrize(
    ("path", "key", "body", "status"),
    [
        ("/none/1", rig.KEY, b"", 404),
        ("/read/1", "wrong", b"", 401),
        ("/open/1", "wrong", b"", 200),
        ("/read/1", rig.KEY, b"x" * 2000, 200),
        ("/read/1", rig.KEY, b"x" * 2001, 413),
    ],
)
async def test_requests_are_checked_against_the_configuration(
    path: str, key: str, body: bytes, status: int
) -> None:
    async with rig.async_environment() as env:
        got = await env.async_send(path, key=key, body=body)
        assert got.status == status
        assert len(env.ran()) == (status == 200)


RETRIED = ("/read/1", 200, 2)
"""Path, status and number of runs of a request that is retried on the second
server, which responds."""


@pytest.mark.parametrize(
    ("fault", "path", "status", "runs"),
    [
        (Fault.REFUSE, "/read/1", 200, 1),
        (Fault.REFUSE, "/pay/1", 200, 1),
        (Fault.ELSEWHERE, "/pay/1", 200, 1),
        (Fault.FAIL, *RETRIED),
        (Fault.FAIL, "/pay/1", 500, 1),
        (Fault.LOSE, *RETRIED),
        (Fault.LOSE, "/pay/1", 502, 1),
        (Fault.RESET, *RETRIED),
        (Fault.RESET, "/pay/1", 502, 1),
        (Fault.CROSS, *RETRIED),
        (Fault.CROSS, "/pay/1", 502, 1),
        (Fault.TRUNCATE, *RETRIED),
        (Fault.TRUNCATE, "/pay/1", 502, 1),
        (Fault.NOT_HTTP, *RETRIED),
        (Fault.NOT_HTTP, "/pay/1", 502, 1),
        (Fault.UNFRAMED, "/pay/1", 200, 1),
        (Fault.UNFRAMED_RESET, *RETRIED),
        (Fault.UNFRAMED_RESET, "/pay/1", 502, 1),
        (Fault.RESET, "/stream/1", 502, 1),
        (Fault.RESET, "/stream/r/1", 200, 2),
        (Fault.REFUSE, "/stream/1", 200, 1),
    ],
)
async def test_faults_of_one_server(
    fault: Fault, path: str, status: int, runs: int
) -> None:
    """The first server that gets the request has the fault, the other none."""
    async with rig.async_environment() as env:
        env.set_faults(fault)
        got = await env.async_send(path)
        assert got.status == status
        assert len(env.ran()) == runs


async def test_request_rejected_by_all_servers_is_rejected() -> None:
    async with rig.async_environment() as env:
        env.set_faults(*[Fault.REFUSE] * 4)
        got = await env.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0
        assert env.ran() == []


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (Fault.CUT_EVENT, Fault.NONE),
        (Fault.CUT_BETWEEN, Fault.NONE),
        (Fault.CUT_END, Fault.NONE),
        (Fault.CUT_EVENT, Fault.RESTART),
    ],
)
async def test_stream_is_resumed_on_another_server(
    first: Fault, second: Fault
) -> None:
    async with rig.async_environment() as env:
        env.set_faults(first, second)
        got = await env.async_send("/stream/r/1")
        assert got.status == 200
        assert got.body == WHOLE
        assert len(env.ran()) == 2


@pytest.mark.parametrize("fault", [Fault.CUT_EVENT, Fault.CUT_BETWEEN])
async def test_cut_stream_looks_incomplete(fault: Fault) -> None:
    async with rig.async_environment() as env:
        env.set_faults(fault)
        with pytest.raises(aiohttp.ClientPayloadError):
            await env.async_send("/stream/1")
        assert len(env.ran()) == 1


@pytest.mark.parametrize(
    "second",
    [
        Fault.FAIL,
        Fault.REFUSE,
        Fault.ELSEWHERE,
        Fault.PLAIN,
        Fault.PARTIAL,
        Fault.NO_CONTENT,
        Fault.SHORT_RESTART,
        Fault.NO_NUMBERS,
        Fault.UNSEALED,
    ],
)
async def test_stream_that_no_server_can_resume_looks_incomplete(
    second: Fault,
) -> None:
    """A server crashes during the stream, and the next can't continue it."""
    async with rig.async_environment() as env:
        env.set_faults(Fault.CUT_EVENT, second)
        with pytest.raises(aiohttp.ClientPayloadError):
            await env.async_send("/stream/r/1")
        assert not any(server.faults for server in env.servers)


async def test_events_without_ids_are_not_forwarded_twice() -> None:
    async with rig.async_environment() as env:
        env.set_faults(Fault.CUT_NO_NUMBERS, Fault.NO_NUMBERS)
        with pytest.raises(aiohttp.ClientPayloadError):
            await env.async_send("/stream/r/1")
        assert len(env.ran()) == 1


async def test_extra_response_is_not_used_for_the_next_request() -> None:
    async with rig.async_environment(servers=1) as env:
        env.servers[0].faults = [Fault.EXTRA]
        for number in range(3):
            got = await env.async_send("/pay/1", request_id=f"q{number}")
            assert got.body == f"answer to q{number}".encode()
        assert env.ran() == ["q0", "q1", "q2"]


@pytest.mark.parametrize("fault", [Fault.REFUSE_AGAIN, Fault.MISDIRECT_AGAIN])
async def test_duplicate_rejection_is_not_the_next_response(
    fault: Fault,
) -> None:
    """A duplicate rejection must not be taken for the next response.

    The caller would learn that its request was not run while it runs.
    """
    async with rig.async_environment(servers=1) as env:
        env.servers[0].faults = [fault]
        first = await env.async_send("/pay/1", request_id="q0")
        assert first.status == 503
        got = await env.async_send("/pay/1", request_id="q1")
        assert got.body == b"answer to q1"
        assert env.ran() == ["q1"]


async def test_route_timeout_ends_the_wait() -> None:
    async with rig.async_environment(servers=1) as env:
        env.servers[0].faults = [Fault.HANG]
        got = await env.async_send("/short/1")
        assert got.status == 504


async def test_work_for_a_disconnected_caller_is_cancelled() -> None:
    async with rig.async_environment(servers=1) as env:
        env.servers[0].event_interval_s = 0.02
        request = asyncio.create_task(env.async_send("/stream/1"))
        await rig.async_wait_until(lambda: bool(env.ran()))
        request.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await request
        await rig.async_wait_until(lambda: bool(env.servers[0].cancelled))
        assert env.servers[0].cancelled == ["q1"]


async def test_request_without_a_server_is_rejected_at_once() -> None:
    async with rig.async_environment(servers=0) as env:
        got = await env.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0


async def test_payment_is_retried_after_an_unreachable_server() -> None:
    async with rig.async_environment(servers=1) as env:
        spec = {
            "service": "app",
            "address": "127.0.0.1:1",
            "zone": "z1",
            "slots": 6,
            "state": "ready",
        }
        for number in range(2):
            await env.store.async_put("servers", f"dead-{number}", spec)
        for number in range(6):
            got = await env.async_send("/pay/1", request_id=f"q{number}")
            assert got.status == 200


async def test_new_configuration_is_applied() -> None:
    async with rig.async_environment() as env:
        routes = [rig.route("new", "idempotent")]
        cfg = {**rig.CONFIGURATION, "version": 2, "routes": routes}
        await env.store.async_put("config", "main", cfg)
        await env.async_wait_for_status("/new/1", 200)
        assert (await env.async_send("/read/1")).status == 404


async def test_revoked_key_is_rejected() -> None:
    async with rig.async_environment() as env:
        cfg = {**rig.CONFIGURATION, "version": 2, "tenants": []}
        await env.store.async_put("config", "main", cfg)
        await env.async_wait_for_status("/read/1", 401)


async def test_invalid_registration_is_ignored() -> None:
    async with rig.async_environment(servers=1) as env:
        for number, spec in enumerate((None, 7, {"service": "app"}, [])):
            await env.store.async_put("servers", f"odd-{number}", spec)
        for number in range(4):
            got = await env.async_send("/pay/1", request_id=f"q{number}")
            assert got.status == 200


async def test_router_registers_in_the_store() -> None:
    async with rig.async_environment() as env:
        name = str(env.cfg.peers).replace(":", "_")
        kind = "tamarackbridge-routers"
        await rig.async_wait_until(lambda: name in env.store.names(kind))


async def test_idle_connection_is_closed_by_a_shutdown() -> None:
    """Otherwise its next request would be accepted and never answered."""
    async with rig.async_environment() as env:
        host, port = env.cfg.callers.host, env.cfg.callers.port
        reader, writer = await asyncio.open_connection(host, port)
        head = f"GET /read/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
        head += f"X-Request-Id: q1\r\nX-Api-Key: {rig.KEY}\r\n\r\n"
        writer.write(head.encode())
        answer = await reader.readuntil(b"answer to q1")
        assert b"200" in answer
        env.router.close_idle()
        assert await reader.read() == b""
        writer.close()


async def test_request_in_flight_is_completed_during_a_shutdown() -> None:
    async with rig.async_environment(servers=1) as env:
        env.servers[0].event_interval_s = 0.02
        request = asyncio.create_task(env.async_send("/stream/1"))
        await rig.async_wait_until(lambda: bool(env.ran()))
        env.router.close_idle()
        assert (await request).body == WHOLE
