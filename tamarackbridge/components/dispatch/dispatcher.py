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
class _Handed:
    """A hand-over that arrived before this router holds the lease.

    Attributes:
        sent_from: Earliest monotonic time at which it can have been sent.
    """

    msg: messages.HandOver
    sent_from: float


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
        order: Callable[[], waiting.Order] = waiting.FairOrder,
    ) -> None:
        self.node = node
        self.shards: dict[str, shard.ShardDispatcher] = {}
        self._rng = rng
        self._order = order
        self._snapshot = models.empty_snapshot()
        self._before = models.empty_snapshot()
        self._members: set[str] = set()
        self._fresh: dict[str, int] = {}
        self._holders: dict[str, str] = {}
        self._parting: dict[str, shard.ShardDispatcher] = {}
        self._handed: dict[str, _Handed] = {}
        self._learned: dict[str, estimates.CostEstimates] = {}

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
                self._hold(msg, now)
            case messages.LeaseLost():
                self._lose(msg)
            case messages.ShardHolder():
                self._holders[msg.shard] = msg.holder
                return self._hand_over(msg, now)
            case messages.HandOver():
                self._take_over(_Handed(msg, now - delivery.age_s), now)
            case messages.LoadReport():
                return self._load(msg, now)
            case messages.ShardTotals():
                return self._totals(msg, now)
            case _:
                return self._entry_message(delivery, now)
        return self._issue_all(now)

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Expires what is overdue and issues permits at all shards."""
        out: list[core.Envelope] = []
        for name, held in self.shards.items():
            out.extend(held.tick(now))
            out.extend(held.issue(now))
            out.extend(held.exchange_totals(self._siblings(name), now))
        return out

    def _entry_message(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        msg = delivery.msg
        held = self.shards.get(getattr(msg, "shard", ""))
        if held is None:
            self._after_parting(delivery, now)
            return ()
        out: list[core.Envelope] = []
        match msg:
            case messages.Ask():
                out = held.ask(delivery.src, msg, delivery.age_s, now)
            case messages.Withdraw():
                held.withdraw(msg.request_id)
            case messages.Progress():
                out = held.progress(delivery.src, msg, delivery.age_s, now)
            case messages.Finish():
                held.finish(delivery.src, msg, now)
            case messages.ResyncReport() if msg.epoch == held.epoch:
                out = held.resync(delivery.src, msg, delivery.age_s, now)
        return [*out, *held.issue(now)]

    def _load(
        self, msg: messages.LoadReport, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for held in self.shards.values():
            held.load(msg, now)
            out.extend(held.issue(now))
        return out

    def _totals(
        self, msg: messages.ShardTotals, now: float
    ) -> Sequence[core.Envelope]:
        held = self.shards.get(msg.to_shard)
        return held.take_totals(msg, now) if held else ()

    def _issue_all(self, now: float) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for held in self.shards.values():
            out.extend(held.issue(now))
        return out

    def _set_snapshot(self, snapshot: models.Snapshot, now: float) -> None:
        self._before = self._snapshot
        self._snapshot = snapshot
        for held in self.shards.values():
            held.update(snapshot, self._before, now)

    def _set_members(self, msg: membership.RosterChanged) -> None:
        self._members |= {member.node for member in msg.members}
        for held in self.shards.values():
            held.set_members(self._members)

    def _hold(self, msg: messages.LeaseHeld, now: float) -> None:
        if msg.fresh:
            self._fresh[msg.shard] = msg.epoch
        held = self.shards.get(msg.shard)
        newer = held is None or held.epoch < msg.epoch
        if newer and self._fresh.get(msg.shard) == msg.epoch:
            held = self._open(msg, now)
        if held is not None and held.epoch == msg.epoch:
            held.until = msg.until

    def _open(
        self, msg: messages.LeaseHeld, now: float
    ) -> shard.ShardDispatcher | None:
        name = msg.shard.rpartition("/")[0]
        service = self._snapshot.services.get(name)
        if service is None:
            return None
        learned = self._learned.setdefault(name, estimates.CostEstimates())
        held = shard.ShardDispatcher(
            msg.shard, msg.epoch, self._order(), learned, now, service
        )
        held.update(self._snapshot, self._before, now)
        held.set_members(self._members)
        self.shards[msg.shard] = held
        self._parting.pop(msg.shard, None)
        if msg.shard in self._handed:
            self._take_over(self._handed[msg.shard], now)
        return held

    def _lose(self, msg: messages.LeaseLost) -> None:
        held = self.shards.get(msg.shard)
        if held is not None and held.epoch <= msg.epoch:
            self._parting[msg.shard] = self.shards.pop(msg.shard)

    def _after_parting(self, delivery: core.Delivery, now: float) -> None:
        """Settles permits that end after the lease but before the hand-over."""
        msg = delivery.msg
        if isinstance(msg, messages.Finish) and msg.shard in self._parting:
            self._parting[msg.shard].finish(delivery.src, msg, now)

    def _hand_over(
        self, news: messages.ShardHolder, now: float
    ) -> Sequence[core.Envelope]:
        """Hands the outstanding permits over to the next epoch's dispatcher."""
        parting = self._parting.get(news.shard)
        if parting is None or news.epoch <= parting.epoch or not news.holder:
            return ()
        del self._parting[news.shard]
        msg = parting.hand_over(now)
        if msg is None or msg.epoch != news.epoch:
            return ()
        return [core.Envelope(news.holder, msg)]

    def _take_over(self, handed: "_Handed", now: float) -> None:
        """Takes over handed permits, now or once the lease is held."""
        msg = handed.msg
        self._handed[msg.shard] = handed
        held = self.shards.get(msg.shard)
        if held is not None and held.epoch == msg.epoch:
            del self._handed[msg.shard]
            held.take_over(msg, now - handed.sent_from, now)

    def _siblings(self, name: str) -> dict[str, str]:
        service = name.rpartition("/")[0]
        return {
            other: holder
            for other, holder in self._holders.items()
            if other != name and holder and other.rpartition("/")[0] == service
        }
