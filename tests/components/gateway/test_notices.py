"""Servers that leave by their answers alone, or ask to be spared."""

import asyncio

import pytest

from standins import platform_server
from tamarackbridge.components.placement import ledger
from tests.components.gateway import place

Fault = platform_server.Fault
LEAVES = {"Server-Leaving": "1"}
MANY = 12


async def _async_send_many(here: place.Place, path: str = "/read/1") -> None:
    for number in range(MANY):
        got = await here.async_send(path, request_id=f"m{number}")
        assert got.status == 200


async def _async_favourite(
    here: place.Place,
) -> platform_server.PlatformServer:
    """Returns the server that the router uses while all are idle."""
    got = await here.async_send("/read/1", request_id="first")
    assert got.status == 200
    return next(it for it in here.servers if it.seen)


async def _async_until_left(
    here: place.Place, path: str, fault: Fault = Fault.NONE
) -> platform_server.PlatformServer:
    """Lets a server say that it leaves, in one answer."""
    leaver = await _async_favourite(here)
    leaver.says = LEAVES
    leaver.faults = [fault]
    await here.async_send(path, request_id="last")
    assert len(leaver.seen) == 2
    return leaver


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("/read/1", Fault.NONE),
        ("/pay/1", Fault.FAIL),
        ("/pay/1", Fault.REFUSE),
        ("/stream/1", Fault.NONE),
    ],
)
async def test_server_that_says_so_gets_nothing_more_without_the_store(
    path: str, fault: Fault
) -> None:
    async with place.async_place() as here:
        here.store.faults.status = 503
        leaver = await _async_until_left(here, path, fault)
        seen = len(leaver.seen)
        await _async_send_many(here)
        assert len(leaver.seen) == seen


async def test_head_of_a_stream_under_way_is_enough(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What was placed before the notice may cross it, nothing else."""
    async with place.async_place() as here:
        for server in here.servers:
            server.pace_s = 0.1
        leaver = await _async_favourite(here)
        leaver.says = LEAVES
        told = here.router._using.told
        work = here.router._using.work
        known = here.router._copy.servers[leaver.name].server
        placed_late: list[bool] = []
        begin = work.begin

        def note(ticket: ledger.Ticket) -> None:
            if ticket.server.name == leaver.name:
                placed_late.append(told.is_leaving(ticket.server))
            begin(ticket)

        monkeypatch.setattr(work, "begin", note)
        calls = [
            asyncio.create_task(
                here.async_send("/stream/1", request_id=f"s{number}")
            )
            for number in range(MANY)
        ]
        await place.async_until(lambda: told.is_leaving(known))
        assert not any(it.done() for it in calls)
        await _async_send_many(here)
        assert {(await it).status for it in calls} == {200}
        assert not any(placed_late)
        seen = [it.headers["X-Request-Id"] for it in leaver.seen[1:]]
        assert 0 < len(seen) <= len(placed_late)
        assert not any(it.startswith("m") for it in seen)


async def test_notice_outlives_registrations_and_configurations() -> None:
    async with place.async_place() as here:
        for server in here.servers:
            await here.async_begin_life(server.name, 1_000)
        leaver = await _async_until_left(here, "/read/1")
        other = next(it for it in here.servers if it is not leaver)
        seen = len(leaver.seen)
        await here.store.async_remove("servers", leaver.name)
        known = here.router._copy.servers
        await place.async_until(lambda: leaver.name not in known)
        await here.async_begin_life(leaver.name, 1_000)
        cfg = {**place.CONFIGURATION, "version": 2}
        await here.store.async_put("config", "main", cfg)
        await here.async_until_version(2)
        await _async_send_many(here)
        assert len(leaver.seen) == seen
        leaver.says = {}
        await here.async_begin_life(leaver.name, 2_000)
        await here.async_drain(other.name)
        await _async_send_many(here)
        assert len(leaver.seen) == seen + MANY


async def test_service_whose_servers_all_leave_refuses_at_once() -> None:
    async with place.async_place() as here:
        for server in here.servers:
            server.says = LEAVES
        for number in range(2):
            await here.async_send("/read/1", request_id=f"l{number}")
        ran = len(here.ran())
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0
        assert len(here.ran()) == ran


@pytest.mark.parametrize("value", ["0", "true", "soon", "1, 1"])
async def test_other_value_is_no_notice_and_is_counted(value: str) -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].says = {"Server-Leaving": value}
        await _async_send_many(here)
        text = here.router._registry.render().decode()
        assert f'header="Server-Leaving"}} {MANY}.0' in text


async def test_server_that_asks_to_be_spared_gets_nothing_more() -> None:
    async with place.async_place() as here:
        spared = await _async_favourite(here)
        other = next(it for it in here.servers if it is not spared)
        spared.refuses = True
        spared.says = {"Retry-After": "30"}
        await _async_send_many(here, "/pay/1")
        assert len(spared.seen) == 2
        assert len(other.ran) == MANY


async def test_all_servers_spared_is_refused_with_the_earliest_end() -> None:
    async with place.async_place() as here:
        for server, advice in zip(here.servers, ("40", "30"), strict=True):
            server.refuses = True
            server.says = {"Retry-After": advice}
        got = await here.async_send("/pay/1", request_id="p0")
        assert got.status == 503
        seen = sum(len(server.seen) for server in here.servers)
        assert seen == 2
        for number in range(1, MANY):
            got = await here.async_send("/read/1", request_id=f"p{number}")
            assert got.status == 503
            assert 25 < float(got.headers["Retry-After"]) <= 31
        assert sum(len(server.seen) for server in here.servers) == seen


async def test_flood_under_way_when_a_server_asks_to_be_spared() -> None:
    """Many callers at once, streams that repeat, and a server that is full."""
    async with place.async_place() as here:
        spared = await _async_favourite(here)
        spared.refuses = True
        spared.says = {"Retry-After": "30"}
        paths = ("/read/1", "/pay/1", "/stream/r/1")
        calls = [
            here.async_send(paths[number % 3], request_id=f"f{number}")
            for number in range(60)
        ]
        got = await asyncio.gather(*calls)
        assert {it.status for it in got} <= {200, 503}
        crossed = len(spared.seen)
        await _async_send_many(here)
        assert len(spared.seen) == crossed


async def test_answer_of_another_server_is_no_notice_of_the_named_one() -> None:
    """An address was given to another server, which leaves."""
    async with place.async_place(servers=1) as here:
        here.servers[0].says = LEAVES
        here.servers[0].faults = [Fault.ELSEWHERE]
        await here.async_send("/pay/1")
        here.servers[0].says = {}
        here.router._using.breakers.forget("i-0")
        got = await here.async_send("/pay/1", request_id="q2")
        assert got.status == 200
