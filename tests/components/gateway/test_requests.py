"""One request of each kind through a whole router, and its faults."""

import asyncio
import contextlib

import aiohttp
import pytest

from standins import platform_server
from tests.components.gateway import place

Fault = platform_server.Fault
WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(platform_server.EVENTS)
)


@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
async def test_plain_answer_is_the_servers(path: str) -> None:
    async with place.async_place() as here:
        got = await here.async_send(f"{path}?a=%2F&b", request_id="q7")
        assert got.status == 200
        assert got.body == b"answer to q7"
        assert got.headers["X-Response-Seal"] == "s"
        assert got.headers["X-Request-Id"] == "q7"
        seen = [it for server in here.servers for it in server.seen]
        assert len(seen) == 1
        assert seen[0].target == f"{path}?a=%2F&b"
        assert seen[0].body == b"question"
        assert seen[0].headers["X-Tenant"] == "w"
        assert "X-Api-Key" not in seen[0].headers
        assert 0 < int(seen[0].headers["X-Deadline-Ms"]) <= 3000


@pytest.mark.parametrize("path", ["/stream/1", "/stream/r/1"])
async def test_stream_is_passed_on_whole(path: str) -> None:
    async with place.async_place() as here:
        got = await here.async_send(path)
        assert got.status == 200
        assert got.body == WHOLE


@pytest.mark.parametrize(
    ("path", "key", "body", "status"),
    [
        ("/none/1", place.KEY, b"", 404),
        ("/read/1", "wrong", b"", 401),
        ("/open/1", "wrong", b"", 200),
        ("/read/1", place.KEY, b"x" * 2000, 200),
        ("/read/1", place.KEY, b"x" * 2001, 413),
    ],
)
async def test_what_the_configuration_does_not_allow(
    path: str, key: str, body: bytes, status: int
) -> None:
    async with place.async_place() as here:
        got = await here.async_send(path, key=key, body=body)
        assert got.status == status
        assert len(here.ran()) == (status == 200)


REPEATED = ("/read/1", 200, 2)
"""Repeated on the second server, which answers."""


@pytest.mark.parametrize(
    ("fault", "path", "status", "runs"),
    [
        (Fault.REFUSE, "/read/1", 200, 1),
        (Fault.REFUSE, "/pay/1", 200, 1),
        (Fault.ELSEWHERE, "/pay/1", 200, 1),
        (Fault.FAIL, *REPEATED),
        (Fault.FAIL, "/pay/1", 500, 1),
        (Fault.LOSE, *REPEATED),
        (Fault.LOSE, "/pay/1", 502, 1),
        (Fault.RESET, *REPEATED),
        (Fault.RESET, "/pay/1", 502, 1),
        (Fault.CROSS, *REPEATED),
        (Fault.CROSS, "/pay/1", 502, 1),
        (Fault.TRUNCATE, *REPEATED),
        (Fault.TRUNCATE, "/pay/1", 502, 1),
        (Fault.NOT_HTTP, *REPEATED),
        (Fault.NOT_HTTP, "/pay/1", 502, 1),
        (Fault.UNFRAMED, "/pay/1", 200, 1),
        (Fault.UNFRAMED_RESET, *REPEATED),
        (Fault.UNFRAMED_RESET, "/pay/1", 502, 1),
        (Fault.RESET, "/stream/1", 502, 1),
        (Fault.RESET, "/stream/r/1", 200, 2),
        (Fault.REFUSE, "/stream/1", 200, 1),
    ],
)
async def test_faults_of_one_server(
    fault: Fault, path: str, status: int, runs: int
) -> None:
    """The server that is asked first has the fault, the other one none."""
    async with place.async_place() as here:
        here.set_fault(fault)
        got = await here.async_send(path)
        assert got.status == status
        assert len(here.ran()) == runs


async def test_refused_by_all_servers_is_a_true_refusal() -> None:
    async with place.async_place() as here:
        here.set_fault(*[Fault.REFUSE] * 4)
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0
        assert here.ran() == []


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (Fault.CUT_EVENT, Fault.NONE),
        (Fault.CUT_BETWEEN, Fault.NONE),
        (Fault.CUT_END, Fault.NONE),
        (Fault.CUT_EVENT, Fault.RESTART),
        (Fault.CUT_EVENT, Fault.UNFRAMED),
    ],
)
async def test_stream_goes_on_at_another_server(
    first: Fault, second: Fault
) -> None:
    async with place.async_place() as here:
        here.set_fault(first, second)
        got = await here.async_send("/stream/r/1")
        assert got.status == 200
        assert got.body == WHOLE
        assert len(here.ran()) == 2


@pytest.mark.parametrize("fault", [Fault.CUT_EVENT, Fault.CUT_BETWEEN])
async def test_cut_stream_does_not_look_whole(fault: Fault) -> None:
    async with place.async_place() as here:
        here.set_fault(fault)
        with pytest.raises(aiohttp.ClientPayloadError):
            await here.async_send("/stream/1")
        assert len(here.ran()) == 1


