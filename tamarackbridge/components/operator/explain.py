"""Explains to operators why a workspace gets the service it gets."""

from collections.abc import Iterable

from tamarackbridge.components.dispatch import shard
from tamarackbridge.components.operator import messages
from tamarackbridge.components.records import models


def explain(
    workspace: models.Workspace,
    dispatcher: shard.ShardDispatcher,
    snapshot: models.Snapshot,
    now: float,
) -> messages.Explanation:
    """Explains the service of a workspace on one shard held here."""
    counters = dispatcher.order.counters
    waiting = {item.ask.workspace for item in dispatcher.order}
    total_share = sum(_share(snapshot, name) for name in waiting)
    lowest_counter = min(
        (counters.value(name) for name in waiting), default=0.0
    )
    share = workspace.share
    fraction = share / total_share if workspace.name in waiting else 0.0
    return messages.Explanation(
        workspace=workspace.name,
        shard=dispatcher.shard,
        share=share,
        share_of_backlogged=fraction,
        queued=dispatcher.order.count(workspace.name),
        running=dispatcher.permits.count_workspace(workspace.name),
        counter=counters.value(workspace.name),
        least_counter=lowest_counter,
        reasons=tuple(_reasons(workspace, dispatcher, snapshot, now)),
    )


def _share(snapshot: models.Snapshot, name: str) -> float:
    workspace = snapshot.workspaces.get(name)
    return workspace.share if workspace else 1.0


def _reasons(
    workspace: models.Workspace,
    dispatcher: shard.ShardDispatcher,
    snapshot: models.Snapshot,
    now: float,
) -> Iterable[str]:
    queued = dispatcher.order.count(workspace.name)
    if not queued:
        yield "nothing waits; its next request is served at once or in turn"
    if queued >= workspace.max_queued:
        yield (
            f"its queue is full ({queued} of {workspace.max_queued}): new"
            " requests are refused"
        )
    running = dispatcher.permits.count_workspace(workspace.name)
    if running >= workspace.max_running:
        yield (
            f"it runs as many requests at once as its record allows"
            f" ({running} of {workspace.max_running})"
        )
    elif queued:
        yield from _order_reasons(workspace, dispatcher)
    yield from _server_reasons(dispatcher, snapshot, now)


def _order_reasons(
    workspace: models.Workspace, dispatcher: shard.ShardDispatcher
) -> Iterable[str]:
    counters = dispatcher.order.counters
    own_counter = counters.value(workspace.name)
    waiting = {item.ask.workspace for item in dispatcher.order}
    first = [name for name in waiting if counters.value(name) < own_counter]
    if not first:
        yield "it is the least served workspace that waits: it is next"
        return
    yield (
        f"{len(first)} of {len(waiting)} waiting workspaces got less service"
        f" for their share and go first: {', '.join(sorted(first)[:5])}"
    )


def _server_reasons(
    dispatcher: shard.ShardDispatcher, snapshot: models.Snapshot, now: float
) -> Iterable[str]:
    limits = dispatcher.limits(now)
    servers = snapshot.shard_servers(dispatcher.shard)
    usable = [srv for srv in servers if snapshot.is_usable(srv)]
    unusable = sorted(
        {srv.name for srv in servers} - {srv.name for srv in usable}
    )
    if unusable:
        yield f"drained or in a zone taken out: {', '.join(unusable)}"
    below_warm = [
        f"{srv.name} {limits.get(srv.name, 0)} of {srv.limit_warm}"
        for srv in usable
        if limits.get(srv.name, 0) < srv.limit_warm
    ]
    if below_warm:
        yield f"below their warm limit: {', '.join(below_warm)}"
    running = sum(dispatcher.permits.count_server(srv.name) for srv in usable)
    total_limit = sum(limits.get(srv.name, 0) for srv in usable)
    if running >= total_limit:
        yield f"every server is at its limit ({running} of {total_limit})"
