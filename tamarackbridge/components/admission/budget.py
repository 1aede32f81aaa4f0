"""The budget of repeated sendings that all routers share.

Load pattern: servers fail while the fleet is busy, and repeats would turn a
loss of capacity into a flood. Each router spends a part of the fleet's budget
in proportion to the requests that it sees, and an even part of the slack.
"""

import collections
import dataclasses

from tamarackbridge.components.fleet import models as fleet

SAFETY = 0.7
"""Part of the budget that is spent: routers that have just been lost may
have spent their part in the same window."""


@dataclasses.dataclass(slots=True)
class _Spent:
    requests: collections.deque[float]
    repeats: collections.deque[float]


class RepeatBudget:
    """Counts requests and repeats of this router, by service."""

    def __init__(self, bounds: fleet.Bounds) -> None:
        self._bounds = bounds
        self._services: dict[str, _Spent] = {}

    def use_bounds(self, bounds: fleet.Bounds) -> None:
        """Takes changed bounds."""
        self._bounds = bounds

    def note_request(self, service: str, now: float) -> None:
        """Counts a request for a service."""
        spent = self._at(service, now)
        spent.requests.append(now)

    def take(self, service: str, routers: int, now: float) -> bool:
        """Spends one repeat, if the budget has one left."""
        spent = self._at(service, now)
        bounds = self._bounds
        allowed = SAFETY * (
            bounds.retry_ratio * len(spent.requests)
            + bounds.retry_slack / max(routers, 1)
        )
        if len(spent.repeats) + 1 > allowed:
            return False
        spent.repeats.append(now)
        return True

    def _at(self, service: str, now: float) -> _Spent:
        spent = self._services.get(service)
        if spent is None:
            spent = _Spent(collections.deque(), collections.deque())
            self._services[service] = spent
        begin = now - self._bounds.retry_window_s
        for times in (spent.requests, spent.repeats):
            while times and times[0] < begin:
                times.popleft()
        return spent
