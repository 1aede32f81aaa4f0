"""Fake grants of shard leases in the harness, one holder at a time."""

from collections.abc import Callable

from bench import harness
from tamarackbridge import const, core
from tamarackbridge.components.dispatch import messages

RENEWAL_INTERVAL_S = 0.25


class FakeLeases:
    """Renews the lease of each shard's holder, and replaces a lost holder.

    A lease goes to another node only after the old one has expired, also by a
    clock that drifts as far as `CLOCK_DRIFT_RATIO` permits.

    Attributes:
        takeovers: Number of times that a shard got a new holder.
        ready: Returns whether a node can hold leases: it runs and reaches a
            majority of the others. By default only whether it runs.
        reaches: Returns whether a holder's announcements reach a node.
        holders: Holder of each shard.
    """

    def __init__(
        self, bus: harness.Harness, nodes: list[str], shards: list[str]
    ) -> None:
        self.takeovers = 0
        self.ready: Callable[[str], bool] = bus.alive
        self.reaches: Callable[[str, str], bool] = lambda a, b: True
        self.holders = {
            shard: nodes[index % len(nodes)]
            for index, shard in enumerate(shards)
        }
        self._bus = bus
        self._nodes = nodes
        self._epochs = dict.fromkeys(shards, 0)
        self._granted_epochs: dict[str, int] = {}
        self._holder_groups: dict[str, core.DeciderGroup] = {}
        self._expires_at = dict.fromkeys(shards, float("-inf"))
        self._renew_all()

    def _renew_all(self) -> None:
        for shard, holder in self.holders.items():
            if self.ready(holder) and self._same_incarnation(shard, holder):
                self._grant(shard, holder)
            elif self._bus.now > self._expires_at[shard]:
                self._reassign(shard)
        self._bus.at(self._bus.now + RENEWAL_INTERVAL_S, self._renew_all)

    def _same_incarnation(self, shard: str, holder: str) -> bool:
        group = self._bus.group(holder)
        return self._holder_groups.setdefault(shard, group) is group

    def _reassign(self, shard: str) -> None:
        candidates = [node for node in self._nodes if self.ready(node)]
        if candidates:
            start = self._nodes.index(self.holders[shard])
            order = self._nodes[start:] + self._nodes[:start]
            self.holders[shard] = next(
                node for node in order if node in candidates
            )
            self.takeovers += 1
            self._epochs[shard] += 1
            self._holder_groups[shard] = self._bus.group(self.holders[shard])
            self._grant(shard, self.holders[shard])

    def _grant(self, shard: str, holder: str) -> None:
        self._epochs[shard] = max(self._epochs[shard], 1)
        epoch = self._epochs[shard]
        fresh = self._granted_epochs.get(shard) != epoch
        self._granted_epochs[shard] = epoch
        until = self._bus.now + const.LEASE_S
        self._expires_at[shard] = (
            until + const.LEASE_S * const.CLOCK_DRIFT_RATIO
        )
        held = messages.LeaseHeld(shard, epoch, until, fresh)
        self._bus.inject(holder, held)
        for node in self._nodes:
            if self.reaches(holder, node):
                announcement = messages.ShardHolder(shard, epoch, holder)
                self._bus.inject(node, announcement)
