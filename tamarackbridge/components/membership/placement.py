"""Which member should hold which shard."""

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
    """Returns node and zone of the members that may be given a shard.

    Members of a zone that is out are left aside while any other is usable.
    """
    found = {m.node: m.zone for m in members if m.node in usable}
    inside = {
        node: zone
        for node, zone in found.items()
        if zone not in snapshot.zones or not snapshot.zones[zone].out
    }
    return inside or found


def bound(shards: Collection[str], nodes: Collection[str]) -> int:
    """Returns how many shards one member holds at most."""
    return math.ceil(len(shards) / max(len(nodes), 1))


def place(
    shards: Iterable[str], nodes: dict[str, str], snapshot: models.Snapshot
) -> dict[str, str]:
    """Returns the preferred holder of each shard.

    Rendezvous hashing with bounded load (Mirrokni et al., 2018): a member that
    has its share is passed over. Members in a zone of the shard's usable
    backend servers go first.
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
    zones = {srv.zone for srv in servers if snapshot.is_usable(srv)}
    open_nodes = [node for node in nodes if load[node] < most]
    near = [node for node in open_nodes if nodes[node] in zones]
    return rendezvous.owner(shard, near or open_nodes)
