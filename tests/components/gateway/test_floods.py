"""Backend servers whose answers never end."""

import asyncio
import dataclasses

import pytest

from standins import floods
from tamarackbridge.components.gateway import forward
from tamarackbridge.components.telemetry import events
from tests.components.gateway import place

MAX_TAKEN = 48 * 1024 * 1024
"""Largest answer that is held, twice, and the kernel's buffers, in bytes."""

DEADLINE_MS = 2500
"""Below the time limits of the routes."""

MANY = 6
"""Floods at once; the server has as many slots."""

LATE_MS = 300
TRICKLE_S = 0.02

PLAIN = {f"head-{name}": it for name, it in floods.IN_HEAD.items()} | {
    f"body-{name}": it for name, it in floods.IN_BODY.items()
}

STREAM = floods.IN_STREAM | floods.IN_EVENTS


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    return written


def _ended(lines: list[events.Event]) -> list[events.SendingEnded]:
    return [it for it in lines if isinstance(it, events.SendingEnded)]


async def _async_until_closed(here: place.Place) -> None:
    """Waits until the router has closed the connection of the flood."""
    (begun,) = (it for server in here.servers for it in server.flooding)
    await place.async_until(lambda: begun.ended)
    assert begun.sent < MAX_TAKEN


@pytest.mark.parametrize("name", PLAIN)
async def test_flood_ends_with_another_servers_answer(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place() as here:
        here.set_fault(PLAIN[name])
        got = await here.async_send("/read/1", deadline_ms=DEADLINE_MS)
        assert (got.status, got.body) == (200, b"answer to q1")
        assert len(here.ran()) == 2
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert (ended.end, ended.again) == ("lost", True)
        assert ended.detail


@pytest.mark.parametrize("name", PLAIN)
async def test_flood_is_no_answer_to_a_payment_and_not_its_end_elsewhere(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place(servers=1) as here:
        here.set_fault(PLAIN[name])
        got = await here.async_send("/pay/1", deadline_ms=DEADLINE_MS)
        assert got.status == 502
        assert here.ran() == ["q1"]
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert (ended.end, ended.again) == ("lost", False)
        got = await here.async_send("/pay/1", request_id="q2")
        assert got.body == b"answer to q2"
        assert here.servers[0].connections == 2


@pytest.mark.parametrize("name", STREAM)
async def test_flooded_stream_does_not_look_whole(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place(servers=1) as here:
        here.set_fault(STREAM[name])
        with pytest.raises(place.CUT):
            await here.async_send("/stream/1", deadline_ms=DEADLINE_MS)
        assert here.ran() == ["q1"]
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert (ended.end, ended.again) == ("lost", False)
        assert ended.detail


async def test_flood_without_numbers_is_not_joined_with_another_stream(
    lines: list[events.Event],
) -> None:
    async with place.async_place() as here:
        here.set_fault(STREAM["unnumbered"])
        with pytest.raises(place.CUT):
            await here.async_send("/stream/r/1", deadline_ms=DEADLINE_MS)
        assert here.ran() == ["q1"]
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert (ended.end, ended.again) == ("lost", False)


@pytest.mark.parametrize("name", sorted(STREAM.keys() - {"unnumbered"}))
async def test_flooded_stream_goes_on_at_another_server(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place() as here:
        here.set_fault(STREAM[name])
        got = await here.async_send("/stream/r/1", deadline_ms=DEADLINE_MS)
        numbered = [it for it in got.body.split(b"\n\n") if b"id: " in it]
        assert len(numbered) == 6
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert (ended.end, ended.again) == ("lost", True)


@pytest.mark.parametrize("pace_s", [0.0, TRICKLE_S])
@pytest.mark.parametrize("name", floods.AFTER_ANSWER)
async def test_flood_after_an_answer_closes_the_idle_connection(
    name: str, pace_s: float
) -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].flood_pace_s = pace_s
        here.set_fault(floods.AFTER_ANSWER[name])
        got = await here.async_send("/pay/1")
        # What comes with the answer may hide that it is whole.
        assert (got.status, got.body) == (200, b"whole") or got.status == 502
        await _async_until_closed(here)
        assert here.servers[0].flooding[0].sent < 2 * 1024 * 1024
        got = await here.async_send("/pay/1", request_id="q2")
        assert (got.status, got.body) == (200, b"answer to q2")
        assert here.ran() == ["q1", "q2"]


@pytest.mark.parametrize("name", PLAIN)
async def test_trickle_ends_at_the_deadline(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].flood_pace_s = TRICKLE_S
        here.set_fault(PLAIN[name])
        got = await here.async_send("/pay/1", deadline_ms=LATE_MS)
        assert got.status in (502, 504)
        assert here.ran() == ["q1"]
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert ended.end in ("lost", "timed_out")
        assert ended.detail
        got = await here.async_send("/pay/1", request_id="q2")
        assert got.body == b"answer to q2"


@pytest.mark.parametrize("name", STREAM)
async def test_trickled_stream_is_cut_at_the_deadline(
    name: str, lines: list[events.Event]
) -> None:
    async with place.async_place(servers=1) as here:
        here.servers[0].flood_pace_s = TRICKLE_S
        here.set_fault(STREAM[name])
        with pytest.raises(place.CUT):
            await here.async_send("/stream/1", deadline_ms=LATE_MS)
        await _async_until_closed(here)
        (ended,) = _ended(lines)
        assert ended.end in ("lost", "timed_out")
        assert ended.detail


async def test_other_requests_go_on_beside_floods() -> None:
    """One server floods all that it gets, at full speed; another is well."""
    async with place.async_place() as here:
        bad = here.servers[0]
        bad.faults = [it for it in PLAIN.values() for _ in range(2)]
        sent = [
            asyncio.create_task(
                here.async_send("/read/1", request_id=f"q{number}")
            )
            for number in range(40)
        ]
        for number, call in enumerate(sent):
            got = await call
            assert got.status == 200
            assert got.body == f"answer to q{number}".encode()
        assert bad.flooding
        await place.async_until(lambda: all(it.ended for it in bad.flooding))


async def test_many_large_answers_share_the_memory_of_two(
    lines: list[events.Event],
) -> None:
    """Each alone would be held up to its own limit."""
    async with place.async_place(servers=1) as here:
        # Slower than full speed, so that they grow beside each other.
        here.servers[0].flood_pace_s = 0.001
        flood = dataclasses.replace(
            floods.IN_BODY["no_length"], again=b"y" * floods.BURST_BYTES
        )
        here.set_fault(*[flood] * MANY)
        sent = [
            asyncio.create_task(
                here.async_send("/pay/1", request_id=f"q{number}")
            )
            for number in range(MANY)
        ]
        assert {(await it).status for it in sent} == {502}
        begun = here.servers[0].flooding
        assert len(begun) == MANY
        await place.async_until(lambda: all(it.ended for it in begun))
        assert any("no room" in it.detail for it in _ended(lines))
        job_runner = here.router._gateway._runner
        assert job_runner is not None
        room = job_runner._forwarder._body_memory
        assert room.left == forward.MAX_LARGE_BYTES
        got = await here.async_send("/pay/1", request_id="small")
        assert got.body == b"answer to small"
