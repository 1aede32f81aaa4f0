"""What a whole router does with input that is wrong, late or unread."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import socket
from typing import Any

import aiohttp
import pytest

from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.operator import const as operator_const
from tests.sessions import place as places

BODY_LIMIT = places.BODY_LIMIT
HEADER_LIMIT = places.HEADER_LIMIT
WAIT_S = places.WAIT_S


@pytest.fixture
async def place() -> AsyncIterator[places.Place]:
    made = places.Place()
    async with contextlib.AsyncExitStack() as stack:
        await made.async_start(stack)
        yield made


def request(
    method: str, path: str, *lines: str, key: str = places.KEY, body: str = ""
) -> bytes:
    head = [f"{method} {path} HTTP/1.1", "Host: x", *lines]
    if key:
        head.append(f"X-Api-Key: {key}")
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


async def async_send(port: int, data: bytes) -> tuple[int, dict[str, Any]]:
    """Sends bytes and reads until the answer is whole or the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            sizes = [ln for ln in lines if ln.startswith("content-length:")]
            body = await reader.readexactly(int(sizes[0].partition(":")[2]))
    finally:
        writer.close()
    return int(head.split()[1]), json.loads(body)


TABLE = [
    ("no key", request("GET", "/app/pens/1", key=""), 401, "unauthorized"),
    ("wrong", request("GET", "/app/pens/1", key="no"), 401, "unauthorized"),
    ("no service", request("GET", "/none/pens/1"), 404, "unknown_route"),
    ("no route", request("GET", "/app/none"), 404, "unknown_route"),
    ("wrong method", request("PUT", "/app/pens/1"), 404, "unknown_route"),
    (
        "no idempotency key",
        request("POST", "/app/fees", "Content-Length: 0"),
        400,
        "key_required",
    ),
    (
        "large body",
        request(
            "POST",
            "/lm/v1/completions",
            f"Content-Length: {BODY_LIMIT + 1}",
            body="x" * (BODY_LIMIT + 1),
        ),
        413,
        "too_large",
    ),
    (
        "large header",
        request("GET", "/app/pens/1", "X-Long: " + "x" * 2 * HEADER_LIMIT),
        431,
        "header_too_large",
    ),
    (
        "large path",
        request("GET", "/app/pens/" + "x" * 2 * HEADER_LIMIT),
        431,
        "header_too_large",
    ),
    ("no HTTP", b"\x16\x03\x01\x00\r\n\r\n", 400, "bad_request"),
    (
        "two lengths",
        request("POST", "/app/fees", "Content-Length: 1", "Content-Length: 2"),
        400,
        "bad_request",
    ),
    ("half a header", b"GET /app/pens/1 HTT", 408, "timeout"),
    (
        "half a body",
        request(
            "POST", "/lm/v1/completions", "Content-Length: 99", body="half"
        ),
        408,
        "timeout",
    ),
]


async def test_wrong_requests_are_refused_and_reach_no_server(
    place: places.Place,
) -> None:
    for name, data, status, reason in TABLE:
        answer = await async_send(place.port, data)
        assert answer[0] == status, name
        assert (answer[1]["reason"], answer[1]["not_run"]) == (reason, "true")
    assert "serve" not in place.app.calls
    assert "completion" not in place.lm.calls
    right = request("GET", "/app/pens/1")
    assert (await async_send(place.port, right))[0] == 200


RECORDS = [
    (b"{", "JSON"),
    (
        b'{"records": [{"kind": "zone", "schema_version": 9, "name": "y"}]}',
        "schema_version",
    ),
    (
        b'{"records": [{"kind": "zone", "schema_version": 1, "name": 3}]}',
        "name",
    ),
]


async def test_wrong_records_change_nothing(place: places.Place) -> None:
    before = dict(place.api.objects)
    headers = {"Authorization": f"Bearer {places.TOKEN}"}
    async with aiohttp.ClientSession(place.operator, headers=headers) as http:
        for body, named in RECORDS:
            async with http.post(
                operator_const.PATH_RECORDS, data=body
            ) as resp:
                assert resp.status == 400
                assert named in (await resp.json())["detail"]
    config = membership_const.KEY_CONFIG
    assert place.api.objects[config] == before[config]


async def test_reader_that_stalls_holds_little_and_is_cut(
    place: places.Place,
) -> None:
    tokens = 1_000_000
    doc = {"prompt": "p", "max_tokens": tokens, "stream": True}
    body = json.dumps(doc)
    data = request(
        "POST",
        "/lm/v1/completions",
        f"Content-Length: {len(body)}",
        body=body,
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", place.port))
    sock.sendall(data)
    await places.async_until(place.async_timed_out)
    await asyncio.wait_for(place.lm.idle.wait(), WAIT_S)
    sock.close()
    assert place.lm.cancelled == 1
    assert place.lm.tokens < tokens


async def test_more_connections_than_allowed_are_closed(
    place: places.Place,
) -> None:
    opened = [
        await asyncio.open_connection("127.0.0.1", place.port)
        for _ in range(places.LIMITS.max_connections)
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", place.port)
    assert await reader.read() == b""
    for _, held in [*opened, (reader, writer)]:
        held.close()
    await places.async_until(place.async_alone)
    right = request("GET", "/app/pens/1")
    assert (await async_send(place.port, right))[0] == 200
