"""Servers that respond while the request is still being sent to them.

They guard against a part of such a response that its caller takes for a whole
one: the connection's end may be read before the error of the upload, or the
error of the upload may hide it.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import enum
import socket

import pytest

from standins import base
from tamarackbridge.helpers import resets
from tests.components.gateway import raw_caller, rig

BODY = b"u" * 12_000_000
"""More than the kernel's buffers of both ends take."""

READ_BYTES = 65_536
EVENT = b"id: 0\ndata: piece 0\n\n"
END = raw_caller.End
VERSIONS = pytest.mark.parametrize("version", ["1.1", "1.0"])


class Framing(enum.Enum):
    """Framing of a response of which one event is sent."""

    UNMARKED = b"Connection: close"
    CHUNKED = b"Transfer-Encoding: chunked"
    LENGTH = b"Content-Length: 4000"
    """Not filled."""


class Leave(enum.Enum):
    """How the server leaves the connection after a part of its response."""

    RESET_AT_ONCE = enum.auto()
    RESET_AFTER_HEAD = enum.auto()
    """Sends the event in the same moment in which it resets."""
    RESET_LATER = enum.auto()
    CLOSE = enum.auto()
    """The kernel resets, as the server has not read all."""
    CLOSE_LATER = enum.auto()
    CLOSE_SENDING_SIDE = enum.auto()
    """Reads on, after an orderly end of its response."""
    CLOSE_SENDING_SIDE_AND_LEAVE = enum.auto()


_Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class _Server:
    """A server that runs a script for each request.

    Attributes:
        requests: Heads of the requests that arrived.
        serving: Tasks of its connections.
    """

    def __init__(self, script: _Script) -> None:
        self.requests: list[bytes] = []
        self.serving: set[asyncio.Task[None]] = set()
        self._script = script

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        base.track_current_task(self.serving)
        with (
            contextlib.closing(writer.transport),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /report"):
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests.append(head)
                await self._script(reader, writer)


@contextlib.asynccontextmanager
async def _async_scene(
    script: _Script,
) -> AsyncIterator[tuple[rig.Environment, _Server]]:
    """Yields a router whose only server runs a script."""
    server = _Server(script)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.bind(("127.0.0.1", 0))
    listener = await asyncio.start_server(
        server.async_serve, sock=sock, limit=READ_BYTES
    )
    spec = {
        "service": "app",
        "address": f"127.0.0.1:{sock.getsockname()[1]}",
        "zone": "z1",
        "slots": 6,
        "state": "ready",
    }
    limits = {**rig.LIMITS, "max_body_bytes": len(BODY)}
    config = {**rig.CONFIGURATION, "version": 2, "limits": limits}
    async with listener, rig.async_environment(servers=0) as env:
        await env.store.async_put("servers", "i-raw", spec)
        await env.store.async_put("config", "main", config)
        await env.async_wait_for_configuration(2)
        await rig.async_wait_until(
            lambda: "i-raw" in env.router._local_copy.servers
        )
        yield env, server
        await base.async_cancel(server.serving)


def _head(framing: bytes, content_type: bytes = b"text/event-stream") -> bytes:
    return (
        b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
        b"Content-Type: %b\r\n%b\r\n\r\n" % (content_type, framing)
    )


def _cutting(
    framing: Framing,
    leave: Leave,
    reads: int,
    content_type: bytes = b"text/event-stream",
) -> _Script:
    """Returns a script that responds in part after some reads."""

    async def async_run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(reads):
            await reader.read(READ_BYTES)
        writer.write(_head(framing.value, content_type))
        if leave is Leave.RESET_AFTER_HEAD:
            await asyncio.sleep(0.02)
        if framing is Framing.CHUNKED:
            writer.write(b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
        else:
            writer.write(EVENT)
        if leave in (Leave.RESET_LATER, Leave.CLOSE_LATER):
            await asyncio.sleep(0.05)
        if leave in (Leave.CLOSE, Leave.CLOSE_LATER):
            writer.close()
            return
        if leave is Leave.CLOSE_SENDING_SIDE:
            writer.write_eof()
            while await reader.read(READ_BYTES):
                pass
            return
        if leave is Leave.CLOSE_SENDING_SIDE_AND_LEAVE:
            writer.write_eof()
            await asyncio.sleep(0.02)
        resets.reset_on_close(writer.transport)
        writer.transport.abort()

    return async_run


@VERSIONS
@pytest.mark.parametrize("reads", [0, 1, 3])
@pytest.mark.parametrize("leave", Leave)
@pytest.mark.parametrize("framing", Framing)
async def test_part_of_an_early_response_is_no_whole_response(
    framing: Framing, leave: Leave, reads: int, version: str
) -> None:
    async with _async_scene(_cutting(framing, leave, reads)) as (env, server):
        plain = await raw_caller.async_send(env, "/pay/1", version, body=BODY)
        assert plain.status == 502
        assert len(server.requests) == 1
        stream = await raw_caller.async_send(
            env, "/stream/1", version, body=BODY
        )
        assert len(server.requests) == 2
    assert stream.status in (200, 502)
    assert stream.status == 502 or EVENT.startswith(stream.body)
    assert stream.status == 502 or stream.end in (END.RESET, END.CLOSED)
    assert not stream.is_unmarked or stream.end is END.RESET


@pytest.mark.parametrize("leave", Leave)
async def test_part_of_an_early_plain_response_is_lost(leave: Leave) -> None:
    """Its type is no stream's, so that an unmarked one may be complete."""

    script = _cutting(Framing.UNMARKED, leave, 1, b"text/plain")
    async with _async_scene(script) as (env, server):
        got = await raw_caller.async_send(env, "/pay/1", body=BODY)
        assert got.status == 502
        assert len(server.requests) == 1


@pytest.mark.parametrize("leave", Leave)
async def test_upload_in_chunks_changes_nothing(leave: Leave) -> None:
    script = _cutting(Framing.UNMARKED, leave, 1)
    async with _async_scene(script) as (env, server):
        got = await raw_caller.async_send(
            env, "/pay/1", body=BODY, is_chunked=True
        )
        assert got.status == 502
        assert len(server.requests) == 1


async def test_upload_that_is_not_filled_reaches_no_server() -> None:
    """A request is sent to a server only once its body is complete."""
    script = _cutting(Framing.UNMARKED, Leave.CLOSE, 0)
    async with _async_scene(script) as (env, server):
        address = env.cfg.callers
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            f"POST /pay/1 HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Request-Id: q1\r\n"
            f"X-Api-Key: {rig.KEY}\r\nX-Deadline-Ms: 3000\r\n"
            "Content-Length: 900000\r\n\r\nquestion".encode()
        )
        writer.write_eof()
        received = await reader.read()
        writer.close()
        assert not received.startswith(b"HTTP/1.1 200")
        assert server.requests == []


@VERSIONS
@pytest.mark.parametrize("reads_on", [False, True])
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("path", ["/pay/1", "/stream/1"])
async def test_whole_early_response_arrives(
    path: str, is_chunked: bool, reads_on: bool, version: str
) -> None:
    """The rest of the upload must not be taken for the next request."""

    async def async_run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received = await reader.read(READ_BYTES)
        if is_chunked:
            writer.write(_head(b"Transfer-Encoding: chunked"))
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT))
        else:
            writer.write(_head(b"Content-Length: %d" % len(EVENT)) + EVENT)
        if not reads_on:
            await has_ended.wait()
            writer.transport.abort()
            return
        await reader.readexactly(len(body) - len(received))

    has_ended = asyncio.Event()
    smuggled = b"POST /smuggled HTTP/1.1\r\nX-Request-Id: q9\r\n\r\n"
    body = BODY[: -len(smuggled)] + smuggled
    async with _async_scene(async_run) as (env, server):
        for _ in range(2):
            got = await raw_caller.async_send(env, path, version, body=body)
            assert (got.status, got.body) == (200, EVENT)
            assert got.end is not END.RESET
        has_ended.set()
        assert len(server.requests) == 2
        assert not any(b"smuggled" in head for head in server.requests)
