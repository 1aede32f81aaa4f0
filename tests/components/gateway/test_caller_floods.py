"""Tests that endless caller requests are rejected.

Guards against a router that reads an endless header or body without a limit.
"""

import asyncio
import contextlib

import pytest

from tests.components.gateway import rig

HEAD = (
    f"POST /pay/1 HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Request-Id: q1\r\n"
    f"X-Api-Key: {rig.KEY}\r\nX-Deadline-Ms: 300\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BURST_BYTES = 64 * 1024

MAX_SENT_BYTES = 12 * 1024 * 1024
"""Limit on what a router may read, above the kernel buffers of a connection."""


@pytest.mark.parametrize(
    ("before", "again", "statuses"),
    [
        (b"", b"x", {400, 431}),
        (b"GET /", b"x", {400, 431}),
        (HEAD, b"X-More: y\r\n", {400, 431}),
        (HEAD + b"X-More: ", b"y", {400, 431}),
        (CHUNKED, b"1\r\ny\r\n", {413}),
        (CHUNKED, b"400\r\n" + b"y" * 1024 + b"\r\n", {413}),
        (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x", {413}),
    ],
)
async def test_endless_request_is_rejected(
    before: bytes, again: bytes, statuses: set[int]
) -> None:
    async with rig.async_environment(servers=1) as env:
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        sent = 0
        writer.write(before)
        block = again * (BURST_BYTES // len(again))

        async def async_flood() -> None:
            nonlocal sent
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    writer.write(block)
                    await writer.drain()
                    sent += len(block)
                    await asyncio.sleep(0)

        flood = asyncio.create_task(async_flood())
        head = await reader.readuntil(b"\r\n")
        assert int(head.split(b" ")[1]) in statuses
        await asyncio.wait_for(flood, 10.0)
        assert sent < MAX_SENT_BYTES
        assert env.ran() == []
        response = await env.async_send("/pay/1", request_id="q2")
        assert response.body == b"answer to q2"
