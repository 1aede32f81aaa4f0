"""What callers may send on a connection, byte for byte."""

import asyncio
from collections.abc import Callable
import socket
import types
from typing import cast

from aiohttp import web
import pytest

from standins import platform_server
from tamarackbridge.components.entry import connection
from tamarackbridge.components.gateway import caller as gateway_caller
from tamarackbridge.components.gateway import drain, strain
from tests.components.gateway import place

HEAD = f"Host: {place.HOST}\r\nX-Request-Id: q1\r\nX-Api-Key: {place.KEY}\r\n"


class Caller:
    """A bare connection to a router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def async_answer(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        pairs = (line.partition(": ") for line in lines)
        headers = {name.lower(): value for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        body = await self.reader.readexactly(length)
        return int(first.split(" ")[1]), headers, body


async def _async_caller(here: place.Place) -> Caller:
    cfg = here.cfg.callers
    return Caller(*await asyncio.open_connection(cfg.host, cfg.port))


async def test_body_in_chunks_arrives_whole() -> None:
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        caller.writer.write(
            f"POST /pay/1 HTTP/1.1\r\n{HEAD}"
            "Transfer-Encoding: chunked\r\n\r\n"
            "4\r\nques\r\n4\r\ntion\r\n0\r\n\r\n".encode()
        )
        status, _, body = await caller.async_answer()
        assert (status, body) == (200, b"answer to q1")
        assert here.servers[0].seen[0].body == b"question"
        caller.writer.close()


async def _async_read_old(here: place.Place) -> bytes:
    """Returns what a caller that speaks HTTP/1.0 gets of a stream."""
    caller = await _async_caller(here)
    caller.writer.write(f"POST /stream/1 HTTP/1.0\r\n{HEAD}\r\n".encode())
    try:
        return await caller.reader.read(-1)
    finally:
        caller.writer.close()


async def test_stream_of_an_old_caller_ends_with_its_connection() -> None:
    async with place.async_place(servers=1) as here:
        head, _, body = (await _async_read_old(here)).partition(b"\r\n\r\n")
        assert head.split(b"\r\n")[0].split(b" ")[1] == b"200"
        assert b"chunked" not in head.lower()
        assert body == (await here.async_send("/stream/1")).body


async def test_cut_stream_of_an_old_caller_ends_with_a_reset() -> None:
    async with place.async_place(servers=1) as here:
        here.set_fault(platform_server.Fault.CUT_EVENT)
        with pytest.raises(ConnectionResetError):
            await _async_read_old(here)


async def test_body_that_waits_for_leave_gets_it() -> None:
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        caller.writer.write(
            f"POST /pay/1 HTTP/1.1\r\n{HEAD}"
            "Content-Length: 8\r\nExpect: 100-continue\r\n\r\n".encode()
        )
        status, _, _ = await caller.async_answer()
        assert status == 100
        caller.writer.write(b"question")
        status, _, body = await caller.async_answer()
        assert (status, body) == (200, b"answer to q1")
        assert "Expect" not in here.servers[0].seen[0].headers
        caller.writer.close()


async def test_requests_on_one_connection_are_answered_in_order() -> None:
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        for number in range(3):
            head = HEAD.replace("q1", f"q{number}")
            caller.writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n".encode())
        bodies = [(await caller.async_answer())[2] for _ in range(3)]
        assert bodies == [b"answer to q0", b"answer to q1", b"answer to q2"]
        caller.writer.close()


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (f"GET /read/1 HTTP/1.1\r\nHost: {place.HOST}\r\n\r\n", 400),
        ("this is no request\r\n\r\n", 400),
        (f"GET /read/1 HTTP/1.1\r\n{HEAD}X: {'y' * 20_000}\r\n\r\n", 431),
    ],
)
async def test_what_can_not_be_read_is_refused(sent: str, status: int) -> None:
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        caller.writer.write(sent.encode())
        assert (await caller.async_answer())[0] == status
        assert here.ran() == []
        caller.writer.close()


async def test_header_that_does_not_end_is_given_up() -> None:
    async with place.async_place(servers=1) as here:
        limits = {**place.LIMITS, "header_timeout_ms": 100}
        cfg = {**place.CONFIGURATION, "version": 2, "limits": limits}
        await here.store.async_put("config", "main", cfg)
        await here.async_until_version(2)
        caller = await _async_caller(here)
        caller.writer.write(b"GET /read/1 HTTP/1.1\r\nHost:")
        assert (await caller.async_answer())[0] == 408
        assert await caller.reader.read() == b""
        caller.writer.close()


async def test_connection_may_wait_longer_than_a_header_may_take() -> None:
    async with place.async_place(servers=1) as here:
        limits = {**place.LIMITS, "header_timeout_ms": 50}
        cfg = {**place.CONFIGURATION, "version": 2, "limits": limits}
        await here.store.async_put("config", "main", cfg)
        await here.async_until_version(2)
        caller = await _async_caller(here)
        await asyncio.sleep(0.2)
        caller.writer.write(f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        assert (await caller.async_answer())[0] == 200
        caller.writer.close()


async def test_answers_close_their_connections_in_a_shutdown() -> None:
    async with place.async_place(servers=1) as here:
        here.begin_shutdown()
        caller = await _async_caller(here)
        caller.writer.write(f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        status, headers, _ = await caller.async_answer()
        assert (status, headers["connection"]) == (200, "close")
        assert (await here.async_ready()) == 503
        caller.writer.close()


def _begin_strain(here: place.Place) -> None:
    meter = strain.LagMeter()
    meter.strained = True
    here.router._gateway._meter = meter


@pytest.mark.parametrize("begin", [place.Place.begin_shutdown, _begin_strain])
async def test_connection_closes_only_after_an_answer_that_says_so(
    begin: Callable[[place.Place], None],
) -> None:
    """A caller whose answer began before sends its next request at once."""
    async with place.async_place(servers=1) as here:
        here.servers[0].pace_s = 0.02
        caller = await _async_caller(here)
        caller.writer.write(f"GET /stream/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert b"close" not in head.lower()
        begin(here)
        await caller.reader.readuntil(b"\r\n0\r\n\r\n")
        caller.writer.write(f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        status, headers, _ = await caller.async_answer()
        assert (status, headers["connection"]) == (200, "close")
        assert await caller.reader.read() == b""
        caller.writer.close()


async def test_zone_that_is_taken_out_gets_no_new_work() -> None:
    async with place.async_place(servers=2) as here:
        await here.store.async_put("evacuations", "z1", {})
        await here.async_until_status("/read/1", 503)
        ran = len(here.ran())
        for number in range(5):
            got = await here.async_send("/read/1", request_id=f"z{number}")
            assert got.status == 503
        assert len(here.ran()) == ran
        await here.store.async_remove("evacuations", "z1")
        await here.async_until_status("/read/1", 200)


async def test_draining_server_gets_no_new_work() -> None:
    async with place.async_place(servers=2) as here:
        leaving = here.servers[0]
        await here.async_drain(leaving.name)
        before = len(leaving.seen)
        for number in range(6):
            got = await here.async_send("/read/1", request_id=f"d{number}")
            assert got.status == 200
        assert len(leaving.seen) == before


async def test_no_connection_is_taken_that_nobody_will_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller that connects at the end is turned away, not left waiting."""
    monkeypatch.setattr(drain, "NOTICE_S", 0.01)
    monkeypatch.setattr(drain, "QUIET_S", 0.01)
    monkeypatch.setattr(drain, "LISTEN_S", 0.01)
    async with place.async_place(servers=1) as here:
        await drain.async_drain(
            here.router._gateway,
            here.router._clock,
            8.0,
            here.router._sharing.async_leave,
        )
        with pytest.raises(ConnectionRefusedError):
            await _async_caller(here)


