"""Pipes of bytes between callers and the peer that serves them."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import socket

import pytest

from tamarackbridge import core
from tamarackbridge.components.gateway import pipes
from tamarackbridge.helpers import resets
from tests.components.gateway import rig

REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 8\r\n\r\nquestion"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"5\r\nevent\r\n"
END = b"0\r\n\r\n"
DEADLINE_S = 10.0

_Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Scene:
    """A caller whose request is offloaded."""

    def __init__(self, port: int, deadline_s: float, most: int = 9) -> None:
        clock = core.SystemClock()
        self.ends: list[pipes.End] = []
        self.pipes = pipes.Pipes(clock, most)
        self.caller, taken = _connected()
        self.pipes.open(
            taken,
            pipes.Offload(
                peer=("127.0.0.1", port),
                request=REQUEST,
                deadline=clock.monotonic() + deadline_s,
                answer=lambda end: end.value.encode(),
                ended=self.ends.append,
            ),
        )

    async def async_read(self) -> bytes:
        """Returns what the caller gets until the end."""
        loop = asyncio.get_running_loop()
        found = b""
        while data := await loop.sock_recv(self.caller, 65_536):
            found += data
        return found


def _connected() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = socket.create_connection(listening.getsockname())
        taken, _ = listening.accept()
    for sock in (caller, taken):
        sock.setblocking(False)
    return caller, taken


@contextlib.asynccontextmanager
async def _async_scene(
    peer: _Peer, deadline_s: float = DEADLINE_S
) -> AsyncIterator[_Scene]:
    server = await asyncio.start_server(peer, "127.0.0.1", 0)
    scene = _Scene(server.sockets[0].getsockname()[1], deadline_s)
    try:
        yield scene
    finally:
        scene.pipes.close()
        scene.caller.close()
        server.close()


async def _async_request(reader: asyncio.StreamReader) -> None:
    assert await reader.readexactly(len(REQUEST)) == REQUEST


async def test_answer_is_passed_on_byte_for_byte() -> None:
    big = b"%x\r\n%b\r\n" % (300_000, b"x" * 300_000)

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        for piece in (HEAD, EVENT, big, EVENT, END):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.close()

    async with _async_scene(async_peer) as scene:
        got = await scene.async_read()
        assert got == HEAD + EVENT + big + EVENT + END
        assert scene.ends == [pipes.End.WHOLE]
        assert len(scene.pipes) == 0


async def test_peer_that_takes_no_connection_has_not_run_the_request() -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        scene = _Scene(closed.getsockname()[1], DEADLINE_S)
        assert await scene.async_read() == b"not_sent"
        assert scene.ends == [pipes.End.NOT_SENT]
        scene.caller.close()


async def test_request_beyond_the_most_pipes_has_not_run() -> None:
    scene = _Scene(1, DEADLINE_S, most=0)
    assert await scene.async_read() == b"not_sent"
    assert scene.ends == [pipes.End.NOT_SENT]
    scene.caller.close()


@pytest.mark.parametrize("aborts", [False, True])
async def test_peer_lost_before_its_answer_may_have_run_the_request(
    aborts: bool,
) -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        if aborts:
            writer.transport.abort()
        writer.close()

    async with _async_scene(async_peer) as scene:
        assert await scene.async_read() == b"lost"
        assert scene.ends == [pipes.End.LOST]


async def test_peer_reset_during_its_answer_resets_the_caller() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        writer.write(HEAD + EVENT)
        await asyncio.sleep(0.1)
        _reset(writer)

    async with _async_scene(async_peer) as scene:
        with pytest.raises(ConnectionResetError):
            await scene.async_read()
        assert scene.ends == [pipes.End.CUT]


async def test_silent_peer_is_given_up_at_the_deadline() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        await reader.read()
        writer.close()

    async with _async_scene(async_peer, deadline_s=0.1) as scene:
        assert await scene.async_read() == b"late"
        assert scene.ends == [pipes.End.LATE]


@pytest.mark.parametrize("answered", [False, True])
async def test_caller_that_left_ends_the_work_of_the_peer(
    answered: bool,
) -> None:
    arrived, ended = asyncio.Event(), asyncio.Event()

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        arrived.set()
        if answered:
            writer.write(HEAD + EVENT)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()
        writer.close()

    async with _async_scene(async_peer) as scene:
        await arrived.wait()
        if answered:
            await asyncio.get_running_loop().sock_recv(scene.caller, 65_536)
        scene.caller.close()
        await ended.wait()
        await rig.async_wait_until(lambda: scene.ends == [pipes.End.LEFT])


async def test_caller_that_closes_after_the_whole_answer_has_not_left() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        writer.write(HEAD + EVENT + END)
        writer.close()

    async with _async_scene(async_peer) as scene:
        got = b""
        while not got.endswith(END):
            loop = asyncio.get_running_loop()
            got += await loop.sock_recv(scene.caller, 65_536)
        scene.caller.close()
        await rig.async_wait_until(lambda: scene.ends == [pipes.End.WHOLE])


async def test_slow_caller_loses_nothing() -> None:
    many = b"".join(b"%x\r\n%b\r\n" % (9_000, b"y" * 9_000) for _ in range(300))

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        writer.write(HEAD + many + END)
        await writer.drain()
        writer.close()

    async with _async_scene(async_peer) as scene:
        await asyncio.sleep(0.3)
        assert await scene.async_read() == HEAD + many + END
        assert scene.ends == [pipes.End.WHOLE]


async def test_closing_all_answers_those_without_an_answer() -> None:
    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _async_request(reader)
        arrived.set()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    arrived = asyncio.Event()
    async with _async_scene(async_peer) as scene:
        await arrived.wait()
        scene.pipes.close()
        assert await scene.async_read() == b"lost"


def _reset(writer: asyncio.StreamWriter) -> None:
    resets.reset_on_close(writer.transport)
    writer.transport.abort()
