"""Who tells whom in a fleet of any size.

Load pattern: a small fleet, in which each router can hear all others several
times a second, and a large one, in which that would take more of a processor
than the requests. There a few routers of each availability zone, the hubs,
gather the reports of their groups, exchange them among each other, and pass
the sum back. All routers find the same hubs by rendezvous hashing.
"""

from collections.abc import Collection, Mapping, Sequence
import dataclasses
import itertools
import math

from tamarackbridge.helpers import rendezvous

MESH_ROUTERS = 16
"""A fleet up to this size has hubs only: each hears 25 messages a second of
every other, a twentieth of a core in all."""

GROUP_ROUTERS = 16
"""Routers for each hub, so that a hub has no more links than a router of the
largest fleet without groups."""

READERS = 3
"""Hubs that read the store for the whole fleet: one is left when a zone is lost
and another router fails."""

_HUB_ORDER = "hub"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A router's place among the others.

    Attributes:
        hub: The hub that it reports to; None if it is one itself.
        hubs: The other hubs, if it is one.
        readers: The hubs that read the store in its place; empty if it reads
            for itself.
    """

    hub: str | None
    hubs: frozenset[str]
    readers: frozenset[str] = frozenset()


def place(
    router: str, zones: Mapping[str, str], silent: Collection[str] = ()
) -> Place:
    """Returns the place of a router.

    A router reports only to routers before it in one fixed order, so that
    reports never go around in a circle, even if routers disagree on who lives.

    Args:
        router: The router.
        zones: The live routers, the router among them, with their zones.
        silent: Routers that are not heard when they are relied on.
    """
    if len(zones) <= MESH_ROUTERS:
        return Place(None, frozenset(zones) - {router, *silent})
    hubs = {zone: _hubs(zone, zones, silent) for zone in set(zones.values())}
    near = hubs[zones[router]]
    if router not in near:
        return Place(rendezvous.rank(router, near)[0], frozenset())
    every = frozenset(hub for found in hubs.values() for hub in found)
    readers = _readers(hubs)
    if router in readers:
        readers = frozenset()
    return Place(None, every - {router}, readers)


def _readers(hubs: Mapping[str, Sequence[str]]) -> frozenset[str]:
    """Returns the hubs that read the store, of as many zones as possible."""
    turns = itertools.zip_longest(*(hubs[zone] for zone in sorted(hubs)))
    ordered = (hub for turn in turns for hub in turn if hub is not None)
    return frozenset(itertools.islice(ordered, READERS))


def _hubs(
    zone: str, zones: Mapping[str, str], silent: Collection[str]
) -> list[str]:
    """Returns the hubs of an availability zone."""
    found = [router for router, it in zones.items() if it == zone]
    wanted = math.ceil(len(found) / GROUP_ROUTERS)
    heard = [router for router in found if router not in silent]
    return rendezvous.rank(_HUB_ORDER, heard)[:wanted]
