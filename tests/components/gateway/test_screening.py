"""Tests that an overloaded router refuses requests before it parses them."""

import asyncio
import errno
import math
import socket

import pytest

from tamarackbridge.components.gateway import (
    listener,
    rejections,
    request_validation,
)
from tamarackbridge.platform import dialect
from tests.components.gateway import rig

HEAD = f"Host: {rig.HOST}\r\nX-Request-Id: q1\r\nX-Api-Key: {rig.KEY}\r\n"
POST = f"POST /pay/1 HTTP/1.1\r\n{HEAD}Content-Length: 8\r\n\r\nquestion"


def _refuse_all(env: rig.Environment, patch: pytest.MonkeyPatch) -> None:
    """Makes the router refuse all requests."""
    shedder = env.router._shedder
    patch.setattr(shedder, "update_delay", lambda delay_s, now: None)
    patch.setattr(shedder, "admits", lambda workspace, now: False)
    shedder.limit_per_s = 1.0


def _forbid_parsing(patch: pytest.MonkeyPatch) -> None:
    """Makes the test fail if the router parses a request."""

    def read_request(*_: object) -> None:
        raise AssertionError("the router parsed a request")

    patch.setattr(
        request_validation.RequestValidator, "read_request", read_request
    )


async def _async_answer(sock: socket.socket) -> tuple[bytes, bytes]:
    """Reads until the end of the connection; returns head and body."""
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    received = b""
    while data := await loop.sock_recv(sock, 65_536):
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body


async def test_rejected_connection_is_not_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _forbid_parsing(monkeypatch)
    async with rig.async_environment(servers=1) as env:
        _refuse_all(env, monkeypatch)
        cfg = env.cfg.callers
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
        assert env.ran() == []
        assert env.router._gateway.connections.open == 0


