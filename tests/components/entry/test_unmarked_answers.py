"""Answers of backend servers with neither a length nor chunks.

Such an answer ends where its connection does, for whatever reason. They guard
against a router that states a length or a final chunk that it does not know.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web
import pytest

from standins import backend, plain_service
from tamarackbridge.components.backend import connection_check
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.entry import const
from tamarackbridge.components.records import models
from tamarackbridge.helpers import resets
from tests.components.entry import rig as rig_lib

LOOKUP = models.Route("lookup", "GET", "/x", True, 5.0, True)
PAYMENT = models.Route("pay", "POST", "/pay", False, 5.0, True)
PART = b'{"state": "paid", "amo'


class _Unmarked(backend.Backend):
    """Sends a part of an answer without marking its end, and closes.

    Attributes:
        runs: Number of requests received.
        on_part_sent: Called before the connection is closed.
    """

    def __init__(
        self, resets_connection: bool = False, crashes: bool = False
    ) -> None:
        super().__init__(backend.BackendFaults())
        self.runs = 0
        self.on_part_sent: Callable[[], None] = lambda: None
        self._resets_connection = resets_connection
        self._crashes = crashes

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        await req.read()
        transport = req.transport
        assert isinstance(transport, asyncio.Transport)
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"%b: %b\r\nConnection: close\r\n\r\n%b"
            % (backend.ATTR_REQUEST_ID.encode(), request_id.encode(), PART)
        )
        await asyncio.sleep(0.05)
        self.on_part_sent()
        if self._crashes:
            # The kernel closes the connections of a dead process in order.
            await self.async_stop_listening()
        if self._resets_connection:
            resets.reset_on_close(transport)
        transport.close()
        return web.Response()


async def _async_raw(
    rig: rig_lib.Rig, method: str, path: str, version: str = "1.1"
) -> tuple[list[bytes], bytes]:
    """Returns the lines of an answer's head, and its body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.entry.port)
    head = (
        f"{method} {path} HTTP/{version}\r\nHost: a\r\n"
        f"X-Api-Key: {rig_lib.KEY}\r\nIdempotency-Key: k\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(5):
            writer.write(head.encode())
            received = await reader.read()
    finally:
        writer.transport.abort()
    answer_head, _, body = received.partition(b"\r\n\r\n")
    return answer_head.lower().split(b"\r\n"), body


def _is_marked(head: list[bytes]) -> bool:
    marks = (b"content-length:", b"transfer-encoding:")
    return any(line.startswith(marks) for line in head)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_unmarked_answer_is_passed_on_unmarked(
    method: str, version: str
) -> None:
    path = "/s/x" if method == "GET" else "/s/pay"
    server = _Unmarked()
    async with rig_lib.Rig([server], LOOKUP, PAYMENT) as rig:
        head, body = await _async_raw(rig, method, path, version)

    assert head[0].split()[1] == b"200"
    assert body == PART
    assert not _is_marked(head)
    assert server.runs == 1
    assert rig.granter.done[-1].outcome.value == "ok"


async def test_unmarked_answer_is_not_stored_as_the_outcome() -> None:
    """Guards against a part of an answer that is replayed with a length."""
    async with rig_lib.Rig([_Unmarked()], PAYMENT) as rig:
        await _async_raw(rig, "POST", "/s/pay")

    assert [closed.state for closed in rig.granter.closed] == [
        claims.ClaimState.UNKNOWN
    ]


async def test_reset_unmarked_answer_is_retried() -> None:
    """Guards against a reset that passes for the end of an answer."""
    servers = [_Unmarked(resets_connection=True), plain_service.PlainService()]
    async with rig_lib.Rig(servers, LOOKUP) as rig:
        reply = await rig.async_request()

    assert reply.status == 200
    assert not reply.body.startswith(PART)


async def test_reset_unmarked_answer_of_a_payment_is_unknown() -> None:
    servers = [_Unmarked(resets_connection=True), plain_service.PlainService()]
    async with rig_lib.Rig(servers, PAYMENT) as rig:
        reply = await rig.async_request("POST", "/s/pay")

    assert reply.problem["reason"] == const.Reason.OUTCOME_UNKNOWN.value
    assert servers[1].state()["runs"] == {}


async def test_unmarked_answer_of_a_server_that_crashed_is_retried() -> None:
    """Guards against half an answer that passes for a whole one.

    The kernel closes the connections of a dead process in good order.
    """
    servers = [_Unmarked(crashes=True), plain_service.PlainService()]
    async with rig_lib.Rig(servers, LOOKUP) as rig:
        reply = await rig.async_request()

    assert reply.status == 200
    assert not reply.body.startswith(PART)
    assert [done.outcome.value for done in rig.granter.done] == ["failed", "ok"]


async def test_unmarked_answer_of_a_server_that_crashed_is_unknown() -> None:
    """A payment may have run, so that it runs nowhere else."""
    servers = [_Unmarked(crashes=True), plain_service.PlainService()]
    async with rig_lib.Rig(servers, PAYMENT) as rig:
        reply = await rig.async_request("POST", "/s/pay")

    assert reply.problem["reason"] == const.Reason.OUTCOME_UNKNOWN.value
    assert servers[1].state()["runs"] == {}
    assert [closed.state for closed in rig.granter.closed] == [
        claims.ClaimState.UNKNOWN
    ]


async def test_unmarked_answer_of_a_draining_server_is_passed_on() -> None:
    """It may finish its answers after it has stopped listening."""
    server = _Unmarked(crashes=True)
    async with rig_lib.Rig([server], LOOKUP) as rig:
        server.on_part_sent = rig.drain_servers
        head, body = await _async_raw(rig, "GET", "/s/x")

    assert head[0].split()[1] == b"200"
    assert body == PART
    assert not _is_marked(head)


async def test_failed_connection_check_tells_nothing_about_a_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A live server whose queue of new connections is full drops them."""

    async def _async_fail(*_: object) -> tuple[connection_check.Check, str]:
        await asyncio.sleep(0)
        return connection_check.Check.FAILED, "timed out"

    monkeypatch.setattr(connection_check, "async_check", _async_fail)
    async with rig_lib.Rig([_Unmarked()], LOOKUP) as rig:
        head, body = await _async_raw(rig, "GET", "/s/x")

    assert (head[0].split()[1], body) == (b"200", PART)
