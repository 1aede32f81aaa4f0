"""Load shedding: limits the requests that an overloaded router admits.

Load pattern: the load balancer distributes callers by a hash, so that one
workspace can send ten times the capacity of a small VM through it. A request
that is admitted but not finished in time does harm twice: its caller retries,
and it has kept other requests from being finished. So the router limits the
rate of admitted requests by the delay of its event loop. The minimum delay over
an interval distinguishes a standing queue from a burst (Nichols and Jacobson,
Controlling Queue Delay, 2012). The limit is shared among workspaces before
requests are parsed (Zhou and others, Overload Control for Scaling WeChat
Microservices, 2018).
"""

import collections
from collections.abc import Callable
import math
import random

from tamarackbridge.components.admission import shares

MAX_STANDING_DELAY_S = 0.04
"""Acceptable standing delay of the event loop: a tenth of the shortest latency
target of a stream."""

INTERVAL_S = 0.1
"""Time for which the delay must exceed that to count as standing; a burst of
arrivals is worked off within it."""

DECREASE = 0.85
"""Factor by which the limit is reduced, raised to the power of the ratio of the
delay to `MAX_STANDING_DELAY_S`."""

MAX_DECREASE_EXPONENT = 4.0
"""Maximum of that ratio in one reduction."""

MIN_DECREASE_INTERVAL_S = 0.25
"""Minimum time between two reductions. After it the delay shows the effect of
the last one, as requests admitted earlier have been scheduled and sent."""

INCREASE = 0.02
"""Fraction by which the limit grows per interval without a standing delay. The
growth is slow compared to the duration of a stream, because the work of newly
admitted streams is still to come."""

INCREASE_PER_S = 1.0
"""Requests a second added per interval on top of that, so that a low limit
grows too."""

MIN_LIMIT_PER_S = 5.0
"""Minimum limit, which lets a router find out whether it can serve more."""

LIMIT_REMOVAL_S = 2.0
"""Time without a shed request after which the limit is removed."""

ARRIVAL_SMOOTHING_S = 0.3
"""Time constant of the average arrival rates: a few intervals, within which a
flood is recognised."""

COMPLETION_SMOOTHING_S = 1.0
"""Time constant of the average completion rate: the duration of a stream."""

OFFLOAD_WORK = 0.25
"""Work of offloading a request to a peer, as a fraction of serving it here."""

MIN_TRACKED_PER_S = 0.01
"""Arrival rate below which a workspace is no longer tracked."""

MAX_CREDIT = 2.0
"""Maximum credit, in requests, that a workspace accumulates while none of its
requests are admitted."""

RETRY_MIN_S = 0.25
RETRY_MAX_S = 4.0
"""Bounds of Retry-After before it is varied. Callers may reach the same router
again, where rejecting them takes processor time from serving others. Their
timeouts are 1 to 12 s, and they wait at most a third of the time they have
left."""

RETRY_JITTER = 0.5
"""Fraction by which Retry-After varies, so that callers don't return at the
same time."""


