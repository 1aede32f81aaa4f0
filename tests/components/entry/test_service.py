"""Faults of backend servers and callers, over real listeners.

They guard against work that runs twice, answers that are cut or belong to
another request but look complete, and problem documents that state more about
the work than is known.
"""

import asyncio
import dataclasses
import json
import pathlib
import socket
import ssl
from typing import Any

import aiohttp
import pytest

from standins import backend, engine, plain_service
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.entry import const, service
from tamarackbridge.components.records import models
from tests import certificates
from tests.components.entry import rig as rig_lib

TOKENS = 8
STREAM = json.dumps(
    {"prompt": "p", "max_tokens": TOKENS, "stream": True}
).encode()
LOOKUP = models.Route("lookup", "GET", "/x", True, 2.0, True)
PAYMENT = models.Route("pay", "POST", "/pay", False, 2.0, True)
DRAFT = models.Route("draft", "POST", "/v1/completions", True, 5.0, False)


def _plain(**faults: Any) -> plain_service.PlainService:
    return plain_service.PlainService(plain_service.PlainFaults(**faults))


def _engine(**faults: Any) -> engine.Engine:
    settings = {"first_token_s": 0.0, "token_s": 0.001, **faults}
    return engine.Engine(engine.EngineFaults(**settings))


@dataclasses.dataclass(frozen=True)
class Row:
    """A fault of the first backend server and the expected results.

    The second server is healthy.

    Attributes:
        name: The fault in words.
        faults: Settings of the stand-in server for the fault.
        lookup: Status of an idempotent request.
        payment: Status of a non-idempotent request.
        not_run: `not_run` in the answer to the non-idempotent request; empty
            if it succeeds.
        runs: How often the work of the non-idempotent request ran on both
            servers.
    """

    name: str
    faults: dict[str, Any]
    lookup: int
    payment: int
    not_run: str
    runs: int


_ROWS = (
    Row("healthy", {}, 200, 200, "", 1),
    Row("dies before it answers", {"down": True}, 200, 409, "unknown", 0),
    Row("falls over under it", {"bears_warm": -1}, 200, 409, "unknown", 0),
    Row("loses its answer", {"lose_answer": 1.0}, 200, 409, "unknown", 1),
    Row("proves that it did not start", {"refuse": 1.0}, 200, 200, "", 1),
    Row("answers another's", {"crossed": 1.0}, 200, 409, "unknown", 1),
    Row("cuts its body", {"truncated": 1.0}, 200, 409, "unknown", 1),
    Row("answers nothing", {"empty": 1.0}, 200, 409, "unknown", 1),
    Row("answers after the deadline", {"late_s": 9.0}, 504, 504, "unknown", 1),
)


@pytest.mark.parametrize("row", _ROWS, ids=[row.name for row in _ROWS])
async def test_fault_of_a_plain_service(row: Row) -> None:
    """Guards against retries of work that may have run, and false `not_run`."""
    servers = [_plain(**row.faults), _plain()]
    short = [
        dataclasses.replace(route, deadline_s=0.4)
        for route in (LOOKUP, PAYMENT)
    ]
    async with rig_lib.Rig(servers, *short) as rig:
        lookup = await rig.async_request()
        payment = await rig.async_request("POST", "/s/pay", b"b")

    assert lookup.status == row.lookup
    assert payment.status == row.payment
    assert payment.problem.get("not_run", "") == row.not_run
    assert sum(srv.runs.get("k", 0) for srv in servers) == row.runs
    if lookup.status == 200:
        assert json.loads(lookup.body)["path"] == "/x"


def _tokens(body: bytes) -> list[int]:
    lines = [line[6:] for line in body.split(b"\n") if line]
    return [json.loads(line)["index"] for line in lines if line != b"[DONE]"]


@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"cut_after": 3},
        {"truncated": 1.0},
        {"crossed": 1.0},
        {"cut_after": 3, "resume": False},
        {"refuse": 1.0},
    ],
    ids=str,
)
async def test_stream_is_resumed_with_no_token_lost_or_repeated(
    faults: dict[str, Any],
) -> None:
    servers = [_engine(**faults), _engine()]
    async with rig_lib.Rig(servers, DRAFT) as rig:
        reply = await rig.async_request("POST", "/s/v1/completions", STREAM)

    assert not reply.cut
    assert _tokens(reply.body) == list(range(TOKENS))
    assert reply.body.endswith(b"data: [DONE]\n\n")


