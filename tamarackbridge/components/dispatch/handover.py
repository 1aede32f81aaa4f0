"""Hands permits over from one dispatcher of a shard to the next."""

from collections.abc import Callable, Mapping
import math

from tamarackbridge.components.dispatch import (
    bound,
    messages,
    occupancy,
    permits,
    takeover,
    waiting,
)
from tamarackbridge.components.records import models


def build_message(
    shard: str,
    epoch: int,
    table: permits.PermitTable,
    counters: Mapping[str, float],
    now: float,
) -> messages.HandOver:
    """Returns the hand-over message to the dispatcher of `epoch`."""
    handed = tuple(
        messages.HandedPermit(
            epoch=permit.epoch,
            number=permit.number,
            request_id=permit.request_id,
            workspace=permit.workspace,
            server=permit.server,
            entry=permit.entry,
            used=permit.charged,
            life_left_s=permit.ends_at - now,
            granted_ago_s=now - permit.granted_at,
            heard_ago_s=now - permit.reported_at,
        )
        for permit in table
    )
    workspace_counters = tuple(
        messages.WorkspaceCounter(name, value)
        for name, value in sorted(counters.items())
    )
    return messages.HandOver(shard, epoch, handed, workspace_counters)


class PermitRecovery:
    """Adds permits and counters of earlier epochs to a new dispatcher."""

    def __init__(
        self,
        table: permits.PermitTable,
        progress: takeover.TakeOver,
        share: Callable[[str], float],
    ) -> None:
        self._permits = table
        self._takeover = progress
        self._share = share

    def handle_hand_over(
        self, msg: messages.HandOver, age_s: float, now: float
    ) -> None:
        """Takes over the permits that the previous dispatcher handed over.

        Args:
            msg: The hand-over.
            age_s: Upper bound on the time since it was sent.
            now: Monotonic time in seconds.
        """
        earliest_grants: dict[permits.PermitKey, float] = {}
        earliest_sent_at = now - age_s
        for item in msg.permits:
            key = (item.epoch, item.number)
            earliest_grants[key] = earliest_sent_at - item.granted_ago_s
            reported_at = earliest_sent_at - item.heard_ago_s
            self._adopt(item, item.entry, reported_at, now)
        self._takeover.merge_counters(msg.counters)
        self._takeover.record_hand_over(earliest_grants)

    def handle_resync_report(
        self, src: str, msg: messages.ResyncReport, age_s: float, now: float
    ) -> list[permits.Permit]:
        """Takes over the permits that an entry reports.

        Returns:
            The handed-over permits that the entry has ended: those that its
            report leaves out. No work can start under them any more. A permit
            from before the entry's start isn't among them, as a restarted
            entry doesn't know its earlier permits.
        """
        for held in msg.held:
            self._adopt(held, src, now - age_s, now)
        if not math.isfinite(age_s):
            return []
        reported_keys = {(held.epoch, held.number) for held in msg.held}
        up_since = now - msg.up_s
        return [
            permit
            for permit in self._permits.held_by(src)
            if permit.epoch < msg.epoch
            and permit.key not in reported_keys
            and self._takeover.granted_after(permit.key, up_since)
        ]

    def restore_counters(
        self,
        order: waiting.Order,
        snapshot: models.Snapshot,
        service: models.Service,
    ) -> None:
        """Restores the counters from reports and the hand-over.

        The virtual time becomes the lowest counter of a backlogged workspace.
        No counter is set below it, nor above it by more than the cost of the
        permits that the workspace can hold at once.
        """
        reported = self._takeover.counters
        backlogged = {item.ask.workspace for item in order}
        backlogged_values = [
            reported[name] for name in backlogged if name in reported
        ]
        if not backlogged_values:
            return
        floor = min(backlogged_values)
        order.counters.virtual_time = floor
        for name, value in reported.items():
            burst = bound.burst(snapshot, service, name)
            value = min(max(value, floor), floor + burst)
            order.counters.restore(name, value)

    def _adopt(
        self,
        item: messages.HeldPermit | messages.HandedPermit,
        entry: str,
        reported_at: float,
        now: float,
    ) -> None:
        existing = self._permits.get((item.epoch, item.number))
        if existing is not None:
            existing.reported_at = max(existing.reported_at, reported_at)
            return
        permit = permits.Permit(
            epoch=item.epoch,
            number=item.number,
            request_id=item.request_id,
            workspace=item.workspace,
            end_user="",
            route="",
            server=item.server,
            entry=entry,
            share=self._share(item.workspace),
            hint=0.0,
            charged=item.used,
            granted_at=self._takeover.fence - occupancy.START_WINDOW_S,
            reported_at=reported_at,
            ends_at=now + item.life_left_s,
        )
        self._permits.add(permit)
