"""A router process with crowds of clients that nobody controls.

Each crowd has a whole life: its clients connect at the same time, send, wait or
take their responses, leave, and come again. The bounds hold while the crowd is
there and after it has left.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
import dataclasses
import math
import pathlib
import re
import resource

import aiohttp
import pytest

from soak import programs, proxy
from standins import platform_server
from tests.platform import test_untrusted_clients as untrusted

MEMORY_MB = untrusted.MEMORY_MB

IDLE_MB = 64
"""Memory of a router without requests."""

MAX_DESCRIPTORS = 1_900
"""Descriptor limit in the settings: 600 are not for callers."""

SPARE_DESCRIPTORS = 64
"""Descriptors beyond those of the start that may be open afterwards: kept
connections to servers."""

CROWD_S = 10.0
"""Time for which a crowd stays before the first ordinary request."""

ORDINARY_S = 60.0
"""Time within which one ordinary request, repeated, must be answered, and the
router must be back where it was before the crowd."""

Parts = Iterable[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients of the same kind.

    Attributes:
        clients: Number of clients.
        parts: What each of them sends on a connection, one write each.
        reads: Whether it reads its first response, and then leaves at once.
        stay_s: Longest time for which it stays on a connection.
        addresses: Number of source addresses.
        descriptors: Descriptors that the process may open, by its settings.
        server_delay_s: Time that the servers take to read each 64 KB.
    """

    clients: int
    parts: Callable[[], Parts]
    reads: bool = False
    stay_s: float = 60.0
    addresses: int = 1
    descriptors: int = MAX_DESCRIPTORS
    server_delay_s: float = 0.0


def _whole_body() -> Parts:
    return untrusted._with_length(untrusted.BODY_BYTES)


def _short_body() -> Parts:
    field = f"Cookie: c={'c' * 8_000}\r\nContent-Length: 200000"
    return (untrusted._head(field), b"z" * (200_000 - 16))


def _requests_ahead() -> Parts:
    head = untrusted._head("Content-Length: 16")
    return ((head + b"x" * 16) * 20,)


def _head_without_end() -> Parts:
    return (untrusted._head(f"Cookie: c={'c' * 15_000}")[:-2],)


