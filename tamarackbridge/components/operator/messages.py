"""Bodies of the operator interface, as JSON."""

from typing import Any

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """Why a call was refused; nothing was changed unless it says so.

    Attributes:
        reason: Short code, one of `protocols.ChangeReason` or an HTTP matter.
        detail: One line for people.
    """

    reason: str
    detail: str


class FieldChange(msgspec.Struct, frozen=True):
    """One key whose value changes; null where there is no value."""

    key: str
    before: Any
    after: Any


class RecordChange(msgspec.Struct, frozen=True):
    """What a change does to one record."""

    kind: str
    name: str
    action: str
    fields: tuple[FieldChange, ...]


class ChangeReply(msgspec.Struct, frozen=True):
    """Answers a change of records.

    Attributes:
        dry_run: Whether nothing was written.
        generation: Generation in which the change is in force; 0 for none.
        changes: What changes.
        lagging: Live routers that have not confirmed it.
    """

    dry_run: bool
    generation: int
    changes: tuple[RecordChange, ...]
    lagging: tuple[str, ...] = ()


class RecordsReply(msgspec.Struct, frozen=True):
    """Lists records, each in the version of its writer.

    Attributes:
        generation: Generation that they are of.
        from_store: Whether they were read from the platform, or else are
            those in force on the answering router.
    """

    generation: int
    from_store: bool
    records: tuple[dict[str, Any], ...]


class MemberStatus(msgspec.Struct, frozen=True):
    """One router as the answering router sees it.

    Attributes:
        confirmed: Whether it has confirmed the answering router's
            generation.
    """

    node: str
    zone: str
    live: bool
    confirmed: bool


class ShardStatus(msgspec.Struct, frozen=True):
    """One shard; the counts are those of its holder, else -1."""

    shard: str
    holder: str
    epoch: int
    permits: int = -1
    queued: int = -1


class ServerStatus(msgspec.Struct, frozen=True):
    """One backend server as the holder of its shard sees it.

    Attributes:
        limit: Requests it is given at once now.
        limit_warm: Requests it bears at once when warm.
        running: Permits that are out for it.
        usable: False while it drains or its availability zone is out.
    """

    server: str
    shard: str
    zone: str
    limit: int
    limit_warm: int
    running: int
    usable: bool


class WorkspaceStatus(msgspec.Struct, frozen=True):
    """One workspace on one shard, as the holder sees it.

    Attributes:
        counter: Service received, divided by the share, in the cost unit.
    """

    workspace: str
    shard: str
    queued: int
    running: int
    counter: float


class Status(msgspec.Struct, frozen=True):
    """What one router knows of the fleet."""

    node: str
    zone: str
    generation: int
    serving: bool
    reason: str
    members: tuple[MemberStatus, ...] = ()
    shards: tuple[ShardStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    workspaces: tuple[WorkspaceStatus, ...] = ()


class Explanation(msgspec.Struct, frozen=True):
    """Why a workspace gets the service it gets, on one shard.

    Attributes:
        share: Its weight.
        share_of_backlogged: Its part of the weights of the workspaces that
            have work waiting now, 0 to 1.
        counter: Its virtual service counter.
        least_counter: Least counter among workspaces with waiting work.
        reasons: Lines for people, most important first.
    """

    workspace: str
    shard: str
    share: float
    share_of_backlogged: float
    queued: int
    running: int
    counter: float
    least_counter: float
    reasons: tuple[str, ...]


class ExplainReply(msgspec.Struct, frozen=True):
    """What the answering router can tell of one workspace."""

    node: str
    explanations: tuple[Explanation, ...]


class RequestTrace(msgspec.Struct, frozen=True):
    """One request that this router holds or has held lately."""

    request_id: str
    node: str
    workspace: str
    route: str
    state: str
    server: str
    age_s: float
    events: tuple[str, ...] = ()


class RequestsReply(msgspec.Struct, frozen=True):
    """The requests that were found."""

    requests: tuple[RequestTrace, ...]
