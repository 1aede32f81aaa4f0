"""Callers that read plain answers slowly, or not at all.

They guard against a router whose memory such answers fill: a body counts
against the budget until the kernel has most of it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

import pytest

from standins import floods, platform_server, server_faults
from tamarackbridge.components.gateway import drain, in_flight_limit, servers
from tamarackbridge.components.telemetry import events
from tamarackbridge.helpers import response_memory
from tests.components.gateway import raw_caller, rig

_Fault = platform_server.Fault
_EarlyEnd = server_faults.EarlyEnd

LARGE_BYTES = 4 * 1024 * 1024
SPARE_MB = 32
"""Memory beyond that of an idle router: responses may take a third of it, which
has room for two large ones."""

LARGE = floods.Flood(
    b"HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%b"
    % (LARGE_BYTES, bytes(LARGE_BYTES)),
    b"x",
    pause_s=10.0,
)


def _memory(env: rig.Environment) -> response_memory.MemoryBudget:
    job_runner = env.router._gateway._runner
    assert job_runner is not None
    return job_runner._sender._forwarder._response_memory


@contextlib.asynccontextmanager
async def _async_call(
    env: rig.Environment, path: str, number: int
) -> AsyncIterator[socket.socket]:
    """Sends a request whose answer is not read yet."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {rig.HOST}\r\n"
        f"X-Request-Id: slow{number}\r\nX-Api-Key: {rig.KEY}\r\n"
        "X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n"
    )
    loop = asyncio.get_running_loop()
    address = env.cfg.callers
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.sock_sendall(sock, head.encode())
        yield sock


async def _async_read_all(sock: socket.socket) -> int:
    """Returns the number of bytes until the end."""
    loop = asyncio.get_running_loop()
    size = 0
    while data := await loop.sock_recv(sock, 1024 * 1024):
        size += len(data)
    return size


@pytest.mark.parametrize("path", ["/pay/1", "/read/1"])
async def test_answers_that_are_not_read_share_the_memory(path: str) -> None:
    """Each alone is let through, and there are many callers."""
    async with rig.async_environment(
        memory_mb=in_flight_limit.BASE_MEMORY_MB + SPARE_MB
    ) as env:
        memory = _memory(env)
        all_left = memory.left
        env.set_faults(*[LARGE] * 8)
        async with (
            _async_call(env, path, 1) as first,
            _async_call(env, path, 2),
        ):
            await rig.async_wait_until(
                lambda: all_left - memory.left > 1.9 * LARGE_BYTES
            )
            beside = await env.async_send(path, request_id="q3")
            assert beside.status == 502

            # What was reserved is free again, read or not.
            assert await _async_read_all(first) > LARGE_BYTES
            assert all_left - memory.left < 1.1 * LARGE_BYTES
        await rig.async_wait_until(lambda: memory.left == all_left)
        after = await env.async_send(path, request_id="q4")
        assert len(after.body) == LARGE_BYTES
        await rig.async_wait_until(lambda: memory.left == all_left)
        assert memory.held_by_callers == 0


async def test_answers_without_room_open_no_breaker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is others' callers that take the room, and the servers are sound."""
    log: list[events.Event] = []
    monkeypatch.setattr(events, "write", log.append)
    async with rig.async_environment(
        memory_mb=in_flight_limit.BASE_MEMORY_MB + SPARE_MB
    ) as env:
        memory = _memory(env)
        all_left = memory.left
        env.set_faults(*[LARGE] * 8)
        async with (
            _async_call(env, "/pay/1", 1),
            _async_call(env, "/pay/1", 2),
        ):
            await rig.async_wait_until(
                lambda: all_left - memory.left > 1.9 * LARGE_BYTES
            )
            for number in range(6):
                got = await env.async_send("/pay/1", request_id=f"q{number}")
                assert got.status == 502
        assert not any(isinstance(each, events.BreakerOpened) for each in log)


async def test_answer_that_takes_the_room_itself_opens_a_breaker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody else takes any: the server floods."""
    log: list[events.Event] = []
    monkeypatch.setattr(events, "write", log.append)
    async with rig.async_environment(
        servers=1, memory_mb=in_flight_limit.BASE_MEMORY_MB + SPARE_MB
    ) as env:
        env.set_faults(*[floods.IN_BODY["no_length"]] * 4)
        for number in range(4):
            await env.async_send("/pay/1", request_id=f"q{number}")
        assert any(isinstance(each, events.BreakerOpened) for each in log)


@pytest.mark.parametrize("path", ["/pay/1", "/read/1", "/stream/1"])
@pytest.mark.parametrize(
    "fault",
    [
        _Fault.NONE,
        _Fault.FAIL,
        _Fault.TRUNCATE,
        _Fault.UNFRAMED,
        _Fault.UNFRAMED_RESET,
        _Fault.CUT_BETWEEN,
        _Fault.PLAIN,
        _EarlyEnd.UNFRAMED_CRASH_BODY,
        _EarlyEnd.UNFRAMED_CUT_BETWEEN,
    ],
)
async def test_no_answer_stays_reserved(
    path: str,
    fault: _Fault | _EarlyEnd,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_memory, "UNCOUNTED_BYTES", 0)
    async with rig.async_environment() as env:
        memory = _memory(env)
        all_left = memory.left
        env.set_faults(fault)
        answer = await raw_caller.async_send(env, path)
        assert answer.status
        await rig.async_wait_until(lambda: memory.left == all_left)
        assert memory.held_by_callers == 0


async def test_answer_for_a_caller_that_left_during_a_check_is_not_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The body is complete then, and no response has been made of it."""
    checking = asyncio.Event()

    async def _async_hang(address: str) -> servers.ConnectionCheck:
        checking.set()
        return await asyncio.Future()

    monkeypatch.setattr(response_memory, "UNCOUNTED_BYTES", 0)
    monkeypatch.setattr(servers, "_async_check_connection", _async_hang)
    async with rig.async_environment() as env:
        memory = _memory(env)
        all_left = memory.left
        env.set_faults(_Fault.UNFRAMED)
        async with _async_call(env, "/pay/1", 1):
            await asyncio.wait_for(checking.wait(), 5.0)
            assert memory.left < all_left
        await rig.async_wait_until(lambda: memory.left == all_left)


async def test_shutdown_waits_for_a_caller_that_reads_its_answer_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that is cut as the process ends."""
    monkeypatch.setattr(drain, "BALANCER_NOTICE_S", 0.01)
    monkeypatch.setattr(drain, "QUIET_S", 0.01)
    monkeypatch.setattr(drain, "MIN_LISTEN_S", 0.01)

    async def async_leave() -> None:
        """Does nothing: the router is not in a list."""

    async with rig.async_environment(servers=1) as env:
        memory = _memory(env)
        all_left = memory.left
        env.set_faults(LARGE)
        async with _async_call(env, "/read/1", 0) as sock:
            await rig.async_wait_until(lambda: memory.left < all_left)
            await rig.async_wait_until(
                lambda: all_left - memory.left < LARGE_BYTES
            )
            clock = env.router._clock
            draining = asyncio.create_task(
                drain.async_drain(
                    env.router._gateway,
                    clock,
                    8.0,
                    async_leave,
                    clock.monotonic(),
                )
            )
            await asyncio.sleep(0.3)
            assert not draining.done()
            assert await _async_read_all(sock) > LARGE_BYTES
            await draining
