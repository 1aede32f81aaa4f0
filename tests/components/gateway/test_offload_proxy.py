"""Tests the proxy between callers and the peers that serve their requests."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import socket

import pytest

from tamarackbridge import core
from tamarackbridge.components.gateway import offload_proxy
from tamarackbridge.helpers import resets
from tests.components.gateway import rig

REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 8\r\n\r\nquestion"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"5\r\nevent\r\n"
END = b"0\r\n\r\n"
DEADLINE_S = 10.0

_PeerHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class _Scene:
    """A caller connection whose request is offloaded to a peer."""

    def __init__(self, port: int, deadline_s: float, most: int = 9) -> None:
        clock = core.SystemClock()
        self.ends: list[offload_proxy.End] = []
        self.proxy = offload_proxy.OffloadProxy(clock, most)
        self.caller, accepted = make_connection()
        self.proxy.open(
            accepted,
            offload_proxy.OffloadedRequest(
                peer=("127.0.0.1", port),
                request=REQUEST,
                deadline=clock.monotonic() + deadline_s,
                make_response=lambda end: end.value.encode(),
                on_end=self.ends.append,
            ),
        )

    async def async_read(self) -> bytes:
        """Returns all bytes that the caller receives."""
        loop = asyncio.get_running_loop()
        received = b""
        while data := await loop.sock_recv(self.caller, 65_536):
            received += data
        return received


def make_connection() -> tuple[socket.socket, socket.socket]:
    """Returns the caller and the router end of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
    for sock in (caller, accepted):
        sock.setblocking(False)
    return caller, accepted


@contextlib.asynccontextmanager
async def async_scene(
    peer: _PeerHandler, deadline_s: float = DEADLINE_S
) -> AsyncIterator[_Scene]:
    server = await asyncio.start_server(peer, "127.0.0.1", 0)
    scene = _Scene(server.sockets[0].getsockname()[1], deadline_s)
    try:
        yield scene
    finally:
        scene.proxy.close()
        scene.caller.close()
        server.close()


async def _async_expect_request(reader: asyncio.StreamReader) -> None:
    assert await reader.readexactly(len(REQUEST)) == REQUEST


async def test_response_is_relayed_unchanged() -> None:
    large_chunk = b"%x\r\n%b\r\n" % (300_000, b"x" * 300_000)

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        for data in (HEAD, EVENT, large_chunk, EVENT, END):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.close()

    async with async_scene(async_peer) as scene:
        received = await scene.async_read()
        assert received == HEAD + EVENT + large_chunk + EVENT + END
        assert scene.ends == [offload_proxy.End.COMPLETE]
        assert len(scene.proxy) == 0


async def test_request_to_unreachable_peer_is_not_sent() -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        scene = _Scene(closed.getsockname()[1], DEADLINE_S)
        assert await scene.async_read() == b"not_sent"
        assert scene.ends == [offload_proxy.End.NOT_SENT]
        scene.caller.close()


async def test_request_beyond_the_limit_is_not_sent() -> None:
    scene = _Scene(1, DEADLINE_S, most=0)
    assert await scene.async_read() == b"not_sent"
    assert scene.ends == [offload_proxy.End.NOT_SENT]
    scene.caller.close()


@pytest.mark.parametrize("aborts", [False, True])
async def test_peer_lost_before_response_ends_request_as_lost(
    aborts: bool,
) -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        if aborts:
            writer.transport.abort()
        writer.close()

    async with async_scene(async_peer) as scene:
        assert await scene.async_read() == b"lost"
        assert scene.ends == [offload_proxy.End.LOST]


async def test_peer_reset_during_response_resets_caller() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(HEAD + EVENT)
        await asyncio.sleep(0.1)
        _reset(writer)

    async with async_scene(async_peer) as scene:
        with pytest.raises(ConnectionResetError):
            await scene.async_read()
        assert scene.ends == [offload_proxy.End.INCOMPLETE]


async def test_silent_peer_is_abandoned_at_deadline() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        await reader.read()
        writer.close()

    async with async_scene(async_peer, deadline_s=0.1) as scene:
        assert await scene.async_read() == b"late"
        assert scene.ends == [offload_proxy.End.TIMED_OUT]


