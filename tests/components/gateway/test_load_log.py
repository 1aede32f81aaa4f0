"""Tests the load events and load metrics of a router."""

import asyncio
from collections.abc import Callable

import pytest

from tamarackbridge.components.gateway import event_loop_lag, load_log
from tamarackbridge.components.telemetry import events, metrics
from tests import virtual_loop


class _FakeRouter:
    """Load sources of a router that uses a fraction of its processor.

    Scheduling passes take half of that fraction.
    """

    def __init__(self, now: Callable[[], float], processor: float) -> None:
        self.now = now
        self.processor = processor
        self.waiting = 0
        self.in_flight = 7
        self.copied_tokens = 0

    @property
    def scheduling_passes(self) -> int:
        return int(4 * self.now())

    @property
    def scheduling_s(self) -> float:
        return self.processor * self.now() / 2

    @property
    def evaluated_requests(self) -> int:
        return int(60 * self.now())

    def oldest_wait_s(self) -> float:
        return 0.4

    def sources(self) -> load_log.LoadSources:
        return load_log.LoadSources(
            self,
            self,
            event_loop_lag.LagMeter(),
            lambda: self.processor * self.now(),
        )


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    return written


def _run_load_log(processor: float, waiting: int, seconds: float) -> None:
    loop = virtual_loop.VirtualLoop()

    async def async_run() -> None:
        router = _FakeRouter(loop.time, processor)
        router.waiting = waiting
        clock = virtual_loop.LoopClock(loop)
        log = load_log.LoadLog(router.sources(), clock)
        await log.on_start()
        await asyncio.sleep(seconds)
        await log.on_stop()

    loop.run_until_complete(async_run())
    loop.close()


def test_busy_router_logs_load_each_second(
    logged: list[events.Event],
) -> None:
    _run_load_log(processor=0.5, waiting=0, seconds=3.5)
    assert len(logged) == 3
    event = logged[1]
    assert isinstance(event, events.RouterLoad)
    assert (event.seconds, event.processor, event.deciding) == (1.0, 0.5, 0.25)
    assert (event.turns, event.held, event.waiting) == (4, 7, 0)
    assert (event.looked_at, event.oldest_s) == (60, 0.4)


def test_idle_router_logs_nothing(logged: list[events.Event]) -> None:
    _run_load_log(processor=0.05, waiting=0, seconds=3.5)
    assert logged == []


def test_router_with_queued_requests_logs_load(
    logged: list[events.Event],
) -> None:
    _run_load_log(processor=0.0, waiting=3, seconds=1.5)
    assert [getattr(event, "waiting", None) for event in logged] == [3]


def test_metrics_show_processor_time_and_scheduling_passes() -> None:
    registry = metrics.Metrics(lambda: 0.0)
    load_log.register_metrics(registry, _FakeRouter(lambda: 2.0, 0.5).sources())
    rendered = registry.render().decode()
    for name, value in (
        ("process_seconds", 1.0),
        ("turn_seconds", 0.5),
        ("turns", 8.0),
        ("requests_looked_at", 120.0),
        ("oldest_wait_seconds", 0.4),
        ("held", 7.0),
        ("waiting", 0.0),
    ):
        assert f"tamarackbridge_{name}_total {value}" in rendered or (
            f"tamarackbridge_{name} {value}" in rendered
        )
