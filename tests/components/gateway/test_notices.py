"""Server notices in response headers: announced shutdowns and Retry-After.

The router must stop sending requests to such a server on the notice alone,
without waiting for the store.
"""

import asyncio

import pytest

from standins import platform_server
from tamarackbridge.components.placement import ledger
from tests.components.gateway import rig

Fault = platform_server.Fault
ANNOUNCES_SHUTDOWN = {"Server-Leaving": "1"}
MANY = 12


async def _async_send_many(env: rig.Environment, path: str = "/read/1") -> None:
    for number in range(MANY):
        got = await env.async_send(path, request_id=f"m{number}")
        assert got.status == 200


async def _async_preferred_server(
    env: rig.Environment,
) -> platform_server.PlatformServer:
    """Returns the server that the router prefers while all are idle."""
    got = await env.async_send("/read/1", request_id="first")
    assert got.status == 200
    return next(server for server in env.servers if server.seen)


async def _async_announce_shutdown(
    env: rig.Environment, path: str, fault: Fault = Fault.NONE
) -> platform_server.PlatformServer:
    """Makes a server announce its shutdown in one response; returns it."""
    leaving = await _async_preferred_server(env)
    leaving.extra_headers = ANNOUNCES_SHUTDOWN
    leaving.faults = [fault]
    await env.async_send(path, request_id="last")
    assert len(leaving.seen) == 2
    return leaving


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("/read/1", Fault.NONE),
        ("/pay/1", Fault.FAIL),
        ("/pay/1", Fault.REFUSE),
        ("/stream/1", Fault.NONE),
    ],
)
async def test_announced_shutdown_stops_requests_without_the_store(
    path: str, fault: Fault
) -> None:
    async with rig.async_environment() as env:
        env.store.faults.status = 503
        leaving = await _async_announce_shutdown(env, path, fault)
        seen = len(leaving.seen)
        await _async_send_many(env)
        assert len(leaving.seen) == seen


async def test_notice_in_the_head_of_a_running_stream_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only requests placed before the notice may reach the server after it."""
    async with rig.async_environment() as env:
        for server in env.servers:
            server.event_interval_s = 0.1
        leaving = await _async_preferred_server(env)
        leaving.extra_headers = ANNOUNCES_SHUTDOWN
        notices = env.router._dependencies.server_notices
        work = env.router._dependencies.work
        registered = env.router._local_copy.servers[leaving.name].server
        placed_late: list[bool] = []
        original_begin = work.begin

        def record(reservation: ledger.Reservation) -> None:
            if reservation.server.name == leaving.name:
                placed_late.append(notices.is_shutting_down(reservation.server))
            original_begin(reservation)

        monkeypatch.setattr(work, "begin", record)
        requests = [
            asyncio.create_task(
                env.async_send("/stream/1", request_id=f"s{number}")
            )
            for number in range(MANY)
        ]
        await rig.async_wait_until(lambda: notices.is_shutting_down(registered))
        assert not any(request.done() for request in requests)
        await _async_send_many(env)
        assert {(await request).status for request in requests} == {200}
        assert not any(placed_late)
        seen = [request.headers["X-Request-Id"] for request in leaving.seen[1:]]
        assert 0 < len(seen) <= len(placed_late)
        assert not any(request_id.startswith("m") for request_id in seen)


async def test_notice_survives_new_registrations_and_configurations() -> None:
    async with rig.async_environment() as env:
        for server in env.servers:
            await env.async_register_start(server.name, 1_000)
        leaving = await _async_announce_shutdown(env, "/read/1")
        other = next(each for each in env.servers if each is not leaving)
        seen = len(leaving.seen)
        await env.store.async_remove("servers", leaving.name)
        registered = env.router._local_copy.servers
        await rig.async_wait_until(lambda: leaving.name not in registered)
        await env.async_register_start(leaving.name, 1_000)
        cfg = {**rig.CONFIGURATION, "version": 2}
        await env.store.async_put("config", "main", cfg)
        await env.async_wait_for_configuration(2)
        await _async_send_many(env)
        assert len(leaving.seen) == seen
        leaving.extra_headers = {}
        await env.async_register_start(leaving.name, 2_000)
        await env.async_drain_server(other.name)
        await _async_send_many(env)
        assert len(leaving.seen) == seen + MANY


async def test_service_whose_servers_all_shut_down_rejects_at_once() -> None:
    async with rig.async_environment() as env:
        for server in env.servers:
            server.extra_headers = ANNOUNCES_SHUTDOWN
        for number in range(2):
            await env.async_send("/read/1", request_id=f"l{number}")
        ran = len(env.ran())
        got = await env.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0
        assert len(env.ran()) == ran


@pytest.mark.parametrize("value", ["0", "true", "soon", "1, 1"])
async def test_invalid_notice_value_is_ignored_and_counted(value: str) -> None:
    async with rig.async_environment(servers=1) as env:
        env.servers[0].extra_headers = {"Server-Leaving": value}
        await _async_send_many(env)
        text = env.router._registry.render().decode()
        assert f'header="Server-Leaving"}} {MANY}.0' in text


async def test_server_with_retry_after_gets_no_more_requests() -> None:
    async with rig.async_environment() as env:
        closed = await _async_preferred_server(env)
        other = next(server for server in env.servers if server is not closed)
        closed.rejects_all = True
        closed.extra_headers = {"Retry-After": "30"}
        await _async_send_many(env, "/pay/1")
        assert len(closed.seen) == 2
        assert len(other.ran) == MANY


async def test_rejection_has_the_earliest_retry_after_of_all_servers() -> None:
    async with rig.async_environment() as env:
        for server, retry_after in zip(env.servers, ("40", "30"), strict=True):
            server.rejects_all = True
            server.extra_headers = {"Retry-After": retry_after}
        got = await env.async_send("/pay/1", request_id="p0")
        assert got.status == 503
        seen = sum(len(server.seen) for server in env.servers)
        assert seen == 2
        for number in range(1, MANY):
            got = await env.async_send("/read/1", request_id=f"p{number}")
            assert got.status == 503
            assert 25 < float(got.headers["Retry-After"]) <= 31
        assert sum(len(server.seen) for server in env.servers) == seen


async def test_concurrent_requests_respect_retry_after() -> None:
    """Many concurrent requests, streams that resume, and one full server."""
    async with rig.async_environment() as env:
        closed = await _async_preferred_server(env)
        closed.rejects_all = True
        closed.extra_headers = {"Retry-After": "30"}
        paths = ("/read/1", "/pay/1", "/stream/r/1")
        requests = [
            env.async_send(paths[number % 3], request_id=f"f{number}")
            for number in range(60)
        ]
        got = await asyncio.gather(*requests)
        assert {response.status for response in got} <= {200, 503}
        seen_before = len(closed.seen)
        await _async_send_many(env)
        assert len(closed.seen) == seen_before


async def test_misdirected_response_is_no_notice_of_the_named_server() -> None:
    """The address was reassigned to another server, which shuts down."""
    async with rig.async_environment(servers=1) as env:
        env.servers[0].extra_headers = ANNOUNCES_SHUTDOWN
        env.servers[0].faults = [Fault.ELSEWHERE]
        await env.async_send("/pay/1")
        env.servers[0].extra_headers = {}
        env.router._dependencies.breakers.forget("i-0")
        got = await env.async_send("/pay/1", request_id="q2")
        assert got.status == 200
