"""Connections to backend servers that do what the library does not expect."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import os
import time

import pytest

from tamarackbridge.components.gateway import models, servers

BODY = bytes(range(256)) * 32_768
"""More than the kernel takes for a server that does not read."""

READ_LATE_S = 0.05


class EarlyServer:
    """Answers before it has read a body, and reads on later."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.first_lines: list[bytes] = []
        self.address = ""

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.first_lines.append(head.partition(b"\r\n")[0])
                length = head.lower().partition(b"content-length: ")[2]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                )
                await asyncio.sleep(READ_LATE_S)
                size = int(length.partition(b"\r\n")[0])
                self.bodies.append(await reader.readexactly(size))
        writer.close()


@pytest.fixture
async def early() -> AsyncIterator[EarlyServer]:
    server = EarlyServer()
    listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server.address = f"127.0.0.1:{port}"
    yield server
    listener.close()


@pytest.fixture
async def client() -> AsyncIterator[servers.ServerClient]:
    made = servers.ServerClient()
    await made.on_start()
    yield made
    await made.on_stop()


def _call(body: bytes) -> models.Call:
    return models.Call(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, 10, 0, (), "", body
    )


async def test_next_request_never_fills_a_body_that_was_not_read(
    early: EarlyServer, client: servers.ServerClient
) -> None:
    for _ in range(3):
        opened = client.async_open(early.address, _call(BODY), [])
        async with opened as resp:
            assert await resp.read() == b"done"
    await asyncio.sleep(2 * READ_LATE_S)
    assert set(early.first_lines) == {b"POST /x/1 HTTP/1.1"}
    assert len(early.first_lines) == 3
    assert all(it == BODY for it in early.bodies)


STALE = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def test_what_waits_unread_is_no_answer_to_the_next_request(
    client: servers.ServerClient,
) -> None:
    """A busy event loop has not read what came on an idle connection."""
    sockets: list[int] = []

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sockets.append(writer.get_extra_info("socket").fileno())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                )
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    for _ in range(2):
        async with client.async_open(address, _call(b""), ()) as resp:
            assert await resp.read() == b"done"
    assert len(sockets) == 1
    os.write(sockets[0], STALE)
    # Nothing of the client has run since the server sent it.
    async with client.async_open(address, _call(b""), ()) as resp:
        assert resp.status == 200
        assert await resp.read() == b"done"
    assert len(sockets) == 2
    listener.close()


async def test_idle_time_that_is_no_number_is_passed_over(
    client: servers.ServerClient,
) -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
        writer.write(head + b"Keep-Alive: timeout=" + b"9" * 5000)
        writer.write(b"\r\n\r\n")
        await asyncio.sleep(READ_LATE_S)  # The head comes alone.
        writer.write(b"done")
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with client.async_open(address, _call(b""), ()) as resp:
        assert await resp.read() == b"done"
    listener.close()


async def test_lag_of_the_router_is_not_taken_for_a_dead_server(
    early: EarlyServer, client: servers.ServerClient
) -> None:
    loop = asyncio.get_running_loop()

    def _lag(passes: int) -> None:
        time.sleep(1.2 * servers.CONNECT_TIMEOUT_S)
        if passes > 1:
            loop.call_soon(_lag, passes - 1)

    loop.call_soon(_lag, 3)
    opened = client.async_open(early.address, _call(b""), [])
    async with opened as resp:
        assert resp.status == 200
