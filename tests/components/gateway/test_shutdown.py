import pytest

from tamarackbridge.components.gateway import drain, jobs, models, shutdown
from tests import clocks
from tests.components.knowledge import builders


def _job(output: int) -> jobs.Job:
    call = models.Call(
        "q1", "POST", "a", "/x/1", (), "", 12.0, 100, output, 0, (), ""
    )
    return jobs.Job(
        call, builders.route(), builders.model_service(), "w", 0.0, 12.0
    )


@pytest.mark.parametrize(
    ("at", "output", "takes"),
    [
        (0.0, 1_120, True),
        (2.9, 1_120, True),
        (3.1, 1_120, False),
        (3.1, 84, True),
        (6.0, 0, True),
        (6.9, 0, False),
    ],
)
def test_takes_what_can_be_finished(
    at: float, output: int, takes: bool
) -> None:
    times = shutdown.begin(100.0, 8.0)
    assert times.takes(_job(output), 100.0 + at) is takes


def test_ends_inside_the_grace_time() -> None:
    assert shutdown.begin(100.0, 8.0).end < 108.0


class _Listener:
    """Notes when a shutdown closed it, on a clock that each look moves."""

    def __init__(self, clock: clocks.VirtualClock) -> None:
        self.held = 0
        self.shutdown: shutdown.Shutdown | None = None
        self.closed_at: float | None = None
        self._clock = clock

    def close_listener(self) -> None:
        self.closed_at = self._clock.now

    def close_idle(self) -> None:
        """No connection is open."""


async def test_listener_is_open_for_as_long_as_all_requests_are_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It closed 2.9 s after SIGTERM when nothing was held (seed 7509)."""
    clock = clocks.VirtualClock(100.0)
    listener = _Listener(clock)

    async def async_sleep(seconds: float) -> None:
        clock.now += seconds

    async def async_leave() -> None:
        """Nothing is listed."""

    monkeypatch.setattr(drain.asyncio, "sleep", async_sleep)
    await drain.async_drain(listener, clock, 8.0, async_leave)
    assert listener.closed_at is not None
    assert listener.closed_at >= 100.0 + shutdown.TAKE_ALL_S + drain.QUIET_S
    assert clock.now < 100.0 + 8.0
