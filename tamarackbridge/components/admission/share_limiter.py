"""Limits the requests of each workspace to its share of the engines.

Load pattern: workspaces request more than the engines can serve, through few
routers or through all, and each router learns the others' usage late. Every
router admits the same fraction of a workspace's requests, computed from the
fleet-wide demand, which changes more slowly than what has been served (Raghavan
and others, Cloud Control with Distributed Rate Limiting, SIGCOMM 2007: global
random drop). If a fraction of the admitted requests is never sent, because
callers left or their router had no time for them, more requests are admitted.
"""

from collections.abc import Mapping
import math
import random

from tamarackbridge.components.admission import shares

IDLE_GROWTH = 0.25
"""Fraction by which the distributed throughput exceeds the recently served one
while the engines are idle."""

OVERLOAD_REDUCTION = 0.5
"""Fraction by which the distributed throughput stays below the recently served
one while the engines have twice the intended work, or no room."""


MIN_NOMINAL_FRACTION = 0.25
"""Fraction of the nominal throughput beyond the served one that is always
distributed: when all routers have just started, little is known of what was
served."""


def distributed_rate(nominal: float, served: float, headroom: float) -> float:
    """Returns the throughput to distribute, in tokens a second.

    Engines exceed their nominal throughput when prompt blocks are cached, and
    fall short of it when some engines are lost. So the recently served
    throughput takes precedence once they have more than the intended work.

    Args:
        nominal: The nominal throughput, in tokens a second.
        served: The recently served throughput, in tokens a second.
        headroom: Headroom of the engines, from -1 to 1.
    """
    nominal_fraction = min(max(1.0 + headroom, MIN_NOMINAL_FRACTION), 1.0)
    base = served + nominal_fraction * max(nominal - served, 0.0)
    return base * (
        1.0 + (IDLE_GROWTH if headroom > 0 else OVERLOAD_REDUCTION) * headroom
    )


MIN_SENT_FRACTION = 0.5
"""Least fraction of the admitted requests that counts as sent. If all of them
are suddenly sent again, the workspace gets twice its limit, and no more, until
the usage reports show it."""


class ShareLimiter:
    """Admits a fraction of each workspace's requests.

    Attributes:
        limit: Limit per workspace, in tokens a second; infinite while the
            engines can serve all requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self.limit = math.inf
        self._rng = rng
        self._requested_rates: dict[str, float] = {}
        self._served_rates: dict[str, float] = {}
        self._sent_fractions: dict[str, float] = {}
        self._credits: dict[str, float] = {}

    def refresh(
        self,
        usages: Mapping[str, shares.Usage],
        window_s: float,
        nominal: float,
        headroom: float,
    ) -> None:
        """Updates the limit from the usage of the whole fleet.

        Args:
            usages: Usage of each workspace over a window.
            window_s: The window.
            nominal: The nominal throughput, in tokens a second; 0 if none is
                configured, in which case nothing is limited.
            headroom: Headroom of the engines, from -1 to 1.
        """
        named = {name: usage for name, usage in usages.items() if name}
        self._requested_rates = {
            name: usage.requested / window_s for name, usage in named.items()
        }
        self._served_rates = {
            name: usage.served / window_s for name, usage in named.items()
        }
        self._sent_fractions = {
            name: _sent_fraction(usage) for name, usage in named.items()
        }
        self.limit = math.inf
        if nominal > 0:
            total_rate = distributed_rate(
                nominal, sum(self._served_rates.values()), headroom
            )
            demand = {
                name: (usage.requested + usage.shed) / window_s
                for name, usage in named.items()
            }
            self.limit = shares.max_min_limit(demand, total_rate)
        for name in self._credits.keys() - named.keys():
            del self._credits[name]

    def served_rate(self, workspace: str) -> float:
        """Returns what was sent for a workspace, in tokens a second."""
        return self._served_rates.get(workspace, 0.0)

    def admitted_fraction(self, workspace: str) -> float:
        """Returns the fraction of a workspace's requests that is admitted."""
        requested_rate = self._requested_rates.get(workspace, 0.0)
        if requested_rate <= self.limit:
            return 1.0
        return min(
            self.limit / (requested_rate * self._sent_fractions[workspace]), 1.0
        )

    def admits(self, workspace: str) -> bool:
        """Returns whether an arriving request is within the share.

        Requests count the same whatever their size. Counting tokens instead
        would let short requests overtake long ones.
        """
        fraction = self.admitted_fraction(workspace)
        if fraction >= 1.0:
            return True
        # Random initial credits make the routers' rounding errors cancel out.
        credit = self._credits.get(workspace)
        if credit is None:
            credit = self._rng.random()
        credit += fraction
        admitted = credit >= 1.0
        self._credits[workspace] = credit - 1.0 if admitted else credit
        return admitted


def _sent_fraction(usage: shares.Usage) -> float:
    """Returns the fraction of the admitted cost that was sent to servers."""
    if usage.admitted <= 0:
        return 1.0
    return min(max(usage.served / usage.admitted, MIN_SENT_FRACTION), 1.0)
