"""Messages between entries and the dispatcher of a shard.

A shard is a group of the backend servers of one service. Its name is
`service/index`. Costs are in the service's cost unit: weighted tokens for
engines, server-milliseconds for plain services.
"""

import enum
import math

import msgspec

from tamarackbridge import core


class Outcome(enum.Enum):
    """How the use of one permit ended."""

    OK = "ok"
    SLOW = "slow"
    """The answer was whole but its first byte came late."""
    FAILED = "failed"
    COLD = "cold"
    """The backend server said that it restarted or is warming up."""
    CANCELLED = "cancelled"
    UNUSED = "unused"
    """Nothing was sent to the backend server."""


class Ask(core.Message, frozen=True, tag=True):
    """Asks for a permit for one request.

    Attributes:
        shard: Name of the shard.
        request_id: Identifier of the request, unique in the fleet.
        workspace: Name of the workspace that pays.
        end_user: End user within the workspace; empty when unknown.
        route: Name of the route, for learned estimates.
        hint_cost: Caller's estimate; 0 when the caller gave none.
        deadline_s: Seconds left until the request's deadline.
        avoid: Backend servers that this request must not go to.
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
    """Takes back an `Ask` that has not been granted yet."""

    shard: str
    request_id: str


class Grant(core.Message, frozen=True, tag=True):
    """Permits one request to run on one backend server.

    The entry may start only while the grant's age is below `use_s`.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the dispatcher; also the fencing number.
        number: Number of the permit within the epoch.
        request_id: The request that may run.
        server: Name of the backend server.
        use_s: Seconds from the sending of this message until which work may
            start under it; never beyond the dispatcher's lease.
        life_s: Seconds from start after which the work must have ended.
        counter: The workspace's virtual service counter after this grant.
        limit: Requests that the backend server was trusted with at once.
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
    """Refuses one ask; the request did not run.

    Attributes:
        reason: One of the reasons in `entry.const`.
        retry_after_s: When the caller may come back.
    """

    shard: str
    request_id: str
    reason: str
    retry_after_s: float


class Progress(core.Message, frozen=True, tag=True):
    """Tells the cost that running permits have used so far.

    Names every permit of the shard and epoch that the entry holds, so that a
    permit that it doesn't name has ended or was never received.

    Attributes:
        used: Pairs of permit number and total cost since its start.
        up_s: How long the entry has been running.
    """

    shard: str
    epoch: int
    used: tuple[tuple[int, float], ...]
    up_s: float = math.inf


class Finish(core.Message, frozen=True, tag=True):
    """Gives one permit back.

    Attributes:
        used: Final cost.
        outcome: How it ended.
        first_byte_s: Seconds from start to the first byte of the answer.
    """

    shard: str
    epoch: int
    number: int
    used: float
    outcome: Outcome
    first_byte_s: float = 0.0


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """One running permit, as its entry reports it to a new dispatcher."""

    epoch: int
    number: int
    request_id: str
    workspace: str
    server: str
    used: float
    life_left_s: float


class WorkspaceCounter(msgspec.Struct, frozen=True, array_like=True):
    """The highest virtual service counter that an entry saw granted."""

    workspace: str
    counter: float


class ServerLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit of a backend server that an entry last saw in a grant.

    Attributes:
        age_s: Time since that grant arrived.
    """

    server: str
    limit: int
    age_s: float


class ResyncAsk(core.Message, frozen=True, tag=True):
    """Asks an entry for all it holds of a shard, for a new epoch."""

    shard: str
    epoch: int


class ResyncReport(core.Message, frozen=True, tag=True):
    """Hands what an entry holds of a shard to its new dispatcher.

    Attributes:
        up_s: How long the entry has been running; it can't vouch for permits
            that it may have held before.
        limits: Limits that the entry saw lately; 0 after a failure.
    """

    shard: str
    epoch: int
    held: tuple[HeldPermit, ...]
    waiting: tuple[Ask, ...]
    counters: tuple[WorkspaceCounter, ...]
    up_s: float = math.inf
    limits: tuple[ServerLimit, ...] = ()


class Move(core.Message, frozen=True, tag=True):
    """Sends a waiting request to a shard that has idle permits."""

    shard: str
    request_id: str
    to_shard: str


class ShardTotals(core.Message, frozen=True, tag=True):
    """Tells the other shards of a service what this one has served.

    Attributes:
        shard: Name of the shard that sends.
        to_shard: Name of the shard that the receiver dispatches.
        idle: Permits that are free while nothing waits.
        waiting: Requests that wait for a permit.
        served: Normalised service of each workspace within this epoch.
    """

    shard: str
    to_shard: str
    epoch: int
    idle: int
    waiting: int
    served: tuple[WorkspaceCounter, ...]


class HandedPermit(msgspec.Struct, frozen=True, array_like=True):
    """One permit that is out, as a dispatcher hands it to the next.

    Attributes:
        entry: The router that holds it.
        used: Cost charged so far.
        life_left_s: Seconds after which its work has ended for certain.
        granted_ago_s: Seconds since it was issued.
        heard_ago_s: Seconds since its entry named it last.
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
    """Hands all permits of the epochs before `epoch` to its dispatcher.

    Sent by the dispatcher of the epoch just before, after it stopped issuing,
    and only if it knows every permit that is out.

    Attributes:
        epoch: The receiver's epoch.
    """

    shard: str
    epoch: int
    permits: tuple[HandedPermit, ...]
    counters: tuple[WorkspaceCounter, ...]


class LoadReport(core.Message, frozen=True, tag=True):
    """A backend server's own view of its load, which lags.

    Attributes:
        server: Name of the backend server.
        in_flight: Requests running or queued on it when it measured.
        cold: Whether it reports that it is warming up.
        lag_s: Upper bound on the age of the measurement.
        boot: Identifier that changes when the server restarts.
    """

    server: str
    in_flight: int
    cold: bool
    lag_s: float
    boot: str = ""


class ShardHolder(core.Message, frozen=True, tag=True):
    """Local news: which router dispatches a shard, as this router knows it.

    Attributes:
        holder: Identifier of the router; empty while nobody does.
    """

    shard: str
    epoch: int
    holder: str


class LeaseHeld(core.Message, frozen=True, tag=True):
    """Local news to the dispatcher: this router holds a shard's lease.

    Sent on take-over and on each renewal.

    Attributes:
        until: Monotonic time of this router at which the lease ends.
        fresh: True on the first message of an epoch: others may have held
            the shard before, and permits of theirs may be running.
    """

    shard: str
    epoch: int
    until: float
    fresh: bool


class LeaseLost(core.Message, frozen=True, tag=True):
    """Local news to the dispatcher: this router's lease has ended."""

    shard: str
    epoch: int


class Want(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: a request wants to run.

    The fields are those of `Ask`, but for the service, of which the permit
    client chooses the shard.
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
    """Local, entry to permit client: the request no longer wants to run."""

    request_id: str


class Permitted(core.Message, frozen=True, tag=True):
    """Local, permit client to entry: the request may run.

    Attributes:
        server: Name of the backend server.
        epoch: Fencing number for backend servers that check one.
        number: Number of the permit within the epoch.
        start_by: Monotonic time of this router before which the request
            must be sent; past it the permit is given back unused.
        life_s: Seconds from start after which the work must have ended.
    """

    request_id: str
    shard: str
    server: str
    epoch: int
    number: int
    start_by: float
    life_s: float


class Refused(core.Message, frozen=True, tag=True):
    """Local, permit client to entry: the request did not and will not run."""

    request_id: str
    reason: str
    retry_after_s: float


class Used(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: total cost of a running request so far."""

    request_id: str
    used: float


class Done(core.Message, frozen=True, tag=True):
    """Local, entry to permit client: the permitted attempt has ended."""

    request_id: str
    used: float
    outcome: Outcome
    first_byte_s: float = 0.0
