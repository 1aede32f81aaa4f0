"""The roster: the list of the fleet's members, an object in the store.

A change takes two steps, and the second is written only once the first is
accepted: first `members` is the new list and `before` the old one, then both
are the new list. A majority must be one of both lists, so any two majorities
of successive rosters share a member (joint consensus, as in Raft).
"""

from collections.abc import Callable, Iterable
import dataclasses
import functools
import math

import msgspec

from tamarackbridge.components.membership import const, messages
from tamarackbridge.components.object_api import messages as store


class RosterValue(msgspec.Struct, frozen=True):
    """Stored form of the roster."""

    members: tuple[messages.Member, ...]
    before: tuple[messages.Member, ...]


@dataclasses.dataclass(frozen=True)
class Roster:
    """The roster at one store version.

    Attributes:
        version: Store version of the object; 0 for no roster.
        members: The members.
        before: The members before the change in progress; the same as
            `members` if there is none.
    """

    version: int
    members: tuple[messages.Member, ...]
    before: tuple[messages.Member, ...]

    @functools.cached_property
    def nodes(self) -> frozenset[str]:
        """Nodes of `members`."""
        return frozenset(member.node for member in self.members)

    @functools.cached_property
    def former_nodes(self) -> frozenset[str]:
        """Nodes of `before`."""
        return frozenset(member.node for member in self.before)

    @functools.cached_property
    def groups(self) -> tuple[tuple[str, ...], ...]:
        """Nodes of both lists, split into groups that exchange heartbeats.

        A group lies within one zone unless a single group holds all nodes.
        """
        zone_by_node = {m.node: m.zone for m in (*self.before, *self.members)}
        if len(zone_by_node) <= const.GROUP_SIZE:
            return (tuple(sorted(zone_by_node)),)
        zones: dict[str, list[str]] = {}
        for node in sorted(zone_by_node):
            zones.setdefault(zone_by_node[node], []).append(node)
        return tuple(
            group
            for zone in sorted(zones)
            for group in _split_into_groups(zones[zone])
        )

    @functools.cached_property
    def group_of(self) -> dict[str, int]:
        """Index in `groups` by node."""
        return {
            node: index
            for index, group in enumerate(self.groups)
            for node in group
        }

    @property
    def settled(self) -> bool:
        """Whether no change is in progress."""
        return self.nodes == self.former_nodes

    def quorum_value(self, value: Callable[[str], float]) -> float:
        """Returns the highest value that a majority of each list reaches.

        Args:
            value: Returns the value of a node.
        """
        reached = [
            _majority_value(nodes, value)
            for nodes in (self.nodes, self.former_nodes)
        ]
        return min(reached)

    @property
    def peers_to_establish(self) -> int:
        """Number of peers whose state a restarted router needs.

        Any set of this many established members includes one of every
        majority that may have accepted a version with the help of the router
        before its restart.
        """
        sizes = (len(self.nodes), len(self.former_nodes))
        return max(size - (size // 2 + 1) + 1 for size in sizes)


EMPTY = Roster(0, (), ())


def decode(obj: store.StoredObject) -> Roster | None:
    """Decodes a stored roster, None if it is invalid."""
    try:
        value = msgspec.json.decode(obj.value, type=RosterValue)
    except msgspec.MsgspecError:
        return None
    return Roster(obj.version, value.members, value.before)


def encode(
    members: Iterable[messages.Member], before: Iterable[messages.Member]
) -> bytes:
    """Encodes a roster."""
    return msgspec.json.encode(RosterValue(tuple(members), tuple(before)))


def _split_into_groups(nodes: list[str]) -> list[tuple[str, ...]]:
    count = math.ceil(len(nodes) / const.GROUP_SIZE)
    size = math.ceil(len(nodes) / count)
    return [
        tuple(nodes[start : start + size])
        for start in range(0, len(nodes), size)
    ]


def _majority_value(
    nodes: frozenset[str], value: Callable[[str], float]
) -> float:
    if not nodes:
        return -math.inf
    values = sorted(map(value, nodes), reverse=True)
    return values[len(nodes) // 2]
