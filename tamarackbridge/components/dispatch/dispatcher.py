"""Dispatches all shards whose lease this router holds."""

from collections.abc import Callable, Sequence
import dataclasses
import random
from typing import ClassVar

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    estimates,
    messages,
    shard,
    waiting,
)
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingHandOver:
    """A hand-over that arrived before this router holds the lease.

    Attributes:
        sent_from: Earliest monotonic time at which it can have been sent.
    """

    msg: messages.HandOver
    earliest_sent_at: float


class Dispatcher:
    """Issues the permits of the shards whose lease this router holds.

    Attributes:
        node: Identifier of this router.
        shards: The shards whose lease this router holds, by name.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.SnapshotInForce,
        membership.RosterChanged,
        messages.LeaseHeld,
        messages.LeaseLost,
        messages.ShardHolder,
        messages.Ask,
        messages.Withdraw,
        messages.Progress,
        messages.Finish,
        messages.ResyncReport,
        messages.HandOver,
        messages.LoadReport,
        messages.ShardTotals,
    )

    def __init__(
        self,
        node: str,
        rng: random.Random,
        order_factory: Callable[[], waiting.Order] = waiting.FairOrder,
    ) -> None:
        self.node = node
        self.shards: dict[str, shard.ShardDispatcher] = {}
        self._rng = rng
        self._order_factory = order_factory
        self._snapshot = models.empty_snapshot()
        self._previous_snapshot = models.empty_snapshot()
        self._members: set[str] = set()
        self._fresh_epochs: dict[str, int] = {}
        self._holders: dict[str, str] = {}
        self._ended_shards: dict[str, shard.ShardDispatcher] = {}
        self._pending_hand_overs: dict[str, _PendingHandOver] = {}
        self._estimates: dict[str, estimates.CostEstimates] = {}

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        msg = delivery.msg
        match msg:
            case configuration.SnapshotInForce():
                self._set_snapshot(msg.snapshot, now)
            case membership.RosterChanged():
                self._set_members(msg)
            case messages.LeaseHeld():
                self._handle_lease_held(msg, now)
            case messages.LeaseLost():
                self._handle_lease_lost(msg)
            case messages.ShardHolder():
                self._holders[msg.shard] = msg.holder
                return self._hand_over(msg, now)
            case messages.HandOver():
                self._take_over(
                    _PendingHandOver(msg, now - delivery.age_s), now
                )
            case messages.LoadReport():
                return self._handle_load_report(msg, now)
            case messages.ShardTotals():
                return self._handle_shard_totals(msg, now)
            case _:
                return self._handle_entry_message(delivery, now)
        return self._issue_all(now)

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Expires what is overdue and issues permits at all shards."""
        out: list[core.Envelope] = []
        for name, dispatcher in self.shards.items():
            out.extend(dispatcher.tick(now))
            out.extend(dispatcher.issue(now))
            out.extend(
                dispatcher.publish_totals(self._other_holders(name), now)
            )
        return out

    def _handle_entry_message(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        msg = delivery.msg
        dispatcher = self.shards.get(getattr(msg, "shard", ""))
        if dispatcher is None:
            self._settle_after_lease(delivery, now)
            return ()
        out: list[core.Envelope] = []
        match msg:
            case messages.Ask():
                out = dispatcher.handle_ask(
                    delivery.src, msg, delivery.age_s, now
                )
            case messages.Withdraw():
                dispatcher.handle_withdraw(msg.request_id)
            case messages.Progress():
                out = dispatcher.handle_progress(
                    delivery.src, msg, delivery.age_s, now
                )
            case messages.Finish():
                dispatcher.handle_finish(delivery.src, msg, now)
            case messages.ResyncReport() if msg.epoch == dispatcher.epoch:
                out = dispatcher.handle_resync_report(
                    delivery.src, msg, delivery.age_s, now
                )
        return [*out, *dispatcher.issue(now)]

    def _handle_load_report(
        self, msg: messages.LoadReport, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for dispatcher in self.shards.values():
            dispatcher.handle_load_report(msg, now)
            out.extend(dispatcher.issue(now))
        return out

    def _handle_shard_totals(
        self, msg: messages.ShardTotals, now: float
    ) -> Sequence[core.Envelope]:
        dispatcher = self.shards.get(msg.to_shard)
        return dispatcher.handle_totals(msg, now) if dispatcher else ()

    def _issue_all(self, now: float) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for dispatcher in self.shards.values():
            out.extend(dispatcher.issue(now))
        return out

    def _set_snapshot(self, snapshot: models.Snapshot, now: float) -> None:
        self._previous_snapshot = self._snapshot
        self._snapshot = snapshot
        for dispatcher in self.shards.values():
            dispatcher.update(snapshot, self._previous_snapshot, now)

    def _set_members(self, msg: membership.RosterChanged) -> None:
        self._members |= {member.node for member in msg.members}
        for dispatcher in self.shards.values():
            dispatcher.set_members(self._members)

    def _handle_lease_held(self, msg: messages.LeaseHeld, now: float) -> None:
        if msg.fresh:
            self._fresh_epochs[msg.shard] = msg.epoch
        dispatcher = self.shards.get(msg.shard)
        newer = dispatcher is None or dispatcher.epoch < msg.epoch
        if newer and self._fresh_epochs.get(msg.shard) == msg.epoch:
            dispatcher = self._open_shard(msg, now)
        if dispatcher is not None and dispatcher.epoch == msg.epoch:
            dispatcher.until = msg.until

    def _open_shard(
        self, msg: messages.LeaseHeld, now: float
    ) -> shard.ShardDispatcher | None:
        name = msg.shard.rpartition("/")[0]
        service = self._snapshot.services.get(name)
        if service is None:
            return None
        cost_estimates = self._estimates.setdefault(
            name, estimates.CostEstimates()
        )
        dispatcher = shard.ShardDispatcher(
            msg.shard,
            msg.epoch,
            self._order_factory(),
            cost_estimates,
            now,
            service,
        )
        dispatcher.update(self._snapshot, self._previous_snapshot, now)
        dispatcher.set_members(self._members)
        self.shards[msg.shard] = dispatcher
        self._ended_shards.pop(msg.shard, None)
        if msg.shard in self._pending_hand_overs:
            self._take_over(self._pending_hand_overs[msg.shard], now)
        return dispatcher

    def _handle_lease_lost(self, msg: messages.LeaseLost) -> None:
        dispatcher = self.shards.get(msg.shard)
        if dispatcher is not None and dispatcher.epoch <= msg.epoch:
            self._ended_shards[msg.shard] = self.shards.pop(msg.shard)

    def _settle_after_lease(self, delivery: core.Delivery, now: float) -> None:
        """Settles permits that end after the lease but before the hand-over."""
        msg = delivery.msg
        if isinstance(msg, messages.Finish) and msg.shard in self._ended_shards:
            self._ended_shards[msg.shard].handle_finish(delivery.src, msg, now)

    def _hand_over(
        self, change: messages.ShardHolder, now: float
    ) -> Sequence[core.Envelope]:
        """Hands the outstanding permits over to the next epoch's dispatcher."""
        ended = self._ended_shards.get(change.shard)
        if ended is None or change.epoch <= ended.epoch or not change.holder:
            return ()
        del self._ended_shards[change.shard]
        msg = ended.build_hand_over(now)
        if msg is None or msg.epoch != change.epoch:
            return ()
        return [core.Envelope(change.holder, msg)]

    def _take_over(self, pending: "_PendingHandOver", now: float) -> None:
        """Takes over handed permits, now or once the lease is held."""
        msg = pending.msg
        self._pending_hand_overs[msg.shard] = pending
        dispatcher = self.shards.get(msg.shard)
        if dispatcher is not None and dispatcher.epoch == msg.epoch:
            del self._pending_hand_overs[msg.shard]
            dispatcher.handle_hand_over(
                msg, now - pending.earliest_sent_at, now
            )

    def _other_holders(self, name: str) -> dict[str, str]:
        service = name.rpartition("/")[0]
        return {
            other: holder
            for other, holder in self._holders.items()
            if other != name and holder and other.rpartition("/")[0] == service
        }
