"""How workspaces stand against their shares, over the whole fleet."""

import random

from tamarackbridge.components.admission import (
    gate,
    inputs,
    pressure,
    returns,
    shares,
    verdict,
)
from tamarackbridge.components.gateway import jobs

LEVEL_S = 0.1
"""Interval at which shares are worked out; routers tell each other their use
no more often."""

USE_PART = 0.5
"""Part of the window of shares over which use is summed: long enough to see
past a clump, short enough to see a flood before it has had its share twice."""

NOT_RUN = frozenset(
    {
        jobs.Outcome.REJECTED,
        jobs.Outcome.UNSENT,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.MISDIRECTED,
    }
)
"""Outcomes of sendings that were not run, and do not count as served."""


class Standings:
    """Sums use here, and works out shares from that of all routers.

    Attributes:
        use: What workspaces asked and got at this router.
        pressure: How busy this router sees the engines.
    """

    def __init__(
        self,
        using: inputs.Parts,
        others: inputs.Others,
        rng: random.Random,
    ) -> None:
        self._window_s = using.bounds.share_window_s * USE_PART
        self.use = shares.UseWindow(self._window_s)
        self.pressure = pressure.Pressure()
        self._using = using
        self._others = others
        self._returns = returns.Returns()
        self._gate = gate.ShareGate(rng)
        self._spare = 0.0
        self._level_at = -1.0

    def ask(self, workspace: str, cost: float, now: float) -> bool:
        """Counts a request that arrives; says if it is within its share."""
        self.use.ask(workspace, cost, now)
        self.refresh(now)
        admitted = self._gate.admits(workspace)
        if admitted:
            self.use.admit(workspace, cost, now)
        return admitted

    def shed(
        self, workspace: str, cost: float, retry_s: float, now: float
    ) -> None:
        """Counts a request that this router had no processor time for.

        Args:
            workspace: Its workspace.
            cost: Its cost.
            retry_s: When its caller is to come back; it counts once.
            now: The time.
        """
        if not self._returns.refuse(workspace, retry_s, now):
            self.use.shed(workspace, cost, now)

    def end(
        self, workspace: str, cost: float, outcome: jobs.Outcome, now: float
    ) -> None:
        """Takes back what was counted for a sending that was not run."""
        if outcome in NOT_RUN:
            self.use.serve(workspace, -cost, now)

    def seen(self, now: float) -> pressure.Seen:
        """Returns how busy this router sees the model engines."""
        self.pressure.note(self._using.chooser.pools.load(now), now)
        return self.pressure.seen()

    def served(self, workspace: str) -> float:
        """Returns what was begun for a workspace, in tokens a second."""
        return self._gate.served(workspace)

    def of(self, workspace: str, within: bool) -> verdict.Standing:
        """Returns how a request stands.

        Args:
            workspace: Its workspace.
            within: Whether it was found to be within its share.
        """
        return verdict.Standing(
            served=self._gate.served(workspace) * self._window_s,
            level=self._gate.level * self._window_s,
            window_s=self._window_s,
            within=within,
            part=self._gate.part(workspace),
            spare=self._spare,
        )

    def refresh(self, now: float) -> None:
        """Works shares out anew, if that is due."""
        cfg = self._using.known.configuration
        if cfg is None or now - self._level_at < LEVEL_S:
            return
        self._level_at = now
        total = self._others.others_use()
        for workspace, used in self.use.sums(now).items():
            total[workspace] = total.get(workspace, shares.NOTHING).plus(used)
        seen = self.seen(now).plus(self._others.others_seen())
        self._spare = seen.spare(pressure.shortest_target_s(cfg))
        self._gate.refresh(
            total, self._window_s, cfg.limits.tokens_per_s, self._spare
        )
