"""What marks the end of a response body, by its head."""

import asyncio
import types
from typing import Any, cast

import aiohttp
import multidict
import pytest

from tamarackbridge.helpers import message_framing, response_limits

Framing = message_framing.Framing


@pytest.mark.parametrize(
    ("method", "status", "headers", "expected"),
    [
        ("POST", 200, [("Content-Length", "4")], Framing.LENGTH),
        ("POST", 200, [], Framing.CLOSE),
        ("POST", 200, [("Transfer-Encoding", "identity")], Framing.CLOSE),
        ("POST", 204, [], Framing.LENGTH),
        ("GET", 304, [], Framing.LENGTH),
        ("HEAD", 200, [], Framing.LENGTH),
    ],
)
def test_framing_is_read_from_the_head(
    method: str,
    status: int,
    headers: list[tuple[str, str]],
    expected: message_framing.Framing,
) -> None:
    resp = types.SimpleNamespace(
        method=method,
        status=status,
        headers=multidict.CIMultiDict(headers),
        _protocol=None,
    )
    assert message_framing.of_response(cast(Any, resp)) is expected


def _connector() -> aiohttp.TCPConnector:
    connector = aiohttp.TCPConnector()
    response_limits.bind(connector)
    return connector


@pytest.mark.parametrize(
    "codings",
    [
        b"chunked",
        b"chunked ",
        b"\tchunked",
        b"chunked\t",
        b"chunked \t",
        b"gzip,\tchunked",
        b"GZIP, Chunked",
        b"chunked\x0b",
        b"chunked\r\nTransfer-Encoding: gzip",
        b"chun\xe2\x84\xaaed",
        b"chunked,",
        b"gzip",
    ],
)
async def test_framing_is_that_of_the_parser(codings: bytes) -> None:
    """A body in chunks that is cut is an error, one without them is not."""

    async def _async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n" % codings
        writer.write(head + b"1\r\nx\r\n")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(_async_serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with (
        listener,
        aiohttp.ClientSession(connector=_connector()) as session,
        session.get(f"http://127.0.0.1:{port}/") as resp,
    ):
        expected = Framing.CLOSE
        try:
            await resp.read()
        except aiohttp.ClientPayloadError:
            expected = Framing.CHUNKED
        assert message_framing.of_response(resp) is expected
