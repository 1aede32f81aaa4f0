"""Connections to backend servers that behave as aiohttp does not expect."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import os
import time

import pytest

from tamarackbridge.components.gateway import models, request_body, servers

BODY = bytes(range(256)) * 32_768
"""A body larger than the socket buffers of a server that does not read."""

READ_DELAY_S = 0.05


class EarlyServer:
    """Responds before it has read the body, and reads the body later."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.first_lines: list[bytes] = []
        self.address = ""

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.first_lines.append(head.partition(b"\r\n")[0])
                length = head.lower().partition(b"content-length: ")[2]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                )
                await asyncio.sleep(READ_DELAY_S)
                size = int(length.partition(b"\r\n")[0])
                self.bodies.append(await reader.readexactly(size))


@pytest.fixture
async def early_server() -> AsyncIterator[EarlyServer]:
    server = EarlyServer()
    listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server.address = f"127.0.0.1:{port}"
    yield server
    listener.close()


@pytest.fixture
async def client() -> AsyncIterator[servers.ServerClient]:
    server_client = servers.ServerClient()
    await server_client.on_start()
    yield server_client
    await server_client.on_stop()


def _request(body: bytes) -> models.Request:
    return models.Request(
        "q1",
        "POST",
        "a",
        "/x/1",
        (),
        "",
        12.0,
        100,
        10,
        0,
        (),
        "",
        request_body.RequestBody(body),
    )


async def test_next_request_is_not_sent_into_an_unfinished_body(
    early_server: EarlyServer, client: servers.ServerClient
) -> None:
    for _ in range(3):
        response_context = client.async_open(
            early_server.address, _request(BODY), []
        )
        async with response_context as resp:
            assert await resp.read() == b"done"
    await asyncio.sleep(2 * READ_DELAY_S)
    assert set(early_server.first_lines) == {b"POST /x/1 HTTP/1.1"}
    assert len(early_server.first_lines) == 3
    assert all(body == BODY for body in early_server.bodies)


STALE = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


async def test_unread_data_is_not_the_response_to_the_next_request(
    client: servers.ServerClient,
) -> None:
    """A busy event loop has not yet read data that arrived while idle."""
    sockets: list[int] = []

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sockets.append(writer.get_extra_info("socket").fileno())
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                )

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    for _ in range(2):
        async with client.async_open(address, _request(b""), ()) as resp:
            assert await resp.read() == b"done"
    assert len(sockets) == 1
    os.write(sockets[0], STALE)
    # The event loop of the client has not run since the server sent it.
    async with client.async_open(address, _request(b""), ()) as resp:
        assert resp.status == 200
        assert await resp.read() == b"done"
    assert len(sockets) == 2
    listener.close()


async def test_invalid_keep_alive_timeout_is_ignored(
    client: servers.ServerClient,
) -> None:
    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
        writer.write(head + b"Keep-Alive: timeout=" + b"9" * 5000)
        writer.write(b"\r\n\r\n")
        await asyncio.sleep(READ_DELAY_S)  # Sends the head separately.
        writer.write(b"done")
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    async with client.async_open(address, _request(b""), ()) as resp:
        assert await resp.read() == b"done"
    listener.close()


async def test_lag_of_the_router_is_not_a_connect_timeout(
    early_server: EarlyServer, client: servers.ServerClient
) -> None:
    loop = asyncio.get_running_loop()

    def _block(passes: int) -> None:
        time.sleep(1.2 * servers.CONNECT_TIMEOUT_S)
        if passes > 1:
            loop.call_soon(_block, passes - 1)

    loop.call_soon(_block, 3)
    response_context = client.async_open(
        early_server.address, _request(b""), []
    )
    async with response_context as resp:
        assert resp.status == 200


async def test_lag_of_the_router_does_not_fail_a_connection_check(
    early_server: EarlyServer, client: servers.ServerClient
) -> None:
    def _block(passes: int) -> None:
        time.sleep(1.2 * servers.CONNECT_TIMEOUT_S)
        if passes > 1:
            asyncio.get_running_loop().call_soon(_block, passes - 1)

    asyncio.get_running_loop().call_soon(_block, 3)
    check = await client.async_check_connection(early_server.address)
    assert check is servers.ConnectionCheck.ACCEPTED
