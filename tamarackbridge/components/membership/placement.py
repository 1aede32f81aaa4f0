"""Placement of shards on members."""

from collections.abc import Collection, Iterable
import math

from tamarackbridge.components.membership import messages
from tamarackbridge.components.records import models
from tamarackbridge.helpers import rendezvous


def candidates(
    members: Iterable[messages.Member],
    usable: frozenset[str],
    snapshot: models.Snapshot,
) -> dict[str, str]:
    """Returns the zone by node of the members that may hold a shard.

    Members in a zone that is out are excluded unless there are no others.
    """
    found = {m.node: m.zone for m in members if m.node in usable}
    inside = {
        node: zone
        for node, zone in found.items()
        if zone not in snapshot.zones or not snapshot.zones[zone].out
    }
    return inside or found


def bound(shards: Collection[str], nodes: Collection[str]) -> int:
    """Returns the maximum number of shards of one member."""
    return math.ceil(len(shards) / max(len(nodes), 1))


def place(
    shards: Iterable[str], nodes: dict[str, str], snapshot: models.Snapshot
) -> dict[str, str]:
    """Returns the preferred holder of each shard.

    Rendezvous hashing with bounded loads (Mirrokni et al., 2018): a member at
    its maximum is skipped. Members in a zone that has usable backend servers
    of the shard take precedence.
    """
    names = sorted(shards)
    if not nodes:
        return {}
    most = bound(names, nodes)
    load = dict.fromkeys(nodes, 0)
    chosen: dict[str, str] = {}
    for shard in names:
        chosen[shard] = _pick(shard, nodes, load, most, snapshot)
        load[chosen[shard]] += 1
    return chosen


def _pick(
    shard: str,
    nodes: dict[str, str],
    load: dict[str, int],
    most: int,
    snapshot: models.Snapshot,
) -> str:
    servers = snapshot.shard_servers(shard)
    zones = {srv.zone for srv in servers if snapshot.usable(srv)}
    open_nodes = [node for node in nodes if load[node] < most]
    near = [node for node in open_nodes if nodes[node] in zones]
    return rendezvous.owner(shard, near or open_nodes)
