"""Applies the quarantine to the requests of this router."""

import random

from tamarackbridge.components.admission import dependencies
from tamarackbridge.components.gateway import jobs, rejections
from tamarackbridge.components.placement import crash_evidence, ledger
from tamarackbridge.components.telemetry import events

RETRY_SPREAD_S = 1.0
"""Range over which the retries of rejected requests are spread."""


class QuarantineGate:
    """Rejects quarantined requests, and reports crashes."""

    def __init__(
        self,
        deps: dependencies.Dependencies,
        peers: dependencies.PeerRouters,
        rng: random.Random,
    ) -> None:
        self._evidence = deps.block_quarantine
        self._notices = deps.server_notices
        self._local_copy = deps.local_copy
        self._peers = peers
        self._rng = rng
        self._applied_changes = 0

    def rejection(
        self, job: jobs.Job, now: float
    ) -> rejections.Rejection | None:
        """Returns the rejection of a request with a quarantined part."""
        remaining_s = self._evidence.remaining_s(
            lambda: crash_evidence.parts(job),
            self._peers.routers,
            now,
        )
        if remaining_s <= 0:
            return None
        return rejections.Rejection(
            rejections.Reason.QUARANTINED,
            remaining_s + self._rng.uniform(0.0, RETRY_SPREAD_S),
        )

    def pop_change(self) -> bool:
        """Returns whether blocks were quarantined since the last call."""
        changes = self._evidence.changes
        has_changed = changes != self._applied_changes
        self._applied_changes = changes
        return has_changed

    def record_sent(self, reservation: ledger.Reservation) -> None:
        """Records that a request was sent."""
        self._evidence.record_sent(reservation.blocks, reservation.sent_at)

    def record_generating(
        self, reservation: ledger.Reservation, now: float
    ) -> None:
        """Clears the blocks of a request whose answer makes progress."""
        reservation.is_generating = True
        for block in self._evidence.record_answer(reservation.blocks, now):
            events.write(events.QuarantineEnded(block))
            self._peers.request_report()

    def record_end(
        self, reservation: ledger.Reservation, outcome: jobs.Outcome, now: float
    ) -> None:
        """Records what the end of an attempt tells about its blocks."""
        if reservation.is_generating or not reservation.blocks:
            return
        if outcome is jobs.Outcome.SERVED:
            self.record_generating(reservation, now)
        elif outcome is jobs.Outcome.CRASHED:
            self._record_crash(reservation, now)

    def _record_crash(
        self, reservation: ledger.Reservation, now: float
    ) -> None:
        server = reservation.server
        registered = self._local_copy.servers.get(server.name)
        if registered is None or registered.server.draining:
            return
        if self._notices.is_shutting_down(server):
            return
        has_begun = reservation.began_at is not None
        events.write(
            events.ServerCrashed(
                server.name, has_begun, tuple(sorted(reservation.blocks))
            )
        )
        suspect = crash_evidence.Suspect(
            server=server.name,
            started_ms=server.started_ms,
            blocks=reservation.blocks,
            has_begun=has_begun,
            sent_at=reservation.sent_at,
            crashed_at=now,
        )
        for block in self._evidence.record_own_crash(suspect, now):
            events.write(events.BlockQuarantined(block))
        self._peers.request_report()
