"""Compares the new version's responses with the old version's.

Load pattern: few canary responses beside many of the old version, in which bad
ones come in bursts: trouble in a zone, an overload or a request that crashes
its servers meet both versions, and must count against neither; a version may be
bad on one route only, or turn bad later.

Each slice of time compares what both versions did in it, by route and zone. A
sequential probability ratio test (Wald, 1945) with a floor (Page, 1954) runs
for each route, and for all routes together.
"""

from collections.abc import Mapping
import math

from tamarackbridge.components.rollout import const, models

Cells = Mapping[models.CellKey, models.Counts]

ALL_ROUTES = ""
"""Name of the test of all routes together."""


class Comparison:
    """The sequential tests of one order.

    Attributes:
        is_bad: Whether the new version was found bad.
        reason: What it was found by; empty before.
        responses: Responses of the new version that were compared.
        bad: Bad responses of the new version among them.

    Args:
        max_slice_s: Longest slice of time that is compared.
    """

    def __init__(self, max_slice_s: float = const.MAX_SLICE_S) -> None:
        self._max_slice_s = max_slice_s
        self.is_bad = False
        self.reason = ""
        self.responses = 0
        self.bad = 0
        self._expected = 0.0
        self._before: Cells | None = None
        self._old: dict[str, tuple[float, float]] = {}
        self._compared_at = -math.inf
        self._ratios: dict[str, float] = {}

    def update(self, cells: Cells, now: float) -> None:
        """Compares what has been counted since the last slice.

        Args:
            cells: Cumulative counts of the fleet.
            now: The time.
        """
        if self._before is None:
            # What came before was compared by the routers that ran then.
            self._before, self._compared_at = cells, now
            return
        if now - self._compared_at < const.MIN_SLICE_S:
            return
        deltas = {
            key: counts.plus(self._before.get(key, models.NO_COUNTS), -1)
            for key, counts in cells.items()
        }
        if any(
            delta.responses < 0 or delta.bad < 0 for delta in deltas.values()
        ):
            # A router whose counts were part of the sum is gone.
            self._before, self._compared_at = cells, now
            return
        new = sum(
            delta.responses for key, delta in deltas.items() if key.is_new
        )
        is_short = now - self._compared_at < self._max_slice_s
        if new < const.MIN_SLICE_RESPONSES and is_short:
            return
        elapsed_s = now - self._compared_at
        self._before, self._compared_at = cells, now
        self._compare(deltas, 0.5 ** (elapsed_s / const.OLD_HALF_LIFE_S))

    def accepts(self, cells: Cells) -> bool:
        """Returns whether the test has accepted all routes with traffic."""
        routes = {
            key.route for key, counts in cells.items() if counts.responses
        }
        return bool(routes) and all(
            self._ratios.get(route, 0.0) <= self._floor() for route in routes
        )

    def prefers_good(self) -> bool:
        """Returns whether what was counted speaks for the new version.

        Used where the duration ends before the test does.
        """
        return self.ratio() <= const.MAX_UNDECIDED_RATIO and all(
            ratio <= const.MAX_UNDECIDED_ROUTE_RATIO
            for ratio in self._ratios.values()
        )

    def ratio(self, route: str = ALL_ROUTES) -> float:
        """Returns the logarithm of a test's likelihood ratio."""
        return self._ratios.get(route, 0.0)

    def _compare(self, deltas: Cells, decay: float) -> None:
        self._old = {
            route: (bad * decay, responses * decay)
            for route, (bad, responses) in self._old.items()
        }
        for key, delta in deltas.items():
            if not key.is_new:
                bad, responses = self._old.get(key.route, (0.0, 0.0))
                self._old[key.route] = (
                    bad + delta.bad + min(delta.crashed, 1),
                    responses + delta.responses,
                )
        crashed_zones = set()
        for key, delta in deltas.items():
            if not key.is_new or not delta.responses:
                continue
            crashes = 0
            if delta.crashed and key.zone not in crashed_zones:
                # One crash loses all requests at the server, of all routes.
                crashes = 1
                crashed_zones.add(key.zone)
            bad = min(delta.bad + crashes, delta.responses)
            responses = delta.responses - max(delta.crashed - crashes, 0)
            self._add(
                key.route, bad, max(responses, bad), self._rate(key, deltas)
            )
        limit = self._limit()
        for route, ratio in self._ratios.items():
            if ratio >= limit:
                self.is_bad = True
                self.reason = f"test of {route or 'all routes'}"
        if (
            self.bad >= const.MIN_EXCESS
            and self.bad
            >= const.EXCESS_FACTOR * self._expected + const.EXCESS_MARGIN
        ):
            self.is_bad = True
            self.reason = self.reason or "excess of bad responses"

    def _add(self, route: str, bad: int, responses: int, rate: float) -> None:
        """Adds responses of the new version to the tests."""
        self.bad += bad
        self.responses += responses
        self._expected += rate * responses
        if rate > const.MAX_OLD_RATE:
            return
        worse = rate + const.RATE_MARGIN
        step = bad * math.log(worse / rate)
        step += (responses - bad) * math.log((1 - worse) / (1 - rate))
        for name in (route, ALL_ROUTES):
            ratio = self._ratios.get(name, 0.0) + step
            self._ratios[name] = max(ratio, self._floor())

    def _rate(self, key: models.CellKey, deltas: Cells) -> float:
        """Returns the rate of bad responses that the old version explains.

        It is the higher one of the last seconds, and of this slice in the same
        zone, or in all zones if that one has no old responses.
        """
        same = deltas.get(
            models.CellKey(key.route, key.zone, False), models.NO_COUNTS
        )
        if not same.responses:
            for other, delta in deltas.items():
                if other.route == key.route and not other.is_new:
                    same = same.plus(delta)
        bad, responses = self._old.get(key.route, (0.0, 0.0))
        recent = _smoothed(bad, responses, const.PRIOR_RATE)
        in_slice = _smoothed(
            same.bad + min(same.crashed, 1), same.responses, recent
        )
        return max(in_slice, recent, const.MIN_OLD_RATE)

    def _limit(self) -> float:
        """Returns the logarithm of the ratio at which a version is bad."""
        tests = max(len(self._ratios), 1)
        return math.log((1 - const.ERROR_RATE) * tests / const.ERROR_RATE)

    def _floor(self) -> float:
        """Returns the logarithm of the ratio at which a route is accepted."""
        return math.log(const.ERROR_RATE / (1 - const.ERROR_RATE))


def _smoothed(bad: float, responses: float, prior: float) -> float:
    """Returns a rate to which responses with a prior rate were added."""
    bad += prior * const.PRIOR_RESPONSES
    return bad / (responses + const.PRIOR_RESPONSES)
