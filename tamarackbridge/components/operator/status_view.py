"""What one router knows of the fleet, as operators see it."""

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
    """A decider that only listens, and answers operators.

    It sends nothing, so that a router's decisions are the same with and
    without it. `confirms` tells whether another router is known to have the
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
        dispatching: dispatcher.Dispatcher,
        confirms: Callable[[str], bool],
    ) -> None:
        self.draining = False
        self._node = node
        self._zone = zone
        self._clock = clock
        self._dispatcher = dispatching
        self._confirms = confirms
        self._snapshot = models.empty_snapshot()
        self._serving = configuration.ServingChanged(False, "starting")
        self._roster = membership.RosterChanged((), ())
        self._holders: dict[str, dispatch.ShardHolder] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one piece of local news in."""
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
        """Does nothing; the view follows the news."""
        del now
        return ()

    def ready(self) -> bool:
        """Tells whether configuration is in force and work is accepted."""
        if self.draining:
            return False
        return self._snapshot.generation > 0 and self._serving.serving

    def behind(self) -> tuple[str, ...]:
        """Returns live routers that haven't confirmed what is in force here."""
        return tuple(
            node
            for node in sorted(self._roster.live)
            if not self._has_confirmed(node)
        )

    def status(self) -> messages.Status:
        """Returns members, shards, servers and queues."""
        now = self._clock.monotonic()
        held = self._dispatcher.shards
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
                for item in held.values()
                for row in self._servers(item, now)
            ),
            workspaces=tuple(
                row for item in held.values() for row in _workspaces(item)
            ),
        )

    def explain(self, workspace: str) -> tuple[messages.Explanation, ...]:
        """Returns why a workspace gets its service, by shard held here."""
        found = self._snapshot.workspaces.get(workspace)
        if found is None:
            return ()
        now = self._clock.monotonic()
        return tuple(
            explain.explain(found, item, self._snapshot, now)
            for item in self._dispatcher.shards.values()
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
        return node == self._node or self._confirms(node)

    def _shards(self) -> Iterable[messages.ShardStatus]:
        for name in self._snapshot.shard_names():
            known = self._holders.get(name)
            held = self._dispatcher.shards.get(name)
            yield messages.ShardStatus(
                shard=name,
                holder=known.holder if known else "",
                epoch=known.epoch if known else 0,
                permits=len(held.permits) if held else -1,
                queued=len(held.order) if held else -1,
            )

    def _servers(
        self, held: shard.ShardDispatcher, now: float
    ) -> Iterable[messages.ServerStatus]:
        limits = held.limits(now)
        for server in self._snapshot.shard_servers(held.shard):
            yield messages.ServerStatus(
                server=server.name,
                shard=held.shard,
                zone=server.zone,
                limit=limits.get(server.name, 0),
                limit_warm=server.limit_warm,
                running=held.permits.count_server(server.name),
                usable=self._snapshot.is_usable(server),
            )


def _workspaces(
    held: shard.ShardDispatcher,
) -> Iterable[messages.WorkspaceStatus]:
    waiting = {item.ask.workspace for item in held.order}
    for name in sorted(waiting | held.permits.workspaces()):
        yield messages.WorkspaceStatus(
            workspace=name,
            shard=held.shard,
            queued=held.order.count(name),
            running=held.permits.count_workspace(name),
            counter=held.order.counters.value(name),
        )