@pytest.mark.parametrize(
    "second",
    [
        Fault.FAIL,
        Fault.REFUSE,
        Fault.ELSEWHERE,
        Fault.PLAIN,
        Fault.PARTIAL,
        Fault.NO_CONTENT,
        Fault.SHORT_RESTART,
        Fault.NO_NUMBERS,
        Fault.UNSEALED,
    ],
)
async def test_stream_that_no_server_goes_on_with_does_not_look_whole(
    second: Fault,
) -> None:
    """A server crashes in the middle, and the next one gives no stream."""
    async with place.async_place() as here:
        here.set_fault(Fault.CUT_EVENT, second)
        with pytest.raises(aiohttp.ClientPayloadError):
            await here.async_send("/stream/r/1")
        assert not any(server.faults for server in here.servers)


async def test_events_without_numbers_are_not_passed_on_twice() -> None:
    async with place.async_place() as here:
        here.set_fault(Fault.CUT_NO_NUMBERS, Fault.NO_NUMBERS)
        with pytest.raises(aiohttp.ClientPayloadError):
            await here.async_send("/stream/r/1")
        assert len(here.ran()) == 1


async def test_second_answer_belongs_to_no_request() -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].faults = [Fault.EXTRA]
        for number in range(3):
            got = await here.async_send("/pay/1", request_id=f"q{number}")
            assert got.body == f"answer to q{number}".encode()
        assert here.ran() == ["q0", "q1", "q2"]


@pytest.mark.parametrize("fault", [Fault.REFUSE_AGAIN, Fault.MISDIRECT_AGAIN])
async def test_refusal_that_comes_again_is_not_the_next_answer(
    fault: Fault,
) -> None:
    """A caller would be told "not run" of a request that runs."""
    async with place.async_place(servers=1) as here:
        here.servers[0].faults = [fault]
        first = await here.async_send("/pay/1", request_id="q0")
        assert first.status == 503
        got = await here.async_send("/pay/1", request_id="q1")
        assert got.body == b"answer to q1"
        assert here.ran() == ["q1"]


async def test_route_timeout_ends_the_wait() -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].faults = [Fault.HANG]
        got = await here.async_send("/short/1")
        assert got.status == 504


async def test_work_of_a_caller_that_left_is_ended() -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].pace_s = 0.02
        call = asyncio.create_task(here.async_send("/stream/1"))
        await place.async_until(lambda: bool(here.ran()))
        call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await call
        await place.async_until(lambda: bool(here.servers[0].cancelled))
        assert here.servers[0].cancelled == ["q1"]


async def test_no_server_is_refused_at_once() -> None:
    async with place.async_place(servers=0) as here:
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0


async def test_dead_server_is_not_the_end_of_a_payment() -> None:
    async with place.async_place(servers=1) as here:
        spec = {
            "service": "app",
            "address": "127.0.0.1:1",
            "zone": "z1",
            "slots": 6,
            "state": "ready",
        }
        for number in range(2):
            await here.store.async_put("servers", f"dead-{number}", spec)
        for number in range(6):
            got = await here.async_send("/pay/1", request_id=f"q{number}")
            assert got.status == 200


async def test_new_configuration_is_in_force() -> None:
    async with place.async_place() as here:
        routes = [place.route("new", "idempotent")]
        cfg = {**place.CONFIGURATION, "version": 2, "routes": routes}
        await here.store.async_put("config", "main", cfg)
        await here.async_until_status("/new/1", 200)
        assert (await here.async_send("/read/1")).status == 404


async def test_revoked_key_is_refused() -> None:
    async with place.async_place() as here:
        cfg = {**place.CONFIGURATION, "version": 2, "tenants": []}
        await here.store.async_put("config", "main", cfg)
        await here.async_until_status("/read/1", 401)


async def test_unreadable_registration_is_no_server() -> None:
    async with place.async_place(servers=1) as here:
        for number, spec in enumerate((None, 7, {"service": "app"}, [])):
            await here.store.async_put("servers", f"odd-{number}", spec)
        for number in range(4):
            got = await here.async_send("/pay/1", request_id=f"q{number}")
            assert got.status == 200


async def test_router_is_entered_in_the_store() -> None:
    async with place.async_place() as here:
        name = str(here.cfg.peers).replace(":", "_")
        kind = "tamarackbridge-routers"
        await place.async_until(lambda: name in here.store.names(kind))


async def test_idle_connection_is_closed_by_a_shutdown() -> None:
    """The connection would else stay open and never be answered."""
    async with place.async_place() as here:
        host, port = here.cfg.callers.host, here.cfg.callers.port
        reader, writer = await asyncio.open_connection(host, port)
        head = f"GET /read/1 HTTP/1.1\r\nHost: {place.HOST}\r\n"
        head += f"X-Request-Id: q1\r\nX-Api-Key: {place.KEY}\r\n\r\n"
        writer.write(head.encode())
        answer = await reader.readuntil(b"answer to q1")
        assert b"200" in answer
        here.router.close_idle()
        assert await reader.read() == b""
        writer.close()


async def test_request_under_way_is_answered_in_a_shutdown() -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].pace_s = 0.02
        call = asyncio.create_task(here.async_send("/stream/1"))
        await place.async_until(lambda: bool(here.ran()))
        here.router.close_idle()
        assert (await call).body == WHOLE
