"""Why a workspace gets the service it gets."""

from collections.abc import Iterable

from tamarackbridge.components.dispatch import shard
from tamarackbridge.components.operator import messages
from tamarackbridge.components.records import models


def explain(
    workspace: models.Workspace,
    held: shard.ShardDispatcher,
    snapshot: models.Snapshot,
    now: float,
) -> messages.Explanation:
    """Explains the service of a workspace on one shard."""
    counters = held.order.counters
    waiting = {item.ask.workspace for item in held.order}
    shares = sum(_share(snapshot, name) for name in waiting)
    least = min((counters.value(name) for name in waiting), default=0.0)
    share = workspace.share
    part = share / shares if workspace.name in waiting else 0.0
    return messages.Explanation(
        workspace=workspace.name,
        shard=held.shard,
        share=share,
        share_of_backlogged=part,
        queued=held.order.count(workspace.name),
        running=held.permits.count_workspace(workspace.name),
        counter=counters.value(workspace.name),
        least_counter=least,
        reasons=tuple(_reasons(workspace, held, snapshot, now)),
    )


def _share(snapshot: models.Snapshot, name: str) -> float:
    found = snapshot.workspaces.get(name)
    return found.share if found else 1.0


def _reasons(
    workspace: models.Workspace,
    held: shard.ShardDispatcher,
    snapshot: models.Snapshot,
    now: float,
) -> Iterable[str]:
    queued = held.order.count(workspace.name)
    if not queued:
        yield "nothing waits; its next request is served at once or in turn"
    if queued >= workspace.max_queued:
        yield (
            f"its queue is full ({queued} of {workspace.max_queued}): new"
            " requests are refused"
        )
    running = held.permits.count_workspace(workspace.name)
    if running >= workspace.max_running:
        yield (
            f"it runs as many requests at once as its record allows"
            f" ({running} of {workspace.max_running})"
        )
    elif queued:
        yield from _order_reasons(workspace, held)
    yield from _server_reasons(held, snapshot, now)


def _order_reasons(
    workspace: models.Workspace, held: shard.ShardDispatcher
) -> Iterable[str]:
    counters = held.order.counters
    own = counters.value(workspace.name)
    waiting = {item.ask.workspace for item in held.order}
    ahead = [name for name in waiting if counters.value(name) < own]
    if not ahead:
        yield "it is the least served workspace that waits: it is next"
        return
    yield (
        f"{len(ahead)} of {len(waiting)} waiting workspaces got less service"
        f" for their share and go first: {', '.join(sorted(ahead)[:5])}"
    )


def _server_reasons(
    held: shard.ShardDispatcher, snapshot: models.Snapshot, now: float
) -> Iterable[str]:
    limits = held.limits(now)
    servers = snapshot.shard_servers(held.shard)
    usable = [srv for srv in servers if snapshot.is_usable(srv)]
    away = sorted({srv.name for srv in servers} - {srv.name for srv in usable})
    if away:
        yield f"drained or in a zone taken out: {', '.join(away)}"
    low = [
        f"{srv.name} {limits.get(srv.name, 0)} of {srv.limit_warm}"
        for srv in usable
        if limits.get(srv.name, 0) < srv.limit_warm
    ]
    if low:
        yield f"below their warm limit: {', '.join(low)}"
    running = sum(held.permits.count_server(srv.name) for srv in usable)
    total = sum(limits.get(srv.name, 0) for srv in usable)
    if running >= total:
        yield f"every server is at its limit ({running} of {total})"
