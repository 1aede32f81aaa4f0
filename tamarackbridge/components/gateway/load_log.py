"""What a busy router spends its processor on, as metrics and log lines."""

import asyncio
from collections.abc import Callable
import dataclasses
import resource
from typing import Protocol

from tamarackbridge import core
from tamarackbridge.components.gateway import strain
from tamarackbridge.components.telemetry import events, metrics

STEP_S = 1.0
"""Interval of the lines."""

BUSY_PART = 0.1
"""Part of a processor from which a router is busy; below it there is no line
unless requests wait."""


def processor_s() -> float:
    """Returns the processor time of this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


class Desk(Protocol):
    """What decides on waiting requests.

    Attributes:
        turns: Turns in which waiting requests were looked at.
        turns_s: Time that they took.
        looked_at: Requests for which servers were weighed in them.
    """

    turns: int
    turns_s: float
    looked_at: int

    @property
    def waiting(self) -> int:
        """Requests that wait."""

    def oldest_wait_s(self) -> float:
        """Returns for how long the oldest request has waited; 0 if none."""


class Gateway(Protocol):
    """What holds requests."""

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where a router's load is read.

    Attributes:
        desk: What decides on waiting requests.
        gateway: What holds requests.
        meter: The lag of the event loop.
        processor_s: Returns the processor time of the process.
    """

    desk: Desk
    gateway: Gateway
    meter: strain.LagMeter
    processor_s: Callable[[], float] = processor_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    at: float
    processor_s: float
    turns: int
    turns_s: float
    looked_at: int


def register(registry: metrics.Metrics, using: Sources) -> None:
    """Adds the metrics of a router's load."""
    for name, help_text, read in (
        ("held", "Requests under way.", lambda: using.gateway.in_flight),
        ("lag_seconds", "Lag of the event loop.", lambda: using.meter.lag_s),
        ("waiting", "Requests that wait.", lambda: using.desk.waiting),
        (
            "oldest_wait_seconds",
            "Time for which the oldest request has waited.",
            using.desk.oldest_wait_s,
        ),
    ):
        registry.gauge(name, help_text, read)
    registry.callback_counter(
        "process_seconds", "Processor time of the process.", using.processor_s
    )
    registry.callback_counter(
        "turns",
        "Turns in which waiting requests were looked at.",
        lambda: using.desk.turns,
    )
    registry.callback_counter(
        "requests_looked_at",
        "Waiting requests for which servers were weighed.",
        lambda: using.desk.looked_at,
    )
    registry.callback_counter(
        "turn_seconds",
        "Time in which waiting requests were looked at.",
        lambda: using.desk.turns_s,
    )


class LoadLog(core.Service):
    """Writes a line for each second in which this router is busy."""

    def __init__(self, using: Sources, clock: core.Clock) -> None:
        super().__init__()
        self._using = using
        self._clock = clock
        self._writing: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Begins to write."""
        self._writing = asyncio.create_task(self._async_write())

    async def on_stop(self) -> None:
        """Ends writing."""
        if self._writing is not None:
            self._writing.cancel()

    async def _async_write(self) -> None:
        before = self._read()
        while True:
            await asyncio.sleep(STEP_S)
            after = self._read()
            line = self._line(before, after)
            if line.processor >= BUSY_PART or line.waiting:
                events.write(line)
            before = after

    def _read(self) -> _Reading:
        using = self._using
        return _Reading(
            at=self._clock.monotonic(),
            processor_s=using.processor_s(),
            turns=using.desk.turns,
            turns_s=using.desk.turns_s,
            looked_at=using.desk.looked_at,
        )

    def _line(self, before: _Reading, after: _Reading) -> events.RouterLoad:
        using = self._using
        seconds = after.at - before.at
        processor_s = after.processor_s - before.processor_s
        return events.RouterLoad(
            seconds=round(seconds, 3),
            processor=round(processor_s / seconds, 3),
            deciding=round((after.turns_s - before.turns_s) / seconds, 3),
            turns=after.turns - before.turns,
            looked_at=after.looked_at - before.looked_at,
            waiting=using.desk.waiting,
            oldest_s=round(using.desk.oldest_wait_s(), 3),
            held=using.gateway.in_flight,
            lag_s=round(using.meter.lag_s, 3),
        )
