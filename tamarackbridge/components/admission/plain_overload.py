"""Limits what a service without model engines gets to what it can do.

Load pattern: dozens of routers before a few plain servers, and more demand than
they can do. If each router sends until a server rejects, servers reject a third
of the requests.
"""

import dataclasses
import math
import random

from tamarackbridge.components.admission import policy, service_demand
from tamarackbridge.components.gateway import jobs, rejections
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import (
    estimate,
    selector,
)
from tamarackbridge.components.telemetry import events

USED_FRACTION = 0.9
"""Fraction of the rate that is used; the rest covers random clumps."""

SHED_NONE_FILL = 0.5
SHED_ALL_FILL = 0.85
"""Fractions of the limits in use at which nothing and all of the excess is
shed. Between them a part is, so that a rate that is estimated too low doesn't
leave slots free."""

MIN_REST_FRACTION = 0.5
"""Least fraction of the requests that may be repeated that is sent, as a part
of that of all requests. Without it those that may run only once took the whole
rate of a short service, and of 286 others 4 were served."""

REFRESH_S = 0.05
"""Time for which the state of a service is used."""

EVENT_INTERVAL_S = 5.0
"""Shortest interval between two log lines about one service."""

RETRY_SPREAD_S = 1.0
"""Time over which retries are spread, times demand over rate."""

RETRY_TIME_FRACTION = 1 / 3
"""Part of the time left to a request that the advised retry time may take."""


