"""What one router knows of the fleet, for operators."""

from collections.abc import Sequence
from typing import ClassVar

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.operator import messages
from tamarackbridge.components.records import models


class FleetStatus:
    """A decider that collects news for the operator interface.

    It is a `StatusSource`.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.SnapshotInForce,
        configuration.ServingChanged,
        dispatch.ShardHolder,
        membership.RosterChanged,
    )

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._snapshot = models.empty_snapshot()
        self._serving = configuration.ServingChanged(False, "starting")
        self._roster = membership.RosterChanged((), ())
        self._holders: dict[str, dispatch.ShardHolder] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Notes one piece of news."""
        del now
        match delivery.msg:
            case configuration.SnapshotInForce(snapshot=snapshot):
                self._snapshot = snapshot
            case configuration.ServingChanged() as news:
                self._serving = news
            case dispatch.ShardHolder() as news:
                self._holders[news.shard] = news
            case membership.RosterChanged() as news:
                self._roster = news
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()

    def ready(self) -> bool:
        """Tells whether configuration is in force and work is accepted."""
        return self._serving.serving and self._snapshot.generation > 0

    def status(self) -> messages.Status:
        """Returns members, shards and the generation in force."""
        return messages.Status(
            node=self._node,
            zone=self._zone,
            generation=self._snapshot.generation,
            serving=self._serving.serving,
            reason=self._serving.reason,
            members=tuple(map(self._member, self._roster.members)),
            shards=tuple(
                messages.ShardStatus(item.shard, item.holder, item.epoch)
                for _, item in sorted(self._holders.items())
            ),
        )

    def explain(self, workspace: str) -> tuple[messages.Explanation, ...]:
        """Returns nothing: this router collects no queues yet."""
        del workspace
        return ()

    def _member(self, member: membership.Member) -> messages.MemberStatus:
        live = member.node in self._roster.live
        mine = member.node == self._node
        generation = self._snapshot.generation if mine else 0
        return messages.MemberStatus(member.node, member.zone, live, generation)