async def test_stream_that_no_engine_can_complete_is_cut_visibly() -> None:
    """Guards against an incomplete stream that ends like a complete one."""
    servers = [_engine(cut_after=3), _engine(cut_after=2)]
    async with rig_lib.Rig(servers, DRAFT) as rig:
        reply = await rig.async_request("POST", "/s/v1/completions", STREAM)

    assert reply.cut
    assert _tokens(reply.body) == [0, 1, 2, 3, 4]
    assert b"[DONE]" not in reply.body


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (200, "text/plain"),
        (204, "text/plain"),
        (206, "text/plain"),
        (302, "text/plain"),
        (404, "text/plain"),
        (404, "text/event-stream"),
        (500, "text/plain"),
    ],
)
async def test_plain_answer_does_not_end_a_stream_that_has_begun(
    status: int, kind: str
) -> None:
    """Guards against a plain answer that is appended to a stream or ends it.

    An engine is lost in the middle of a stream, and the retry on the next one
    is not answered with a stream.
    """
    plain = _engine(plain_status=status, plain_type=kind)
    servers = [_engine(cut_after=3), plain]
    async with rig_lib.Rig(servers, DRAFT) as rig, asyncio.timeout(5):
        reply = await rig.async_request("POST", "/s/v1/completions", STREAM)

    assert reply.cut
    assert _tokens(reply.body) == [0, 1, 2]
    assert [done.outcome.value for done in rig.granter.done] == ["failed"] * 2


async def test_collected_stream_is_never_joined_from_two_engines() -> None:
    """Guards against a second run of work whose buffered stream was cut."""
    servers = [_engine(cut_after=3), _engine()]
    once = dataclasses.replace(DRAFT, idempotent=False)
    async with rig_lib.Rig(servers, once) as rig, asyncio.timeout(5):
        reply = await rig.async_request("POST", "/s/v1/completions", STREAM)

    assert reply.problem["reason"] == const.Reason.OUTCOME_UNKNOWN.value
    assert rig.granter.closed[0].state is claims.ClaimState.UNKNOWN
    assert servers[1].runs == {}


async def test_stream_past_its_permits_life_is_cut_visibly() -> None:
    """Guards against work that goes on after its permit has expired."""
    async with rig_lib.Rig([_engine(token_s=0.2)], DRAFT, life_s=0.5) as rig:
        reply = await rig.async_request("POST", "/s/v1/completions", STREAM)

    assert reply.cut
    assert b"[DONE]" not in reply.body


async def test_caller_who_leaves_a_stream_cancels_it_upstream() -> None:
    """Guards against engines that go on generating for a closed connection."""
    server = _engine(token_s=0.05)
    async with rig_lib.Rig([server], DRAFT) as rig:
        ask = rig.async_request("POST", "/s/v1/completions", STREAM)
        task = asyncio.create_task(ask)
        await _async_until(lambda: server.tokens >= 2)
        task.cancel()
        await _async_until(lambda: server.cancelled == 1)
        await _async_until(lambda: bool(rig.granter.done))

    assert server.tokens < TOKENS
    assert rig.granter.done[-1].outcome.value == "cancelled"


async def test_payment_goes_on_and_is_stored_when_its_caller_leaves() -> None:
    """Guards against an unknown outcome because the caller disconnected."""
    server = _plain(work_s=0.2)
    async with rig_lib.Rig([server], PAYMENT) as rig:
        ask = rig.async_request("POST", "/s/pay", b"b")
        task = asyncio.create_task(ask)
        await _async_until(lambda: bool(server.runs))
        task.cancel()
        await _async_until(lambda: bool(rig.granter.closed))

    assert server.runs == {"k": 1}
    assert rig.granter.closed[0].state is claims.ClaimState.FINISHED
    assert json.loads(rig.granter.closed[0].body)["key"] == "k"


async def test_payment_that_no_server_takes_is_abandoned_and_not_run() -> None:
    """Guards against a claim that blocks retries though nothing has run."""
    servers = [_plain(refuse=1.0), _plain(refuse=1.0)]
    async with rig_lib.Rig(servers, PAYMENT) as rig:
        reply = await rig.async_request("POST", "/s/pay", b"b")

    assert (reply.status, reply.problem["not_run"]) == (503, "true")
    assert rig.granter.closed[0].state is claims.ClaimState.ABANDONED
    assert [srv.runs for srv in servers] == [{}, {}]


