"""Answers of backend servers that never end, and many large ones at once.

They guard against a router that holds such answers in memory without limit.
"""

import asyncio
from collections.abc import Callable, Sequence

from aiohttp import web
import pytest

from standins import backend
from tamarackbridge.components.entry import const
from tamarackbridge.components.records import models
from tests.components.entry import rig as rig_lib

LOOKUP = models.Route("lookup", "GET", "/x", True, 10.0, True)
PAYMENT = models.Route("pay", "POST", "/pay", False, 10.0, True)
BLOCK_BYTES = 64 * 1024

STREAM_BLOCKS = 3 * const.MAX_BUFFERED_BYTES // BLOCK_BYTES
"""Blocks after which a stream ends after all, so that the test does."""

LARGE_BYTES = 3 * const.MAX_BUFFERED_BYTES // 4
MANY = 8
"""Number of concurrent large answers; all of them have 96 MB."""

EVENTS = {
    "events": b'data: {"text": "%b"}\n\n' % (b"y" * 1000),
    "comments": b": %b\n\n" % (b"y" * 1000),
}

UNFINISHED = b'data: {"text": "' + b"y" * (12 * BLOCK_BYTES)


class _Large(backend.Backend):
    """Sends large answers.

    Attributes:
        runs: Number of requests received.
        sent: Number of bytes written for all of them.
        cut: Number of answers whose connection the router closed.
    """

    def __init__(
        self,
        sizes: Sequence[int],
        block: bytes = b"y" * BLOCK_BYTES,
        end: bytes = b"",
        content_type: str = "text/plain",
    ) -> None:
        super().__init__(backend.BackendFaults())
        self.runs = 0
        self.sent = 0
        self.cut = 0
        self._sizes = sizes
        self._block = block
        self._end = end
        self._content_type = content_type

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        left = self._sizes[self.runs]
        self.runs += 1
        await req.read()
        resp = web.StreamResponse()
        resp.content_type = self._content_type
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        resp.headers[backend.ATTR_REQUEST_ID] = request_id
        try:
            await resp.prepare(req)
            while left > 0:
                data = self._block[:left]
                await resp.write(data)
                left -= len(data)
                self.sent += len(data)
                await asyncio.sleep(0.001)  # So that answers grow concurrently.
            await resp.write(self._end)
        except ConnectionError:
            self.cut += 1
        return resp


class _Unfinished(backend.Backend):
    """Sends most of a stream's only event, and the rest when told to.

    Attributes:
        runs: Number of requests received.
        goes_on: Set when the rest may be sent.
    """

    def __init__(self) -> None:
        super().__init__(backend.BackendFaults())
        self.runs = 0
        self.goes_on = asyncio.Event()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        await req.read()
        resp = web.StreamResponse()
        resp.content_type = "text/event-stream"
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        resp.headers[backend.ATTR_REQUEST_ID] = request_id
        await resp.prepare(req)
        await resp.write(UNFINISHED)
        await self.goes_on.wait()
        await resp.write(b'"}\n\ndata: [DONE]\n\n')
        return resp


async def _async_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("name", EVENTS)
async def test_endless_events_are_not_kept_for_a_caller_without_a_stream(
    name: str,
) -> None:
    block = EVENTS[name] * (BLOCK_BYTES // len(EVENTS[name]))
    size = STREAM_BLOCKS * len(block)
    server = _Large([size], block, b"data: [DONE]\n\n", "text/event-stream")
    async with rig_lib.Rig([server], PAYMENT) as rig:
        reply = await rig.async_request("POST", "/s/pay")

        assert reply.problem.get("reason") == const.Reason.OUTCOME_UNKNOWN.value
        await _async_until(lambda: server.cut == 1)
    assert server.runs == 1
    assert server.sent < size
    assert rig.granter.done[-1].outcome.value == "failed"


async def test_large_answers_share_one_limit() -> None:
    """Each answer alone would be accepted."""
    small = 1000
    largest = const.MAX_BUFFERED_BYTES
    server = _Large([*[LARGE_BYTES] * MANY, small, largest])
    async with rig_lib.Rig([server], LOOKUP) as rig:
        sent = [asyncio.create_task(rig.async_request()) for _ in range(MANY)]
        await _async_until(lambda: server.runs == MANY)
        beside = await rig.async_request()
        replies = [await reply for reply in sent]

        whole = [reply for reply in replies if reply.status == 200]
        assert 2 <= len(whole) < MANY
        assert {len(reply.body) for reply in whole} == {LARGE_BYTES}
        assert all(reply.problem or reply in whole for reply in replies)
        await _async_until(lambda: server.cut == MANY - len(whole))
        assert len(beside.body) == small

        # What was reserved is free again.
        after = await rig.async_request()
        assert len(after.body) == largest
    outcomes = [done.outcome.value for done in rig.granter.done]
    assert outcomes.count("failed") == MANY - len(whole)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_incomplete_events_share_one_limit(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each stream alone may hold an event of 1 MB, and there are many."""
    monkeypatch.setattr(const, "MAX_ALL_BUFFERED_BYTES", 20 * BLOCK_BYTES)
    path = "/s/x" if method == "GET" else "/s/pay"
    server = _Unfinished()
    async with rig_lib.Rig([server], LOOKUP, PAYMENT) as rig:
        all_left = rig.memory.left
        held = asyncio.create_task(rig.async_request(method, path))
        await _async_until(
            lambda: all_left - rig.memory.left > 0.9 * len(UNFINISHED)
        )
        beside = await asyncio.wait_for(rig.async_request(method, path), 5.0)
        assert beside.problem

        server.goes_on.set()
        assert (await held).status == 200
        assert rig.memory.left == all_left
