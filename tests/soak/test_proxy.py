"""How the links of the soak test end connections."""

import asyncio
import contextlib
import socket
import struct

import pytest

from soak import proxy
from tests.components.gateway import rig


async def _async_answer_and_reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readline()
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _async_wait_for_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


async def test_reset_of_the_target_is_passed_on_as_a_reset() -> None:
    server = await asyncio.start_server(_async_answer_and_reset, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, proxy.Proxy(f"127.0.0.1:{port}") as link:
        host, _, front = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(front))
        writer.write(b"question\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_connections_are_closed_in_good_order_while_it_listens() -> None:
    server = await asyncio.start_server(_async_wait_for_close, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, proxy.Proxy(f"127.0.0.1:{port}") as link:
        host, _, front = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(front))
        await rig.async_wait_until(lambda: link.connections == 1)
        link.close_connections()
        assert await reader.read() == b""
        writer.close()
        reader, writer = await asyncio.open_connection(host, int(front))
        await rig.async_wait_until(lambda: link.connections == 1)
        writer.close()


async def test_crash_closes_in_good_order_and_refuses_connections() -> None:
    server = await asyncio.start_server(_async_wait_for_close, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, proxy.Proxy(f"127.0.0.1:{port}") as link:
        host, _, front = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(front))
        await rig.async_wait_until(lambda: link.connections == 1)
        link.crash()
        assert not link.is_listening
        assert await reader.read() == b""
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(front))
        await link.async_listen()
        reader, writer = await asyncio.open_connection(host, int(front))
        await rig.async_wait_until(lambda: link.connections == 1)
        writer.close()
        assert await reader.read() == b""
        await rig.async_wait_until(lambda: link.connections == 0)
