"""A caller's request under way, and who decides where it runs."""

import dataclasses
import enum
from typing import Protocol

import result

from tamarackbridge.components.gateway import answers, models
from tamarackbridge.components.knowledge import models as knowledge


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request from its acceptance to its answer.

    Attributes:
        call: What the caller sent.
        route: Where it goes.
        service: The service that the route picked for it.
        workspace: Who sent it; empty on public routes.
        arrived: Time of its arrival.
        deadline: Time at which it needs its final answer.
        avoid: Servers that already refused or failed it.
        sendings: Sendings that reached a server.
    """

    call: models.Call
    route: knowledge.Route
    service: knowledge.Service
    workspace: str
    arrived: float
    deadline: float
    avoid: set[str] = dataclasses.field(default_factory=set)
    sendings: int = 0


class Outcome(enum.Enum):
    """How one sending of a job ended."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


class Placement(Protocol):
    """A permit to send one job to one server, once."""

    @property
    def server(self) -> knowledge.BackendServer:
        """The server."""
        ...

    def heard(self) -> None:
        """Notes the first sign of life of the server for this job."""
        ...

    def told(self, head: models.Head) -> None:
        """Takes what the head of the server's own answer says of it."""
        ...

    def progressed(self) -> None:
        """Notes that events were passed on."""
        ...

    def finish(self, outcome: Outcome) -> None:
        """Gives the permit back."""
        ...


Admitted = result.Result[Placement, answers.Refusal]


class Desk(Protocol):
    """Decides which job goes next, and to which server."""

    async def async_admit(self, job: Job) -> Admitted:
        """Waits until a job may be sent, or refuses it."""
        ...

    def may_repeat(self, job: Job) -> bool:
        """Whether the repeat budget of the job's service allows one more."""
        ...

    def opens_in_s(self, job: Job) -> float:
        """Returns when some server takes a new attempt; 0 for now."""
        ...
