"""How connections end for the other side."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

import pytest

from tamarackbridge.helpers import resets

DATA = b"x" * 100_000


@contextlib.asynccontextmanager
async def _async_connection() -> AsyncIterator[
    tuple[asyncio.WriteTransport, asyncio.StreamReader]
]:
    """Yields a transport with bytes in flight, and the other side's reader."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    reader, far_writer = await asyncio.open_connection(sock=far)
    _, writer = await asyncio.open_connection(sock=near)
    try:
        yield writer.transport, reader
    finally:
        for each in (writer, far_writer):
            each.transport.abort()


async def test_reset_on_close_is_seen_as_a_reset() -> None:
    async with _async_connection() as (transport, reader):
        resets.reset_on_close(transport)
        transport.write(DATA)
        transport.abort()
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_orderly_close_sends_everything() -> None:
    async with _async_connection() as (transport, reader):
        assert not resets.will_reset(transport)
        resets.reset_on_close(transport)
        assert resets.will_reset(transport)
        transport.write(DATA)
        resets.allow_orderly_close(transport)
        assert not resets.will_reset(transport)
        transport.close()
        assert await reader.read() == DATA


async def test_aborted_connection_stays_reset() -> None:
    async with _async_connection() as (transport, reader):
        resets.reset_on_close(transport)
        transport.write(DATA)
        transport.abort()
        resets.allow_orderly_close(transport)
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_closed_connection_is_left_alone() -> None:
    async with _async_connection() as (transport, _):
        transport.abort()
        await asyncio.sleep(0.01)
        resets.allow_orderly_close(transport)


def test_orderly_close_of_a_socket() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    resets.reset_socket(near)
    near.sendall(DATA)
    resets.allow_orderly_close_socket(near)
    near.close()
    received = b""
    while data := far.recv(65_536):
        received += data
    far.close()
    assert received == DATA
