"""Bodies and heads of callers' requests that meet the limits on memory."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

import pytest

from standins import platform_server
from tamarackbridge.components.gateway import body_budget, offload_proxy
from tests.components.gateway import rig, test_callers

LIMITS = {
    "max_body_bytes": 4_194_304,
    "max_header_bytes": 4_096,
    "idle_timeout_ms": 15_000,
}

BODY = bytes(range(256)) * 16_000


@contextlib.asynccontextmanager
async def _async_environment() -> AsyncIterator[rig.Environment]:
    """Starts a router that accepts large bodies."""
    async with rig.async_environment(servers=2) as env:
        spec = {**rig.CONFIGURATION, "version": 2, "limits": LIMITS}
        await env.store.async_put("config", "main", spec)
        await env.async_wait_for_configuration(2)
        yield env


def _bodies(env: rig.Environment) -> body_budget.BodyBudget:
    return env.router._gateway.bodies


def _fill(env: rig.Environment, size: int) -> body_budget.Holding:
    """Takes memory for other bodies."""
    holding = body_budget.Holding("")
    assert _bodies(env).charge_complete(holding, size)
    return holding


def _fill_large(env: rig.Environment) -> body_budget.Holding:
    """Takes all memory that large bodies may use."""
    total = _bodies(env).total
    return _fill(env, total - total // 4 - body_budget.TRANSIT_BYTES)


def _received(env: rig.Environment) -> list[bytes]:
    return [seen.body for server in env.servers for seen in server.seen]


async def _async_send_raw(env: rig.Environment, data: bytes) -> bytes:
    """Sends bytes; returns what arrives until the connection is closed."""
    caller = await test_callers._async_connect(env)
    caller.writer.write(data)
    try:
        return await caller.reader.read()
    finally:
        caller.writer.close()


def _request(framing: str, path: str = "/read/1", key: str = rig.KEY) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Request-Id: q1\r\n"
        f"X-Api-Key: {key}\r\nConnection: close\r\n{framing}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("chunk", [0, 1_000, 100_000])
@pytest.mark.parametrize("size", [65_536, 65_537, 131_072, len(BODY)])
async def test_body_is_forwarded_whole_also_in_a_retry(
    chunk: int, size: int
) -> None:
    """Guards against lost, repeated or mixed bytes at the sizes of a step."""
    body = BODY[:size]
    framing, data = f"Content-Length: {size}", body
    if chunk:
        framing = "Transfer-Encoding: chunked"
        parts = [body[i : i + chunk] for i in range(0, size, chunk)]
        data = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        data += b"0\r\n\r\n"
    async with _async_environment() as env:
        env.set_faults(platform_server.Fault.LOSE)
        answer = await _async_send_raw(env, _request(framing) + data)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert _received(env) == [body, body]
        await rig.async_wait_until(lambda: _bodies(env).total_held == 0)


async def test_body_without_room_is_refused_and_a_small_one_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The 503 promises that the request has not run."""
    monkeypatch.setattr(body_budget, "WAIT_S", 0.05)
    async with _async_environment() as env:
        _fill_large(env)
        resp = await env.async_send("/pay/1", body=BODY, request_id="large")
        assert resp.status == 503
        assert float(resp.headers["Retry-After"]) > 0
        small = await env.async_send("/pay/1", request_id="small")
        assert small.status == 200
        assert env.ran() == ["small"]


async def test_body_waits_until_there_is_room() -> None:
    async with _async_environment() as env:
        others = _fill_large(env)
        call = asyncio.create_task(env.async_send("/pay/1", body=BODY))
        await rig.async_wait_until(lambda: _bodies(env).waiting == 1)
        _bodies(env).release(others)
        assert (await call).status == 200
        assert _received(env) == [BODY]


async def test_caller_that_leaves_while_its_body_waits_frees_the_room() -> None:
    async with _async_environment() as env:
        others = _fill_large(env)
        caller = await test_callers._async_connect(env)
        caller.writer.write(_request("Content-Length: 4000000") + BODY[:9])
        await rig.async_wait_until(lambda: _bodies(env).waiting == 1)
        caller.writer.transport.abort()
        await rig.async_wait_until(lambda: _bodies(env).waiting == 0)
        _bodies(env).release(others)
        assert _bodies(env).total_held == 0


