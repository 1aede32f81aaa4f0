"""Requests that a strained router offloads to a peer."""

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

FAR = 1_000.0
MANY = 5_000


def _offloader(
    peers: dict[str, offload.Spare], seed: int = 1
) -> offload.Offloader:
    rng = random.Random(seed)
    shedder = shedding.Shedder(lambda workspace: 1.0, rng)
    shedder.limit_per_s = FAR
    room = headroom.Headroom(1.0, lambda: 0.0)
    return offload.Offloader(lambda: peers, shedder, room, rng)


def _shed(offloader: offload.Offloader, limit_per_s: float) -> None:
    offloader._shedder.limit_per_s = limit_per_s


def test_less_busy_of_two_peers_is_taken() -> None:
    peers = {"a": offload.Spare(0.9, 1.0), "b": offload.Spare(0.1, 1.0)}
    assert _offloader(peers).pick(1.0) == "a"


def test_nothing_is_offloaded_where_no_peer_has_room() -> None:
    peers = {"a": offload.Spare(0.0, 1.0), "b": offload.Spare(0.0, 1.0)}
    assert _offloader(peers).pick(1.0) == ""
    assert _offloader({}).pick(1.0) == ""


def test_peer_is_offered_no_more_than_it_told_to_have() -> None:
    """What was offloaded since counts until the peer tells its load anew."""
    peers = {"a": offload.Spare(0.3, 1.0)}
    offloader = _offloader(peers)
    first = sum(bool(offloader.pick(1.0)) for _ in range(MANY))
    assert 0 < first < MANY
    assert offloader.pick(1.0) == ""
    peers["a"] = offload.Spare(0.3, 1.4)
    assert offloader.pick(1.4) == "a"


def test_offloading_counts_against_the_limit() -> None:
    """Passing answers on takes processor time too."""
    peers = {str(n): offload.Spare(100.0, 1.0) for n in range(9)}
    offloader = _offloader(peers)
    _shed(offloader, 20.0)
    offloader.pick(1.0)
    sent = sum(bool(offloader.pick(1.0 + n / 1_000)) for n in range(1_000))
    most = 20.0 / shedding.OFFLOAD_WORK
    assert most * 0.9 <= sent <= most * 1.2


def test_offloading_without_a_limit_leaves_the_limit_sound() -> None:
    """A router whose lag alone is too high offloads before it has a limit."""
    offloader = _offloader({"a": offload.Spare(FAR, 1.0)})
    _shed(offloader, math.inf)
    assert offloader.pick(1.0) == offloader.pick(1.0) == "a"
    _shed(offloader, 20.0)
    assert offloader.pick(2.0) == "a"


def test_spare_processor_is_what_is_idle_less_a_reserve() -> None:
    idle_s = 0.0
    room = headroom.Headroom(2.0, lambda: idle_s)
    for step in range(100):
        idle_s = step * 0.05
        room.note(step * 0.1)
    assert room.spare == pytest.approx(2.0 * (0.5 - headroom.RESERVE), rel=0.01)
    assert room.used == pytest.approx(1.0, rel=0.01)


@contextlib.asynccontextmanager
async def _async_two(
    patch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[rig.Environment, rig.Environment]]:
    """Yields a router that takes nothing up, and the peer that it chooses."""
    async with contextlib.AsyncExitStack() as stack:
        peer = await stack.enter_async_context(rig.async_environment(servers=1))
        address = ("127.0.0.1", peer.cfg.offload_port)
        patch.setattr(
            settings.Settings, "offload_address", lambda self, name: address
        )
        here = await stack.enter_async_context(rig.async_environment(servers=1))
        test_screening._shed_all(here, patch)
        patch.setattr(offload.Offloader, "pick", lambda self, now: "peer")
        yield here, peer


async def test_request_is_served_by_the_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_two(monkeypatch) as (here, peer):
        got = await here.async_send("/pay/1")
        assert got.body == b"answer to q1"
        assert got.headers["Connection"] == "close"
        assert peer.ran() == ["q1"]
        assert here.ran() == []


async def test_request_that_comes_after_its_connection_is_offloaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SILENT_S", FAR)
    async with _async_two(monkeypatch) as (here, peer):
        cfg = here.cfg.callers
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


async def test_stream_comes_through_the_peer_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_two(monkeypatch) as (here, peer):
        got = await here.async_send("/stream/1")
        direct = await peer.async_send("/stream/1", request_id="q1")
        assert got.body == direct.body
        assert "X-Response-Seal" in got.headers


async def test_peer_does_not_offload_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_two(monkeypatch) as (here, peer):
        test_screening._shed_all(peer, monkeypatch)
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert peer.ran() == here.ran() == []


async def test_lost_peer_leaves_the_truth(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_two(monkeypatch) as (here, peer):
        peer.router._gateway.close_listener()
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert float(got.headers["Retry-After"]) > 0.0
        assert not math.isnan(float(got.headers["Retry-After"]))


async def test_router_that_shuts_down_offloads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer may take longer than the shutdown leaves."""
    async with _async_two(monkeypatch) as (here, peer):
        here.begin_shutdown()
        got = await here.async_send("/pay/1")
        assert got.status == 503
        assert peer.ran() == []


async def test_shutdown_waits_for_what_a_peer_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(drain, "BALANCER_NOTICE_S", 0.0)
    monkeypatch.setattr(drain, "MIN_LISTEN_S", 0.0)
    async with _async_two(monkeypatch) as (here, peer):
        peer.servers[0].pace_s = 0.2
        gateway = here.router._gateway
        sending = asyncio.create_task(here.async_send("/stream/1"))
        await rig.async_wait_until(lambda: bool(peer.ran()))

        async def async_leave() -> None:
            """The list of routers is of no interest here."""

        draining = asyncio.create_task(
            drain.async_drain(gateway, here.router._clock, FAR, async_leave)
        )
        done, _ = await asyncio.wait(
            (sending, draining), return_when=asyncio.FIRST_COMPLETED
        )
        assert done == {sending}
        assert sending.result().body.count(b"data: ") == platform_server.EVENTS
        await draining
        assert gateway.in_flight == 0


async def test_request_at_a_silent_peer_has_its_answer_at_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _async_two(monkeypatch) as (here, peer):
        peer.set_faults(platform_server.Fault.HANG)
        sending = asyncio.create_task(
            here.async_send("/read/1", deadline_ms=400)
        )
        await rig.async_wait_until(lambda: here.router._gateway.in_flight == 1)
        assert (await sending).status in (502, 504)
        await rig.async_wait_until(lambda: here.router._gateway.in_flight == 0)
