"""Reports the learned speeds of servers as metrics and log events."""

import asyncio
from collections.abc import Iterator
import heapq
import math

from tamarackbridge import background_task, core
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import server_speeds, speed_estimate
from tamarackbridge.components.telemetry import events, metrics

INTERVAL_S = 2.0
"""Interval at which estimates are compared with those that were logged last:
for 600 servers it takes some milliseconds."""

CHANGED_LOG = math.log(4 / 3)
"""Change of an estimate that is logged: by more than a third."""

MAX_EVENTS = 10
EVENTS_S = 10.0
"""Log lines at most in this time; a fleet that starts learns of all servers at
once."""

MAX_SERVERS = 200
"""Servers with gauges: those that differ most from their service."""


class SpeedLog(core.Service):
    """Logs servers whose estimated speed has changed."""

    def __init__(
        self,
        local_copy: state.LocalCopy,
        speeds: server_speeds.ServerSpeeds,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._local_copy = local_copy
        self._speeds = speeds
        self._clock = clock
        self._logged: dict[str, float] = {}
        self._events_left = float(MAX_EVENTS)
        self._task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts to compare."""
        self._task = background_task.start("speed_log", self._async_run)

    async def on_stop(self) -> None:
        """Stops to compare."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.log_changes()

    def log_changes(self) -> None:
        """Logs the servers whose estimates changed since they were logged.

        Momentary deviations don't count: neighbours cause several a second.
        """
        now = self._clock.monotonic()
        self._events_left = min(
            self._events_left + MAX_EVENTS / EVENTS_S * INTERVAL_S, MAX_EVENTS
        )
        found = dict(_estimates(self._local_copy, self._speeds, now))
        for name in self._logged.keys() - {server.name for server in found}:
            del self._logged[name]
        for server, estimate in found.items():
            typical = self._speeds.service(server.service, now).level
            before = self._logged.get(server.name, typical)
            if abs(estimate.base - before) <= CHANGED_LOG:
                continue
            if self._events_left < 1.0:
                return
            self._events_left -= 1.0
            self._logged[server.name] = estimate.base
            events.write(
                events.ServerSpeedChanged(
                    server.name,
                    server.service,
                    round(math.exp(estimate.base - typical), 2),
                    round(math.exp(before - typical), 2),
                    round(estimate.limit, 2),
                    estimate.source,
                )
            )


def register_metrics(
    registry: metrics.Metrics,
    local_copy: state.LocalCopy,
    speeds: server_speeds.ServerSpeeds,
    clock: core.Clock,
) -> None:
    """Registers the gauges of the servers' speeds."""

    def read() -> Iterator[tuple[tuple[str, ...], tuple[float, ...]]]:
        now = clock.monotonic()
        shown = heapq.nlargest(
            MAX_SERVERS,
            _estimates(local_copy, speeds, now),
            key=lambda found: abs(math.log(found[1].relative_slowness)),
        )
        for server, estimate in shown:
            yield (
                (server.name, server.service, estimate.source),
                (
                    estimate.slowness,
                    estimate.relative_slowness,
                    max(estimate.limit * server.slots, 1.0),
                    estimate.age_s,
                ),
            )

    registry.gauge_family(
        ("server", "service", "source"),
        (
            ("server_slowness", "Time of a server over the nominal time."),
            (
                "server_relative_slowness",
                "Time of a server over that of its service's typical one.",
            ),
            ("server_limit", "Requests that a server handles well at once."),
            (
                "server_speed_age_seconds",
                "Time since the last observation of a server's speed.",
            ),
        ),
        read,
    )


def _estimates(
    local_copy: state.LocalCopy,
    speeds: server_speeds.ServerSpeeds,
    now: float,
) -> Iterator[tuple[knowledge.BackendServer, speed_estimate.Estimate]]:
    """Yields the registered servers of whose speed something is known."""
    names = speeds.store.names()
    for name, registered in list(local_copy.servers.items()):
        if name in names:
            yield registered.server, speeds.estimate(name, now)
