"""A busy router says what its processor went to."""

import asyncio
from collections.abc import Callable

import pytest

from tamarackbridge.components.gateway import load_log, strain
from tamarackbridge.components.telemetry import events, metrics
from tests import virtual_loop


class _Busy:
    """A router whose process and turns take a part of each second."""

    def __init__(self, now: Callable[[], float], processor: float) -> None:
        self.now = now
        self.processor = processor
        self.waiting = 0
        self.in_flight = 7

    @property
    def turns(self) -> int:
        return int(4 * self.now())

    @property
    def turns_s(self) -> float:
        return self.processor * self.now() / 2

    @property
    def looked_at(self) -> int:
        return int(60 * self.now())

    def oldest_wait_s(self) -> float:
        return 0.4

    def sources(self) -> load_log.Sources:
        return load_log.Sources(
            self, self, strain.LagMeter(), lambda: self.processor * self.now()
        )


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    written: list[events.Event] = []
    monkeypatch.setattr(events, "write", written.append)
    return written


def _play(processor: float, waiting: int, seconds: float) -> None:
    loop = virtual_loop.VirtualLoop()

    async def async_play() -> None:
        busy = _Busy(loop.time, processor)
        busy.waiting = waiting
        clock = virtual_loop.LoopClock(loop)
        log = load_log.LoadLog(busy.sources(), clock)
        await log.on_start()
        await asyncio.sleep(seconds)
        await log.on_stop()

    loop.run_until_complete(async_play())
    loop.close()


def test_busy_router_writes_a_line_each_second(
    lines: list[events.Event],
) -> None:
    _play(processor=0.5, waiting=0, seconds=3.5)
    assert len(lines) == 3
    line = lines[1]
    assert isinstance(line, events.RouterLoad)
    assert (line.seconds, line.processor, line.deciding) == (1.0, 0.5, 0.25)
    assert (line.turns, line.held, line.waiting) == (4, 7, 0)
    assert (line.looked_at, line.oldest_s) == (60, 0.4)


def test_idle_router_writes_none(lines: list[events.Event]) -> None:
    _play(processor=0.05, waiting=0, seconds=3.5)
    assert lines == []


def test_router_at_which_requests_wait_writes_a_line(
    lines: list[events.Event],
) -> None:
    _play(processor=0.0, waiting=3, seconds=1.5)
    assert [getattr(it, "waiting", None) for it in lines] == [3]


def test_metrics_tell_processor_and_turns() -> None:
    registry = metrics.Metrics(lambda: 0.0)
    load_log.register(registry, _Busy(lambda: 2.0, 0.5).sources())
    shown = registry.render().decode()
    for name, value in (
        ("process_seconds", 1.0),
        ("turn_seconds", 0.5),
        ("turns", 8.0),
        ("requests_looked_at", 120.0),
        ("oldest_wait_seconds", 0.4),
        ("held", 7.0),
        ("waiting", 0.0),
    ):
        assert f"tamarackbridge_{name}_total {value}" in shown or (
            f"tamarackbridge_{name} {value}" in shown
        )
