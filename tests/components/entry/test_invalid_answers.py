"""Invalid answers of backend servers at the product's own interface.

They guard against a caller that gets a status that is none, and against work
that runs twice because an invalid answer said that it had not started.
"""

import asyncio
import pathlib

from aiohttp import web
import pytest

from standins import backend, plain_service
from tamarackbridge.components.entry import const
from tamarackbridge.components.records import models
from tamarackbridge.helpers import resets
from tests import certificates
from tests.components.entry import rig as rig_lib
from tests.helpers import invalid_responses

LOOKUP = models.Route("lookup", "GET", "/x", True, 5.0, True)
PAYMENT = models.Route("pay", "POST", "/pay", False, 5.0, True)
ANSWER = b'{"state": "invalid"}'
BODY = b"u" * 4_000_000
"""More than a server's kernel takes that does not read."""

CASES = pytest.mark.parametrize("case", invalid_responses.CASES)


class _Raw(backend.Backend):
    """Answers with an invalid answer that says that the work did not start.

    Attributes:
        runs: Number of requests received.
    """

    def __init__(self, case: str) -> None:
        super().__init__(backend.BackendFaults())
        self.runs = 0
        self._case = case

    def add_routes(self, router: web.UrlDispatcher) -> None:
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        await req.read()
        assert isinstance(req.transport, asyncio.Transport)
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        fields = (
            f"{backend.ATTR_REQUEST_ID}: {request_id}\r\n"
            f"{const.HEADER_NOT_STARTED}: true\r\n"
        )
        data = invalid_responses.make(self._case, ANSWER, fields.encode())
        req.transport.write(data)
        req.transport.close()
        return web.Response()


@CASES
async def test_invalid_answer_is_retried(case: str) -> None:
    servers = [_Raw(case), plain_service.PlainService()]
    async with rig_lib.Rig(servers, LOOKUP) as rig:
        reply = await rig.async_request()

    assert reply.status == 200
    assert ANSWER not in reply.body
    assert [done.outcome.value for done in rig.granter.done] == ["failed", "ok"]


@CASES
async def test_invalid_answer_of_a_payment_is_unknown(case: str) -> None:
    servers = [_Raw(case), plain_service.PlainService()]
    async with rig_lib.Rig(servers, PAYMENT) as rig:
        reply = await rig.async_request("POST", "/s/pay")

    assert reply.problem["reason"] == const.Reason.OUTCOME_UNKNOWN.value
    assert servers[0].runs == 1
    assert servers[1].state()["runs"] == {}


class _Second(_Raw):
    """Answers the first request twice, later ones once, on open connections."""

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        await req.read()
        if self.runs > 1:
            return web.Response(
                body=b"%d" % self.runs,
                headers={
                    backend.ATTR_REQUEST_ID: req.headers[
                        backend.ATTR_REQUEST_ID
                    ]
                },
            )
        assert isinstance(req.transport, asyncio.Transport)
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        fields = f"{backend.ATTR_REQUEST_ID}: {request_id}\r\n"
        data = invalid_responses.make(self._case, ANSWER, fields.encode())
        req.transport.write(data)
        await asyncio.Event().wait()  # Until the router closes.
        raise AssertionError


@pytest.mark.parametrize("case", invalid_responses.SECOND)
async def test_answer_of_a_payment_arrives_if_another_follows(
    case: str,
) -> None:
    """Guards against the loss of a payment's result."""
    servers = [_Second(case)]
    async with rig_lib.Rig(servers, PAYMENT) as rig:
        for number, body in enumerate((ANSWER, b"2", b"3"), 1):
            reply = await rig.async_request("POST", "/s/pay")
            assert (reply.status, reply.body) == (200, body)
            assert servers[0].runs == number


class _Early(_Raw):
    """Answers a part before it has read the request, and leaves."""

    def __init__(self, leave: str) -> None:
        super().__init__("")
        self._leave = leave

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.runs += 1
        assert isinstance(req.transport, asyncio.Transport)
        request_id = req.headers[backend.ATTR_REQUEST_ID]
        req.transport.write(
            f"HTTP/1.1 200 X\r\n{backend.ATTR_REQUEST_ID}: {request_id}\r\n"
            "Connection: close\r\n\r\n".encode()
            + ANSWER
        )
        if self._leave == "sending-side":
            req.transport.write_eof()
            await req.read()
        elif self._leave == "reset":
            resets.reset_on_close(req.transport)
        req.transport.close()
        return web.Response()


@pytest.mark.parametrize("is_tls", [False, True])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("leave", ["reset", "close", "sending-side"])
async def test_part_of_an_early_answer_is_unknown(
    leave: str, version: str, is_tls: bool, tmp_path: pathlib.Path
) -> None:
    """Only callers use TLS; servers are reached without it."""
    server_context, caller_context = None, None
    if is_tls:
        authority = certificates.Authority(tmp_path, "ours")
        server_context, caller_context = authority.contexts("server")
    servers = [_Early(leave), plain_service.PlainService()]
    rig = rig_lib.Rig(servers, PAYMENT, ssl_context=server_context)
    async with rig, asyncio.timeout(10):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", rig.entry.port, ssl=caller_context
        )
        writer.write(
            f"POST /s/pay HTTP/{version}\r\nHost: a\r\nX-Api-Key: "
            f"{rig_lib.KEY}\r\nIdempotency-Key: k\r\nConnection: close\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n".encode()
            + BODY
        )
        received = await reader.read()
        writer.transport.abort()

    assert const.Reason.OUTCOME_UNKNOWN.value.encode() in received
    assert ANSWER not in received
    assert servers[1].state()["runs"] == {}