def _in_chunks_of(size: int) -> Callable[[], Parts]:
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    many = chunk * (50_000 // len(chunk))
    return lambda: (
        untrusted._head("Transfer-Encoding: chunked"),
        *([many] * (100_000 // size * len(chunk) // len(many))),
    )


CROWDS = {
    "whole_bodies_again": Crowd(32, _whole_body, reads=True),
    "whole_bodies_from_addresses": Crowd(
        64, _whole_body, reads=True, addresses=16
    ),
    "short_bodies": Crowd(1_100, _short_body, stay_s=4.0),
    "short_bodies_that_leave": Crowd(
        600, _short_body, stay_s=1.5, addresses=50
    ),
    "requests_ahead": Crowd(1_100, _requests_ahead, stay_s=4.0),
    "heads_without_end": Crowd(
        2_800, _head_without_end, stay_s=4.0, descriptors=3_600
    ),
    "chunks_of_one_byte": Crowd(200, _in_chunks_of(1), stay_s=6.0),
    "chunks_of_eight_bytes": Crowd(300, _in_chunks_of(8), stay_s=3.0),
    "slow_servers": Crowd(48, _whole_body, server_delay_s=0.5),
}

SUCCESSIVE = (
    "short_bodies",
    "whole_bodies_again",
    "requests_ahead",
)
"""Crowds of different kinds that come one after the other."""


@contextlib.asynccontextmanager
async def _async_client_descriptors() -> AsyncIterator[None]:
    """Allows this process as many descriptors as a crowd needs."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = 8_192 if hard == resource.RLIM_INFINITY else min(8_192, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, allowed), hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _async_visit(address: str, crowd: Crowd, number: int) -> None:
    """Runs one connection of a client."""
    host, _, port = address.rpartition(":")
    source = (f"127.0.0.{2 + number % crowd.addresses}", 0)
    reader, writer = await asyncio.open_connection(
        host, int(port), local_addr=source if crowd.addresses > 1 else None
    )
    try:
        if not crowd.reads:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        for part in crowd.parts():
            writer.write(part)
            await writer.drain()
        if crowd.reads:
            await reader.readuntil(b"\r\n\r\n")
        else:
            await asyncio.Event().wait()
    finally:
        writer.transport.abort()


async def _async_client(address: str, crowd: Crowd, number: int) -> None:
    """Comes again after each connection that has ended."""
    while True:
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(crowd.stay_s):
                await _async_visit(address, crowd, number)
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _async_crowd(address: str, crowd: Crowd) -> AsyncIterator[None]:
    """Runs the clients until the context is left; then all of them leave."""
    clients = [
        asyncio.create_task(_async_client(address, crowd, number))
        for number in range(crowd.clients)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = re.search(r"^VmRSS:\s*(\d+) kB$", status, re.MULTILINE)
    assert resident is not None
    return int(resident[1]) / 1024


async def _async_is_ready(program: programs.RouterProcess) -> bool:
    timeout = aiohttp.ClientTimeout(total=3.0)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(program.readiness_url) as resp:
                return resp.status == 200
    return False


async def _async_until_left(
    program: programs.RouterProcess,
    descriptors: int,
    resident_mb: float = math.inf,
) -> None:
    """Waits until the router is as it was before the crowd."""
    async with asyncio.timeout(ORDINARY_S):
        while not (
            await _async_is_ready(program)
            and untrusted._open_descriptors(program.pid) <= descriptors
            and _resident_mb(program.pid) <= resident_mb
        ):
            assert program.running
            await asyncio.sleep(0.2)


async def _async_answered(program: programs.RouterProcess) -> None:
    """Repeats an ordinary request until it is answered with 200.

    Each one is given up after its own deadline.
    """
    async with asyncio.timeout(ORDINARY_S):
        while True:
            assert program.running
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(4.0):
                    await untrusted._async_answered(program)
                    return


async def _async_bear(program: programs.RouterProcess, crowd: Crowd) -> None:
    """Runs a crowd and checks the router while it is there and afterwards."""
    await _async_until_left(program, crowd.descriptors)
    at_rest = untrusted._open_descriptors(program.pid)
    async with _async_client_descriptors():
        async with _async_crowd(program.front_address, crowd):
            await asyncio.sleep(CROWD_S)
            assert program.running
            descriptors = untrusted._open_descriptors(program.pid)
            await _async_answered(program)
    await _async_until_left(program, at_rest + SPARE_DESCRIPTORS)
    await _async_answered(program)
    assert program.running
    peak_mb = untrusted._peak_mb(program.pid)
    print(f"peak {peak_mb:.1f} MB, {descriptors} descriptors open", end=", ")
    print(f"{_resident_mb(program.pid):.1f} MB left")
    assert peak_mb <= MEMORY_MB
    assert descriptors <= crowd.descriptors


@contextlib.asynccontextmanager
async def _async_router(
    folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch, crowd: Crowd
) -> AsyncIterator[programs.RouterProcess]:
    """Starts a router with lowered limits, and servers that suit a crowd."""
    # The servers are part of this process, which must not keep all bodies.
    monkeypatch.setattr(
        platform_server, "ReceivedRequest", _ReceivedWithoutBody
    )
    fault = proxy.LinkFault(delay_s=crowd.server_delay_s)
    monkeypatch.setattr(proxy, "NO_FAULT", fault)
    async with untrusted._async_router(folder, crowd.descriptors) as program:
        yield program


class _ReceivedWithoutBody(platform_server.ReceivedRequest):
    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        super().__init__(method, target, headers, body[:16])


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_is_borne(
    name: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that a crowd drives out of its limits."""
    crowd = CROWDS[name]
    async with _async_router(tmp_path, monkeypatch, crowd) as program:
        await _async_bear(program, crowd)


async def test_successive_crowds_are_borne(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that each crowd leaves behind."""
    crowds = [CROWDS[name] for name in SUCCESSIVE]
    async with _async_router(tmp_path, monkeypatch, crowds[0]) as program:
        for crowd in crowds:
            await _async_bear(program, crowd)


@pytest.mark.parametrize("name", ["whole_bodies_again", "requests_ahead"])
async def test_memory_returns_after_a_crowd(
    name: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that stays as large as at a crowd's peak."""
    crowd = CROWDS[name]
    async with _async_router(tmp_path, monkeypatch, crowd) as program:
        await _async_bear(program, crowd)
        await _async_until_left(program, MAX_DESCRIPTORS, IDLE_MB)
