"""Leave to send one request to one server."""

import asyncio
from typing import Protocol

import result

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import ledger


class Issuer(Protocol):
    """Who gave a permit and learns what became of it."""

    def now(self) -> float:
        """Returns the time."""
        ...

    def began(self, ticket: ledger.Ticket, ahead: int) -> None:
        """Notes the first sign of life of a server for a sending."""
        ...

    def paused(self, ticket: ledger.Ticket, pause_s: float, now: float) -> None:
        """Notes a pause between two events of a stream."""
        ...

    def told(self, ticket: ledger.Ticket, head: models.ResponseHead) -> None:
        """Takes what a server's answer says of the server."""
        ...

    def ended(self, ticket: ledger.Ticket, outcome: jobs.Outcome) -> None:
        """Notes the end of a sending."""
        ...


class Permit:
    """A permit for one sending; see `jobs.Permit`."""

    def __init__(self, desk: Issuer, ticket: ledger.Ticket, ahead: int) -> None:
        self._desk = desk
        self._ticket = ticket
        self._ahead = ahead
        self._progressed_at: float | None = None

    @property
    def server(self) -> knowledge.BackendServer:
        """The server."""
        return self._ticket.server

    def record_activity(self) -> None:
        """Notes the first sign of life of the server for this job."""
        if self._ticket.began is None:
            self._desk.began(self._ticket, self._ahead)

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Takes what the head of the server's own answer says of it."""
        self._desk.told(self._ticket, head)

    def record_progress(self) -> None:
        """Notes that events were passed on."""
        now = self._desk.now()
        if self._progressed_at is not None:
            pause_s = now - self._progressed_at
            self._desk.paused(self._ticket, pause_s, now)
        self._progressed_at = now

    def finish(self, outcome: jobs.Outcome) -> None:
        """Gives the permit back."""
        self._desk.ended(self._ticket, outcome)


def give_back(fut: asyncio.Future[jobs.AdmissionResult]) -> None:
    """Ends a permit whose caller left in the turn in which it was given."""
    if not fut.done() or fut.cancelled():
        return
    admitted = fut.result()
    if isinstance(admitted, result.Ok):
        admitted.ok_value.finish(jobs.Outcome.UNSENT)
