"""Responses whose end only the close of their connection marks."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import pathlib

from aiohttp import web
import pytest

from tamarackbridge.helpers import unmarked_response
from tests import certificates

BODY = b"data: x\n\n"
LARGE = b"y" * 4_000_000
UNSENDABLE = b"y" * 32_000_000
"""More than the kernel buffers for one connection."""

_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@contextlib.asynccontextmanager
async def _async_request(
    handler: _Handler,
    version: str = "1.1",
    authority: certificates.Authority | None = None,
) -> AsyncIterator[asyncio.StreamReader]:
    """Yields the reader of a caller that has sent a request."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    contexts = (
        (None, None) if authority is None else authority.contexts("server")
    )
    site = web.TCPSite(runner, "127.0.0.1", 0, ssl_context=contexts[0])
    await site.start()
    host, port = runner.addresses[0][:2]
    reader, writer = await asyncio.open_connection(host, port, ssl=contexts[1])
    writer.write(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
    try:
        yield reader
    finally:
        writer.transport.abort()
        await runner.cleanup()


async def _async_whole(req: web.BaseRequest) -> web.StreamResponse:
    resp = unmarked_response.UnmarkedResponse(
        headers={"Content-Length": "3", "Content-Type": "text/event-stream"}
    )
    await resp.prepare(req)
    await resp.write(BODY)
    await resp.write_eof()
    return resp


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_whole_response_ends_with_an_orderly_close(version: str) -> None:
    async with _async_request(_async_whole, version) as reader:
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    assert body == BODY
    lines = head.lower().split(b"\r\n")
    assert not [line for line in lines if line.startswith(b"transfer-enc")]
    assert not [line for line in lines if line.startswith(b"content-length")]
    assert (b"connection: close" in lines) == (version == "1.1")


async def test_unread_end_of_a_large_response_arrives() -> None:
    async def async_large(req: web.BaseRequest) -> web.StreamResponse:
        resp = unmarked_response.UnmarkedResponse()
        await resp.prepare(req)
        await resp.write_eof(LARGE)
        return resp

    async with _async_request(async_large) as reader:
        await asyncio.sleep(0.1)
        assert (await reader.read()).endswith(b"\r\n\r\n" + LARGE)


@pytest.fixture(params=["plain", "tls"])
def authority(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> certificates.Authority | None:
    if request.param == "plain":
        return None
    return certificates.Authority(tmp_path, "ours")


async def test_end_waits_for_a_caller_that_reads_late(
    authority: certificates.Authority | None,
) -> None:
    async def async_large(req: web.BaseRequest) -> web.StreamResponse:
        resp = unmarked_response.UnmarkedResponse(LARGE)
        await resp.prepare(req)
        return resp

    async with _async_request(async_large, authority=authority) as reader:
        await asyncio.sleep(0.1)
        assert (await reader.read()).endswith(b"\r\n\r\n" + LARGE)


@pytest.mark.parametrize(
    ("ending", "is_tls"),
    [("abort", False), ("close", False), ("raise", False), ("abort", True)],
)
async def test_response_without_its_end_is_reset(
    ending: str, is_tls: bool, tmp_path: pathlib.Path
) -> None:
    async def async_cut(req: web.BaseRequest) -> web.StreamResponse:
        resp = unmarked_response.UnmarkedResponse()
        await resp.prepare(req)
        await resp.write(BODY)
        assert req.transport is not None
        await read.wait()
        if ending == "raise":
            raise RuntimeError("not the end")
        if ending == "abort":
            req.transport.abort()
        else:
            req.transport.close()
        return resp

    read = asyncio.Event()
    authority = certificates.Authority(tmp_path, "ours") if is_tls else None
    async with _async_request(async_cut, authority=authority) as reader:
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(BODY)) == BODY
        read.set()
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_end_that_is_interrupted_is_reset(
    authority: certificates.Authority | None,
) -> None:
    """Guards against a part of a large body that ends in order."""

    async def async_cut(req: web.BaseRequest) -> web.StreamResponse:
        resp = unmarked_response.UnmarkedResponse()
        await resp.prepare(req)
        try:
            async with asyncio.timeout(0.05):
                await resp.write_eof(UNSENDABLE)
        except TimeoutError:
            interrupted.set()
        return resp

    interrupted = asyncio.Event()
    async with (
        asyncio.timeout(10),
        _async_request(async_cut, authority=authority) as reader,
    ):
        await interrupted.wait()
        with pytest.raises(ConnectionResetError):
            await reader.read()