@pytest.mark.parametrize("answered", [False, True])
async def test_caller_close_closes_connection_to_peer(
    answered: bool,
) -> None:
    arrived, ended = asyncio.Event(), asyncio.Event()

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        arrived.set()
        if answered:
            writer.write(HEAD + EVENT)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()
        writer.close()

    async with async_scene(async_peer) as scene:
        await arrived.wait()
        if answered:
            await asyncio.get_running_loop().sock_recv(scene.caller, 65_536)
        scene.caller.close()
        await ended.wait()
        await rig.async_wait_until(
            lambda: scene.ends == [offload_proxy.End.CALLER_LEFT]
        )


async def test_caller_close_after_complete_response_is_no_abort() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(HEAD + EVENT + END)
        writer.close()

    async with async_scene(async_peer) as scene:
        received = b""
        while not received.endswith(END):
            loop = asyncio.get_running_loop()
            received += await loop.sock_recv(scene.caller, 65_536)
        scene.caller.close()
        await rig.async_wait_until(
            lambda: scene.ends == [offload_proxy.End.COMPLETE]
        )


async def test_slow_caller_receives_complete_response() -> None:
    large_body = b"".join(
        b"%x\r\n%b\r\n" % (9_000, b"y" * 9_000) for _ in range(300)
    )

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(HEAD + large_body + END)
        await writer.drain()
        writer.close()

    async with async_scene(async_peer) as scene:
        await asyncio.sleep(0.3)
        assert await scene.async_read() == HEAD + large_body + END
        assert scene.ends == [offload_proxy.End.COMPLETE]


async def test_close_answers_requests_without_response() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        arrived.set()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    arrived = asyncio.Event()
    async with async_scene(async_peer) as scene:
        await arrived.wait()
        scene.proxy.close()
        assert await scene.async_read() == b"lost"


def _reset(writer: asyncio.StreamWriter) -> None:
    resets.reset_on_close(writer.transport)
    writer.transport.abort()


async def test_response_without_end_is_cut_after_the_deadline() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(HEAD)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(EVENT * 6_000)
                await writer.drain()
        writer.close()

    async with async_scene(async_peer, deadline_s=0.05) as scene:
        loop = asyncio.get_running_loop()

        async def async_read_all() -> None:
            while await loop.sock_recv(scene.caller, 65_536):
                pass

        reading = asyncio.create_task(async_read_all())
        try:
            await rig.async_wait_until(lambda: bool(scene.ends))
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
        assert scene.ends == [offload_proxy.End.INCOMPLETE]


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 101 X",
        b"HTTP/1.1 102 X",
        b"HTTP/1.1 2000 X",
        b"HTTP/1.1 2x0 X",
        b"NO-HTTP 200 X",
    ],
)
@pytest.mark.parametrize("part_bytes", [1, 11, 10_000])
async def test_invalid_status_of_a_peer_is_lost(
    part_bytes: int, status_line: bytes
) -> None:
    """Guards against a status that is none, which its caller would get."""
    response = status_line + b"\r\nContent-Length: 5\r\n\r\nevent"

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(response[:part_bytes])
        await asyncio.sleep(0.05)
        writer.write(response[part_bytes:])
        writer.close()

    async with async_scene(async_peer) as scene:
        assert await scene.async_read() == b"lost"
        assert scene.ends == [offload_proxy.End.LOST]


@pytest.mark.parametrize("status", [b"200", b"204", b"404", b"503", b"599"])
async def test_status_of_a_peer_that_comes_in_parts_arrives(
    status: bytes,
) -> None:
    response = b"HTTP/1.1 %b X\r\nConnection: close\r\n\r\n" % status

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        for part in (response[:5], response[5:11], response[11:]):
            writer.write(part)
            await asyncio.sleep(0.03)
        writer.close()

    async with async_scene(async_peer) as scene:
        assert await scene.async_read() == response
        assert scene.ends == [offload_proxy.End.COMPLETE]


async def test_response_that_ends_within_its_status_line_is_lost() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_expect_request(reader)
        writer.write(b"HTTP/1.1 20")
        writer.close()

    async with async_scene(async_peer) as scene:
        assert await scene.async_read() == b"lost"
        assert scene.ends == [offload_proxy.End.LOST]
