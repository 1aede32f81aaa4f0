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
    usable_members = {m.node: m.zone for m in members if m.node in usable}
    preferred_members = {
        node: zone
        for node, zone in usable_members.items()
        if zone not in snapshot.zones or not snapshot.zones[zone].out
    }
    return preferred_members or usable_members


def max_shards_per_member(
    shards: Collection[str], nodes: Collection[str]
) -> int:
    """Returns the maximum number of shards of one member."""
    return math.ceil(len(shards) / max(len(nodes), 1))


def preferred_holders(
    shards: Iterable[str],
    zone_by_node: dict[str, str],
    snapshot: models.Snapshot,
) -> dict[str, str]:
    """Returns the preferred holder of each shard.

    Rendezvous hashing with bounded loads (Mirrokni et al., 2018): a member at
    its maximum is skipped. Members in a zone that has usable backend servers
    of the shard take precedence.
    """
    names = sorted(shards)
    if not zone_by_node:
        return {}
    max_shards = max_shards_per_member(names, zone_by_node)
    load = dict.fromkeys(zone_by_node, 0)
    holders: dict[str, str] = {}
    for shard in names:
        holders[shard] = _pick(shard, zone_by_node, load, max_shards, snapshot)
        load[holders[shard]] += 1
    return holders


def _pick(
    shard: str,
    zone_by_node: dict[str, str],
    load: dict[str, int],
    max_shards: int,
    snapshot: models.Snapshot,
) -> str:
    servers = snapshot.shard_servers(shard)
    zones = {srv.zone for srv in servers if snapshot.is_usable(srv)}
    free_nodes = [node for node in zone_by_node if load[node] < max_shards]
    free_in_zones = [node for node in free_nodes if zone_by_node[node] in zones]
    return rendezvous.owner(shard, free_in_zones or free_nodes)
