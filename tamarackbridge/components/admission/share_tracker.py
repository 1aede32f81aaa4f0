"""Tracking of workspace usage and fair shares over the whole fleet."""

import random

from tamarackbridge.components.admission import (
    dependencies,
    expected_retries,
    observed_load,
    policy,
    share_limiter,
    shares,
)
from tamarackbridge.components.gateway import jobs

REFRESH_INTERVAL_S = 0.1
"""Interval at which the shares are recomputed; routers report their usage to
each other no more often."""

USAGE_WINDOW_FRACTION = 0.5
"""Fraction of the share window over which usage is summed: long enough to
smooth a burst, short enough to detect a flood before it has had its share
twice."""

NOT_RUN = frozenset(
    {
        jobs.Outcome.REJECTED,
        jobs.Outcome.UNSENT,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.MISDIRECTED,
    }
)
"""Outcomes of attempts that did not run, and do not count as served."""


class ShareTracker:
    """Tracks the usage at this router and computes fair shares for the fleet.

    Attributes:
        usage: Usage of each workspace at this router.
        load_average: Average engine load that this router observes.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        peers: dependencies.PeerRouters,
        rng: random.Random,
    ) -> None:
        self._window_s = deps.bounds.share_window_s * USAGE_WINDOW_FRACTION
        self.usage = shares.UsageWindow(self._window_s)
        self.load_average = observed_load.LoadAverage()
        self._deps = deps
        self._peers = peers
        self._expected_retries = expected_retries.ExpectedRetries()
        self._limiter = share_limiter.ShareLimiter(rng)
        self._headroom = 0.0
        self._fill = 0.0
        self._refreshed_at = -1.0

    def record_request(self, workspace: str, cost: float, now: float) -> bool:
        """Counts an arriving request; returns whether it is within the share.

        Args:
            workspace: Its workspace.
            cost: Its cost.
            now: The time.
        """
        self.usage.record_request(workspace, cost, now)
        self.refresh(now)
        admitted = self._limiter.admits(workspace)
        if admitted:
            self.usage.record_admitted(workspace, cost, now)
        return admitted

    def record_shed(
        self, workspace: str, cost: float, retry_after_s: float, now: float
    ) -> None:
        """Counts a request that this router had no processor time to accept.

        Args:
            workspace: Its workspace.
            cost: Its cost.
            retry_after_s: Time after which its caller is advised to retry;
                probable retries are not counted again.
            now: The time.
        """
        if not self._expected_retries.record_rejection(
            workspace, retry_after_s, now
        ):
            self.usage.record_shed(workspace, cost, now)

    def record_attempt_end(
        self, workspace: str, cost: float, outcome: jobs.Outcome, now: float
    ) -> None:
        """Takes back the served cost of an attempt that did not run."""
        if outcome in NOT_RUN:
            self.usage.record_served(workspace, -cost, now)

    def observed_load(self, now: float) -> observed_load.ObservedLoad:
        """Returns the load of the model engines that this router observes."""
        self.load_average.update(
            self._deps.server_selector.pools.load(now), now
        )
        return self.load_average.observed()

    def served_rate(self, workspace: str) -> float:
        """Returns what was sent for a workspace, in tokens a second."""
        return self._limiter.served_rate(workspace)

    def share_state(
        self, workspace: str, is_within_share: bool
    ) -> policy.ShareState:
        """Returns the share state of a request.

        Args:
            workspace: Its workspace.
            is_within_share: Whether it was found to be within the share.
        """
        return policy.ShareState(
            served=self._limiter.served_rate(workspace) * self._window_s,
            limit=self._limiter.limit * self._window_s,
            window_s=self._window_s,
            is_within_share=is_within_share,
            admitted_fraction=self._limiter.admitted_fraction(workspace),
            headroom=self._headroom,
            fill=self._fill,
        )

    def refresh(self, now: float) -> None:
        """Recomputes the shares, if that is due."""
        cfg = self._deps.local_copy.configuration
        if cfg is None or now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        total = self._peers.peers_use()
        for workspace, usage in self.usage.sums(now).items():
            total[workspace] = total.get(workspace, shares.NO_USAGE).plus(usage)
        load = self.observed_load(now).plus(self._peers.peers_engine_load())
        self._headroom = load.headroom(observed_load.shortest_target_s(cfg))
        self._fill = load.mean_fill
        self._limiter.refresh(
            total, self._window_s, cfg.limits.tokens_per_s, self._headroom
        )