@pytest.mark.parametrize(
    "framing", ["Content-Length: 4000000", "Transfer-Encoding: chunked"]
)
async def test_body_without_progress_gets_408(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(body_budget, "PROGRESS_S", 0.2)
    async with _async_environment() as env:
        answer = await _async_send_raw(env, _request(framing) + b"2\r\nxx\r\n")
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert _bodies(env).counts.stalled == 1
        assert env.ran() == []


@pytest.mark.parametrize(
    ("framing", "data"),
    [
        ("Content-Length: 4194305", b""),
        ("Transfer-Encoding: chunked", b"400001\r\n" + bytes(4_194_305)),
    ],
)
async def test_too_large_body_is_refused(framing: str, data: bytes) -> None:
    """A stated length is refused before any of the body."""
    async with _async_environment() as env:
        answer = await _async_send_raw(env, _request(framing) + data)
        assert answer.startswith(b"HTTP/1.1 413 ")
        await rig.async_wait_until(lambda: _bodies(env).total_held == 0)


@pytest.mark.parametrize(
    ("path", "key", "first_line"),
    [
        ("/read/1", rig.KEY, b"HTTP/1.1 100 "),
        ("/none/1", rig.KEY, b"HTTP/1.1 404 "),
        ("/read/1", "wrong", b"HTTP/1.1 401 "),
    ],
)
async def test_body_is_asked_for_only_if_the_request_is_valid(
    path: str, key: str, first_line: bytes
) -> None:
    """Guards against bodies that are read for requests that are refused."""
    framing = "Expect: 100-continue\r\nContent-Length: 4000000"
    async with _async_environment() as env:
        caller = await test_callers._async_connect(env)
        caller.writer.write(_request(framing, path, key))
        assert (await caller.reader.readline()).startswith(first_line)
        caller.writer.close()


async def test_head_with_too_many_long_lines_gets_431() -> None:
    """Guards against heads that the limit on each line does not bound."""
    lines = "\r\n".join(f"X-Field-{i}: {'x' * 4000}" for i in range(20))
    async with _async_environment() as env:
        answer = await _async_send_raw(env, _request(lines)[:-4])
        assert answer.startswith(b"HTTP/1.1 431 ")
        await rig.async_wait_until(lambda: env.router._gateway.heads.used == 0)


async def test_head_of_legal_size_in_pieces_is_served() -> None:
    lines = "\r\n".join(f"X-Field-{i}: {'x' * 4000}" for i in range(3))
    async with _async_environment() as env:
        caller = await test_callers._async_connect(env)
        request = _request(f"{lines}\r\nContent-Length: 0")
        for start in range(0, len(request), 2_000):
            caller.writer.write(request[start : start + 2_000])
            await asyncio.sleep(0)
        assert (await caller.reader.readline()).startswith(b"HTTP/1.1 200 ")
        assert env.router._gateway.heads.used == 0
        caller.writer.close()


async def test_end_of_a_body_does_not_count_as_a_head() -> None:
    """Guards against connections that are refused for bytes of their bodies."""
    async with _async_environment() as env:
        caller = await test_callers._async_connect(env)
        for _ in range(8):
            request = _request("Content-Length: 30000")
            caller.writer.write(request.replace(b"Connection: close\r\n", b""))
            await asyncio.sleep(0.01)
            caller.writer.write(BODY[:30_000])
            status, _, _ = await caller.async_response()
            assert status == 200
            assert env.router._gateway.heads.used == 0
        caller.writer.close()


async def test_pipelined_requests_are_all_served() -> None:
    """Guards against a connection that is not read again after its queue."""
    count = 40
    async with _async_environment() as env:
        caller = await test_callers._async_connect(env)
        for number in range(count):
            size = 30_000 * (number % 3)
            request = _request(f"Content-Length: {size}") + BODY[:size]
            caller.writer.write(request.replace(b"Connection: close\r\n", b""))
        for _ in range(count):
            status, _, _ = await caller.async_response()
            assert status == 200
        caller.writer.close()


async def test_offloaded_request_without_room_gets_503() -> None:
    """Guards against offloaded requests that are not charged."""
    ends: list[offload_proxy.End] = []
    offloaded = offload_proxy.OffloadedRequest(
        ("127.0.0.1", 9),
        bytes(60_001),
        0.0,
        lambda end: b"HTTP/1.1 503 X\r\n\r\n",
        ends.append,
    )
    async with _async_environment() as env:
        _fill_large(env)
        while _bodies(env).total - _bodies(env).total_held > 60_000:
            _fill(env, 60_000)
        here, there = socket.socketpair()
        with there:
            env.router._gateway._offload(here, offloaded)
            assert there.recv(99).startswith(b"HTTP/1.1 503 ")
        assert ends == [offload_proxy.End.NOT_SENT]
