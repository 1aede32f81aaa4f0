"""Each decision on a request has its line."""

import pathlib

import pytest

from standins import platform_server
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import const
from tests.components.gateway import place

Fault = platform_server.Fault


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    return written


def _of(lines: list[events.Event], request: str) -> list[events.Event]:
    return [it for it in lines if getattr(it, "request", "") == request]


@pytest.mark.parametrize(
    ("path", "key", "reason"),
    [
        ("/none/1", place.KEY, "no_route"),
        ("/read/1", "wrong", "no_key"),
    ],
)
async def test_refusal_has_its_reason_and_the_age_of_what_it_rests_on(
    path: str, key: str, reason: str, lines: list[events.Event]
) -> None:
    async with place.async_place() as here:
        await here.async_send(path, key=key, request_id="q9")
    (line,) = _of(lines, "q9")
    assert isinstance(line, events.Refused)
    assert line.reason == reason
    assert line.configuration == 1
    assert 0 <= line.configuration_age_s < 5


async def test_answer_has_where_it_came_from(
    lines: list[events.Event],
) -> None:
    async with place.async_place() as here:
        await here.async_send("/stream/1", request_id="q9")
    placed, answered = _of(lines, "q9")
    assert isinstance(placed, events.Placed)
    assert isinstance(answered, events.Answered)
    assert placed.server == answered.server
    assert answered.events == platform_server.EVENTS


async def test_second_sending_says_why(lines: list[events.Event]) -> None:
    async with place.async_place() as here:
        here.set_fault(Fault.RESET)
        await here.async_send("/read/1", request_id="q9")
    first, ended, second, answered = _of(lines, "q9")
    assert isinstance(first, events.Placed)
    assert isinstance(ended, events.SendingEnded)
    assert isinstance(second, events.Placed)
    assert isinstance(answered, events.Answered)
    assert (ended.end, ended.again) == ("lost", True)
    assert first.server == ended.server != second.server


@pytest.mark.parametrize(
    "fault",
    [
        Fault.LOSE,
        Fault.RESET,
        Fault.CROSS,
        Fault.TRUNCATE,
        Fault.NOT_HTTP,
        Fault.UNFRAMED_RESET,
        Fault.HANG,
    ],
)
async def test_sending_that_ended_badly_has_its_cause(
    fault: Fault, lines: list[events.Event]
) -> None:
    async with place.async_place() as here:
        here.set_fault(fault)
        await here.async_send("/pay/1", request_id="q9", deadline_ms=500)
    (ended,) = (it for it in lines if isinstance(it, events.SendingEnded))
    assert ended.detail


async def test_lost_payment_says_that_it_may_have_run(
    lines: list[events.Event],
) -> None:
    async with place.async_place() as here:
        here.set_fault(Fault.RESET)
        await here.async_send("/pay/1", request_id="q9")
    refused = _of(lines, "q9")[-1]
    assert isinstance(refused, events.Refused)
    assert (refused.reason, refused.may_have_run) == ("lost", True)


async def test_settings_are_read_again(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    lines: list[events.Event],
) -> None:
    async with place.async_place() as here:
        text = place.settings_text(here.store.address, [1, 2, 3, 4])
        file = tmp_path / "settings.conf"
        monkeypatch.setenv(const.SETTINGS_VARIABLE, str(file))
        file.write_text(text + "\nbounds.revoke_ms=9000\n")
        here.router._reload()
        told = lines[-1]
        assert isinstance(told, events.Reloaded)
        assert "bounds" in told.changed
        assert here.router._copy._bounds.revocation_s == 9.0
        file.write_text("node=\n")
        here.router._reload()
        told = lines[-1]
        assert isinstance(told, events.Reloaded)
        assert told.error.startswith("ip")
        assert here.router._copy._bounds.revocation_s == 9.0
        assert (await here.async_send("/read/1")).status == 200
