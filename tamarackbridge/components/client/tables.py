"""Prints the replies of routers as text tables."""

from collections.abc import Iterable, Sequence
import json
from typing import Any

import rich.console
import rich.table
import rich.text

from tamarackbridge.components.operator import messages

_UNKNOWN = -1
"""Count in a reply that the router does not know; printed as a dash."""


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Prints one table; text in cells is not interpreted as markup."""
    print(title)
    table = rich.table.Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(rich.text.Text(_cell(value)) for value in row))
    if not table.row_count:
        print("none")
        return
    rich.console.Console(markup=False).print(table)


def print_records(kind: str, reply: messages.RecordsReply) -> None:
    """Prints records of one kind."""
    docs: Sequence[dict[str, Any]] = reply.records
    columns = list(dict.fromkeys(key for doc in docs for key in doc))
    shown = [key for key in columns if key not in ("kind", "key_hashes")]
    rows = [[doc.get(key, "") for key in shown] for doc in docs]
    source = "" if reply.from_store else ", as in force on the router asked"
    print_table(f"{kind}, generation {reply.generation}{source}", shown, rows)


def print_changes(reply: messages.ChangeReply) -> None:
    """Prints what a change does and which routers have not confirmed it."""
    rows: list[tuple[object, ...]] = []
    for change in reply.changes:
        name = f"{change.kind}/{change.name}"
        if change.action in ("create", "delete", "unchanged"):
            rows.append((change.action, name, "", "", ""))
            continue
        for item in change.fields:
            rows.append(
                (change.action, name, item.key, item.before, item.after)
            )
    columns = ("action", "record", "key", "before", "after")
    print_table("dry run" if reply.dry_run else "changes", columns, rows)
    if reply.dry_run:
        print("nothing was written")
        return
    if all(change.action == "unchanged" for change in reply.changes):
        print(f"nothing to change, generation {reply.generation} is accepted")
    else:
        print(f"accepted in generation {reply.generation}")
    if reply.lagging:
        print(f"not yet confirmed by {', '.join(reply.lagging)}")


def print_status(statuses: Sequence[messages.Status]) -> None:
    """Prints the merged state of the fleet from all routers that answered."""
    print_table(
        "routers that answered",
        ("node", "zone", "generation", "serving", "reason"),
        [
            (item.node, item.zone, item.generation, item.serving, item.reason)
            for item in statuses
        ],
    )
    merged = merge_statuses(statuses)
    print_table(
        "members",
        ("node", "zone", "live", "confirmed"),
        [(m.node, m.zone, m.live, m.confirmed) for m in merged.members],
    )
    print_table(
        "shards",
        ("shard", "holder", "epoch", "permits", "queued"),
        [
            (s.shard, s.holder, s.epoch, s.permits, s.queued)
            for s in merged.shards
        ],
    )
    print_table(
        "servers",
        ("server", "shard", "zone", "limit", "warm", "running", "usable"),
        [
            (
                s.server,
                s.shard,
                s.zone,
                s.limit,
                s.limit_warm,
                s.running,
                s.usable,
            )
            for s in merged.servers
        ],
    )
    print_table(
        "workspaces",
        ("workspace", "shard", "queued", "running", "counter"),
        [
            (w.workspace, w.shard, w.queued, w.running, f"{w.counter:.0f}")
            for w in merged.workspaces
        ],
    )


def merge_statuses(statuses: Sequence[messages.Status]) -> messages.Status:
    """Merges the statuses from several routers into one.

    A member is taken from the reply with the highest generation, a shard from
    the reply with the highest epoch and, among these, from the shard's holder.
    """
    members: dict[str, messages.MemberStatus] = {}
    shards: dict[str, messages.ShardStatus] = {}
    for status in sorted(statuses, key=_generation):
        members.update({member.node: member for member in status.members})
        for shard in status.shards:
            known = shards.get(shard.shard)
            if known is None or _precedence(shard) > _precedence(known):
                shards[shard.shard] = shard
    return messages.Status(
        node="",
        zone="",
        generation=max((status.generation for status in statuses), default=0),
        serving=any(status.serving for status in statuses),
        reason="",
        members=tuple(members[key] for key in sorted(members)),
        shards=tuple(shards[key] for key in sorted(shards)),
        servers=tuple(row for status in statuses for row in status.servers),
        workspaces=tuple(
            row for status in statuses for row in status.workspaces
        ),
    )


def _generation(item: messages.Status) -> int:
    return item.generation


def _precedence(shard: messages.ShardStatus) -> tuple[int, int]:
    return shard.epoch, shard.permits


def print_explanations(explanations: Sequence[messages.Explanation]) -> None:
    """Prints the reasons for the service that a workspace gets."""
    print_table(
        "explanation",
        (
            "shard",
            "share",
            "of backlogged",
            "queued",
            "running",
            "counter",
            "least",
        ),
        [
            (
                item.shard,
                item.share,
                f"{item.share_of_backlogged:.1%}",
                item.queued,
                item.running,
                f"{item.counter:.0f}",
                f"{item.least_counter:.0f}",
            )
            for item in explanations
        ],
    )
    for item in explanations:
        for line in item.reasons:
            print(f"{item.shard}: {line}")


def print_requests(traces: Sequence[messages.RequestTrace]) -> None:
    """Prints the requests found and their events."""
    print_table(
        "requests",
        ("request", "node", "workspace", "route", "state", "server", "age s"),
        [
            (
                item.request_id,
                item.node,
                item.workspace,
                item.route,
                item.state,
                item.server,
                f"{item.age_s:.1f}",
            )
            for item in traces
        ],
    )
    for item in traces:
        for line in item.events:
            print(f"{item.node}: {line}")


def _cell(value: object) -> str:
    if value is None or value == _UNKNOWN:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list | tuple):
        return json.dumps(value)
    return str(value)
