"""JSON bodies of the answers of the operator interface."""

from typing import Any

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """Why a call failed; nothing was changed unless `detail` says so.

    Attributes:
        reason: Short code: a `protocols.ChangeReason` value, or the kind of a
            bad request such as `not_found`.
        detail: One line of text for the operator.
    """

    reason: str
    detail: str


class FieldChange(msgspec.Struct, frozen=True):
    """One key whose value changes; null means that there is no value."""

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
    """Answer to a change of records.

    Attributes:
        dry_run: Whether nothing was written.
        generation: Generation in which the change is in force; 0 for none.
        changes: What changes, by record.
        lagging: Live routers that have not confirmed the generation.
    """

    dry_run: bool
    generation: int
    changes: tuple[RecordChange, ...]
    lagging: tuple[str, ...] = ()


class RecordsReply(msgspec.Struct, frozen=True):
    """Answer to a read of records.

    Each record is in the schema version in which it was written, unless the
    call asked for another one.

    Attributes:
        generation: Generation of the configuration they belong to.
        from_store: Whether they were read from the platform; if not, they
            are those in force on the answering router.
    """

    generation: int
    from_store: bool
    records: tuple[dict[str, Any], ...]


class MemberStatus(msgspec.Struct, frozen=True):
    """One router as the answering router sees it.

    Attributes:
        confirmed: Whether it has confirmed the generation in force on the
            answering router.
    """

    node: str
    zone: str
    live: bool
    confirmed: bool


class ShardStatus(msgspec.Struct, frozen=True):
    """One shard as the answering router sees it.

    Attributes:
        holder: Router that holds the shard's lease; empty if unknown.
        permits: Outstanding permits; -1 unless the answering router is the
            holder.
        queued: Waiting requests; -1 unless the answering router is the
            holder.
    """

    shard: str
    holder: str
    epoch: int
    permits: int = -1
    queued: int = -1


class ServerStatus(msgspec.Struct, frozen=True):
    """One backend server as the holder of its shard sees it.

    Attributes:
        limit: Most requests that it may run at once now.
        limit_warm: Most requests that it may run at once after its warm-up.
        running: Outstanding permits for it.
        usable: False while it drains or its availability zone is taken out.
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
        counter: Virtual service counter: the cost charged to the workspace,
            divided by its share, in the service's cost unit.
    """

    workspace: str
    shard: str
    queued: int
    running: int
    counter: float


class Status(msgspec.Struct, frozen=True):
    """The fleet as one router sees it.

    Attributes:
        generation: Generation of the configuration in force; 0 for none.
        serving: Whether the router may start new work.
        reason: Why it may not; empty while serving.
    """

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
        share: Configured share of the workspace.
        share_of_backlogged: Its share as a fraction, 0 to 1, of the shares
            of all workspaces with waiting requests; 0 if it has none.
        counter: Its virtual service counter.
        least_counter: Least counter among workspaces with waiting requests.
        reasons: Lines of text for the operator, most important first.
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
    """Answer to an explain call: one explanation for each shard held here."""

    node: str
    explanations: tuple[Explanation, ...]


class RequestTrace(msgspec.Struct, frozen=True):
    """One request that is in progress on this router, or ended recently."""

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
