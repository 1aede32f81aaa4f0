"""Learns how slow each server is and how much load it handles well.

Time is modelled as log(time / nominal) = level + slope x occupancy. The design
is described in docs/design/server-speeds.md.

Load pattern: servers of one service that differ in speed, that neighbours slow
down for half a second, or that slow down before their slots are full.
"""

import collections
from collections.abc import Callable, Collection
import dataclasses
import math
import statistics

from tamarackbridge.components.gateway import models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    speed_estimate,
    speed_store,
    speed_sums,
)

MAX_LAG_S = 0.02
"""Observations that were made while the event loop lagged for longer are
ignored: the lag would be taken for slowness of the server."""

NOISE_SMOOTHING = 0.02
"""Weight of one squared error in the average variance."""

IDLE_OCCUPANCY = 0.4
"""Occupancy up to which the time of a request counts as that at low load."""

TYPICAL_INTERVAL_S = 1.0
"""Interval at which the typical values of services are computed: for 600
servers it takes some milliseconds."""

FIRST_INTERVAL_S = 0.25
"""The interval for a service whose typical values aren't known yet."""

MIN_TYPICAL_WEIGHT = 2.0
"""Weight below which a service keeps its former typical value."""

CACHE_S = 0.05
"""Time for which an estimate is used unless the server states a work factor, a
seventh of the time constant of momentary changes."""

JUDGING_SMOOTHING = 0.1
"""Weight of one observation in the errors by which a work factor is judged."""

