"""Requests that a strained router refuses before it reads them."""

import asyncio
import errno
import math
import socket

import pytest

from tamarackbridge.components.gateway import accept, answers, listener
from tamarackbridge.platform import dialect
from tests.components.gateway import place

HEAD = f"Host: {place.HOST}\r\nX-Request-Id: q1\r\nX-Api-Key: {place.KEY}\r\n"
POST = f"POST /pay/1 HTTP/1.1\r\n{HEAD}Content-Length: 8\r\n\r\nquestion"


def _shed_all(here: place.Place, patch: pytest.MonkeyPatch) -> None:
    """Lets the router take nothing up."""
    shedder = here.router._shedder
    patch.setattr(shedder, "note_delay", lambda delay_s, now: None)
    patch.setattr(shedder, "admits", lambda workspace, now: False)
    shedder.limit_per_s = 1.0


def _forbid_reading(patch: pytest.MonkeyPatch) -> None:
    """Fails if the router parses a request."""

    def read_call(*_: object) -> None:
        raise AssertionError("a request was read")

    patch.setattr(accept.Acceptor, "read_call", read_call)


async def _async_answer(sock: socket.socket) -> tuple[bytes, bytes]:
    """Returns the head and the body of what comes until the end."""
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    found = b""
    while data := await loop.sock_recv(sock, 65_536):
        found += data
    head, _, body = found.partition(b"\r\n\r\n")
    return head, body


async def test_refused_connection_is_never_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _forbid_reading(monkeypatch)
    async with place.async_place(servers=1) as here:
        _shed_all(here, monkeypatch)
        cfg = here.cfg.callers
        with socket.create_connection((cfg.host, cfg.port)) as sock:
            sock.sendall(POST.encode())
            head, body = await _async_answer(sock)
        lines = head.decode().split("\r\n")
        assert lines[0] == "HTTP/1.1 503 Service Unavailable"
        assert "X-Request-Id: q1" in lines
        assert "Connection: close" in lines
        values = dict(line.split(": ") for line in lines[1:])
        assert float(values["Retry-After"]) > 0
        assert len(body) == int(values["Content-Length"])
        assert here.ran() == []
        assert here.router._gateway.connections.open == 0


async def test_refused_request_on_a_kept_connection_is_never_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with place.async_place(servers=1) as here:
        cfg = here.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        writer.write(POST.encode())
        await reader.readuntil(b"answer to q1")
        _shed_all(here, monkeypatch)
        _forbid_reading(monkeypatch)
        writer.write(POST.replace("q1", "q2").encode())
        found = await reader.read()
        assert found.startswith(b"HTTP/1.1 503 ")
        assert b"X-Request-Id: q2\r\n" in found
        assert here.ran() == ["q1"]
        writer.close()


