"""What a router makes of unmarked answers that it can't confirm."""

import asyncio
import time

import pytest

from standins import platform_server, server_faults
from tamarackbridge.components.admission import controller
from tamarackbridge.components.gateway import jobs, runner, servers
from tamarackbridge.components.telemetry import events
from tests.components.gateway import raw_caller, rig

_Fault = platform_server.Fault
_EarlyEnd = server_faults.EarlyEnd
_End = raw_caller.End

STARTED_MS = 1_700_000_000_000
FAR_FUTURE_MS = 99_000_000_000_000
PAUSE_S = 0.25
"""Pause after each event of a slow server: it takes longer to send a whole
stream than a confirmation may."""


@pytest.fixture
def log(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    return written


def _unconfirmed(log: list[events.Event]) -> str:
    """Returns why the end of the only stream is unconfirmed."""
    (ended,) = (
        event
        for event in log
        if isinstance(event, events.Answered | events.Cut)
    )
    return ended.unconfirmed


@pytest.mark.parametrize("path", ["/pay/1", "/stream/1"])
async def test_failed_connection_check_tells_nothing_about_a_server(
    path: str,
    log: list[events.Event],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A live server whose queue of new connections is full drops them."""

    async def _async_fail(address: str) -> servers.ConnectionCheck:
        await asyncio.sleep(0)
        return servers.ConnectionCheck.FAILED

    monkeypatch.setattr(servers, "_async_check_connection", _async_fail)
    async with rig.async_environment() as env:
        env.set_faults(_Fault.UNFRAMED)
        answer = await raw_caller.async_send(env, path)
        assert answer.status == 200
        assert (answer.is_unmarked, answer.end) == (True, _End.CLOSED)
        assert env.ran() == ["q1"]
    if path == "/stream/1":
        assert _unconfirmed(log) == "route"


@pytest.mark.parametrize(
    ("report", "started_ms", "end", "instance"),
    [
        (True, STARTED_MS, _End.CLOSED, "same"),
        (True, 0, _End.CLOSED, "same"),
        (False, STARTED_MS, _End.CLOSED, "same"),
        # The registration is outdated.
        (True, STARTED_MS + 1, _End.CLOSED, "same"),
        (True, FAR_FUTURE_MS, _End.RESET, "other"),
        (None, STARTED_MS, _End.RESET, "no_answer"),
    ],
)
async def test_server_that_answers_as_the_same_process_is_believed(
    report: bool | None,
    started_ms: int,
    end: raw_caller.End,
    instance: str,
    log: list[events.Event],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One that has no report, or does not say when it started, still lives."""
    monkeypatch.setattr(servers, "REPORT_S", 0.1)
    async with rig.async_environment(started_ms=STARTED_MS) as env:
        for server in env.servers:
            server.started_ms = started_ms
            server.has_report = report is not False
            server.hangs_report = report is None
        env.set_faults(_Fault.UNFRAMED)
        answer = await raw_caller.async_send(env, "/stream/1")
        assert answer.end is end
        assert sum(server.reports for server in env.servers) == 1
    (ended,) = (
        event
        for event in log
        if isinstance(event, events.Answered | events.Cut)
    )
    assert (ended.unconfirmed, ended.instance) == ("route", instance)


@pytest.mark.parametrize(
    ("resets", "dies", "end", "instance"),
    [
        (1, False, _End.CLOSED, "same"),
        (99, False, _End.CLOSED, "rejecting"),
        (1, True, _End.RESET, "no_answer"),
    ],
)
async def test_server_without_room_for_connections_is_believed(
    resets: int,
    dies: bool,
    end: raw_caller.End,
    instance: str,
    log: list[events.Event],
) -> None:
    """Guards against whole streams that a full server makes look cut.

    A process that is about to die may reset a connection too, but not accept
    another one.
    """
    async with rig.async_environment(1, started_ms=STARTED_MS) as env:
        (server,) = env.servers
        server.report_resets = resets
        server.dies_of_reset = dies
        env.set_faults(_Fault.UNFRAMED)
        answer = await raw_caller.async_send(env, "/stream/1")
        assert answer.end is end
    (ended,) = (
        event
        for event in log
        if isinstance(event, events.Answered | events.Cut)
    )
    assert ended.instance == instance


async def test_ends_at_the_same_time_share_one_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Probes cost servers time, and streams may end in bursts."""
    async with rig.async_environment(1, started_ms=STARTED_MS) as env:
        (server,) = env.servers
        server.faults = [_Fault.UNFRAMED] * 20
        server.report_delay_s = 0.1
        answers = await asyncio.gather(
            *(
                raw_caller.async_send(env, "/stream/1", request_id=f"q{each}")
                for each in range(20)
            )
        )
        assert {answer.end for answer in answers} == {_End.CLOSED}
        assert server.reports < 20


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize(
    ("second", "reason"),
    [(_EarlyEnd.COMMENT_RESET, "attempts"), (_EarlyEnd.COMMENT_HANG, "time")],
)
async def test_comment_does_not_continue_a_stream(
    second: _EarlyEnd, reason: str, version: str, log: list[events.Event]
) -> None:
    """The first server's stream is whole, and unmarked; it lives."""
    async with rig.async_environment() as env:
        env.set_faults(_Fault.UNFRAMED, *[second] * 9)
        started_at = time.monotonic()
        answer = await raw_caller.async_send(env, "/stream/r/1", version)
        seconds = time.monotonic() - started_at
        assert answer.body.count(b"data:") == platform_server.EVENTS
        assert (answer.is_unmarked, answer.end) == (True, _End.CLOSED)
        assert seconds < 2 * runner.CONFIRMATION_S
    assert _unconfirmed(log) == reason


async def test_confirmation_is_limited_over_all_attempts(
    log: list[events.Event], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Servers that repeat a stream from its start do not come to its end."""
    routes = [
        rig.route(
            "resumed",
            "streaming",
            attempts=4,
            path_prefix="/stream/r/",
            resumable=True,
        )
    ]
    monkeypatch.setattr(
        rig, "CONFIGURATION", {**rig.CONFIGURATION, "routes": routes}
    )
    async with rig.async_environment(servers=4) as env:
        env.set_faults(_Fault.UNFRAMED, *[_EarlyEnd.UNFRAMED_RESTART] * 3)
        for server in env.servers:
            server.event_interval_s = PAUSE_S
        started_at = time.monotonic()
        answer = await raw_caller.async_send(env, "/stream/r/1")
        seconds = time.monotonic() - started_at
        assert answer.body.count(b"data:") == platform_server.EVENTS
        assert answer.end is _End.CLOSED
        run_s = platform_server.EVENTS * PAUSE_S
        assert run_s < seconds < run_s + 1.5 * runner.CONFIRMATION_S
    assert _unconfirmed(log) == "time"


async def test_further_confirmations_leave_half_of_the_budget_too(
    log: list[events.Event], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second server that fails to confirm an end is followed by others."""
    routes = [
        rig.route(
            "resumed",
            "streaming",
            attempts=4,
            path_prefix="/stream/r/",
            resumable=True,
        )
    ]
    monkeypatch.setattr(
        rig, "CONFIGURATION", {**rig.CONFIGURATION, "routes": routes}
    )
    kinds: list[bool] = []
    take_retry = controller.AdmissionController.take_retry

    def _take_retry(
        taker: controller.AdmissionController,
        job: jobs.Job,
        is_confirmation: bool,
    ) -> bool:
        kinds.append(is_confirmation)
        return take_retry(taker, job, is_confirmation)

    monkeypatch.setattr(
        controller.AdmissionController, "take_retry", _take_retry
    )
    async with rig.async_environment(servers=4) as env:
        env.set_faults(_Fault.UNFRAMED, *[_Fault.FAIL, _Fault.LOSE] * 9)
        answer = await raw_caller.async_send(env, "/stream/r/1")
    assert answer.end is _End.CLOSED
    assert len(kinds) > 3
    assert all(kinds)


async def test_report_that_is_asked_for_later_may_come_first() -> None:
    """Only the latest request is shared with those who ask after it."""
    errors: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    async with rig.async_environment(servers=1) as env:
        (server,) = env.servers
        client = env.router._servers
        server.report_delay_s = 0.2
        first = asyncio.create_task(
            client.async_get_report(server.address, "/report", 0.0)
        )
        await rig.async_wait_until(lambda: server.reports == 1)
        server.report_delay_s = 0.0
        await client.async_get_report(server.address, "/report", loop.time())
        assert not first.done()
        await first
        await asyncio.sleep(0)
        assert server.reports == 2
    assert not errors
