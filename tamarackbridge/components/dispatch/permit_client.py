"""Requests permits from dispatchers on behalf of this entry."""

from collections.abc import Sequence
import math
import random
from typing import ClassVar

from tamarackbridge import const as fleet_const
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    const,
    entry_permits,
    messages,
    pending_requests,
    shard_directory,
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
        self._last_progress_at = 0.0
        self._evidence_until = math.inf
        self._pending = pending_requests.PendingRequests()
        self._permits = entry_permits.EntryPermits()
        self._directory = shard_directory.ShardDirectory(rng)

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
                return self._handle_want(msg, now)
            case messages.GiveUp():
                return self._handle_give_up(msg.request_id)
            case messages.Used():
                self._permits.record_used(msg.request_id, msg.used)
            case messages.Done():
                return self._handle_done(msg, now)
            case messages.Grant():
                return self._handle_grant(
                    delivery.src, msg, delivery.age_s, now
                )
            case messages.Refuse():
                return self._handle_refuse(msg, now)
            case messages.Move():
                return self._handle_move(msg, now)
            case messages.ResyncAsk():
                return self._handle_resync_ask(delivery.src, msg, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Rejects expired requests, resends asks and reports progress."""
        if self._started_at is None:
            self._started_at = now
        out: list[core.Envelope] = []
        for expired in self._pending.pop_expired(now):
            out.extend(self._reject(expired, Reason.DEADLINE))
        for request in self._pending.pop_due_resends(now):
            out.extend(self._send_ask(request, now))
        if now >= self._last_progress_at + const.PROGRESS_INTERVAL_S:
            self._last_progress_at = now
            out.extend(self._report_progress(now))
        return out

    # Waiting requests.

    def _handle_want(
        self, want: messages.Want, now: float
    ) -> Sequence[core.Envelope]:
        reason = self._rejection_reason(want, now)
        if reason is not None:
            return [self._rejection(want.request_id, reason)]
        shard = self._directory.choose(self._snapshot, want)
        if not shard:
            reason = Reason.NO_CAPACITY
            return [self._rejection(want.request_id, reason)]
        request = self._pending.add(want, shard, now)
        return self._send_ask(request, now)

    def _rejection_reason(
        self, want: messages.Want, now: float
    ) -> Reason | None:
        if want.service not in self._snapshot.services:
            return Reason.NO_CAPACITY
        workspace = self._snapshot.workspaces.get(want.workspace)
        limit = workspace.max_queued if workspace else const.DEFAULT_MAX_QUEUED
        if self._pending.is_full(want.service, want.workspace, limit, now):
            return Reason.QUEUE_FULL
        return None

    def _send_ask(
        self, request: pending_requests.PendingRequest, now: float
    ) -> Sequence[core.Envelope]:
        holder = self._directory.holder(request.shard)
        if not holder:
            return ()
        return [core.Envelope(holder, request.ask(now))]

    def _handle_give_up(self, request_id: str) -> Sequence[core.Envelope]:
        request = self._pending.pop(request_id)
        return self._withdraw(request) if request else ()

    def _withdraw(
        self, request: pending_requests.PendingRequest
    ) -> list[core.Envelope]:
        holder = self._directory.holder(request.shard)
        if not holder:
            return []
        request_id = request.want.request_id
        withdraw = messages.Withdraw(request.shard, request_id)
        return [core.Envelope(holder, withdraw)]

    def _reject(
        self, request: pending_requests.PendingRequest, reason: Reason
    ) -> list[core.Envelope]:
        rejection = self._rejection(request.want.request_id, reason)
        return [*self._withdraw(request), rejection]

    def _rejection(
        self,
        request_id: str,
        reason: Reason,
        retry_after_s: float = const.MIN_RETRY_AFTER_S,
    ) -> core.Envelope:
        refused = messages.Refused(request_id, reason.value, retry_after_s)
        return core.Envelope(fleet_const.LOCAL_NODE, refused)

    # Replies of dispatchers.

    def _handle_grant(
        self, src: str, grant: messages.Grant, age_s: float, now: float
    ) -> Sequence[core.Envelope]:
        finish = self._permits.finish_of(grant)
        if finish is not None:
            return [core.Envelope(src, finish)]
        stale = grant.epoch < self._directory.epoch(grant.shard)
        if stale or self._permits.is_in_use(grant):
            return ()
        use_s = grant.use_s / (1 + fleet_const.CLOCK_DRIFT_RATIO) - age_s
        use_s = min(use_s, self._evidence_until - now)
        request = self._pending.get(grant.request_id)
        still_waiting = request is not None and request.shard == grant.shard
        if request is None or not still_waiting:
            return [core.Envelope(src, self._permits.return_unused(grant))]
        if use_s <= 0:
            self._pending.schedule_resend(
                grant.request_id, now + const.LATE_GRANT_RESEND_S
            )
            return [core.Envelope(src, self._permits.return_unused(grant))]
        self._pending.pop(grant.request_id)
        self._permits.add(grant, request.want, now)
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

    def _handle_refuse(
        self, msg: messages.Refuse, now: float
    ) -> Sequence[core.Envelope]:
        request = self._pending.get(msg.request_id)
        if request is None or request.shard != msg.shard:
            return ()
        reason = Reason(msg.reason)
        if reason is Reason.NO_CAPACITY:
            shard = self._directory.choose_other(self._snapshot, request)
            if shard:
                request = self._pending.move(request, shard)
                return self._send_ask(request, now)
        if reason is Reason.QUEUE_FULL:
            self._pending.pause(request.want, now + const.QUEUE_FULL_PAUSE_S)
        self._pending.pop(msg.request_id)
        rejection = self._rejection(msg.request_id, reason, msg.retry_after_s)
        return [rejection]

    def _handle_move(
        self, msg: messages.Move, now: float
    ) -> Sequence[core.Envelope]:
        request = self._pending.get(msg.request_id)
        if request is None or request.shard != msg.shard:
            return ()
        request = self._pending.move(request, msg.to_shard)
        return self._send_ask(request, now)

    # Running requests.

    def _handle_done(
        self, msg: messages.Done, now: float
    ) -> Sequence[core.Envelope]:
        finish = self._permits.finish(msg, now)
        if finish is None:
            return ()
        holder = self._directory.holder(finish.shard)
        return [core.Envelope(holder, finish)] if holder else ()

    def _report_progress(self, now: float) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        waiting_sources = {
            (shard, self._directory.epoch(shard))
            for shard in self._pending.shards()
        }
        reports = self._permits.progress_reports(
            waiting_sources, self._uptime_s(now), now
        )
        for report in reports:
            holder = self._directory.holder(report.shard)
            if holder:
                out.append(core.Envelope(holder, report))
        return out

    def _uptime_s(self, now: float) -> float:
        return now - (now if self._started_at is None else self._started_at)

    # Changes of dispatchers.

    def _set_holder(
        self, msg: messages.ShardHolder, now: float
    ) -> Sequence[core.Envelope]:
        if not self._directory.set_holder(msg.shard, msg.epoch, msg.holder):
            return ()
        out: list[core.Envelope] = []
        for request in self._pending.at_shard(msg.shard):
            out.extend(self._send_ask(request, now))
        return out

    def _handle_resync_ask(
        self, src: str, msg: messages.ResyncAsk, now: float
    ) -> Sequence[core.Envelope]:
        if msg.epoch < self._directory.epoch(msg.shard):
            return ()
        self._directory.set_holder(msg.shard, msg.epoch, src)
        waiting = self._pending.at_shard(msg.shard)
        report = messages.ResyncReport(
            shard=msg.shard,
            epoch=msg.epoch,
            held=self._permits.held_permits(msg.shard, now),
            waiting=tuple(request.ask(now) for request in waiting),
            counters=self._permits.counters(msg.shard),
            up_s=self._uptime_s(now),
            limits=self._permits.limits(msg.shard, now),
        )
        return [core.Envelope(src, report)]
