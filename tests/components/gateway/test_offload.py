"""Tests that an overloaded router offloads requests to a peer."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math
import random

import pytest

from standins import platform_server
from tamarackbridge.components.gateway import (
    drain,
    headroom,
    listener,
    offload,
    shedding,
)
from tamarackbridge.platform import settings
from tests.components.gateway import rig, test_screening

HIGH = 1_000.0
ATTEMPTS = 5_000


def _offloader(
    peers: dict[str, offload.HeadroomReport], seed: int = 1
) -> offload.Offloader:
    rng = random.Random(seed)
    shedder = shedding.Shedder(lambda workspace: 1.0, rng)
    shedder.limit_per_s = HIGH
    own_headroom = headroom.Headroom(1.0, lambda: 0.0)
    return offload.Offloader(lambda: peers, shedder, own_headroom, rng)


def _set_limit(offloader: offload.Offloader, limit_per_s: float) -> None:
    offloader._shedder.limit_per_s = limit_per_s


def test_peer_with_more_headroom_is_chosen() -> None:
    peers = {
        "a": offload.HeadroomReport(0.9, 1.0),
        "b": offload.HeadroomReport(0.1, 1.0),
    }
    assert _offloader(peers).pick_peer(1.0) == "a"


def test_nothing_is_offloaded_without_headroom_at_peers() -> None:
    peers = {
        "a": offload.HeadroomReport(0.0, 1.0),
        "b": offload.HeadroomReport(0.0, 1.0),
    }
    assert _offloader(peers).pick_peer(1.0) == ""
    assert _offloader({}).pick_peer(1.0) == ""


def test_peer_gets_no_more_than_its_reported_headroom() -> None:
    """Guards against overloading a peer between two of its reports.

    Requests offloaded since a report reduce the peer's headroom until it
    reports anew.
    """
    peers = {"a": offload.HeadroomReport(0.3, 1.0)}
    offloader = _offloader(peers)
    offloaded = sum(bool(offloader.pick_peer(1.0)) for _ in range(ATTEMPTS))
    assert 0 < offloaded < ATTEMPTS
    assert offloader.pick_peer(1.0) == ""
    peers["a"] = offload.HeadroomReport(0.3, 1.4)
    assert offloader.pick_peer(1.4) == "a"


def test_offloading_counts_against_the_limit() -> None:
    """Guards against offloading so much that the proxy overloads the router."""
    peers = {str(n): offload.HeadroomReport(100.0, 1.0) for n in range(9)}
    offloader = _offloader(peers)
    _set_limit(offloader, 20.0)
    offloader.pick_peer(1.0)
    offloaded = sum(
        bool(offloader.pick_peer(1.0 + n / 1_000)) for n in range(1_000)
    )
    expected = 20.0 / shedding.OFFLOAD_WORK
    assert expected * 0.9 <= offloaded <= expected * 1.2


def test_offloading_without_limit_keeps_limit_usable() -> None:
    """Guards against corrupting the token bucket while there is no limit.

    A router may offload because of its lag alone, before it has a limit.
    """
    offloader = _offloader({"a": offload.HeadroomReport(HIGH, 1.0)})
    _set_limit(offloader, math.inf)
    assert offloader.pick_peer(1.0) == offloader.pick_peer(1.0) == "a"
    _set_limit(offloader, 20.0)
    assert offloader.pick_peer(2.0) == "a"


def test_headroom_is_idle_processor_less_reserve() -> None:
    idle_s = 0.0
    own_headroom = headroom.Headroom(2.0, lambda: idle_s)
    for step in range(100):
        idle_s = step * 0.05
        own_headroom.update(step * 0.1)
    assert own_headroom.offered_cores == pytest.approx(
        2.0 * (0.5 - headroom.RESERVE), rel=0.01
    )
    assert own_headroom.used_cores == pytest.approx(1.0, rel=0.01)


@contextlib.asynccontextmanager
async def _async_router_and_peer(
    patch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[rig.Environment, rig.Environment]]:
    """Yields a router that admits no requests, and the peer that it chooses."""
    async with contextlib.AsyncExitStack() as stack:
        peer = await stack.enter_async_context(rig.async_environment(servers=1))
        address = ("127.0.0.1", peer.cfg.offload_port)
        patch.setattr(
            settings.Settings, "offload_address", lambda self, name: address
        )
        env = await stack.enter_async_context(rig.async_environment(servers=1))
        test_screening._refuse_all(env, patch)
        patch.setattr(offload.Offloader, "pick_peer", lambda self, now: "peer")
        yield env, peer


async def test_request_is_served_by_the_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        response = await env.async_send("/pay/1")
        assert response.body == b"answer to q1"
        assert response.headers["Connection"] == "close"
        assert peer.ran() == ["q1"]
        assert env.ran() == []


async def test_request_sent_after_connecting_is_offloaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SILENT_TIMEOUT_S", HIGH)
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        await asyncio.sleep(0.02)
        writer.write(
            test_screening.POST.replace(
                "\r\n\r\n", "\r\nX-Deadline-Ms: 3000\r\n\r\n"
            ).encode()
        )
        assert (await reader.read()).endswith(b"answer to q1")
        assert peer.ran() == ["q1"]
        writer.close()


async def test_stream_from_peer_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        response = await env.async_send("/stream/1")
        direct = await peer.async_send("/stream/1", request_id="q1")
        assert response.body == direct.body
        assert "X-Response-Seal" in response.headers


async def test_peer_does_not_offload_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        test_screening._refuse_all(peer, monkeypatch)
        response = await env.async_send("/pay/1")
        assert response.status == 503
        assert peer.ran() == env.ran() == []


async def test_unreachable_peer_results_in_503(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        peer.router._gateway.close_listener()
        response = await env.async_send("/pay/1")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0.0
        assert not math.isnan(float(response.headers["Retry-After"]))


async def test_draining_router_offloads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against offloading a request that the shutdown would cut off.

    A peer may need more time than the shutdown leaves.
    """
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        env.begin_shutdown()
        response = await env.async_send("/pay/1")
        assert response.status == 503
        assert peer.ran() == []


async def test_shutdown_waits_for_offloaded_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(drain, "BALANCER_NOTICE_S", 0.0)
    monkeypatch.setattr(drain, "MIN_LISTEN_S", 0.0)
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        peer.servers[0].event_interval_s = 0.2
        gateway = env.router._gateway
        request = asyncio.create_task(env.async_send("/stream/1"))
        await rig.async_wait_until(lambda: bool(peer.ran()))

        async def async_leave() -> None:
            """Does nothing; the test has no list of routers."""

        draining = asyncio.create_task(
            drain.async_drain(
                gateway,
                env.router._clock,
                HIGH,
                async_leave,
                env.router._clock.monotonic(),
            )
        )
        done, _ = await asyncio.wait(
            (request, draining), return_when=asyncio.FIRST_COMPLETED
        )
        assert done == {request}
        assert request.result().body.count(b"data: ") == platform_server.EVENTS
        await draining
        assert gateway.in_flight == 0


async def test_request_at_hanging_peer_is_answered_at_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_router_and_peer(monkeypatch) as (env, peer):
        peer.set_faults(platform_server.Fault.HANG)
        request = asyncio.create_task(
            env.async_send("/read/1", deadline_ms=400)
        )
        await rig.async_wait_until(lambda: env.router._gateway.in_flight == 1)
        assert (await request).status in (502, 504)
        await rig.async_wait_until(lambda: env.router._gateway.in_flight == 0)
