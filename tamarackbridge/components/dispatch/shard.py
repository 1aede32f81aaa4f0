"""Dispatches one shard: which request runs next, and on which server."""

from collections.abc import Iterable, Sequence
import math

from tamarackbridge import const as fleet_const
from tamarackbridge import core
from tamarackbridge.components.dispatch import (
    const,
    estimates,
    exchange,
    handover,
    messages,
    permits,
    servers,
    takeover,
    waiting,
    wire,
)
from tamarackbridge.components.entry import const as entry_const
from tamarackbridge.components.records import models

Reason = entry_const.Reason


class ShardDispatcher:
    """Queue, permits and server limits of one shard while its lease is held.

    Attributes:
        order: The waiting requests.
        permits: The outstanding permits.
        until: Monotonic time at which the lease ends.
        exchange: Served totals from and for the service's other shards.
    """

    def __init__(
        self,
        shard: str,
        epoch: int,
        order: waiting.Order,
        cost_estimates: estimates.CostEstimates,
        now: float,
        service: models.Service,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.order = order
        self.permits = permits.PermitTable()
        self.until = now
        self.exchange = exchange.Exchange(shard, epoch)
        self._estimates = cost_estimates
        self._service = service
        self._snapshot = models.empty_snapshot()
        self._servers = servers.ServerTable(self.permits)
        self._takeover = takeover.TakeOver(
            now, service.max_request_s + fleet_const.GRANT_USE_S, epoch <= 1
        )
        self._recovery = handover.PermitRecovery(
            self.permits, self._takeover, self._share_of
        )
        self._last_message_at: dict[str, float] = {}
        self._last_number = 0
        self._swept_at = now
        self._counters_to_restore = epoch > 1

    # Configuration and members.

    def update(
        self, snapshot: models.Snapshot, before: models.Snapshot, now: float
    ) -> None:
        """Applies a newer configuration snapshot, which replaces `before`."""
        previous_servers = {
            srv.name for srv in before.shard_servers(self.shard)
        }
        for server in snapshot.shard_servers(self.shard):
            if (
                server.name in before.servers
                and server.name not in previous_servers
            ):
                self._takeover.record_move(server.name, now)
        self._snapshot = snapshot
        self._service = snapshot.services.get(self._service.name, self._service)
        self._servers.update(snapshot, self.shard)

    def set_members(self, members: Iterable[str]) -> None:
        """Sets which routers may hold permits of earlier epochs."""
        self._takeover.set_members(members)

    # Messages from entries.

    def handle_ask(
        self, src: str, ask: messages.Ask, age_s: float, now: float
    ) -> list[core.Envelope]:
        """Queues one request, or rejects it."""
        self._last_message_at[src] = now
        request_id = ask.request_id
        if request_id in self.order or self.permits.has_request(request_id):
            return []
        reason = self._rejection_reason(ask)
        if reason is not None:
            return [self._reject(src, ask, reason)]
        age_s = age_s if math.isfinite(age_s) else 0.0
        expires_at = now + ask.deadline_s - age_s
        self.order.push(waiting.QueuedRequest(ask, src, now, expires_at))
        return []

    def handle_withdraw(self, request_id: str) -> None:
        """Removes a waiting request from the queue."""
        self.order.remove(request_id)

    def handle_progress(
        self, src: str, msg: messages.Progress, age_s: float, now: float
    ) -> list[core.Envelope]:
        """Charges the cost that running permits have used so far.

        Asks of an entry that was silent may have been lost, so it is asked to
        report everything again.
        """
        silent = (
            now - self._last_message_at.get(src, now) > const.ENTRY_SILENCE_S
        )
        self._last_message_at[src] = now
        for number, used in msg.used:
            permit = self.permits.get((msg.epoch, number))
            if permit is None or permit.entry != src:
                continue
            permit.reported_at = max(permit.reported_at, now - age_s)
            if used > permit.charged:
                self._charge(permit, used)
        if math.isfinite(age_s):
            sent_at = now - age_s
            for permit in self.permits.ended_by_progress(src, msg, sent_at):
                self._release(permit, sent_at)
        if not silent:
            return []
        return [core.Envelope(src, messages.ResyncAsk(self.shard, self.epoch))]

    def handle_finish(self, src: str, msg: messages.Finish, now: float) -> None:
        """Ends one permit and charges its final cost."""
        permit = self.permits.get((msg.epoch, msg.number))
        if permit is None or permit.entry != src:
            return
        self._release(permit, now)
        self._charge(permit, msg.used)
        self._servers.record_outcome(permit, msg.outcome, now)
        if msg.outcome in (messages.Outcome.OK, messages.Outcome.SLOW):
            self._estimates.learn(
                permit.workspace, permit.route, permit.hint, msg.used
            )

    def handle_resync_report(
        self, src: str, msg: messages.ResyncReport, age_s: float, now: float
    ) -> list[core.Envelope]:
        """Takes over the permits and waiting requests of one entry."""
        for permit in self._recovery.handle_resync_report(src, msg, age_s, now):
            self._release(permit, now - age_s)
        self._release_ended(now)
        self._takeover.merge_counters(msg.counters)
        for server_limit in msg.limits if self._counters_to_restore else ():
            self._servers.record_earlier_limit(
                server_limit, self._takeover.fence, now
            )
        self._takeover.record_report(src, msg.up_s, now)
        out: list[core.Envelope] = []
        for ask in msg.waiting:
            out.extend(self.handle_ask(src, ask, age_s, now))
        return out

    def build_hand_over(self, now: float) -> messages.HandOver | None:
        """Builds the hand-over to the next dispatcher.

        Returns:
            The message, or None if there may be unknown outstanding permits.
        """
        if not self._takeover.is_complete(
            now
        ) or self._servers.has_unknown_work(now):
            return None
        if self._takeover.may_any_run_former_work(now):
            return None
        counters = self.order.counters.values()
        return handover.build_message(
            self.shard, self.epoch + 1, self.permits, counters, now
        )

    def handle_hand_over(
        self, msg: messages.HandOver, age_s: float, now: float
    ) -> None:
        """Takes over the permits that the previous dispatcher handed over."""
        self._recovery.handle_hand_over(msg, age_s, now)

    def handle_load_report(
        self, report: messages.LoadReport, now: float
    ) -> None:
        """Handles the load report of a backend server."""
        name = report.server
        if name not in self._servers:
            return
        measured_from = now - report.lag_s
        if not report.in_flight:
            self._takeover.record_idle(name, measured_from)
        if self._takeover.record_measurement(name, measured_from, now):
            until = self._takeover.fence + self._takeover.life_s
            self._servers.set_unknown(name, report.in_flight, until)
        self._servers.handle_load_report(report, self._takeover.fence, now)

    # Periodic work and issuing.

    def tick(self, now: float) -> list[core.Envelope]:
        """Ends what has expired and asks members for missing reports."""
        out: list[core.Envelope] = []
        if now >= self._swept_at + const.SWEEP_INTERVAL_S:
            self._swept_at = now
            out.extend(self._sweep(now))
        if self.may_issue(now) and self._takeover.begin_resync_if_due(now):
            ask = messages.ResyncAsk(self.shard, self.epoch)
            missing = sorted(self._takeover.missing_members())
            out.extend(core.Envelope(node, ask) for node in missing)
        return out

    def may_issue(self, now: float) -> bool:
        """Returns whether the lease is still valid."""
        return now < self.until

    def issue(self, now: float) -> list[core.Envelope]:
        """Issues permits to waiting requests while servers have capacity."""
        if not self.may_issue(now) or not len(self.order):
            return []
        free = self._free_capacity(now)
        if free:
            self._restore_counters()
        out: list[core.Envelope] = []
        while free:
            queued = self.order.pop_next(
                self._may_run, lambda queued: self._can_run(queued, free, now)
            )
            if queued is None:
                break
            if queued.expires_at <= now:
                rejected = self._reject(
                    queued.entry, queued.ask, Reason.DEADLINE
                )
                out.append(rejected)
                continue
            self.order.record_start(queued)
            server = self._choose_server(free, queued.ask.avoid)
            out.append(self._grant(queued, server, now))
            free[server] -= 1
            if not free[server]:
                del free[server]
        return out

    def publish_totals(
        self, holders: dict[str, str], now: float
    ) -> list[core.Envelope]:
        """Returns the served totals for the other shards' dispatchers.

        Args:
            holders: Dispatcher of each other shard of the service, by shard.
            now: Monotonic time in seconds.
        """
        idle = 0
        if not len(self.order) and self.may_issue(now):
            idle = sum(self._free_capacity(now).values())
        return self.exchange.publish(holders, idle, len(self.order), now)

    def handle_totals(
        self, msg: messages.ShardTotals, now: float
    ) -> list[core.Envelope]:
        """Charges another shard's service; moves requests to idle permits."""
        for workspace, amount in self.exchange.receive(msg):
            self.order.charge(workspace, "", amount)
        if not msg.idle or self._free_capacity(now):
            return []
        out: list[core.Envelope] = []
        for _ in range(msg.idle):
            queued = self.order.pop_next(self._may_run, lambda queued: True)
            if queued is None:
                break
            request_id = queued.ask.request_id
            move = messages.Move(self.shard, request_id, msg.shard)
            out.append(core.Envelope(queued.entry, move))
        return out

    def limits(self, now: float) -> dict[str, int]:
        """Returns each server's present concurrency limit."""
        return self._servers.limits_by_server(now)

    def _sweep(self, now: float) -> list[core.Envelope]:
        out: list[core.Envelope] = []
        for queued in [
            request for request in self.order if request.expires_at <= now
        ]:
            self.order.remove(queued.ask.request_id)
            out.append(self._reject(queued.entry, queued.ask, Reason.DEADLINE))
        for permit in self.permits:
            if permit.ends_at <= now:
                self._release(permit, now)
        self._release_ended(now)
        self._servers.pause_doubtful(now)
        self.order.prune(self.permits.workspaces())
        return out

    def _release_ended(self, now: float) -> None:
        for permit in self._servers.find_ended(
            self._takeover.is_complete(now), now
        ):
            self._release(permit, now)

    def _rejection_reason(self, ask: messages.Ask) -> Reason | None:
        if self._servers.usable() <= set(ask.avoid):
            return Reason.NO_CAPACITY
        workspace = self._snapshot.workspaces.get(ask.workspace)
        limit = workspace.max_queued if workspace else const.DEFAULT_MAX_QUEUED
        limit = math.ceil(limit / self._service.shards)
        if self.order.count(ask.workspace) >= limit:
            return Reason.QUEUE_FULL
        return None

    def _reject(
        self, entry: str, ask: messages.Ask, reason: Reason
    ) -> core.Envelope:
        waiting_count = self.order.count(ask.workspace)
        running_count = max(self.permits.count_workspace(ask.workspace), 1)
        retry_after_s = min(
            max(waiting_count / running_count, const.MIN_RETRY_AFTER_S),
            const.MAX_RETRY_AFTER_S,
        )
        rejection = messages.Refuse(
            self.shard, ask.request_id, reason.value, retry_after_s
        )
        return core.Envelope(entry, rejection)

    def _share_of(self, workspace: str) -> float:
        record = self._snapshot.workspaces.get(workspace)
        return record.share if record else 1.0

    def _may_run(self, workspace: str) -> bool:
        record = self._snapshot.workspaces.get(workspace)
        if record is None:
            return True
        limit = math.ceil(record.max_running / self._service.shards)
        return self.permits.count_workspace(workspace) < limit

    def _free_capacity(self, now: float) -> dict[str, int]:
        complete = self._takeover.is_complete(now)
        return self._servers.free_capacity(
            lambda name: (
                not self._takeover.may_run_former_work(name, now)
                and (complete or self._takeover.is_known(name, now))
            ),
            now,
        )

    def _can_run(
        self, queued: waiting.QueuedRequest, free: dict[str, int], now: float
    ) -> bool:
        last_message_at = self._last_message_at.get(
            queued.entry, queued.arrived_at
        )
        if now - last_message_at > const.ENTRY_SILENCE_S:
            return False
        return any(server not in queued.ask.avoid for server in free)

    def _choose_server(self, free: dict[str, int], avoid: Sequence[str]) -> str:
        names = [name for name in free if name not in avoid]
        return max(names, key=lambda name: (free[name], name))

    def _grant(
        self, queued: waiting.QueuedRequest, server: str, now: float
    ) -> core.Envelope:
        self._last_number += 1
        ask = queued.ask
        permit = permits.Permit(
            epoch=self.epoch,
            number=self._last_number,
            request_id=ask.request_id,
            workspace=ask.workspace,
            end_user=ask.end_user,
            route=ask.route,
            server=server,
            entry=queued.entry,
            share=self._share_of(ask.workspace),
            hint=ask.hint_cost,
            charged=0.0,
            granted_at=now,
            reported_at=now,
            ends_at=now + self._takeover.life_s,
        )
        self.permits.add(permit)
        ceiling = const.MAX_ESTIMATE_RATIO * self._service.max_cost
        self._charge(
            permit,
            self._estimates.estimate(
                ask.workspace, ask.route, ask.hint_cost, ceiling
            ),
        )
        lease_left_s = (self.until - now) / (1 + fleet_const.CLOCK_DRIFT_RATIO)
        grant = messages.Grant(
            shard=self.shard,
            epoch=self.epoch,
            number=permit.number,
            request_id=ask.request_id,
            server=server,
            use_s=min(fleet_const.GRANT_USE_S, lease_left_s),
            life_s=wire.round_down(self._service.max_request_s),
            counter=wire.round_nearest(
                self.order.counters.value(ask.workspace)
            ),
            limit=self._servers.limit(server, now),
        )
        return core.Envelope(queued.entry, grant)

    def _charge(self, permit: permits.Permit, total: float) -> None:
        amount = (total - permit.charged) / permit.share
        permit.charged = total
        self.order.charge(permit.workspace, permit.end_user, amount)
        self.exchange.charge(permit.workspace, amount)

    def _release(self, permit: permits.Permit, now: float) -> None:
        self.permits.pop(permit.key)
        self._servers.record_end(permit, now)

    def _restore_counters(self) -> None:
        """Restores the counters of earlier epochs, once."""
        if not self._counters_to_restore:
            return
        self._counters_to_restore = False
        self._recovery.restore_counters(
            self.order, self._snapshot, self._service
        )
