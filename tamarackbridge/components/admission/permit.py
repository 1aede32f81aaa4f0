"""Permit to send one request to one server."""

import asyncio
from typing import Protocol

import result

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import ledger


class PermitIssuer(Protocol):
    """Issues permits and records what became of the attempts."""

    def now(self) -> float:
        """Returns the time."""
        ...

    def record_response_start(
        self, reservation: ledger.Reservation, tokens_ahead: int
    ) -> None:
        """Records the first sign of life of the server of an attempt."""
        ...

    def record_event_gap(
        self, reservation: ledger.Reservation, gap_s: float, now: float
    ) -> None:
        """Records the time between two events of a stream."""
        ...

    def handle_response_head(
        self, reservation: ledger.Reservation, head: models.ResponseHead
    ) -> None:
        """Applies what a response head announces about its server."""
        ...

    def record_generating(self, reservation: ledger.Reservation) -> None:
        """Records that an answer got beyond its first event."""
        ...

    def record_attempt_end(
        self, reservation: ledger.Reservation, outcome: jobs.Outcome
    ) -> None:
        """Records the end of an attempt."""
        ...


class Permit:
    """Permit for one attempt; implements `jobs.Permit`.

    Attributes:
        copy_from: Address of the server from which this one is to copy cached
            prompt blocks; empty if none.
    """

    def __init__(
        self,
        issuer: PermitIssuer,
        reservation: ledger.Reservation,
        tokens_ahead: int,
        copy_from: str = "",
    ) -> None:
        self.copy_from = copy_from
        self._issuer = issuer
        self._reservation = reservation
        self._tokens_ahead = tokens_ahead
        self._last_event_at: float | None = None
        self._events = 0

    @property
    def server(self) -> knowledge.BackendServer:
        """The server."""
        return self._reservation.server

    def record_activity(self) -> None:
        """Records the first sign of life of the server for this job."""
        if self._reservation.began_at is None:
            self._issuer.record_response_start(
                self._reservation, self._tokens_ahead
            )

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Applies what the head of the server's own response announces."""
        self._issuer.handle_response_head(self._reservation, head)

    def record_progress(self, events: int) -> None:
        """Records that events were passed on."""
        now = self._issuer.now()
        self._events += events
        if self._events > 1 and not self._reservation.is_generating:
            self._issuer.record_generating(self._reservation)
        if self._last_event_at is not None:
            gap_s = now - self._last_event_at
            self._issuer.record_event_gap(self._reservation, gap_s, now)
        self._last_event_at = now

    def finish(self, outcome: jobs.Outcome) -> None:
        """Returns the permit when the attempt has ended."""
        self._issuer.record_attempt_end(self._reservation, outcome)


def release_undelivered(future: asyncio.Future[jobs.AdmissionResult]) -> None:
    """Releases a permit whose caller left in the pass that issued it."""
    if not future.done() or future.cancelled():
        return
    admitted = future.result()
    if isinstance(admitted, result.Ok):
        admitted.ok_value.finish(jobs.Outcome.UNSENT)
