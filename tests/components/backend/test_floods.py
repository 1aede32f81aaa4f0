"""Tests of endless responses and oversized load reports.

A backend server that never ends its response must not fill the router's memory
nor keep a connection.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import types
from typing import Any, cast

import pytest

from standins import floods, platform_server
from tamarackbridge import core
from tamarackbridge.components.backend import client, exceptions, load_poller
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.helpers import response_limits
from tests.components.gateway import rig

HEADERS = {"X-Request-Id": "q1"}
MAX_BYTES = 100_000

MAX_SENT = 12 * 1024 * 1024
"""Bytes sent until the close; above the kernel's buffers of a connection."""

ANSWERS = {
    f"head-{name}": answer for name, answer in floods.IN_HEAD.items()
} | {f"body-{name}": answer for name, answer in floods.IN_BODY.items()}


@pytest.fixture
async def backend() -> AsyncIterator[client.BackendClient]:
    started = client.BackendClient()
    await started.on_start()
    yield started
    await started.on_stop()


@pytest.fixture
async def server() -> AsyncIterator[platform_server.PlatformServer]:
    async with platform_server.PlatformServer("i-0") as started:
        yield started


async def _async_read(backend: client.BackendClient, address: str) -> bytes:
    async with backend.async_open("GET", address, "/x", HEADERS, b"") as resp:
        return await response_limits.async_read(resp, MAX_BYTES)


async def _async_until_closed(server: platform_server.PlatformServer) -> None:
    await rig.async_wait_until(lambda: server.flooding[0].ended)
    assert server.flooding[0].sent < MAX_SENT


@pytest.mark.parametrize("name", ANSWERS)
async def test_endless_response_is_an_error(
    name: str,
    backend: client.BackendClient,
    server: platform_server.PlatformServer,
) -> None:
    server.faults = [ANSWERS[name]]
    with pytest.raises(exceptions.BackendError):
        await asyncio.wait_for(_async_read(backend, server.address), 5.0)
    await _async_until_closed(server)


@pytest.mark.parametrize("name", floods.AFTER_ANSWER)
async def test_flood_after_a_response_closes_the_idle_connection(
    name: str,
    backend: client.BackendClient,
    server: platform_server.PlatformServer,
) -> None:
    server.faults = [floods.AFTER_ANSWER[name]]
    opened = backend.async_open("GET", server.address, "/x", HEADERS, b"")
    try:
        async with opened as resp:
            assert await resp.read() == b"whole"
    except exceptions.BackendError:
        assert name == "bytes_at_once"
    await _async_until_closed(server)
    assert server.flooding[0].sent < 2 * 1024 * 1024


@pytest.mark.parametrize(
    ("body", "reports"),
    [
        ([b'{"in_fl', b'ight":3}'], 1),
        ([b'{"in_flight":3}', b" " * load_poller.MAX_REPORT_BYTES], 0),
    ],
)
async def test_load_report_is_used_only_if_complete(
    body: list[bytes], reports: int, backend: client.BackendClient
) -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        size = sum(map(len, body))
        with contextlib.closing(writer):
            head = f"HTTP/1.1 200 X\r\nContent-Length: {size}\r\n\r\n"
            writer.write(head.encode())
            for part in body:
                writer.write(part)
                await asyncio.sleep(0.02)  # Sends each part separately.

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    injected: list[core.Message] = []
    poller = load_poller.LoadPoller(
        load_poller.LoadPort(),
        backend,
        core.SystemClock(),
        random.Random(1),
        injected.append,
    )
    polled_server: Any = types.SimpleNamespace(
        name="i-0", address=f"127.0.0.1:{port}", load_lag_s=0.1
    )
    await poller._async_poll(polled_server)
    assert [
        cast(dispatch.LoadReport, answer).in_flight for answer in injected
    ] == ([3] * reports)
    assert poller.failed == 1 - reports
    listener.close()
