"""The fleet as one router sees it, for operators."""

from collections.abc import Callable, Iterable, Sequence
from typing import ClassVar

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import dispatcher, shard
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.operator import explain, messages
from tamarackbridge.components.records import models


class StatusView:
    """Decider that collects the state of the fleet for operators.

    It sends no message, so that a router decides the same with and without it.
    `peer_has_confirmed` returns whether another router is known to have the
    configuration that is in force here.

    Attributes:
        draining: Whether the router is shutting down.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.SnapshotInForce,
        configuration.ServingChanged,
        membership.RosterChanged,
        dispatch.ShardHolder,
    )

    def __init__(
        self,
        node: str,
        zone: str,
        clock: core.Clock,
        local_dispatcher: dispatcher.Dispatcher,
        peer_has_confirmed: Callable[[str], bool],
    ) -> None:
        self.draining = False
        self._node = node
        self._zone = zone
        self._clock = clock
        self._dispatcher = local_dispatcher
        self._peer_has_confirmed = peer_has_confirmed
        self._snapshot = models.empty_snapshot()
        self._serving = configuration.ServingChanged(False, "starting")
        self._roster = membership.RosterChanged((), ())
        self._holders: dict[str, dispatch.ShardHolder] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Updates the view from one local message."""
        del now
        match delivery.msg:
            case configuration.SnapshotInForce() as msg:
                self._snapshot = msg.snapshot
            case configuration.ServingChanged() as msg:
                self._serving = msg
            case membership.RosterChanged() as msg:
                self._roster = msg
            case dispatch.ShardHolder() as msg:
                self._holders[msg.shard] = msg
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing; only messages change the view."""
        del now
        return ()

    def ready(self) -> bool:
        """Returns whether this router accepts new requests.

        It does so while configuration is in force, new work may start and the
        router is not shutting down.
        """
        if self.draining:
            return False
        return self._snapshot.generation > 0 and self._serving.serving

    def lagging_routers(self) -> tuple[str, ...]:
        """Returns live routers that have not confirmed what is in force."""
        return tuple(
            node
            for node in sorted(self._roster.live)
            if not self._has_confirmed(node)
        )

    def status(self) -> messages.Status:
        """Returns members, shards, servers and queues."""
        now = self._clock.monotonic()
        held_shards = self._dispatcher.shards
        return messages.Status(
            node=self._node,
            zone=self._zone,
            generation=self._snapshot.generation,
            serving=self._serving.serving,
            reason=self._serving.reason,
            members=tuple(self._members()),
            shards=tuple(self._shards()),
            servers=tuple(
                row
                for shard_dispatcher in held_shards.values()
                for row in self._servers(shard_dispatcher, now)
            ),
            workspaces=tuple(
                row
                for shard_dispatcher in held_shards.values()
                for row in _workspaces(shard_dispatcher)
            ),
        )

    def explain(self, workspace: str) -> tuple[messages.Explanation, ...]:
        """Explains the service of a workspace on each shard held here."""
        record = self._snapshot.workspaces.get(workspace)
        if record is None:
            return ()
        now = self._clock.monotonic()
        return tuple(
            explain.explain(record, shard_dispatcher, self._snapshot, now)
            for shard_dispatcher in self._dispatcher.shards.values()
        )

    def _members(self) -> Iterable[messages.MemberStatus]:
        for member in self._roster.members:
            yield messages.MemberStatus(
                node=member.node,
                zone=member.zone,
                live=member.node in self._roster.live,
                confirmed=self._has_confirmed(member.node),
            )

    def _has_confirmed(self, node: str) -> bool:
        return node == self._node or self._peer_has_confirmed(node)

    def _shards(self) -> Iterable[messages.ShardStatus]:
        for name in self._snapshot.shard_names():
            announced = self._holders.get(name)
            local = self._dispatcher.shards.get(name)
            yield messages.ShardStatus(
                shard=name,
                holder=announced.holder if announced else "",
                epoch=announced.epoch if announced else 0,
                permits=len(local.permits) if local else -1,
                queued=len(local.order) if local else -1,
            )

    def _servers(
        self, shard_dispatcher: shard.ShardDispatcher, now: float
    ) -> Iterable[messages.ServerStatus]:
        limits = shard_dispatcher.limits(now)
        for server in self._snapshot.shard_servers(shard_dispatcher.shard):
            yield messages.ServerStatus(
                server=server.name,
                shard=shard_dispatcher.shard,
                zone=server.zone,
                limit=limits.get(server.name, 0),
                limit_warm=server.limit_warm,
                running=shard_dispatcher.permits.count_server(server.name),
                usable=self._snapshot.is_usable(server),
            )


def _workspaces(
    shard_dispatcher: shard.ShardDispatcher,
) -> Iterable[messages.WorkspaceStatus]:
    waiting = {item.ask.workspace for item in shard_dispatcher.order}
    for name in sorted(waiting | shard_dispatcher.permits.workspaces()):
        yield messages.WorkspaceStatus(
            workspace=name,
            shard=shard_dispatcher.shard,
            queued=shard_dispatcher.order.count(name),
            running=shard_dispatcher.permits.count_workspace(name),
            counter=shard_dispatcher.order.counters.value(name),
        )
