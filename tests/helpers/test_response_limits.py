"""Limits on the bytes of a response, on a client's connection."""

import asyncio
import contextlib

import aiohttp
import pytest

from tamarackbridge.helpers import response_limits, response_memory

HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def _connection() -> response_limits.BoundedProtocol:
    conn = response_limits.BoundedProtocol(asyncio.get_running_loop())
    conn.connection_made(asyncio.Transport())
    conn.set_response_params(read_bufsize=256 * 1024)
    return conn


async def test_unparsed_small_chunks_do_not_exceed_the_limit() -> None:
    """Guards against an error on a valid response of many small chunks.

    More chunks arrive at once than the parser accepts before they are read, so
    they are counted as received but not yet as part of the body.
    """
    contents = [b"%04d" % (number % 10_000) for number in range(40_000)]
    chunks = b"".join(b"4\r\n%b\r\n" % content for content in contents)
    conn = _connection()
    conn.data_received(HEAD + chunks + b"0\r\n\r\n")
    _, body = await conn.read()
    assert await body.read() == b"".join(contents)


async def test_next_request_resets_the_count() -> None:
    conn = _connection()
    head = HEAD.replace(b"\r\n\r\n", b"\r\nX: " + b"y" * 8_000 + b"\r\n\r\n")
    for _ in range(2 * response_limits.MAX_FRAMING_BYTES // len(head)):
        conn.set_response_params()
        conn.data_received(head + b"0\r\n\r\n")
        _, body = await conn.read()
        assert await body.read() == b""
    assert not conn.should_close


async def test_one_read_of_many_connections_is_small() -> None:
    """Guards against the memory that all connections read at one time."""
    sizes = []

    class RecordingProtocol(response_limits.BoundedProtocol):
        def data_received(self, data: bytes) -> None:
            sizes.append(len(data))
            super().data_received(data)

    async def async_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2000000\r\n\r\n")
        writer.write(b"y" * 2_000_000)
        writer.close()

    server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connector = aiohttp.TCPConnector()
    response_limits.bind(connector, RecordingProtocol)
    async with server, aiohttp.ClientSession(connector=connector) as session:
        async with session.get(f"http://127.0.0.1:{port}/") as resp:
            assert len(await resp.read()) == 2_000_000
    assert max(sizes) <= 16 * 1024


def test_responses_without_end_leave_room_for_an_ordinary_one() -> None:
    max_bytes = 28 * 1024 * 1024
    budget = response_memory.MemoryBudget(max_bytes)
    with contextlib.ExitStack() as stack:
        growing = {stack.enter_context(budget.reserve()): 0 for _ in range(400)}
        while growing:
            for reservation in list(growing):
                growing[reservation] += response_limits.RECEIVE_BYTES
                try:
                    reservation.resize(growing[reservation])
                except response_memory.ResponseLimitError:
                    del growing[reservation]  # Holds its memory until the end.
        assert 0 < budget.left < max_bytes
        stack.enter_context(budget.reserve()).resize(32 * 1024)
    assert budget.left == max_bytes


def test_one_response_may_use_most_of_the_budget() -> None:
    budget = response_memory.MemoryBudget(3_000_000)
    with budget.reserve() as reservation:
        reservation.resize(2_000_000)
        with pytest.raises(response_memory.ResponseLimitError):
            reservation.resize(2_100_000)
        reservation.resize(100)
        assert budget.left == 3_000_000


async def test_own_close_is_no_end_of_an_unmarked_response() -> None:
    """Guards against a client that takes its own close for the server's."""

    async def async_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\n\r\na part")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connector = aiohttp.TCPConnector()
    response_limits.bind(connector)
    async with server, aiohttp.ClientSession(connector=connector) as session:
        resp = await session.get(f"http://127.0.0.1:{port}/")
        assert await resp.content.readany() == b"a part"
        await session.close()
        assert await resp.content.read() == b""
        assert response_limits.ended_by_reset(resp)
