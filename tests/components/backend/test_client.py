"""HTTP client for backend servers of the product's own interface."""

import asyncio

from tamarackbridge.components.backend import client
from tests.components.gateway import rig

MAX_READ_AHEAD_BYTES = 64 * 1024


async def test_little_of_a_response_that_is_not_read_is_held() -> None:
    """Guards against the memory that the streams of slow callers take."""

    async def async_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 8000000\r\n\r\n")
        writer.write(b"y" * 8_000_000)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with (
        listener,
        client.BackendClient() as backend,
        backend.async_open("GET", f"{host}:{port}", "/x", {}, b"") as resp,
    ):
        conn = resp.connection
        assert conn is not None
        transport = conn.transport
        assert isinstance(transport, asyncio.ReadTransport)
        await rig.async_wait_until(lambda: not transport.is_reading())
        assert resp.content.total_bytes <= MAX_READ_AHEAD_BYTES

        size = 0
        async for data in resp.content.iter_any():
            size += len(data)
        assert size == 8_000_000
