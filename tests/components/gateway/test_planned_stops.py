"""A stopping router takes only what it can finish, and finishes that."""

import asyncio

import pytest

from tamarackbridge.components.gateway import drain, jobs, models, shutdown
from tests import clocks
from tests.components.gateway import rig
from tests.components.knowledge import builders

SHUTDOWN_S = 8.0
LATEST_EXCUSED_S = 3.0
"""A request that is sent later than this after the signal has to get a complete
response, whatever its server does."""


def _job(output_tokens: int, deadline: float) -> jobs.Job:
    request = models.Request(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, output_tokens, 0, (), ""
    )
    route, service = builders.route(), builders.model_service()
    return jobs.Job(request, route, service, "w", 0.0, deadline)


@pytest.mark.parametrize("output_tokens", [0, 1, 7, 70, 1_120])
@pytest.mark.parametrize("after_s", [3.0, 3.1, 5.0, 7.0])
def test_late_request_may_not_outlast_the_shutdown(
    after_s: float, output_tokens: int
) -> None:
    """Guards against an estimate of a server's pace taken for a promise."""
    schedule = shutdown.begin(100.0, SHUTDOWN_S)
    job = _job(output_tokens, schedule.end + 0.1)
    assert not schedule.accepts(job, 100.0 + after_s)


async def test_late_stream_is_refused_and_not_cut() -> None:
    """Guards against streams that a slow server makes outlast a shutdown."""
    async with rig.async_environment() as env:
        for server in env.servers:
            server.event_interval_s = 60.0
        env.begin_shutdown(ago_s=3.5, shutdown_s=6.2)
        usage = {"X-Token-Usage": "100,1"}
        resp = await env.async_send("/stream/1", extra_headers=usage)
        assert resp.status == 503
        assert env.ran() == []


class _Gateway:
    """Records the schedule of its shutdown."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.shutdown: shutdown.ShutdownSchedule | None = None

    def close_listener(self) -> None:
        """There is none."""

    def close_idle(self) -> None:
        """No connection is open."""

    def answer_unanswered(self) -> None:
        """No request is in flight."""


async def _async_leave() -> None:
    """Does nothing: the router is not in a list."""


@pytest.mark.parametrize("late_s", [0.0, 0.2, 1.0])
async def test_shutdown_counts_from_its_signal(
    late_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a router that notices late that it is being stopped."""
    clock = clocks.VirtualClock(100.0 + late_s)
    gateway = _Gateway()
    job = _job(0, 100.0 + SHUTDOWN_S + 4.0)
    accepted_at = []

    async def async_sleep(seconds: float) -> None:
        schedule = gateway.shutdown
        if schedule is not None and schedule.accepts(job, clock.now):
            accepted_at.append(clock.now)
        clock.now += seconds

    monkeypatch.setattr(drain.asyncio, "sleep", async_sleep)
    await drain.async_drain(gateway, clock, SHUTDOWN_S, _async_leave, 100.0)
    assert max(accepted_at, default=0.0) <= 100.0 + LATEST_EXCUSED_S
    assert clock.now < 100.0 + SHUTDOWN_S


def test_signal_that_is_seen_late_leaves_a_margin() -> None:
    """Guards against requests that are sent late to a throttled process.

    The process gets no signal while it has no processor time.
    """
    schedule = shutdown.begin(100.0, SHUTDOWN_S)
    throttled_s = 0.2
    now = 100.0 + LATEST_EXCUSED_S - throttled_s
    assert not schedule.accepts(_job(0, now + 12.0), now)


async def test_request_after_the_end_of_a_shutdown_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that are cut as the services stop.

    A connection on which a request is being received is not idle.
    """
    monkeypatch.setattr(drain, "BALANCER_NOTICE_S", 0.01)
    monkeypatch.setattr(drain, "QUIET_S", 0.01)
    monkeypatch.setattr(drain, "MIN_LISTEN_S", 0.01)
    async with rig.async_environment(servers=1) as env:
        cfg = env.cfg.callers
        reader, writer = await asyncio.open_connection(cfg.host, cfg.port)
        request = (
            f"GET /read/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
            f"X-Request-Id: q1\r\nX-Api-Key: {rig.KEY}\r\n\r\n"
        ).encode()
        writer.write(request[:20])
        gateway = env.router._gateway
        await rig.async_wait_until(lambda: gateway.connections.open == 1)
        await asyncio.sleep(0.05)
        clock = env.router._clock
        await drain.async_drain(
            gateway, clock, SHUTDOWN_S, _async_leave, clock.monotonic()
        )
        writer.write(request[20:])
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert env.ran() == []
        writer.close()
