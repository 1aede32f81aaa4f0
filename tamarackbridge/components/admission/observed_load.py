"""Load of the model engines, as observed by this router and by its peers.

Load patterns: a burst of arrivals on a calm day, which looks like overload for
a moment; and answers so long that the engines run as many requests as they can
while they have hardly any prompts to prefill.
"""

from collections.abc import Iterable
import dataclasses
import math

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import pool

TARGET_BACKLOG_FRACTION = 0.25
"""Fraction of the shortest latency target that an engine's prefill backlog
normally may take. The rest of the target is for the prefill of the new request
itself, and for engines with twice the backlog of others."""

TARGET_FILL = 0.8
"""Fraction of the engines' slots and memory that normally may be in use, so
that a request finds room at an engine that suits it."""

AVERAGING_S = 0.5
"""Time over which the engines' load is averaged: longer than a burst of
arrivals, shorter than the window of the shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLoad:
    """Engine load summed over the routers that observed it.

    Attributes:
        routers: Number of routers.
        prefill_backlog_s: Sum of their `LoadAverage.prefill_backlog_s`.
        fill: Sum of their `LoadAverage.fill`.
    """

    routers: int = 0
    prefill_backlog_s: float = 0.0
    fill: float = 0.0

    def plus(self, other: "ObservedLoad") -> "ObservedLoad":
        """Returns the sum of both."""
        return ObservedLoad(
            self.routers + other.routers,
            self.prefill_backlog_s + other.prefill_backlog_s,
            self.fill + other.fill,
        )

    def minus(self, other: "ObservedLoad") -> "ObservedLoad":
        """Returns the sum without the routers of another sum."""
        return ObservedLoad(
            self.routers - other.routers,
            self.prefill_backlog_s - other.prefill_backlog_s,
            self.fill - other.fill,
        )

    @property
    def mean_fill(self) -> float:
        """Fraction of slots and memory in use, as all routers observe it."""
        return self.fill / max(self.routers, 1)

    def headroom(self, target_s: float) -> float:
        """Returns the headroom of the engines, from -1 to 1.

        1 if they are idle, 0 if they have as much work as intended, and -1 if
        they have twice as much or no room at all. All routers count the same: a
        router that sends much counts its own requests before the others learn
        of them, and so overestimates the load.

        Args:
            target_s: The shortest latency target of requests to the engines.
        """
        count = max(self.routers, 1)
        backlog_headroom = 1.0 - self.prefill_backlog_s / count / (
            TARGET_BACKLOG_FRACTION * target_s
        )
        fill_headroom = (TARGET_FILL - self.mean_fill) / (1.0 - TARGET_FILL)
        return min(max(min(backlog_headroom, fill_headroom), -1.0), 1.0)


NO_LOAD = ObservedLoad()


class LoadAverage:
    """Moving average of the engine load that this router observes.

    Attributes:
        prefill_backlog_s: Time until an engine begins with a new request, in
            seconds.
        fill: Fraction of the engines' slots and memory that is in use.
    """

    def __init__(self) -> None:
        self.prefill_backlog_s = 0.0
        self.fill = 0.0
        self._updated_at = 0.0

    def update(self, load: pool.Load | None, now: float) -> None:
        """Adds a sample of the engine load; None if there are no engines."""
        if load is None:
            return
        weight = 1.0 - math.exp(-max(now - self._updated_at, 0.0) / AVERAGING_S)
        self.prefill_backlog_s += weight * (
            load.prefill_backlog_s - self.prefill_backlog_s
        )
        self.fill += weight * (load.fill - self.fill)
        self._updated_at = now

    def observed(self) -> ObservedLoad:
        """Returns the load as observed by this router alone."""
        return ObservedLoad(1, self.prefill_backlog_s, self.fill)


def shortest_target_s(cfg: knowledge.Configuration) -> float:
    """Returns the shortest latency target of the routes to model engines."""
    return min(_targets_s(cfg), default=math.inf)


def _targets_s(cfg: knowledge.Configuration) -> Iterable[float]:
    for route in cfg.routes:
        services = (cfg.services.get(name) for name, _ in route.split)
        if any(
            service is not None and service.is_model for service in services
        ):
            yield route.target_s