async def test_request_on_its_way_is_answered_in_a_shutdown() -> None:
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        request = f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode()
        caller.writer.write(request[:20])
        counts = here.router._gateway.connections
        await place.async_until(lambda: counts.open == 1)
        await asyncio.sleep(0.05)
        here.begin_shutdown()
        here.router.close_idle()
        caller.writer.write(request[20:])
        status, headers, _ = await caller.async_answer()
        assert (status, headers["connection"]) == (200, "close")
        caller.writer.close()


async def test_caller_that_left_is_known_before_the_loop_hears_of_it() -> None:
    """A busy event loop reads the end of a connection late."""
    accepted: asyncio.Queue[asyncio.BaseTransport] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda _, writer: accepted.put_nowait(writer.transport), "127.0.0.1", 0
    )
    address = server.sockets[0].getsockname()
    with socket.create_connection(address):
        transport = await accepted.get()
        req = types.SimpleNamespace(transport=transport)
        assert not gateway_caller.has_left(cast(web.BaseRequest, req))
    # Nothing has run since the caller closed its side.
    assert not transport.is_closing()
    assert gateway_caller.has_left(cast(web.BaseRequest, req))
    transport.close()
    server.close()


async def test_connections_that_wait_when_the_listener_closes_are_served() -> (
    None
):
    """At a shutdown the kernel has made some that nobody has taken yet."""
    async with place.async_place(servers=1) as here:
        cfg = here.cfg.callers
        waiting = [
            socket.create_connection((cfg.host, cfg.port)) for _ in range(5)
        ]
        here.router._gateway.close_listener()
        for number, sock in enumerate(waiting):
            reader, writer = await asyncio.open_connection(sock=sock)
            head = HEAD.replace("q1", f"q{number}")
            writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n".encode())
            status, _, body = await Caller(reader, writer).async_answer()
            assert (status, body) == (200, f"answer to q{number}".encode())
            writer.close()
        with pytest.raises(OSError, match="refused"):
            socket.create_connection((cfg.host, cfg.port))


async def test_connection_that_was_just_made_is_no_idle_one() -> None:
    """Its first request is on its way; the soak lost one so (seed 102)."""
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        counts = here.router._gateway.connections
        await place.async_until(lambda: counts.open == 1)
        here.begin_shutdown()
        here.router.close_idle()
        caller.writer.write(f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        status, headers, _ = await caller.async_answer()
        assert (status, headers["connection"]) == (200, "close")
        caller.writer.close()


async def test_request_that_waits_unread_is_no_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A busy event loop reads it late; the soak lost two so (7410, 7413)."""
    monkeypatch.setattr(connection, "FIRST_REQUEST_GRACE_S", 0.0)
    async with place.async_place(servers=1) as here:
        cfg = here.cfg.callers
        sock = socket.create_connection((cfg.host, cfg.port))
        counts = here.router._gateway.connections
        await place.async_until(lambda: counts.open == 1)
        here.begin_shutdown()
        sock.sendall(f"GET /read/1 HTTP/1.1\r\n{HEAD}\r\n".encode())
        # Nothing of the router has run since the request was sent.
        here.router.close_idle()
        caller = Caller(*await asyncio.open_connection(sock=sock))
        status, headers, _ = await caller.async_answer()
        assert (status, headers["connection"]) == (200, "close")
        caller.writer.close()


async def test_connection_without_a_request_is_closed_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection, "FIRST_REQUEST_GRACE_S", 0.0)
    async with place.async_place(servers=1) as here:
        caller = await _async_caller(here)
        counts = here.router._gateway.connections
        await place.async_until(lambda: counts.open == 1)
        here.router.close_idle()
        assert await caller.reader.read() == b""
        caller.writer.close()
