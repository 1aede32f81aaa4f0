"""Requests in flight, and the interface to admission control."""

import dataclasses
import enum
from typing import Protocol

import result

from tamarackbridge.components.gateway import (
    body_budget,
    models,
    rejections,
)
from tamarackbridge.components.knowledge import models as knowledge


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request from its acceptance to its final response.

    Attributes:
        request: The caller's request.
        route: Route that matches the request.
        service: Service that the route selected for the request.
        workspace: Workspace that sent the request; empty on public routes.
        arrived: Time of arrival.
        deadline: Time by which the final response must have been sent.
        excluded_servers: Servers that already rejected or failed the request.
        attempts: Number of attempts that reached a server.
        body_memory: Memory of the body; None without a body.
        parts: Identifiers of the request and of its prompt's shared blocks;
            empty until they are needed.
        version: Version of the server that it was sent to last; None before,
            and while no rollout of the service is known.
    """

    request: models.Request
    route: knowledge.Route
    service: knowledge.Service
    workspace: str
    arrived: float
    deadline: float
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    body_memory: body_budget.Holding | None = None
    parts: frozenset[str] = frozenset()
    version: str | None = None


class Outcome(enum.Enum):
    """How one attempt to run a job on a server ended.

    `CRASHED` is `LOST` at a server that refuses connections since.
    """

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "refused"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    CRASHED = "crashed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


class Permit(Protocol):
    """Permission to send one job to one server, once."""

    @property
    def server(self) -> knowledge.BackendServer:
        """Server that the job may be sent to."""
        ...

    @property
    def copy_from(self) -> str:
        """Address of the server to copy cached prompt blocks from, if any."""
        ...

    def record_activity(self) -> None:
        """Records data from the server; only the first call has an effect."""
        ...

    def handle_notices(self, head: models.ResponseHead) -> None:
        """Handles the notices about the server in its response head."""
        ...

    def record_progress(self, events: int) -> None:
        """Records that events were forwarded to the caller."""
        ...

    def finish(self, outcome: Outcome) -> None:
        """Releases the permit."""
        ...


AdmissionResult = result.Result[Permit, rejections.Rejection]


class AdmissionController(Protocol):
    """Decides which job is sent next, and to which server."""

    async def async_admit(self, job: Job) -> AdmissionResult:
        """Waits until a job may be sent; returns a rejection if it may not."""
        ...

    def take_retry(self, job: Job, is_confirmation: bool) -> bool:
        """Takes a retry from the budget of the service; False if used up.

        Args:
            job: The job.
            is_confirmation: Whether the job has a response already, of which
                only the end is to be confirmed.
        """
        ...

    def has_server(self, job: Job) -> bool:
        """Returns whether any server may be asked that is not excluded."""
        ...

    def exclude_others(self, job: Job, server: str) -> None:
        """Excludes all servers of a job's service but one."""
        ...

    def available_in_s(self, job: Job) -> float:
        """Returns the time until a server accepts an attempt; 0 for now."""
        ...
