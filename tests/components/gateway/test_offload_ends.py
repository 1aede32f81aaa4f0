"""What a caller sees of the end of a response that a peer gives.

The responses have neither a length nor chunks, so that nothing but the close of
the connection tells a caller that it has everything.
"""

import asyncio
import socket
import sys

import pytest

from tamarackbridge.components.gateway import offload_proxy
from tamarackbridge.helpers import resets
from tests.components.gateway import test_offload_proxy as proxy_tests

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
EVENT = b"data: event\n\n"
LARGE = b"data: %b\n\n" % (b"x" * 2_000_000)


class _Peer:
    """A peer that sends a part of a response and waits.

    Attributes:
        closed: Set after it has closed its connection in order.
    """

    def __init__(self, part: bytes) -> None:
        self.closed = asyncio.Event()
        self._part = part
        self._may_close = asyncio.Event()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._part)
            await self._may_close.wait()
            writer.close()
            await writer.wait_closed()
            self.closed.set()
        finally:
            writer.transport.abort()

    async def async_close(self) -> None:
        self._may_close.set()
        await self.closed.wait()


async def _async_read(caller: socket.socket, size: int) -> bytes:
    loop = asyncio.get_running_loop()
    received = b""
    while len(received) < size:
        received += await loop.sock_recv(caller, size - len(received))
    return received


async def test_killed_router_resets_the_caller_of_an_offloaded_request() -> (
    None
):
    """Guards against the death of a router that looks like an end."""
    peer = _Peer(HEAD + EVENT)
    server = await asyncio.start_server(peer.async_serve, "127.0.0.1", 0)
    caller, accepted = proxy_tests.make_connection()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.components.gateway.offload_process",
        str(accepted.fileno()),
        str(server.sockets[0].getsockname()[1]),
        pass_fds=(accepted.fileno(),),
    )
    accepted.close()
    try:
        async with asyncio.timeout(30):
            received = await _async_read(caller, len(HEAD + EVENT))
            assert received == HEAD + EVENT
            process.kill()
            with pytest.raises(ConnectionResetError):
                await asyncio.get_running_loop().sock_recv(caller, 1)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        caller.close()
        server.close()


async def test_peer_that_closes_in_order_ends_the_response_in_order() -> None:
    peer = _Peer(HEAD + EVENT)
    async with proxy_tests.async_scene(peer.async_serve) as scene:
        received = await _async_read(scene.caller, len(HEAD + EVENT))
        await peer.async_close()
        assert received + await scene.async_read() == HEAD + EVENT
        assert scene.ends == [offload_proxy.End.COMPLETE]


async def test_orderly_end_keeps_what_the_caller_has_not_read() -> None:
    peer = _Peer(HEAD + LARGE)
    async with proxy_tests.async_scene(peer.async_serve) as scene:
        closing = asyncio.create_task(peer.async_close())
        await asyncio.sleep(0.2)
        assert await scene.async_read() == HEAD + LARGE
        await closing
        assert scene.ends == [offload_proxy.End.COMPLETE]


async def test_shutdown_resets_the_caller_of_a_response_in_progress() -> None:
    peer = _Peer(HEAD + EVENT)
    async with proxy_tests.async_scene(peer.async_serve) as scene:
        await _async_read(scene.caller, len(HEAD + EVENT))
        scene.proxy.close()
        with pytest.raises(ConnectionResetError):
            await scene.async_read()
        assert scene.ends == [offload_proxy.End.INCOMPLETE]


async def test_shutdown_does_not_cut_a_response_that_its_peer_has_ended() -> (
    None
):
    """Guards against a whole response that is reset as the router stops."""
    peer = _Peer(HEAD + EVENT)
    async with proxy_tests.async_scene(peer.async_serve) as scene:
        received = await _async_read(scene.caller, len(HEAD + EVENT))
        await peer.async_close()
        scene.proxy.close()
        assert received + await scene.async_read() == HEAD + EVENT
        assert scene.ends == [offload_proxy.End.COMPLETE]


async def test_caller_that_only_stops_sending_is_told_of_the_cut() -> None:
    """Guards against an end for a caller that still reads.

    A caller that closes its sending side counts as gone.
    """
    peer = _Peer(HEAD + EVENT)
    async with proxy_tests.async_scene(peer.async_serve) as scene:
        await _async_read(scene.caller, len(HEAD + EVENT))
        scene.caller.shutdown(socket.SHUT_WR)
        with pytest.raises(ConnectionResetError):
            await scene.async_read()
        assert scene.ends == [offload_proxy.End.CALLER_LEFT]


async def test_peer_that_resets_ends_the_response_after_its_last_event() -> (
    None
):
    """A peer resets a stream that nothing confirms; all of it has arrived."""
    response = HEAD + 10 * (b"data: %b\n\n" % (b"x" * 10_000))

    async def _async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        while resets.has_unsent(writer.transport):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        resets.reset_on_close(writer.transport)
        writer.transport.abort()

    async with proxy_tests.async_scene(_async_serve) as scene:
        scene.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.sleep(0.3)
        received = await _async_read(scene.caller, len(response))
        assert received == response
        with pytest.raises(ConnectionResetError):
            await asyncio.get_running_loop().sock_recv(scene.caller, 1)
