"""Reports a router's load as metrics and log events."""

import asyncio
from collections.abc import Callable
import dataclasses
import resource
from typing import Protocol

from tamarackbridge import background_task, core
from tamarackbridge.components.gateway import event_loop_lag
from tamarackbridge.components.telemetry import events, metrics

LOG_INTERVAL_S = 1.0
"""Interval between two log events."""

BUSY_FRACTION = 0.1
"""Processor use, as a fraction of one core, from which the load is logged;
below this, it is logged only while requests are queued."""


def processor_s() -> float:
    """Returns the processor time of this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


class AdmissionController(Protocol):
    """Load figures of the admission controller.

    Attributes:
        scheduling_passes: Number of scheduling passes over queued requests.
        scheduling_s: Total duration of these passes, in seconds.
        copied_tokens: Prompt tokens that engines were told to copy.
        evaluated_requests: Number of queued requests that these passes tried
            to place on a server.
    """

    scheduling_passes: int
    scheduling_s: float
    copied_tokens: int
    evaluated_requests: int

    @property
    def waiting(self) -> int:
        """Number of queued requests."""

    def oldest_wait_s(self) -> float:
        """Returns the age of the oldest queued request; 0 if none is queued."""


class Gateway(Protocol):
    """Load figures of the listener for callers."""

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSources:
    """Sources of a router's load figures.

    Attributes:
        controller: The admission controller.
        gateway: The listener for callers.
        meter: Average lag of the event loop.
        processor_s: Returns the processor time of the process, in seconds.
    """

    controller: AdmissionController
    gateway: Gateway
    meter: event_loop_lag.LagMeter
    processor_s: Callable[[], float] = processor_s


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadSample:
    time_s: float
    processor_s: float
    scheduling_passes: int
    scheduling_s: float
    evaluated_requests: int


def register_metrics(registry: metrics.Metrics, sources: LoadSources) -> None:
    """Registers the metrics of a router's load."""
    for name, help_text, read in (
        ("held", "Requests under way.", lambda: sources.gateway.in_flight),
        (
            "lag_seconds",
            "Lag of the event loop.",
            lambda: sources.meter.lag_s,
        ),
        ("waiting", "Requests that wait.", lambda: sources.controller.waiting),
        (
            "oldest_wait_seconds",
            "Time for which the oldest request has waited.",
            sources.controller.oldest_wait_s,
        ),
    ):
        registry.gauge(name, help_text, read)
    registry.callback_counter(
        "process_seconds", "Processor time of the process.", sources.processor_s
    )
    registry.callback_counter(
        "turns",
        "Turns in which waiting requests were looked at.",
        lambda: sources.controller.scheduling_passes,
    )
    registry.callback_counter(
        "requests_looked_at",
        "Waiting requests for which servers were weighed.",
        lambda: sources.controller.evaluated_requests,
    )
    registry.callback_counter(
        "copied_prompt_tokens",
        "Prompt tokens that engines were told to copy from others.",
        lambda: sources.controller.copied_tokens,
    )
    registry.callback_counter(
        "turn_seconds",
        "Time in which waiting requests were looked at.",
        lambda: sources.controller.scheduling_s,
    )


class LoadLog(core.Service):
    """Logs the load once a second while the router is busy."""

    def __init__(self, sources: LoadSources, clock: core.Clock) -> None:
        super().__init__()
        self._sources = sources
        self._clock = clock
        self._log_task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts logging."""
        self._log_task = background_task.start("load_log", self._async_log_load)

    async def on_stop(self) -> None:
        """Stops logging."""
        if self._log_task is not None:
            self._log_task.cancel()

    async def _async_log_load(self) -> None:
        previous = self._take_sample()
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            current = self._take_sample()
            event = self._make_event(previous, current)
            if event.processor >= BUSY_FRACTION or event.waiting:
                events.write(event)
            previous = current

    def _take_sample(self) -> _LoadSample:
        sources = self._sources
        return _LoadSample(
            time_s=self._clock.monotonic(),
            processor_s=sources.processor_s(),
            scheduling_passes=sources.controller.scheduling_passes,
            scheduling_s=sources.controller.scheduling_s,
            evaluated_requests=sources.controller.evaluated_requests,
        )

    def _make_event(
        self, previous: _LoadSample, current: _LoadSample
    ) -> events.RouterLoad:
        sources = self._sources
        seconds = current.time_s - previous.time_s
        processor_s = current.processor_s - previous.processor_s
        return events.RouterLoad(
            seconds=round(seconds, 3),
            processor=round(processor_s / seconds, 3),
            deciding=round(
                (current.scheduling_s - previous.scheduling_s) / seconds, 3
            ),
            turns=current.scheduling_passes - previous.scheduling_passes,
            looked_at=current.evaluated_requests - previous.evaluated_requests,
            waiting=sources.controller.waiting,
            oldest_s=round(sources.controller.oldest_wait_s(), 3),
            held=sources.gateway.in_flight,
            lag_s=round(sources.meter.lag_s, 3),
        )
