"""Answers of the object API that never end.

They guard against a router that holds such an answer in memory without limit.
"""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import test_utils, web
import pytest

from standins import object_api as stand_in
from tamarackbridge import core
from tamarackbridge.components.object_api import http, messages
from tamarackbridge.components.settings import models as settings

OK = messages.StoreStatus.OK
BLOCK = b" " * 64 * 1024

BLOCKS = 1280
"""Blocks after which an answer ends after all: 80 MB."""

CALLS: dict[str, core.Message] = {
    "get": messages.StoreGet("a/1", "t"),
    "list": messages.StoreList("a/", "t"),
    "watch": messages.StoreWatch("a/", 0, "t"),
    "put": messages.StorePut("a/1", b"x", messages.CREATE, "t"),
    "delete": messages.StoreDelete("a/1", 1, "t"),
}


class _Endless:
    """Object API that pads each answer.

    Attributes:
        sent: Number of blocks written.
        cut: Set once the router closed the connection.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.cut = asyncio.Event()
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._async_serve)
        self.server = test_utils.TestServer(app)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        await req.read()
        headers = {http.HEADER_VERSION: "1", "ETag": '"1"'}
        resp = web.StreamResponse(headers=headers)
        try:
            await resp.prepare(req)
            await resp.write(b'{"objects": [')
            for _ in range(BLOCKS):
                await resp.write(BLOCK)
                self.sent += 1
            await resp.write(b"]}")
        except (ConnectionError, asyncio.CancelledError):
            self.cut.set()  # The test server cancels handlers of lost callers.
            raise
        return resp


@pytest.fixture
async def endless() -> AsyncIterator[_Endless]:
    api = _Endless()
    async with api.server:
        yield api


@pytest.mark.parametrize("name", CALLS)
async def test_endless_answer_counts_as_unknown(
    name: str, endless: _Endless
) -> None:
    cfg = settings.PlatformSettings(
        object_api=str(endless.server.make_url("")), vm_list="", timeout_s=30.0
    )
    async with http.HttpObjectApi(cfg) as adapter:
        reply = await adapter.async_call(CALLS[name])
        assert reply.status is messages.StoreStatus.UNKNOWN
        async with asyncio.timeout(5):
            await endless.cut.wait()
    assert endless.sent < BLOCKS
    assert adapter.unknown == 1


async def test_largest_values_are_read() -> None:
    store = stand_in.ObjectApi()
    value = b"x" * http.MAX_VALUE_BYTES
    put = messages.StorePut("a/1", value, messages.CREATE, "t")
    async with store:
        cfg = settings.PlatformSettings(
            object_api=store.url, vm_list="", timeout_s=30.0
        )
        async with http.HttpObjectApi(cfg) as adapter:
            assert (await adapter.async_call(put)).status is OK
            conflict = await adapter.async_call(put)
            assert conflict.status is messages.StoreStatus.CONFLICT
            assert conflict.objects[0].value == value
            for name in ("get", "list", "watch"):
                reply = await adapter.async_call(CALLS[name])
                assert reply.status is OK
                assert reply.objects[0].value == value