async def test_rejected_request_on_open_connection_is_not_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with rig.async_environment(servers=1) as env:
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        writer.write(POST.encode())
        await reader.readuntil(b"answer to q1")
        _refuse_all(env, monkeypatch)
        _forbid_parsing(monkeypatch)
        writer.write(POST.replace("q1", "q2").encode())
        received = await reader.read()
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"X-Request-Id: q2\r\n" in received
        assert env.ran() == ["q1"]
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
async def test_incomplete_request_is_rejected_once_its_head_is_parsed(
    monkeypatch: pytest.MonkeyPatch, sent: str
) -> None:
    async with rig.async_environment(servers=1) as env:
        _refuse_all(env, monkeypatch)
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        writer.write(sent.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert env.ran() == []
        writer.close()


async def test_each_request_counts_against_the_limit_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    admission_checks: list[str] = []

    def admits(workspace: str, now: float) -> bool:
        admission_checks.append(workspace)
        return True

    async with rig.async_environment(servers=1) as env:
        _refuse_all(env, monkeypatch)
        monkeypatch.setattr(env.router._shedder, "admits", admits)
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        connections = env.router._gateway.connections
        await rig.async_wait_until(lambda: connections.open == 1)
        writer.write(POST.encode())  # On a connection accepted before.
        await reader.readuntil(b"answer to q1")
        assert admission_checks == ["w"]
        writer.close()
        sock = socket.create_connection((cfg.host, cfg.port))
        sock.sendall(POST.replace("q1", "q2").encode())
        reader, writer = await asyncio.open_connection(sock=sock)
        await reader.readuntil(b"answer to q2")
        assert admission_checks == ["w", "w"]
        writer.close()


async def test_caller_that_left_before_parsing_is_only_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _forbid_parsing(monkeypatch)
    async with rig.async_environment(servers=1) as env:
        _refuse_all(env, monkeypatch)
        cfg = env.cfg.callers
        with socket.create_connection((cfg.host, cfg.port)) as sock:
            sock.sendall(POST.encode())
        text = 'tamarackbridge_left_total{when="unread"} 1.0'
        render = env.router._registry.render
        await rig.async_wait_until(lambda: text in render().decode())
        assert env.router._gateway.connections.open == 0


async def test_one_iteration_accepts_only_a_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against delaying requests in flight by a large backlog.

    They are handled between two batches of accepted connections.
    """
    async with rig.async_environment(servers=1) as env:
        handed_over: list[socket.socket] = []
        caller_listener = env.router._gateway._listener
        assert caller_listener is not None
        monkeypatch.setattr(
            caller_listener,
            "_hand_over",
            lambda conn, _: handed_over.append(conn),
        )
        cfg = env.cfg.callers
        count = 3 * listener.MAX_ACCEPTED_PER_ITERATION
        callers = [
            socket.create_connection((cfg.host, cfg.port)) for _ in range(count)
        ]
        caller_listener._on_readable()
        assert len(handed_over) == listener.MAX_ACCEPTED_PER_ITERATION
        started = asyncio.get_running_loop().time()
        monkeypatch.setattr(
            caller_listener._loop, "time", lambda: started + 5.0
        )
        caller_listener._on_readable()
        waited_s = caller_listener.backlog_wait_s
        monkeypatch.undo()
        monkeypatch.setattr(
            caller_listener,
            "_hand_over",
            lambda conn, _: handed_over.append(conn),
        )
        assert len(handed_over) == 2 * listener.MAX_ACCEPTED_PER_ITERATION
        assert waited_s > 0.0
        caller_listener._on_readable()
        assert len(handed_over) == count
        assert caller_listener.backlog_wait_s == 0.0
        for sock in (*callers, *handed_over):
            sock.close()


def test_raw_rejection_matches_rejection_response() -> None:
    rejection = rejections.Rejection(rejections.Reason.ROUTER_OVERLOADED, 0.25)
    response = rejections.response(rejection, {"X-Request-Id": "q"})
    raw = rejections.closing_response(rejection, {"X-Request-Id": "q"})
    head, _, body = raw.partition(b"\r\n\r\n")
    assert body == response.body
    for name in ("X-Request-Id", "Retry-After", "Content-Type"):
        line = f"{name}: {response.headers[name]}".lower()
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
def test_uncommon_request_has_no_preview(data: bytes) -> None:
    assert dialect.PlatformDialect().preview(data) is None


def test_complete_request_has_preview() -> None:
    preview = dialect.PlatformDialect().preview(POST.encode())
    assert preview is not None
    assert (preview.request_id, preview.key) == ("q1", rig.KEY)


async def test_iteration_that_emptied_the_backlog_reports_no_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting a wait although the backlog was emptied.

    Two iterations that each accepted a full batch and left nothing pending, a
    second apart, looked like a wait of a second.
    """
    async with rig.async_environment(servers=1) as env:
        handed_over: list[socket.socket] = []
        caller_listener = env.router._gateway._listener
        assert caller_listener is not None
        monkeypatch.setattr(
            caller_listener,
            "_hand_over",
            lambda conn, _: handed_over.append(conn),
        )
        cfg = env.cfg.callers
        callers = [
            socket.create_connection((cfg.host, cfg.port))
            for _ in range(listener.MAX_ACCEPTED_PER_ITERATION)
        ]
        caller_listener._on_readable()
        assert len(handed_over) == listener.MAX_ACCEPTED_PER_ITERATION
        assert caller_listener._backlog_since == math.inf
        for sock in (*callers, *handed_over):
            sock.close()


class _ExhaustedSocket(socket.socket):
    """A listening socket of a process that has no file descriptors left."""

    def accept(self) -> tuple[socket.socket, object]:
        raise OSError(errno.EMFILE, "no file descriptor left")


async def test_listener_closes_without_file_descriptors() -> None:
    async with rig.async_environment(servers=1) as env:
        screen = env.router._gateway._screen
        with _ExhaustedSocket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            failing_listener = listener.Listener(
                sock,
                lambda _: asyncio.Protocol(),
                screen,
                env.router._gateway._offload,
                env.router._processor_time,
            )
            failing_listener.close()
            assert sock.fileno() == -1
