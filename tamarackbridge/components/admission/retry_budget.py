"""Retry budget shared by all routers of the fleet.

Load pattern: servers fail while the fleet is busy, and retries would turn a
loss of capacity into a flood. The ratio part of the budget is spent by each
router in proportion to the requests it receives; the fixed slack is divided
evenly. In a large fleet a router's portion is less than one retry, so the
fraction of a retry is rounded up or down at random: some routers may retry once
more, and on average none of the budget is lost.
"""

import collections
import dataclasses
import random

from tamarackbridge.components.fleet import models as fleet

SPENT_FRACTION = 0.7
"""Fraction of the budget that is spent, so that the fleet stays within its
bound when routers that were just lost spent theirs in the same window."""

CONFIRMATIONS_FRACTION = 0.5
"""Fraction of what may be spent up to which confirmations of a stream's end may
spend it. A request that failed has nothing without its retry; the caller of a
stream without confirmation has all events that came, and may resume."""


@dataclasses.dataclass(slots=True)
class _ServiceUse:
    requests: collections.deque[float]
    retries: collections.deque[float]
    rounding: float
    rounding_drawn_at: float


class RetryBudget:
    """Counts the requests and retries of this router for each service."""

    def __init__(self, bounds: fleet.Bounds, rng: random.Random) -> None:
        self._bounds = bounds
        self._rng = rng
        self._services: dict[str, _ServiceUse] = {}

    def update_bounds(self, bounds: fleet.Bounds) -> None:
        """Applies changed bounds."""
        self._bounds = bounds

    def record_request(self, service: str, now: float) -> None:
        """Counts a request to a service."""
        use = self._current(service, now)
        use.requests.append(now)

    def try_spend(
        self, service: str, routers: int, now: float, fraction: float = 1.0
    ) -> bool:
        """Spends one retry and returns True, if the budget has one left.

        Args:
            service: Name of the service.
            routers: Number of routers that share the budget.
            now: The present time.
            fraction: Fraction of the budget that may be spent for this purpose.
        """
        use = self._current(service, now)
        bounds = self._bounds
        budget = bounds.retry_ratio * len(use.requests)
        budget += bounds.retry_slack / max(routers, 1)
        allowed = fraction * SPENT_FRACTION * budget
        if len(use.retries) + 1 > allowed + use.rounding:
            return False
        use.retries.append(now)
        return True

    def _current(self, service: str, now: float) -> _ServiceUse:
        """Returns the counts of a service, without expired entries."""
        use = self._services.get(service)
        if use is None:
            requests: collections.deque[float] = collections.deque()
            rounding = self._rng.random()
            use = _ServiceUse(requests, collections.deque(), rounding, now)
            self._services[service] = use
        if now - use.rounding_drawn_at >= self._bounds.retry_window_s:
            use.rounding, use.rounding_drawn_at = self._rng.random(), now
        window_start = now - self._bounds.retry_window_s
        for times in (use.requests, use.retries):
            while times and times[0] < window_start:
                times.popleft()
        return use
