"""Requests during a shutdown, and the time the listener closes."""

import asyncio

import pytest

from standins import platform_server
from tamarackbridge.components.gateway import drain, jobs, models, shutdown
from tests import clocks
from tests.components.gateway import rig
from tests.components.knowledge import builders

SHUTDOWN_S = 1.5
SLOTS = 6


def _job(output_tokens: int, arrived: float, timeout_s: float) -> jobs.Job:
    request = models.Request(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, output_tokens, 0, (), ""
    )
    return jobs.Job(
        request,
        builders.route(),
        builders.model_service(),
        "w",
        arrived,
        arrived + timeout_s,
    )


@pytest.mark.parametrize(
    ("after_s", "output_tokens", "timeout_s", "accepted"),
    [
        (0.0, 1_120, 12.0, True),
        (2.6, 1_120, 12.0, True),
        (2.8, 1_120, 12.0, False),
        (3.1, 1_120, 12.0, False),
        # However short its stream is, its server may take as long as it has.
        (3.1, 7, 12.0, False),
        (3.1, 70, 12.0, False),
        (3.1, 70, 3.9, True),
        (6.0, 0, 0.8, True),
        (6.0, 0, 12.0, False),
        (6.0, 0, 1.5, False),
        (6.9, 0, 0.8, False),
    ],
)
def test_accepts_requests_that_are_answered_in_time(
    after_s: float, output_tokens: int, timeout_s: float, accepted: bool
) -> None:
    schedule = shutdown.begin(100.0, 8.0)
    job = _job(output_tokens, 100.0 + after_s, timeout_s)
    assert schedule.accepts(job, job.arrived) is accepted


def test_ends_within_the_shutdown_time() -> None:
    assert shutdown.begin(100.0, 8.0).end < 108.0


class _Listener:
    """Records when the shutdown closed it, on the virtual clock."""

    def __init__(self, clock: clocks.VirtualClock) -> None:
        self.in_flight = 0
        self.shutdown: shutdown.ShutdownSchedule | None = None
        self.closed_at: float | None = None
        self._clock = clock

    def close_listener(self) -> None:
        self.closed_at = self._clock.now

    def close_idle(self) -> None:
        """No connection is open."""

    def answer_unanswered(self) -> None:
        """No request is in flight."""


async def test_listener_stays_open_while_all_requests_are_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle router closed its listener 2.9 s after SIGTERM (seed 7509).

    The load balancer sends callers for 3 s, and the listener must stay open for
    these.
    """
    clock = clocks.VirtualClock(100.0)
    listener = _Listener(clock)

    async def async_sleep(seconds: float) -> None:
        clock.now += seconds

    async def async_leave() -> None:
        """Does nothing: the router is not in a list."""

    monkeypatch.setattr(drain.asyncio, "sleep", async_sleep)
    await drain.async_drain(listener, clock, 8.0, async_leave, clock.now)
    assert listener.closed_at is not None
    assert listener.closed_at >= 100.0 + shutdown.BALANCER_S + drain.QUIET_S
    assert clock.now < 100.0 + 8.0


async def _async_leave() -> None:
    """Does nothing: the router need not leave the list."""


async def _async_shut_down(env: rig.Environment) -> None:
    """Shuts the router down; all requests must be answered before it stops."""
    router = env.router
    await drain.async_drain(
        router._gateway,
        router._clock,
        SHUTDOWN_S,
        _async_leave,
        router._clock.monotonic(),
    )
    assert router._gateway.in_flight == 0
    await router.async_stop()


@pytest.mark.parametrize("path", ["/read/1", "/pay/1", "/stream/1"])
async def test_request_at_a_server_is_answered_at_the_end_of_a_shutdown(
    path: str,
) -> None:
    async with rig.async_environment(servers=1) as env:
        env.set_faults(platform_server.Fault.HANG)
        sent = asyncio.create_task(env.async_send(path))
        await rig.async_wait_until(lambda: bool(env.servers[0].seen))
        await _async_shut_down(env)
        assert (await sent).status == 502


async def test_waiting_request_is_rejected_at_the_end_of_a_shutdown() -> None:
    async with rig.async_environment(servers=1) as env:
        env.set_faults(*[platform_server.Fault.HANG] * SLOTS)
        sent = [
            asyncio.create_task(env.async_send("/pay/1", request_id=f"q{n}"))
            for n in range(SLOTS + 2)
        ]
        await rig.async_wait_until(lambda: len(env.servers[0].seen) == SLOTS)
        await _async_shut_down(env)
        statuses = sorted([(await each).status for each in sent])
        assert statuses == [502] * SLOTS + [503] * 2
        assert len(env.ran()) == SLOTS