async def test_drain_finishes_requests_in_flight_and_accepts_no_more() -> None:
    """Guards against requests that a shutdown cuts or loses.

    One request is in flight as the drain starts; one arrives before the load
    balancer has noticed the drain.
    """
    servers: list[backend.Backend] = [_engine(token_s=0.1)]
    async with rig_lib.Rig(servers, DRAFT) as rig:
        in_flight = asyncio.create_task(
            rig.async_request("POST", "/s/v1/completions", STREAM)
        )
        await _async_until(lambda: rig.entry.in_flight == 1)
        drain = asyncio.create_task(rig.entry.async_drain())
        await asyncio.sleep(0)
        early = await rig.async_request("POST", "/s/v1/completions", STREAM)
        await drain
        assert rig.entry.in_flight == 0
        url = f"http://127.0.0.1:{rig.entry.port}/s/x"
        with pytest.raises(aiohttp.ClientConnectorError):
            await rig.session.get(url)

    for reply in (await in_flight, early):
        assert not reply.cut
        assert _tokens(reply.body) == list(range(TOKENS))


async def _async_until(condition: Any) -> None:
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def test_answer_beyond_the_largest_size_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that fills the memory while it is buffered."""
    monkeypatch.setattr(const, "MAX_BUFFERED_BYTES", 4)
    async with rig_lib.Rig([_plain(), _plain()], LOOKUP) as rig:
        reply = await rig.async_request()

    assert reply.problem["reason"] == const.Reason.NO_CAPACITY.value
    assert reply.problem["not_run"] == "unknown"


async def test_cut_stream_does_not_look_whole_to_a_caller_without_chunks() -> (
    None
):
    """HTTP/1.0 ends an answer with its connection; only a reset shows a cut."""
    servers = [_engine(cut_after=3), _engine(cut_after=2)]
    head = (
        f"POST /s/v1/completions HTTP/1.0\r\nX-Api-Key: {rig_lib.KEY}\r\n"
        f"Content-Length: {len(STREAM)}\r\n\r\n"
    )
    async with rig_lib.Rig(servers, DRAFT) as rig, asyncio.timeout(5):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", rig.entry.port
        )
        writer.write(head.encode() + STREAM)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize("is_tls", [False, True])
async def test_shutdown_resets_a_stream_that_has_no_chunks(
    is_tls: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cut stream that ends like a whole one.

    HTTP/1.0 has no chunks. The close that a shutdown causes is the one that the
    death of the router causes, too. TLS marks the end of the data on close.
    """
    server_context, caller_context = None, None
    if is_tls:
        authority = certificates.Authority(tmp_path, "ours")
        server_context, caller_context = authority.contexts("server")
    monkeypatch.setattr(service, "SHUTDOWN_TIMEOUT_S", 0.05)
    head = (
        f"POST /s/v1/completions HTTP/1.0\r\nX-Api-Key: {rig_lib.KEY}\r\n"
        f"Content-Length: {len(STREAM)}\r\n\r\n"
    )
    servers = [_engine(token_s=0.1)]
    async with (
        rig_lib.Rig(servers, DRAFT, ssl_context=server_context) as rig,
        asyncio.timeout(5),
    ):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", rig.entry.port, ssl=caller_context
        )
        writer.write(head.encode() + STREAM)
        await reader.readuntil(b"\n\n")
        await rig.entry.stop()
        try:
            with pytest.raises(ConnectionResetError):
                await reader.read()
        finally:
            writer.transport.abort()


async def test_caller_that_ends_its_tls_data_is_not_told_that_a_stream_ended(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the answer of the TLS library to a caller's close_notify.

    The router's own close_notify would mark the end of the stream's data.
    """
    authority = certificates.Authority(tmp_path, "ours")
    server_context, caller_context = authority.contexts("server")
    head = (
        f"POST /s/v1/completions HTTP/1.0\r\nX-Api-Key: {rig_lib.KEY}\r\n"
        f"Content-Length: {len(STREAM)}\r\n\r\n"
    )

    def end_data_within_stream(port: int) -> None:
        address = ("127.0.0.1", port)
        with (
            socket.create_connection(address, 5) as conn,
            caller_context.wrap_socket(
                conn, server_hostname="127.0.0.1"
            ) as caller,
        ):
            caller.sendall(head.encode() + STREAM)
            received = b""
            while b"\n\n" not in received:
                received += caller.recv(65_536)
            with pytest.raises((ConnectionResetError, ssl.SSLEOFError)):
                caller.unwrap()  # Returns once the router ends its data, too.

    servers = [_engine(token_s=60.0)]
    async with rig_lib.Rig(servers, DRAFT, ssl_context=server_context) as rig:
        await asyncio.to_thread(end_data_within_stream, rig.entry.port)