@pytest.mark.parametrize(
    "sent",
    [
        f"POST /pay/1 HTTP/1.1\r\n{HEAD}Content-Length: 8\r\n\r\nques",
        f"POST /pay/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n"
        "4\r\nques\r\n4\r\ntion\r\n0\r\n\r\n",
        f"POST /pay/1 HTTP/1.1\r\n{HEAD}Content-Length: 8\r\n"
        "Expect: 100-continue\r\n\r\n",
    ],
)
async def test_request_that_is_not_whole_is_refused_when_its_head_is_read(
    monkeypatch: pytest.MonkeyPatch, sent: str
) -> None:
    async with place.async_place(servers=1) as here:
        _shed_all(here, monkeypatch)
        cfg = here.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        writer.write(sent.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert here.ran() == []
        writer.close()


async def test_each_request_is_held_against_the_limit_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked: list[str] = []

    def admits(workspace: str, now: float) -> bool:
        asked.append(workspace)
        return True

    async with place.async_place(servers=1) as here:
        _shed_all(here, monkeypatch)
        monkeypatch.setattr(here.router._shedder, "admits", admits)
        cfg = here.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        counts = here.router._gateway.connections
        await place.async_until(lambda: counts.open == 1)
        writer.write(POST.encode())  # On a connection that was taken before.
        await reader.readuntil(b"answer to q1")
        assert asked == ["w"]
        writer.close()
        sock = socket.create_connection((cfg.host, cfg.port))
        sock.sendall(POST.replace("q1", "q2").encode())
        reader, writer = await asyncio.open_connection(sock=sock)
        await reader.readuntil(b"answer to q2")
        assert asked == ["w", "w"]
        writer.close()


async def test_caller_that_left_unread_costs_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _forbid_reading(monkeypatch)
    async with place.async_place(servers=1) as here:
        _shed_all(here, monkeypatch)
        cfg = here.cfg.callers
        with socket.create_connection((cfg.host, cfg.port)) as sock:
            sock.sendall(POST.encode())
        text = 'tamarackbridge_left_total{when="unread"} 1.0'
        render = here.router._registry.render
        await place.async_until(lambda: text in render().decode())
        assert here.router._gateway.connections.open == 0


async def test_only_a_part_of_what_waits_is_taken_in_one_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is under way comes first again after each part."""
    async with place.async_place(servers=1) as here:
        taken: list[socket.socket] = []
        taking = here.router._gateway._listener
        assert taking is not None
        monkeypatch.setattr(taking, "_take", lambda conn, _: taken.append(conn))
        cfg = here.cfg.callers
        count = 3 * listener.TAKEN_IN_TURN
        callers = [
            socket.create_connection((cfg.host, cfg.port)) for _ in range(count)
        ]
        taking._on_waiting()
        assert len(taken) == listener.TAKEN_IN_TURN
        began = asyncio.get_running_loop().time()
        monkeypatch.setattr(taking._loop, "time", lambda: began + 5.0)
        taking._on_waiting()
        waited_s = taking.waited_s
        monkeypatch.undo()
        monkeypatch.setattr(taking, "_take", lambda conn, _: taken.append(conn))
        assert len(taken) == 2 * listener.TAKEN_IN_TURN
        assert waited_s > 0.0
        taking._on_waiting()
        assert len(taken) == count
        assert taking.waited_s == 0.0
        for sock in (*callers, *taken):
            sock.close()


def test_raw_refusal_says_what_the_other_does() -> None:
    refusal = answers.Refusal(answers.Reason.ROUTER_OVERLOADED, 0.25)
    resp = answers.response(refusal, {"X-Request-Id": "q"})
    raw = answers.raw(refusal, {"X-Request-Id": "q"})
    head, _, body = raw.partition(b"\r\n\r\n")
    assert body == resp.body
    for name in ("X-Request-Id", "Retry-After", "Content-Type"):
        line = f"{name}: {resp.headers[name]}".lower()
        assert line in head.decode().lower()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q",
        b"GET /x HTTP/1.0\r\nX-Request-Id: q\r\n\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\nX-Request-Id: r\r\n\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id:\r\n\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id: \xe9\r\n\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\n folded\r\n\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\nContent-Length: \xb2\r\n\r\nab",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\n\r\nGET /y HTTP/1.1\r\n",
        b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\nContent-Length: 4\r\n\r\nab",
    ],
)
def test_uncommon_bytes_are_left_to_the_parser(data: bytes) -> None:
    assert dialect.PlatformDialect().glimpse(data) is None


def test_whole_request_is_seen() -> None:
    seen = dialect.PlatformDialect().glimpse(POST.encode())
    assert seen is not None
    assert (seen.request_id, seen.key) == ("q1", place.KEY)


async def test_turn_that_took_all_tells_of_no_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two such turns, a second apart, looked like a wait of a second."""
    async with place.async_place(servers=1) as here:
        taken: list[socket.socket] = []
        taking = here.router._gateway._listener
        assert taking is not None
        monkeypatch.setattr(taking, "_take", lambda conn, _: taken.append(conn))
        cfg = here.cfg.callers
        callers = [
            socket.create_connection((cfg.host, cfg.port))
            for _ in range(listener.TAKEN_IN_TURN)
        ]
        taking._on_waiting()
        assert len(taken) == listener.TAKEN_IN_TURN
        assert taking._since == math.inf
        for sock in (*callers, *taken):
            sock.close()


class _NoRoom(socket.socket):
    """A listening socket of a process without descriptors."""

    def accept(self) -> tuple[socket.socket, object]:
        raise OSError(errno.EMFILE, "no descriptor")


async def test_listener_closes_where_no_descriptor_is_left() -> None:
    async with place.async_place(servers=1) as here:
        screen = here.router._gateway._screen
        with _NoRoom() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            made = listener.Listener(
                sock,
                lambda _: asyncio.Protocol(),
                screen,
                here.router._gateway._offload,
                here.router._processor_time,
            )
            made.close()
            assert sock.fileno() == -1
