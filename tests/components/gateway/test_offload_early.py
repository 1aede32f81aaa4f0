"""Peers that respond while an offloaded request is still being sent to them.

They guard against a part of such a response that ends like a whole one, and
against a whole one that never arrives.
"""

import asyncio
import contextlib
import socket

import pytest

from tamarackbridge import core
from tamarackbridge.components.gateway import offload_proxy
from tamarackbridge.helpers import resets
from tests.components.gateway import test_offload_proxy as proxy_tests

BODY = b"u" * 12_000_000
REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (
    len(BODY),
    BODY,
)
UNMARKED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nevent"


async def _async_proxy(
    response: bytes, leave: str, reads: int
) -> tuple[bytes, offload_proxy.End]:
    """Returns what the caller got, and how the request ended."""
    released = asyncio.Event()

    async def async_peer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for _ in range(reads):
                await reader.read(65_536)
            writer.write(response)
            await asyncio.sleep(0.05 if leave.endswith("later") else 0)
            if leave.startswith("reset"):
                resets.reset_on_close(writer.transport)
            elif leave == "sending-side":
                writer.write_eof()
                while await reader.read(65_536):
                    pass
            elif leave == "stay":
                await released.wait()
            writer.close()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.bind(("127.0.0.1", 0))
    listener = await asyncio.start_server(async_peer, sock=sock)
    clock = core.SystemClock()
    proxy = offload_proxy.OffloadProxy(clock, 9)
    caller, accepted = proxy_tests.make_connection()
    ends: list[offload_proxy.End] = []
    offload = offload_proxy.OffloadedRequest(
        peer=("127.0.0.1", sock.getsockname()[1]),
        request=REQUEST,
        deadline=clock.monotonic() + 2.0,
        make_response=lambda end: end.value.encode(),
        on_end=ends.append,
    )
    received = b""
    async with listener:
        proxy.open(accepted, offload)
        with contextlib.suppress(ConnectionResetError):
            loop = asyncio.get_running_loop()
            while data := await loop.sock_recv(caller, 65_536):
                received += data
                if received == WHOLE:
                    break  # As a caller that knows the length.
        caller.close()
        released.set()
        await asyncio.sleep(0.1)
    proxy.close()
    return received, ends[0]


@pytest.mark.parametrize("reads", [0, 1, 3])
@pytest.mark.parametrize(
    "leave", ["reset", "reset-later", "close", "close-later", "sending-side"]
)
async def test_part_of_an_early_response_of_a_peer_is_no_whole_one(
    leave: str, reads: int
) -> None:
    received, end = await _async_proxy(UNMARKED, leave, reads)
    assert end in (offload_proxy.End.INCOMPLETE, offload_proxy.End.LOST)
    if end is offload_proxy.End.LOST:
        assert received == b"lost"
    else:
        assert UNMARKED.startswith(received)


@pytest.mark.parametrize("reads", [0, 1, 3])
async def test_whole_early_response_of_a_peer_arrives(reads: int) -> None:
    received, _ = await _async_proxy(WHOLE, "stay", reads)
    assert received == WHOLE
