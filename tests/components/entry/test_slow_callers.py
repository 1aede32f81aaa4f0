"""Callers that read their answers slowly, or not at all.

They guard against a router whose memory their answers fill: an answer counts
against the budget until the kernel has most of it.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import socket

from aiohttp import web
import pytest

from standins import backend
from tamarackbridge.components.records import models
from tests.components.entry import rig as rig_lib

LOOKUP = models.Route("lookup", "GET", "/x", True, 10.0, True)
PAYMENT = models.Route("pay", "POST", "/pay", False, 10.0, True)
LARGE_BYTES = 12 * 1024 * 1024
"""Size of an answer of which the budget has room for two."""

EVENT = b'data: {"text": "%b"}\n\n' % (b"y" * 100_000)
CALLS = {
    "plain": ("GET", "/s/x", False),
    "payment": ("POST", "/s/pay", False),
    "buffered stream": ("POST", "/s/pay", True),
}


class _Large(backend.Backend):
    """Answers with a large body or stream when it may.

    Attributes:
        runs: Number of requests received.
        may_answer: Set when it may answer.
    """

    def __init__(self, is_stream: bool = False) -> None:
        super().__init__(backend.BackendFaults())
        self.runs = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._type = "text/event-stream" if is_stream else "text/plain"
        self._body = b"y" * LARGE_BYTES
        if is_stream:
            self._body = EVENT * (LARGE_BYTES // len(EVENT))
            self._body += b"data: [DONE]\n\n"

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        await req.read()
        await self.may_answer.wait()
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        return web.Response(
            body=self._body,
            content_type=self._type,
            headers={backend.ATTR_REQUEST_ID: request_id},
        )


async def _async_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def _async_call(
    rig: rig_lib.Rig, method: str, path: str
) -> AsyncIterator[socket.socket]:
    """Sends a request whose answer is not read yet."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a\r\n"
        f"X-Api-Key: {rig_lib.KEY}\r\nIdempotency-Key: k\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(sock, ("127.0.0.1", rig.entry.port))
        await loop.sock_sendall(sock, head.encode())
        yield sock


async def _async_read_all(sock: socket.socket) -> int:
    """Returns the number of bytes until the end."""
    loop = asyncio.get_running_loop()
    size = 0
    while data := await loop.sock_recv(sock, 1024 * 1024):
        size += len(data)
    return size


@pytest.mark.parametrize("name", CALLS)
async def test_answers_that_are_not_read_share_one_limit(name: str) -> None:
    """Each alone is let through, and there are many callers."""
    method, path, is_stream = CALLS[name]
    server = _Large(is_stream)
    async with rig_lib.Rig([server], LOOKUP, PAYMENT) as rig:
        all_left = rig.memory.left
        async with (
            _async_call(rig, method, path) as first,
            _async_call(rig, method, path),
        ):
            await _async_until(lambda: len(rig.granter.done) == 2)
            assert all_left - rig.memory.left > 1.9 * LARGE_BYTES
            beside = await rig.async_request(method, path)
            assert beside.problem
            # The server is sound: slow callers take the room.
            assert rig.granter.done[-1].outcome.value == "cancelled"

            # What was reserved is free again, read or not.
            assert await _async_read_all(first) > 0.9 * LARGE_BYTES
        await _async_until(lambda: rig.memory.left == all_left)
        after = await rig.async_request(method, path)
        assert len(after.body) > 0.9 * LARGE_BYTES
        await _async_until(lambda: rig.memory.left == all_left)


async def test_answer_for_a_caller_that_has_left_is_not_held() -> None:
    """A payment runs to its end, and nobody takes its answer."""
    server = _Large()
    server.may_answer.clear()
    async with rig_lib.Rig([server], PAYMENT) as rig:
        all_left = rig.memory.left
        async with _async_call(rig, "POST", "/s/pay"):
            await _async_until(lambda: server.runs == 1)
        await _async_until(lambda: rig.entry.in_flight == 0)
        server.may_answer.set()
        await _async_until(lambda: bool(rig.granter.closed))
        assert rig.memory.left == all_left


async def test_answer_after_the_deadline_of_a_payment_is_not_held() -> None:
    """Its caller was told to ask again."""
    server = _Large()
    server.may_answer.clear()
    route = models.Route("pay", "POST", "/pay", False, 0.1, True)
    async with rig_lib.Rig([server], route) as rig:
        all_left = rig.memory.left
        reply = await rig.async_request("POST", "/s/pay")
        assert reply.problem["reason"] == "deadline"
        server.may_answer.set()
        await _async_until(lambda: bool(rig.granter.closed))
        assert rig.memory.left == all_left
