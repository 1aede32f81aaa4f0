"""Messages between entries and the dispatcher of a shard.

An entry is a router that received a caller's request and sends it to a backend
server. A shard is a group of the backend servers of one service; its name is
`service/index`. The dispatcher of a shard is the router that holds the shard's
lease; each new lease begins an epoch. A permit allows one entry to run one
request on one backend server.

Costs are in the service's cost unit: weighted tokens for engines,
server-milliseconds for plain services. A workspace's virtual service counter
is the cost charged to it, divided by its share (normalised service).
"""

import enum
import math

import msgspec

from tamarackbridge import core


class Outcome(enum.Enum):
    """How the work under one permit ended."""

    OK = "ok"
    SLOW = "slow"
    """The response was complete but its first byte came late."""
    FAILED = "failed"
    COLD = "cold"
    """The backend server reported that it restarted or is warming up."""
    CANCELLED = "cancelled"
    UNUSED = "unused"
    """The request was not sent to the backend server."""


class Ask(core.Message, frozen=True, tag=True):
    """Entry to dispatcher: requests a permit for one request.

    Attributes:
        shard: Name of the shard.
        request_id: Identifier of the request, unique in the fleet.
        workspace: Name of the workspace that is charged.
        end_user: End user within the workspace; empty when unknown.
        route: Name of the route, for the learned cost estimates.
        hint_cost: The caller's cost estimate; 0 when it gave none.
        deadline_s: Seconds left until the request's deadline.
        avoid: Backend servers on which this request must not run.
    """

    shard: str
    request_id: str
    workspace: str
    end_user: str
    route: str
    hint_cost: float
    deadline_s: float
    avoid: tuple[str, ...] = ()


class Withdraw(core.Message, frozen=True, tag=True):
    """Entry to dispatcher: cancels an `Ask` that was not granted yet."""

    shard: str
    request_id: str


class Grant(core.Message, frozen=True, tag=True):
    """Dispatcher to entry: a permit for one request on one backend server.

    The entry may start the work only while the grant's age is below `use_s`.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the dispatcher; also the fencing number for backend
            servers that check one.
        number: Number of the permit within the epoch.
        request_id: The request that may run.
        server: Name of the backend server.
        use_s: Seconds after the sending of this message within which work
            may start under it; never beyond the dispatcher's lease.
        life_s: Seconds after the start within which the work must end.
        counter: The workspace's virtual service counter after this grant.
        limit: The backend server's concurrency limit when the permit was
            issued.
    """

    shard: str
    epoch: int
    number: int
    request_id: str
    server: str
    use_s: float
    life_s: float
    counter: float
    limit: int = 0


class Refuse(core.Message, frozen=True, tag=True):
    """Dispatcher to entry: rejects an `Ask`; the request did not run.

    Attributes:
        reason: One of the reasons in `entry.const`.
        retry_after_s: Seconds after which the caller may retry.
    """

    shard: str
    request_id: str
    reason: str
    retry_after_s: float


class Progress(core.Message, frozen=True, tag=True):
    """Entry to dispatcher: the cost used so far by each running permit.

    Lists every permit of the shard and epoch that the entry holds. A permit
    that is missing has ended or was never received.

    Attributes:
        used: Pairs of permit number and total cost since the start.
        up_s: How long the entry has been running.
    """

    shard: str
    epoch: int
    used: tuple[tuple[int, float], ...]
    up_s: float = math.inf


