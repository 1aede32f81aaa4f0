"""A running router with invalid requests and slow or stalled callers."""

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
from tests.sessions import environment as environments

BODY_LIMIT = environments.BODY_LIMIT
HEADER_LIMIT = environments.HEADER_LIMIT
STATE_TIMEOUT_S = environments.STATE_TIMEOUT_S


@pytest.fixture
async def env() -> AsyncIterator[environments.RouterEnvironment]:
    environment = environments.RouterEnvironment()
    async with contextlib.AsyncExitStack() as stack:
        await environment.async_start(stack)
        yield environment


def encode_request(
    method: str,
    path: str,
    *lines: str,
    key: str = environments.API_KEY,
    body: str = "",
) -> bytes:
    head = [f"{method} {path} HTTP/1.1", "Host: x", *lines]
    if key:
        head.append(f"X-Api-Key: {key}")
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


async def async_send(port: int, data: bytes) -> tuple[int, dict[str, Any]]:
    """Opens a connection, sends the bytes and reads one response.

    Returns:
        The status code and the decoded JSON body.

    Raises:
        TimeoutError: No whole response arrived within `STATE_TIMEOUT_S`.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(STATE_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            length_lines = [
                line for line in lines if line.startswith("content-length:")
            ]
            body = await reader.readexactly(
                int(length_lines[0].partition(":")[2])
            )
    finally:
        writer.close()
    return int(head.split()[1]), json.loads(body)


INVALID_REQUESTS = [
    (
        "no key",
        encode_request("GET", "/app/pens/1", key=""),
        401,
        "unauthorized",
    ),
    (
        "wrong",
        encode_request("GET", "/app/pens/1", key="no"),
        401,
        "unauthorized",
    ),
    ("no service", encode_request("GET", "/none/pens/1"), 404, "unknown_route"),
    ("no route", encode_request("GET", "/app/none"), 404, "unknown_route"),
    (
        "wrong method",
        encode_request("PUT", "/app/pens/1"),
        404,
        "unknown_route",
    ),
    (
        "no idempotency key",
        encode_request("POST", "/app/fees", "Content-Length: 0"),
        400,
        "key_required",
    ),
    (
        "large body",
        encode_request(
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
        encode_request(
            "GET", "/app/pens/1", "X-Long: " + "x" * 2 * HEADER_LIMIT
        ),
        431,
        "header_too_large",
    ),
    (
        "large path",
        encode_request("GET", "/app/pens/" + "x" * 2 * HEADER_LIMIT),
        431,
        "header_too_large",
    ),
    ("no HTTP", b"\x16\x03\x01\x00\r\n\r\n", 400, "bad_request"),
    (
        "two lengths",
        encode_request(
            "POST", "/app/fees", "Content-Length: 1", "Content-Length: 2"
        ),
        400,
        "bad_request",
    ),
    ("half a header", b"GET /app/pens/1 HTT", 408, "timeout"),
    (
        "half a body",
        encode_request(
            "POST", "/lm/v1/completions", "Content-Length: 99", body="half"
        ),
        408,
        "timeout",
    ),
]


async def test_invalid_requests_are_rejected_and_reach_no_server(
    env: environments.RouterEnvironment,
) -> None:
    """Each invalid request gets its own reason and is marked as not run.

    The backend servers must receive none of them, and the router must still
    answer a valid request afterwards.
    """
    for case, data, status, reason in INVALID_REQUESTS:
        answer = await async_send(env.caller_port, data)
        assert answer[0] == status, case
        assert (answer[1]["reason"], answer[1]["not_run"]) == (reason, "true")
    assert "serve" not in env.plain_server.calls
    assert "completion" not in env.engine.calls
    valid_request = encode_request("GET", "/app/pens/1")
    assert (await async_send(env.caller_port, valid_request))[0] == 200


INVALID_RECORDS = [
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


async def test_invalid_records_are_rejected_and_change_nothing(
    env: environments.RouterEnvironment,
) -> None:
    """Records that can't be decoded must leave the configuration as it was.

    The error names what is wrong: the JSON, the schema version or the field.
    """
    before = dict(env.object_api.objects)
    headers = {"Authorization": f"Bearer {environments.OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(env.operator_url, headers=headers) as http:
        for body, expected_detail in INVALID_RECORDS:
            async with http.post(
                operator_const.PATH_RECORDS, data=body
            ) as resp:
                assert resp.status == 400
                assert expected_detail in (await resp.json())["detail"]
    config = membership_const.KEY_CONFIG
    assert env.object_api.objects[config] == before[config]


async def test_caller_that_stops_reading_is_disconnected(
    env: environments.RouterEnvironment,
) -> None:
    """A caller that stops reading must not make the router buffer its response.

    The engine streams a response far larger than the buffers on the way, and
    the caller reads nothing. The router is to close the connection when its
    writes stall, and so cancel the request at the engine.
    """
    tokens = 1_000_000
    payload = {"prompt": "p", "max_tokens": tokens, "stream": True}
    body = json.dumps(payload)
    data = encode_request(
        "POST",
        "/lm/v1/completions",
        f"Content-Length: {len(body)}",
        body=body,
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", env.caller_port))
    sock.sendall(data)
    await environments.async_until(env.async_has_timed_out_connection)
    await asyncio.wait_for(env.engine.idle.wait(), STATE_TIMEOUT_S)
    sock.close()
    assert env.engine.cancelled == 1
    assert env.engine.tokens < tokens


async def test_connections_above_the_limit_are_closed(
    env: environments.RouterEnvironment,
) -> None:
    """Callers that keep connections open must not use up the router's sockets.

    A connection above the limit is closed at once, and the router accepts new
    ones when others have closed.
    """
    connections = [
        await asyncio.open_connection("127.0.0.1", env.caller_port)
        for _ in range(environments.CALLER_LIMITS.max_connections)
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", env.caller_port)
    assert await reader.read() == b""
    for _, open_writer in [*connections, (reader, writer)]:
        open_writer.close()
    await environments.async_until(env.async_has_no_connections)
    valid_request = encode_request("GET", "/app/pens/1")
    assert (await async_send(env.caller_port, valid_request))[0] == 200