@dataclasses.dataclass(slots=True)
class ServiceState:
    """State of a service with plain servers.

    Attributes:
        at: Time of the state.
        rate_per_s: Requests a second that its servers can do.
        demand: Demand of all routers.
        own: Demand at this router.
        fill: Fraction of its servers' limits that is in use.
        time_s: Time of a request at a typical server at its limit.
    """

    at: float = -math.inf
    rate_per_s: float = math.inf
    demand: service_demand.Demand = service_demand.NO_DEMAND
    own: service_demand.Demand = service_demand.NO_DEMAND
    fill: float = 0.0
    time_s: float = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Returns whether a part of the demand is shed."""
        return self.demand.per_s > self.rate_per_s and self.fill > (
            SHED_NONE_FILL
        )

    def sent_fraction(self, is_once: bool) -> float:
        """Returns the fraction of requests that is sent.

        Args:
            is_once: Whether they may run only once; those go first.
        """
        if not self.is_overloaded:
            return 1.0
        once_per_s = self.demand.once_per_s
        rest_per_s = max(self.demand.per_s - once_per_s, 1e-9)
        least = MIN_REST_FRACTION * self.rate_per_s / self.demand.per_s
        fraction = (self.rate_per_s - once_per_s) / rest_per_s
        if fraction < least:
            fraction = least
            if is_once:
                left_per_s = self.rate_per_s - least * rest_per_s
                fraction = left_per_s / max(once_per_s, 1e-9)
        elif is_once:
            fraction = 1.0
        strength = (self.fill - SHED_NONE_FILL) / (
            SHED_ALL_FILL - SHED_NONE_FILL
        )
        return 1.0 - min(strength, 1.0) * (1.0 - min(fraction, 1.0))

    def wait_s(self, waiting: int) -> float:
        """Returns how long a request waits here behind others."""
        if not self.own.per_s:
            return 0.0
        own_rate = self.rate_per_s * self.own.per_s / self.demand.per_s
        return waiting / max(own_rate, 1e-9)


class PlainOverload:
    """Sheds what the servers of a service without model engines can't do."""

    def __init__(
        self,
        estimator: estimate.Estimator,
        server_selector: selector.ServerSelector,
        demand: service_demand.ServiceDemand,
        rng: random.Random,
    ) -> None:
        self._estimator = estimator
        self._selector = server_selector
        self._demand = demand
        self._rng = rng
        self._states: dict[str, ServiceState] = {}
        self._credits: dict[tuple[str, bool], float] = {}
        self._logged_at: dict[str, float] = {}

    def record_arrival(
        self, job: jobs.Job, waiting: int, now: float
    ) -> rejections.Rejection | None:
        """Counts a new request; returns its rejection if it can't be served.

        Args:
            job: The request.
            waiting: Requests that wait here for the same service.
            now: The time.
        """
        if job.service.is_model or self._estimator.speeds is None:
            return None
        service = job.service.name
        is_once = job.route.kind is knowledge.RouteKind.NON_IDEMPOTENT
        self._demand.record_arrival(service, is_once, now)
        state = self.state(service, now)
        if not state.is_overloaded:
            return None
        if self._spend(service, is_once, state.sent_fraction(is_once)):
            expected_s = state.wait_s(waiting) + state.time_s
            if not waiting or now + expected_s <= due_at(job):
                return None
        self._log(service, state, now)
        return self.rejection(job, state, now)

    def is_too_late(self, job: jobs.Job, now: float) -> bool:
        """Returns whether a request to an overloaded service will be late."""
        state = self.state(job.service.name, now)
        return now + state.time_s > due_at(job)

    def is_overloaded(self, service: str, now: float) -> bool:
        """Returns whether a plain service gets more than it can do."""
        state = self._states.get(service)
        return state is not None and self.state(service, now).is_overloaded

    def rejection(
        self, job: jobs.Job, state: ServiceState, now: float
    ) -> rejections.Rejection:
        """Returns the rejection of a request, with spread retry advice."""
        ratio = state.demand.per_s / max(state.rate_per_s, 1e-9)
        latest_s = min(
            policy.RETRY_MIN_S + RETRY_SPREAD_S * ratio,
            policy.RETRY_MAX_S,
            RETRY_TIME_FRACTION * (job.deadline - now),
        )
        return rejections.Rejection(
            rejections.Reason.OVERLOADED,
            self._rng.uniform(
                policy.RETRY_MIN_S, max(latest_s, 2 * policy.RETRY_MIN_S)
            ),
        )

    def state(self, service: str, now: float) -> ServiceState:
        """Returns the state of a service; it may be `REFRESH_S` old."""
        state = self._states.setdefault(service, ServiceState())
        if now - state.at >= REFRESH_S:
            self._refresh(service, state, now)
        return state

    def _refresh(self, service: str, state: ServiceState, now: float) -> None:
        state.at = now
        state.own, state.demand = self._demand.of(service, now)
        state.rate_per_s, state.fill = math.inf, 0.0
        self._estimator.advance(now)
        speeds = self._estimator.speeds
        if speeds is None or not speeds.service(service, now).is_known:
            return
        # Times scatter, and their mean is above their geometric mean.
        scatter = math.exp(speeds.service(service, now).noise / 2)
        rate_per_s = limits = used = 0.0
        for registered in self._selector.pools.of(service, now).healthy:
            server = registered.server
            estimated = speeds.estimate(server.name, now)
            limit = max(estimated.limit * max(server.slots, 1), 1.0)
            time_s = self._estimator.response_s(server.name) or math.inf
            rate_per_s += limit / (time_s * scatter)
            limits += limit
            requests = self._selector.states.expected_requests(server, now)
            used += min(requests, limit)
        if limits:
            state.rate_per_s = USED_FRACTION * rate_per_s
            state.fill = used / limits
            state.time_s = limits / rate_per_s

    def _spend(self, service: str, is_once: bool, fraction: float) -> bool:
        """Returns whether a request is among the fraction that is sent.

        The credit begins at a random value, so that routers don't send their
        first requests all at once.
        """
        key = (service, is_once)
        credit = self._credits.get(key)
        if credit is None:
            credit = self._rng.random()
        credit += fraction
        is_sent = credit >= 1.0
        self._credits[key] = credit - 1.0 if is_sent else credit
        return is_sent

    def _log(self, service: str, state: ServiceState, now: float) -> None:
        if now - self._logged_at.get(service, -math.inf) < EVENT_INTERVAL_S:
            return
        self._logged_at[service] = now
        events.write(
            events.ServiceOverloaded(
                service,
                round(state.demand.per_s, 1),
                round(state.rate_per_s, 1),
                round(state.fill, 2),
            )
        )


def due_at(job: jobs.Job) -> float:
    """Returns when the response to a request is late."""
    if job.route.target_s <= 0:
        return job.deadline
    return min(job.arrived + job.route.target_s, job.deadline)
