"""A router process with clients that don't keep to the limits.

Guards against a process that runs out of memory or file descriptors. Each test
checks only what doesn't depend on the speed of the machine: the process lives,
its peak memory and its open descriptors stay under a bound, and an ordinary
request is answered afterwards.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable
import contextlib
import dataclasses
import pathlib
import random
import re
import resource

import aiohttp
import pytest

from soak import environment, programs
from tests.platform import test_process

MEMORY_MB = 100
"""Memory limit in the settings; a router without load takes 50 MB."""

MAX_DESCRIPTORS = 1_100
"""Descriptor limit in the settings: 600 are not for callers."""

BODY_BYTES = 4_000_000

CROWD_S = 5.0
"""Time for which the clients send before the first ordinary request. They go on
meanwhile, and their connections stay open. The bounds hold at any time."""

_LIMITS = {
    "max_body_bytes": 4_194_304,
    "max_header_bytes": 16_384,
    "idle_timeout_ms": 15_000,
}

Parts = Iterable[bytes]
"""Bytes that a client sends, one write each."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients of the same kind.

    Attributes:
        clients: Number of connections.
        parts: What each of them sends.
        pause_s: Pause between two writes.
        descriptors: Descriptors that the process may open, by its settings
            and by the kernel.
    """

    clients: int
    parts: Parts
    pause_s: float = 0.0
    descriptors: int = MAX_DESCRIPTORS


def _head(
    framing: str, path: str = "/read/1", key: str = "key-0", name: str = "q"
) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {environment.HOST}\r\n"
        f"X-Request-Id: {name}\r\n"
        f"X-Api-Key: {key}\r\n"
        "X-Deadline-Ms: 30000\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def _with_length(sent: int, path: str = "/read/1", key: str = "key-0") -> Parts:
    head = _head(f"Content-Length: {BODY_BYTES}", path, key)
    return (head, *([b"x" * 50_000] * (sent // 50_000)), b"x" * (sent % 50_000))


def _in_chunks() -> Parts:
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    chunks = [chunk * 50] * (BODY_BYTES // 51_200)
    return (_head("Transfer-Encoding: chunked"), *chunks)


def _pipelined() -> Parts:
    body = b"x" * 60_000
    return [
        _head(f"Content-Length: {len(body)}", name=f"q{number}") + body
        for number in range(100)
    ]


def _endless_headers() -> Parts:
    fields = (
        f"X-Field-{number}: {'x' * 16_000}\r\n".encode()
        for number in range(120)
    )
    return (_head("X-First: 1")[:-2], *fields)


CROWDS = {
    "short_of_the_end": Crowd(32, _with_length(BODY_BYTES - 16)),
    "short_in_chunks": Crowd(48, _in_chunks()),
    "whole_bodies": Crowd(32, _with_length(BODY_BYTES)),
    "pipelined": Crowd(48, _pipelined()),
    "drip": Crowd(
        480, (_head(f"Content-Length: {BODY_BYTES}"), *([b"x"] * 60)), 1.0
    ),
    "headers_without_end": Crowd(48, _endless_headers()),
    "descriptors": Crowd(
        200, (_head(f"Content-Length: {BODY_BYTES}"), b"x"), descriptors=128
    ),
    "missing_route": Crowd(32, _with_length(BODY_BYTES, path="/none/1")),
    "wrong_key": Crowd(32, _with_length(BODY_BYTES, key="none")),
}


@contextlib.asynccontextmanager
async def _async_router(
    folder: pathlib.Path, descriptors: int = MAX_DESCRIPTORS
) -> AsyncIterator[programs.RouterProcess]:
    """Starts a router with lowered limits, a store and servers."""
    async with environment.Environment(0, folder, random.Random(1)) as platform:
        spec = environment._configuration_spec(9, platform.keys, [])
        spec["limits"] = _LIMITS
        for route in spec["routes"]:
            route["timeout_ms"] = 10_000
        await platform.store.async_put("config", "main", spec)
        program = programs.RouterProcess(
            "vm-0", "z1", platform.store.address, folder
        )
        program.write_settings(
            [], memory_mb=MEMORY_MB, max_descriptors=descriptors
        )
        await program.async_start()
        resource.prlimit(
            program.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors)
        )
        try:
            await test_process._async_ready(program)
            yield program
        finally:
            await program.async_close()


def _abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Resets a connection, unless the router has closed it already.

    Until then both are kept: without either the connection would be closed.
    """
    del reader
    if not writer.is_closing():
        writer.transport.abort()


async def _async_send(
    address: str, crowd: Crowd, open_connections: contextlib.ExitStack
) -> None:
    """Sends what a client sends; its connection stays open."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host, int(port))
        open_connections.callback(_abort, reader, writer)
        # Nothing reads the responses.
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for part in crowd.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(crowd.pause_s)


@contextlib.asynccontextmanager
async def _async_crowd(address: str, crowd: Crowd) -> AsyncIterator[None]:
    """Runs the clients until the context is left."""
    with contextlib.ExitStack() as open_connections:
        clients = [
            asyncio.create_task(_async_send(address, crowd, open_connections))
            for _ in range(crowd.clients)
        ]
        yield
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


def _peak_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    peak = re.search(r"^VmHWM:\s*(\d+) kB$", status, re.MULTILINE)
    assert peak is not None
    return int(peak[1]) / 1024


def _open_descriptors(pid: int) -> int:
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


async def _async_answered(program: programs.RouterProcess) -> None:
    """Repeats an ordinary request until it is answered with 200."""
    headers = {
        "Host": environment.HOST,
        "X-Request-Id": "ordinary",
        "X-Api-Key": "key-0",
        "X-Deadline-Ms": "3000",
    }
    url = f"http://{program.front_address}/read/1"
    async with asyncio.timeout(30.0), aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(
                    url, headers=headers, data=b"question"
                ) as resp:
                    await resp.read()
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("name", CROWDS)
async def test_process_stays_within_its_limits(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that such clients drive out of its limits."""
    crowd = CROWDS[name]
    async with _async_router(tmp_path, crowd.descriptors) as program:
        async with _async_crowd(program.front_address, crowd):
            await asyncio.sleep(CROWD_S)
            assert program.running
            descriptors = _open_descriptors(program.pid)
            await _async_answered(program)
            peak_mb = _peak_mb(program.pid)
            print(f"peak {peak_mb:.1f} MB, {descriptors} descriptors open")
        await _async_answered(program)
        assert program.running
        assert peak_mb <= MEMORY_MB
        assert descriptors <= crowd.descriptors


async def test_single_large_body_is_served(tmp_path: pathlib.Path) -> None:
    """Guards against limits that refuse a request inside the limits."""
    async with _async_router(tmp_path) as program:
        host, _, port = program.front_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for part in _with_length(BODY_BYTES):
            writer.write(part)
            await writer.drain()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()
        assert program.running
        assert _peak_mb(program.pid) <= MEMORY_MB
