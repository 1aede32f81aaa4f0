"""Demand for services without model engines, at this router and the others.

Load pattern: callers ask a service for more than its servers can do, spread
over dozens of routers, none of which sees it alone.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import math

AVERAGING_S = 1.0
"""Time constant of the arrival rates: long enough to count a few arrivals of
each router, short enough to follow a change within about a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Arrivals at a service.

    Attributes:
        per_s: Requests a second.
        once_per_s: Those of them that may run only once.
    """

    per_s: float = 0.0
    once_per_s: float = 0.0

    def plus(self, other: "Demand") -> "Demand":
        """Returns the sum of both."""
        return Demand(
            self.per_s + other.per_s, self.once_per_s + other.once_per_s
        )

    def minus(self, other: "Demand") -> "Demand":
        """Returns the sum without a part of it."""
        return Demand(
            max(self.per_s - other.per_s, 0.0),
            max(self.once_per_s - other.once_per_s, 0.0),
        )


NO_DEMAND = Demand()


def total(parts: Iterable[Mapping[str, Demand]]) -> dict[str, Demand]:
    """Returns the sum of the demand at different routers, by service."""
    found: dict[str, Demand] = {}
    for part in parts:
        for service, demand in part.items():
            found[service] = found.get(service, NO_DEMAND).plus(demand)
    return found


@dataclasses.dataclass(slots=True)
class _Arrivals:
    demand: Demand
    at: float


class ServiceDemand:
    """Demand by service, of this router and of those that report to it.

    Attributes:
        reported: Demand by reporting router and service.
    """

    def __init__(self) -> None:
        self.reported: dict[str, Mapping[str, Demand]] = {}
        self._arrivals: dict[str, _Arrivals] = {}

    def record_arrival(self, service: str, is_once: bool, now: float) -> None:
        """Records the arrival of a request at this router."""
        arrivals = self._arrivals.setdefault(service, _Arrivals(NO_DEMAND, now))
        step = 1.0 / AVERAGING_S
        arrivals.demand = _decayed(arrivals, now).plus(
            Demand(step, step if is_once else 0.0)
        )
        arrivals.at = now

    def own(self, now: float) -> dict[str, Demand]:
        """Returns the demand at this router, by service."""
        return {
            service: _decayed(arrivals, now)
            for service, arrivals in self._arrivals.items()
        }

    def of(self, service: str, now: float) -> tuple[Demand, Demand]:
        """Returns the demand for a service here, and at all routers."""
        arrivals = self._arrivals.get(service)
        own = _decayed(arrivals, now) if arrivals is not None else NO_DEMAND
        whole = own
        for reported in self.reported.values():
            whole = whole.plus(reported.get(service, NO_DEMAND))
        return own, whole

    def drop_source(self, src: str) -> None:
        """Drops the demand at a router that is gone."""
        self.reported.pop(src, None)


def _decayed(arrivals: _Arrivals, now: float) -> Demand:
    left = math.exp(-max(now - arrivals.at, 0.0) / AVERAGING_S)
    demand = arrivals.demand
    return Demand(demand.per_s * left, demand.once_per_s * left)