NOMINAL_PLAIN_S = 0.05
"""Nominal time of a plain server; only the unit of its level."""


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one service's servers.

    Attributes:
        levels: Level and weight of each server.
        figures: Mean logarithm of the work factor of each, and its weight.
        xx: Sum of squared deviations of the occupancy.
        xy: Sum of the products of the deviations of occupancy and time.
    """

    levels: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    figures: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    xx: float = speed_estimate.SLOPE_PRIOR
    xy: float = 0.0

    def add(
        self, sums: speed_sums.SpeedSums, age_s: float, slope: float
    ) -> None:
        """Adds the sums of one server."""
        self.xx += sums.slope_xx
        self.xy += sums.slope_xy
        if sums.slow_w >= speed_sums.MIN_WEIGHT:
            level = speed_estimate.mean_level(sums, slope)
            weight = speed_estimate.slow_weight(sums, age_s)
            self.levels.append((level, weight))
        if sums.figure_w >= speed_sums.MIN_WEIGHT:
            figure = sums.figure_y / sums.figure_w
            self.figures.append((figure, sums.figure_w))

    def apply(self, service: speed_estimate.ServiceSpeed) -> None:
        """Sets the typical values of the service, as far as they are known."""
        service.slope = max(speed_estimate.bounded(self.xy / self.xx), 0.0)
        level = _median(self.levels)
        if level is not None:
            service.level, service.is_known = level, True
        figure = _median(self.figures)
        if figure is not None:
            service.figure = figure


class ServerSpeeds:
    """Estimates of the servers' speeds, from all routers' observations.

    Attributes:
        store: Sums of this router and of the others.
    """

    def __init__(
        self,
        local_copy: state.LocalCopy,
        lag_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Creates the model.

        Args:
            local_copy: The registered servers.
            lag_s: Returns the recent lag of this router's event loop.
        """
        self.store = speed_store.SpeedStore(local_copy)
        self._local_copy = local_copy
        self._lag_s = lag_s
        self._services: dict[str, speed_estimate.ServiceSpeed] = {}
        self._estimates: dict[str, speed_estimate.Estimate] = {}
        self._figures: dict[str, speed_estimate.Figure] = {}
        self._typical_at = -math.inf

    def observe(
        self, name: str, log_time: float, occupancy: float, now: float
    ) -> None:
        """Learns from one time.

        Args:
            name: Name of the server.
            log_time: Logarithm of the time over the nominal one.
            occupancy: Requests at the server over its slots when the request
                was sent, or 0 if the nominal time allows for what ran there.
            now: The time.
        """
        server = self._server(name)
        if server is None or self._lag_s() > MAX_LAG_S:
            return
        x = min(max(occupancy, 0.0), 1.0)
        y = log_time - math.log(max(occupancy, 1.0))
        service = self._service(server.service, now)
        estimate = self.estimate(name, now)
        if service.is_known:
            y = service.level + speed_estimate.bounded(y - service.level)
        merged = self.store.merged(server, now).now(now)
        error = y - estimate.level - estimate.slope * x
        if merged.slow_w >= 1.0:
            service.noise += NOISE_SMOOTHING * (error * error - service.noise)
            self._judge_figure(name, y - estimate.slope * x, estimate, now)
        dx = dy = 0.0
        if merged.fast_w >= 1.0:
            dx = x - merged.fast_x / merged.fast_w
            dy = y - merged.fast_y / merged.fast_w
        sums = speed_sums.SpeedSums(1.0, x, y, 1.0, x, y, dx * dx, dx * dy)
        if 0.0 < x <= IDLE_OCCUPANCY:
            sums = sums.plus(
                speed_sums.SpeedSums(idle_w=1.0, idle_x=x, idle_y=y)
            )
        self._add(server, sums, now, now)

    def observe_load(
        self, name: str, load: models.ServerLoad, now: float
    ) -> None:
        """Learns from a server's own figures."""
        server = self._server(name)
        if load.work_factor is None or server is None:
            return
        if self._lag_s() > MAX_LAG_S:
            return
        log_factor = speed_estimate.bounded(math.log(load.work_factor))
        figure = self._figures.setdefault(
            name, speed_estimate.Figure(log_factor, now)
        )
        figure.log_factor, figure.at = log_factor, now
        self._estimates.pop(name, None)
        sums = speed_sums.SpeedSums(figure_w=1.0, figure_y=log_factor)
        self._add(server, sums, now, self.store.own(server).observed_at)

    def estimate(self, name: str, now: float) -> speed_estimate.Estimate:
        """Returns what is known of a server; it may be `CACHE_S` old."""
        kept = self._estimates.get(name)
        if kept is not None and now - kept.at < CACHE_S:
            return kept
        server = self._server(name)
        if server is None:
            return speed_estimate.Estimate(now)
        made = self._estimates[name] = speed_estimate.make_estimate(
            self.store.merged(server, now),
            self._service(server.service, now),
            self._figures.get(name),
            now,
        )
        return made

    def service(self, name: str, now: float) -> speed_estimate.ServiceSpeed:
        """Returns the typical values of a service."""
        return self._service(name, now)

    def forget(self, name: str) -> None:
        """Drops what is known of a server that was removed or has restarted."""
        self.store.forget(name)
        self._estimates.pop(name, None)
        self._figures.pop(name, None)

    def _server(self, name: str) -> knowledge.BackendServer | None:
        registered = self._local_copy.servers.get(name)
        return registered.server if registered is not None else None

    def _add(
        self,
        server: knowledge.BackendServer,
        sums: speed_sums.SpeedSums,
        now: float,
        observed_at: float,
    ) -> None:
        own = self.store.own(server)
        self.store.update_own(
            server,
            speed_sums.TimedSums(own.now(now).plus(sums), now, observed_at),
        )

    def _service(self, name: str, now: float) -> speed_estimate.ServiceSpeed:
        found = self._services.setdefault(name, speed_estimate.ServiceSpeed())
        is_due_soon = not found.is_known and not found.is_idle
        interval_s = FIRST_INTERVAL_S if is_due_soon else TYPICAL_INTERVAL_S
        if now - self._typical_at >= interval_s:
            self._typical_at = now
            self._update_typical(now)
        return found

    def _update_typical(self, now: float) -> None:
        """Computes the typical values of all services."""
        known: dict[str, _Known] = collections.defaultdict(_Known)
        for name in self.store.names():
            server = self._server(name)
            if server is None:
                continue
            timed = self.store.merged(server, now)
            slope = 0.0
            if server.service in self._services:
                slope = self._services[server.service].slope
            known[server.service].add(
                timed.now(now), now - timed.observed_at, slope
            )
        for name, service in self._services.items():
            service.is_idle = name not in known
        for name, found in known.items():
            service = self._services.setdefault(
                name, speed_estimate.ServiceSpeed()
            )
            found.apply(service)

    def _judge_figure(
        self,
        name: str,
        level: float,
        estimate: speed_estimate.Estimate,
        now: float,
    ) -> None:
        """Compares the predictions that do and don't follow a work factor."""
        figure = self._figures.get(name)
        server = self._server(name)
        if (
            figure is None
            or server is None
            or now - figure.at > speed_estimate.FIGURE_S
        ):
            return
        sums = self.store.merged(server, now).now(now)
        if sums.figure_w < 1.0:
            return
        deviation = figure.log_factor - sums.figure_y / sums.figure_w
        without = (level - estimate.base) ** 2
        following = (level - estimate.base - deviation) ** 2
        figure.error_with += JUDGING_SMOOTHING * (following - figure.error_with)
        figure.error_without += JUDGING_SMOOTHING * (
            without - figure.error_without
        )


def _median(values: Collection[tuple[float, float]]) -> float | None:
    """Returns the median of values with weights of at least 1 each.

    None if their weights don't reach `MIN_TYPICAL_WEIGHT`. A mean would follow
    the few servers that are slow.
    """
    if sum(weight for _, weight in values) < MIN_TYPICAL_WEIGHT:
        return None
    counted = [value for value, weight in values if weight >= 1.0]
    return statistics.median(counted or [value for value, _ in values])