class Finish(core.Message, frozen=True, tag=True):
    """Entry to dispatcher: returns one permit.

    Attributes:
        used: Final cost.
        outcome: How the work ended.
        first_byte_s: Seconds from the start to the first byte of the response.
    """

    shard: str
    epoch: int
    number: int
    used: float
    outcome: Outcome
    first_byte_s: float = 0.0


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A running permit, as its entry reports it to a new dispatcher."""

    epoch: int
    number: int
    request_id: str
    workspace: str
    server: str
    used: float
    life_left_s: float


class WorkspaceCounter(msgspec.Struct, frozen=True, array_like=True):
    """The virtual service counter of one workspace.

    In `ShardTotals` it is the normalised service within the epoch.
    """

    workspace: str
    counter: float


class ServerLimit(msgspec.Struct, frozen=True, array_like=True):
    """The concurrency limit of a backend server, from an entry's last grant.

    Attributes:
        limit: The limit; 0 if the server failed afterwards.
        age_s: Seconds since the grant, or since the failure.
    """

    server: str
    limit: int
    age_s: float


class ResyncAsk(core.Message, frozen=True, tag=True):
    """Dispatcher to entry: requests a `ResyncReport` for a new epoch."""

    shard: str
    epoch: int


class ResyncReport(core.Message, frozen=True, tag=True):
    """Entry to dispatcher: all permits and requests that it has at a shard.

    Attributes:
        held: Permits under which work runs.
        waiting: Requests that wait for a permit.
        counters: Counters of workspaces from grants.
        up_s: How long the entry has been running. It knows nothing of permits
            that it held before it started.
        limits: Recent concurrency limits of servers; 0 after a failure.
    """

    shard: str
    epoch: int
    held: tuple[HeldPermit, ...]
    waiting: tuple[Ask, ...]
    counters: tuple[WorkspaceCounter, ...]
    up_s: float = math.inf
    limits: tuple[ServerLimit, ...] = ()


class Move(core.Message, frozen=True, tag=True):
    """Dispatcher to entry: a waiting request is to ask a shard with capacity.

    Attributes:
        shard: Name of the shard at which the request waits.
        to_shard: Name of the shard that has idle permits.
    """

    shard: str
    request_id: str
    to_shard: str


class ShardTotals(core.Message, frozen=True, tag=True):
    """Dispatcher to dispatcher: the cost that one shard of a service served.

    Attributes:
        shard: Name of the shard that sends.
        to_shard: Name of the shard that the receiver dispatches.
        idle: Permits that can be issued at once; 0 while requests wait.
        waiting: Requests that wait for a permit.
        served: Normalised service (cost divided by share) within this epoch,
            of each workspace for which it changed.
    """

    shard: str
    to_shard: str
    epoch: int
    idle: int
    waiting: int
    served: tuple[WorkspaceCounter, ...]


class HandedPermit(msgspec.Struct, frozen=True, array_like=True):
    """An outstanding permit, as a dispatcher hands it over to the next one.

    Attributes:
        entry: The router that holds it.
        used: Cost charged so far.
        life_left_s: Seconds after which its work has certainly ended.
        granted_ago_s: Seconds since it was issued.
        heard_ago_s: Seconds since its entry last reported it.
    """

    epoch: int
    number: int
    request_id: str
    workspace: str
    server: str
    entry: str
    used: float
    life_left_s: float
    granted_ago_s: float
    heard_ago_s: float


class HandOver(core.Message, frozen=True, tag=True):
    """Dispatcher to next dispatcher: all outstanding permits of its shard.

    Sent by the dispatcher of the epoch just before, after it stopped issuing
    permits, and only if it knows every outstanding permit.

    Attributes:
        epoch: The receiver's epoch.
    """

    shard: str
    epoch: int
    permits: tuple[HandedPermit, ...]
    counters: tuple[WorkspaceCounter, ...]


class LoadReport(core.Message, frozen=True, tag=True):
    """The load of a backend server, as it measured it some time ago.

    Attributes:
        server: Name of the backend server.
        in_flight: Requests that ran or were queued on it at the measurement.
        cold: True while it reports that it is warming up.
        lag_s: Upper bound on the age of the measurement.
        boot: Identifier of the server's process; changes at a restart.
    """

    server: str
    in_flight: int
    cold: bool
    lag_s: float
    boot: str = ""


class ShardHolder(core.Message, frozen=True, tag=True):
    """Local: the dispatcher of a shard, as far as this router knows.

    Attributes:
        holder: Identifier of the router; empty while there is none.
    """

    shard: str
    epoch: int
    holder: str


class LeaseHeld(core.Message, frozen=True, tag=True):
    """Local, to the dispatcher: this router holds a shard's lease.

    Sent when the lease is acquired and at each renewal.

    Attributes:
        until: Monotonic time of this router at which the lease ends.
        fresh: True in the first message of an epoch. Another router may have
            held the lease before, and work may run under its permits.
    """

    shard: str
    epoch: int
    until: float
    fresh: bool


class LeaseLost(core.Message, frozen=True, tag=True):
    """Local, to the dispatcher: this router's lease of a shard has ended."""

    shard: str
    epoch: int


class Want(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: a request needs a permit.

    The fields are those of `Ask`, with the service in place of the shard,
    which the permit client chooses.
    """

    service: str
    request_id: str
    workspace: str
    end_user: str
    route: str
    hint_cost: float
    deadline_s: float
    avoid: tuple[str, ...] = ()


class GiveUp(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: the request needs no permit any more."""

    request_id: str


class Permitted(core.Message, frozen=True, tag=True):
    """Local, permit client to entry: the request may run.

    Attributes:
        server: Name of the backend server.
        epoch: Fencing number, for backend servers that check it.
        number: Number of the permit within the epoch.
        start_by: Monotonic time of this router before which the request must
            be sent; afterwards the permit is returned unused.
        life_s: Seconds after the start within which the work must end.
    """

    request_id: str
    shard: str
    server: str
    epoch: int
    number: int
    start_by: float
    life_s: float


class Refused(core.Message, frozen=True, tag=True):
    """Local, permit client to entry: the request is rejected; it never ran."""

    request_id: str
    reason: str
    retry_after_s: float


class Used(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: cost of a running request so far."""

    request_id: str
    used: float


class Done(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: the permitted attempt has ended."""

    request_id: str
    used: float
    outcome: Outcome
    first_byte_s: float = 0.0
