"""Requests permits from dispatchers on behalf of this entry."""

from collections.abc import Sequence
import math
import random
from typing import ClassVar

from tamarackbridge import const as fleet_const
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    admission,
    const,
    holdings,
    messages,
    placement,
)
from tamarackbridge.components.entry import const as entry_const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models

Reason = entry_const.Reason


class PermitClient:
    """Requests permits, passes them to the entry and returns them.

    Attributes:
        node: Identifier of this router.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.SnapshotInForce,
        membership.RosterChanged,
        membership.FleetEvidence,
        messages.ShardHolder,
        messages.Want,
        messages.GiveUp,
        messages.Used,
        messages.Done,
        messages.Grant,
        messages.Refuse,
        messages.Move,
        messages.ResyncAsk,
    )

    def __init__(self, node: str, rng: random.Random) -> None:
        self.node = node
        self._rng = rng
        self._snapshot = models.empty_snapshot()
        self._started_at: float | None = None
        self._progress_at = 0.0
        self._evidence_until = math.inf
        self._waiting = admission.WaitingRequests()
        self._holdings = holdings.Holdings()
        self._placement = placement.Placement(rng)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        if self._started_at is None:
            self._started_at = now
        msg = delivery.msg
        match msg:
            case configuration.SnapshotInForce():
                self._snapshot = msg.snapshot
            case membership.FleetEvidence():
                self._evidence_until = msg.until
            case messages.ShardHolder():
                return self._set_holder(msg, now)
            case messages.Want():
                return self._want(msg, now)
            case messages.GiveUp():
                return self._give_up(msg.request_id)
            case messages.Used():
                self._holdings.use(msg.request_id, msg.used)
            case messages.Done():
                return self._done(msg, now)
            case messages.Grant():
                return self._granted(delivery.src, msg, delivery.age_s, now)
            case messages.Refuse():
                return self._refused(msg, now)
            case messages.Move():
                return self._move(msg, now)
            case messages.ResyncAsk():
                return self._resync(delivery.src, msg, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Rejects expired requests, retries asks and reports progress."""
        if self._started_at is None:
            self._started_at = now
        out: list[core.Envelope] = []
        for want in self._waiting.expired(now):
            out.extend(self._refuse(want, Reason.DEADLINE))
        for request in self._waiting.unanswered(now):
            out.extend(self._send_ask(request, now))
        if now >= self._progress_at + const.PROGRESS_S:
            self._progress_at = now
            out.extend(self._report_progress(now))
        return out

    # Waiting requests.

    def _want(self, want: messages.Want, now: float) -> Sequence[core.Envelope]:
        reason = self._refusal(want, now)
        if reason is not None:
            return [self._tell_refused(want.request_id, reason)]
        shard = self._placement.choose(self._snapshot, want)
        if not shard:
            reason = Reason.NO_CAPACITY
            return [self._tell_refused(want.request_id, reason)]
        request = self._waiting.add(want, shard, now)
        return self._send_ask(request, now)

    def _refusal(self, want: messages.Want, now: float) -> Reason | None:
        if want.service not in self._snapshot.services:
            return Reason.NO_CAPACITY
        workspace = self._snapshot.workspaces.get(want.workspace)
        limit = workspace.max_queued if workspace else const.DEFAULT_MAX_QUEUED
        if self._waiting.is_full(want.service, want.workspace, limit, now):
            return Reason.QUEUE_FULL
        return None

    def _send_ask(
        self, request: admission.Request, now: float
    ) -> Sequence[core.Envelope]:
        holder = self._placement.holder(request.shard)
        if not holder:
            return ()
        return [core.Envelope(holder, request.ask(now))]

    def _give_up(self, request_id: str) -> Sequence[core.Envelope]:
        request = self._waiting.pop(request_id)
        return self._withdraw(request) if request else ()

    def _withdraw(self, request: admission.Request) -> list[core.Envelope]:
        holder = self._placement.holder(request.shard)
        if not holder:
            return []
        request_id = request.want.request_id
        withdraw = messages.Withdraw(request.shard, request_id)
        return [core.Envelope(holder, withdraw)]

    def _refuse(
        self, request: admission.Request, reason: Reason
    ) -> list[core.Envelope]:
        told = self._tell_refused(request.want.request_id, reason)
        return [*self._withdraw(request), told]

    def _tell_refused(
        self,
        request_id: str,
        reason: Reason,
        retry_after_s: float = const.MIN_RETRY_AFTER_S,
    ) -> core.Envelope:
        refused = messages.Refused(request_id, reason.value, retry_after_s)
        return core.Envelope(fleet_const.LOCAL_NODE, refused)

    # Replies of dispatchers.

    def _granted(
        self, src: str, grant: messages.Grant, age_s: float, now: float
    ) -> Sequence[core.Envelope]:
        ended = self._holdings.ended(grant)
        if ended is not None:
            return [core.Envelope(src, ended)]
        stale = grant.epoch < self._placement.epoch(grant.shard)
        if stale or self._holdings.holds(grant):
            return ()
        use_s = grant.use_s / (1 + fleet_const.CLOCK_DRIFT_RATIO) - age_s
        use_s = min(use_s, self._evidence_until - now)
        request = self._waiting.get(grant.request_id)
        wanted = request is not None and request.shard == grant.shard
        if request is None or not wanted:
            return [core.Envelope(src, self._holdings.unused(grant))]
        if use_s <= 0:
            self._waiting.ask_again(grant.request_id, now + const.LATE_PAUSE_S)
            return [core.Envelope(src, self._holdings.unused(grant))]
        self._waiting.pop(grant.request_id)
        self._holdings.add(grant, request.want, now)
        permitted = messages.Permitted(
            request_id=grant.request_id,
            shard=grant.shard,
            server=grant.server,
            epoch=grant.epoch,
            number=grant.number,
            start_by=now + use_s,
            life_s=grant.life_s,
        )
        return [core.Envelope(fleet_const.LOCAL_NODE, permitted)]

    def _refused(
        self, msg: messages.Refuse, now: float
    ) -> Sequence[core.Envelope]:
        request = self._waiting.get(msg.request_id)
        if request is None or request.shard != msg.shard:
            return ()
        reason = Reason(msg.reason)
        if reason is Reason.NO_CAPACITY:
            shard = self._placement.other(self._snapshot, request)
            if shard:
                request = self._waiting.move(request, shard)
                return self._send_ask(request, now)
        if reason is Reason.QUEUE_FULL:
            self._waiting.pause(request.want, now + const.FULL_PAUSE_S)
        self._waiting.pop(msg.request_id)
        told = self._tell_refused(msg.request_id, reason, msg.retry_after_s)
        return [told]

    def _move(self, msg: messages.Move, now: float) -> Sequence[core.Envelope]:
        request = self._waiting.get(msg.request_id)
        if request is None or request.shard != msg.shard:
            return ()
        request = self._waiting.move(request, msg.to_shard)
        return self._send_ask(request, now)

    # Running requests.

    def _done(self, msg: messages.Done, now: float) -> Sequence[core.Envelope]:
        finish = self._holdings.finish(msg, now)
        if finish is None:
            return ()
        holder = self._placement.holder(finish.shard)
        return [core.Envelope(holder, finish)] if holder else ()

    def _report_progress(self, now: float) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        waiting_at = {
            (shard, self._placement.epoch(shard))
            for shard in self._waiting.shards()
        }
        reports = self._holdings.progress(waiting_at, self._up_s(now), now)
        for report in reports:
            holder = self._placement.holder(report.shard)
            if holder:
                out.append(core.Envelope(holder, report))
        return out

    def _up_s(self, now: float) -> float:
        return now - (now if self._started_at is None else self._started_at)

    # Changes of dispatchers.

    def _set_holder(
        self, msg: messages.ShardHolder, now: float
    ) -> Sequence[core.Envelope]:
        if not self._placement.set_holder(msg.shard, msg.epoch, msg.holder):
            return ()
        out: list[core.Envelope] = []
        for request in self._waiting.of_shard(msg.shard):
            out.extend(self._send_ask(request, now))
        return out

    def _resync(
        self, src: str, msg: messages.ResyncAsk, now: float
    ) -> Sequence[core.Envelope]:
        if msg.epoch < self._placement.epoch(msg.shard):
            return ()
        self._placement.set_holder(msg.shard, msg.epoch, src)
        waiting = self._waiting.of_shard(msg.shard)
        report = messages.ResyncReport(
            shard=msg.shard,
            epoch=msg.epoch,
            held=self._holdings.held(msg.shard, now),
            waiting=tuple(request.ask(now) for request in waiting),
            counters=self._holdings.counters(msg.shard),
            up_s=self._up_s(now),
            limits=self._holdings.limits(msg.shard, now),
        )
        return [core.Envelope(src, report)]
