"""Requests accepted during a shutdown, and the time the listener closes."""

import pytest

from tamarackbridge.components.gateway import drain, jobs, models, shutdown
from tests import clocks
from tests.components.knowledge import builders


def _job(output_tokens: int) -> jobs.Job:
    request = models.Request(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, output_tokens, 0, (), ""
    )
    return jobs.Job(
        request, builders.route(), builders.model_service(), "w", 0.0, 12.0
    )


@pytest.mark.parametrize(
    ("after_s", "output_tokens", "accepted"),
    [
        (0.0, 1_120, True),
        (2.9, 1_120, True),
        (3.1, 1_120, False),
        (3.1, 84, True),
        (6.0, 0, True),
        (6.9, 0, False),
    ],
)
def test_accepts_requests_that_can_finish(
    after_s: float, output_tokens: int, accepted: bool
) -> None:
    schedule = shutdown.begin(100.0, 8.0)
    assert schedule.accepts(_job(output_tokens), 100.0 + after_s) is accepted


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


async def test_listener_stays_open_while_all_requests_are_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle router closed its listener 2.9 s after SIGTERM (seed 7509).

    It accepts all requests for 3 s, and the listener must stay open for these.
    """
    clock = clocks.VirtualClock(100.0)
    listener = _Listener(clock)

    async def async_sleep(seconds: float) -> None:
        clock.now += seconds

    async def async_leave() -> None:
        """Does nothing: the router is not in a list."""

    monkeypatch.setattr(drain.asyncio, "sleep", async_sleep)
    await drain.async_drain(listener, clock, 8.0, async_leave)
    assert listener.closed_at is not None
    assert listener.closed_at >= 100.0 + shutdown.ACCEPT_ALL_S + drain.QUIET_S
    assert clock.now < 100.0 + 8.0