class Shedder:
    """Limits the rate of admitted requests and shares it among workspaces.

    A workspace's requests within its fair share of the engines come first. What
    they leave of the limit is shared by the requests beyond the fair shares.

    Attributes:
        limit_per_s: Limit of admitted requests a second; infinite while the
            router can serve all requests.
        shed_count: Number of requests that were not admitted.

    Args:
        in_share_fraction: Returns the fraction of a workspace's requests that
            is within its fair share.
        rng: Source of random numbers.
    """

    def __init__(
        self, in_share_fraction: Callable[[str], float], rng: random.Random
    ) -> None:
        self.limit_per_s = math.inf
        self.shed_count = 0
        self._in_share_fraction = in_share_fraction
        self._rng = rng
        self._rates_updated_at = -math.inf
        self._above_since = math.inf
        self._reduced_at = -math.inf
        self._refilled_at = 0.0
        self._tokens = 0.0
        self._shed_at = -math.inf
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._arrivals_per_s: dict[str, float] = {}
        self._completions = 0.0
        self._completions_per_s = 0.0
        self._peer_capacity_per_s: Callable[[], float] = lambda: 0.0
        self._admitted = 0
        self._admitted_fractions: dict[str, float] = {}
        self._credits: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Returns whether requests may be shed."""
        return math.isfinite(self.limit_per_s)

    def admits(self, workspace: str, now: float) -> bool:
        """Counts an arriving request and returns whether it is admitted."""
        self._arrivals[workspace] += 1
        fraction = self._admitted_fractions.get(workspace, 1.0)
        if not self.active:
            self._admitted += 1
            return True
        if fraction < 1.0 and not self._is_in_fraction(
            workspace, fraction, now
        ):
            self.shed_count += 1
            self._shed_at = now
            return False
        self._tokens -= 1.0
        return True

    def _is_in_fraction(
        self, workspace: str, fraction: float, now: float
    ) -> bool:
        """Returns whether a request is within the admitted fraction.

        Each request earns its workspace a credit of the fraction, and each
        admitted request uses up a credit of 1.
        """
        credit = self._credits.get(workspace)
        if credit is None:
            credit = self._rng.random()
        credit = min(credit + fraction, MAX_CREDIT)
        self._credits[workspace] = credit
        self._refill(now)
        if credit < 1.0 or self._tokens < 0.0:
            return False
        self._credits[workspace] = credit - 1.0
        return True

    def _refill(self, now: float) -> None:
        """Refills the token bucket that bounds how much a burst can use."""
        burst = self.limit_per_s * INTERVAL_S
        refill = (now - self._refilled_at) * self.limit_per_s
        self._tokens = min(max(self._tokens, -burst) + refill, burst)
        self._refilled_at = now

    def record_completion(self) -> None:
        """Counts an admitted request that has ended."""
        self._completions += 1

    @property
    def work_per_s(self) -> float:
        """Completed requests a second; offloaded ones count as a fraction."""
        return self._completions_per_s

    def set_peer_capacity(self, capacity_per_s: Callable[[], float]) -> None:
        """Sets the function that returns the capacity of the peers.

        Args:
            capacity_per_s: Returns how many requests a second fit into the
                headroom of the peers.
        """
        self._peer_capacity_per_s = capacity_per_s

    def may_offload(self, now: float) -> bool:
        """Returns whether a request that is not admitted may go to a peer.

        Offloading takes processor time too, so it counts against the limit.
        """
        if not self.active:
            return True
        self._refill(now)
        return self._tokens >= 0.0

    def record_offload(self) -> None:
        """Counts a request that is offloaded to a peer."""
        if self.active:
            self._tokens -= OFFLOAD_WORK
        self._completions += OFFLOAD_WORK

    def retry_after_s(self, workspace: str) -> float:
        """Returns the Retry-After for a shed request, in seconds."""
        fraction = self._admitted_fractions.get(workspace, 1.0)
        seconds = RETRY_MIN_S / max(fraction, RETRY_MIN_S / RETRY_MAX_S)
        return seconds * self._rng.uniform(
            1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER
        )

    def update_delay(self, delay_s: float, now: float) -> None:
        """Updates the limit from the delay of the event loop.

        To be called several times per `INTERVAL_S`.
        """
        if delay_s < MAX_STANDING_DELAY_S:
            self._above_since = math.inf
        elif math.isinf(self._above_since):
            self._above_since = now
            self._admitted = 0
        is_standing = now - self._above_since >= INTERVAL_S
        is_interval_over = now - self._rates_updated_at >= INTERVAL_S
        if is_interval_over:
            self._update_rates(now)
        if is_standing and now - self._reduced_at >= max(
            MIN_DECREASE_INTERVAL_S, delay_s
        ):
            self._reduce_limit(delay_s, now)
        elif self.active and is_interval_over and not is_standing:
            self._raise_limit(now)
        if is_interval_over or is_standing:
            self._share_limit()

    def _update_rates(self, now: float) -> None:
        """Updates the average arrival and completion rates."""
        seconds = now - self._rates_updated_at
        self._rates_updated_at = now
        if math.isinf(seconds):
            return
        weight = 1.0 - math.exp(-seconds / ARRIVAL_SMOOTHING_S)
        rates = self._arrivals_per_s
        for name in rates.keys() | self._arrivals.keys():
            previous = rates.get(name, 0.0)
            rate = previous + weight * (
                self._arrivals[name] / seconds - previous
            )
            if rate < MIN_TRACKED_PER_S:
                rates.pop(name, None)
                self._credits.pop(name, None)
            else:
                rates[name] = rate
        weight = 1.0 - math.exp(-seconds / COMPLETION_SMOOTHING_S)
        completions_per_s = self._completions / seconds
        self._completions_per_s += weight * (
            completions_per_s - self._completions_per_s
        )
        self._arrivals.clear()
        self._completions = 0.0

    def _reduce_limit(self, delay_s: float, now: float) -> None:
        """Reduces the limit after a standing delay."""
        admitted_per_s = self.limit_per_s
        if not self.active:
            # The cost of streams shows long before they end, so the first limit
            # follows the admitted requests, not the completed ones.
            admitted_per_s = self._admitted / (now - self._above_since)
            self._shed_at = now
        exponent = min(delay_s / MAX_STANDING_DELAY_S, MAX_DECREASE_EXPONENT)
        reduced_per_s = admitted_per_s * DECREASE**exponent
        # The router has just shown that it can serve the completion rate.
        min_limit_per_s = max(
            self._completions_per_s * DECREASE, MIN_LIMIT_PER_S
        )
        self.limit_per_s = max(reduced_per_s, min_limit_per_s)
        self._reduced_at = now
        self._refill(now)

    def _raise_limit(self, now: float) -> None:
        """Raises the limit, or removes it if nothing has been shed lately."""
        if now - self._shed_at >= LIMIT_REMOVAL_S:
            self.limit_per_s = math.inf
            self._credits.clear()
        else:
            self.limit_per_s *= 1.0 + INCREASE
            self.limit_per_s += INCREASE_PER_S

    def _local_limit_per_s(self, arrivals_per_s: float) -> float:
        """Returns the part of the limit for requests that are served here.

        The rest is for offloaded requests, which cost only `OFFLOAD_WORK` each.
        Requests that peers have no headroom for are served here.
        """
        if arrivals_per_s <= self.limit_per_s:
            return self.limit_per_s
        served_per_s = (self.limit_per_s - OFFLOAD_WORK * arrivals_per_s) / (
            1.0 - OFFLOAD_WORK
        )
        capacity_per_s = self._peer_capacity_per_s()
        min_served_per_s = self.limit_per_s - OFFLOAD_WORK * capacity_per_s
        return max(served_per_s, min_served_per_s, MIN_LIMIT_PER_S)

    def _share_limit(self) -> None:
        """Shares the limit among workspaces, requests in fair shares first."""
        self._admitted_fractions = {}
        if not self.active:
            return
        arrivals = self._arrivals_per_s
        limit_per_s = self._local_limit_per_s(sum(arrivals.values()))
        in_share = {
            name: rate * self._in_share_fraction(name)
            for name, rate in arrivals.items()
        }
        remaining = max(limit_per_s - sum(in_share.values()), 0.0)
        in_share_limit = shares.max_min_limit(in_share, limit_per_s)
        excess = {
            name: rate - in_share[name] for name, rate in arrivals.items()
        }
        excess_limit = shares.max_min_limit(excess, remaining)
        for name, arriving_per_s in arrivals.items():
            admitted = min(in_share[name], in_share_limit) + min(
                excess[name], excess_limit
            )
            self._admitted_fractions[name] = admitted / arriving_per_s
