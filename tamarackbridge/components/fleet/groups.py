"""Assigns each router its role in the exchange of reports.

In a small fleet every router reports to every other several times a second.
In a large fleet this would take more processor time than the requests. There,
a few routers of each availability zone, the hubs, collect the reports of their
groups, exchange them among each other, and send the sum back. All routers
determine the same hubs by rendezvous hashing.
"""

from collections.abc import Collection, Mapping, Sequence
import dataclasses
import itertools
import math

from tamarackbridge.helpers import rendezvous

MESH_ROUTERS = 16
"""In a fleet up to this size every router is a hub. Each then receives up to
25 messages a second from every other router, which takes a twentieth of a core
in all."""

GROUP_ROUTERS = 16
"""Routers of a zone for each of its hubs, so that a hub has no more links than
a router of the largest fleet without groups."""

STORE_READERS = 3
"""Hubs that read the store for the whole fleet: one is left if a zone is lost
and another router fails."""

_HUB_ORDER = "hub"


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """A router's role in the exchange of reports.

    Attributes:
        hub: The hub that it reports to; None if it is one itself.
        hubs: The other hubs, if it is one.
        store_readers: For a hub that does not read the store itself, the hubs
            that relay the store's data to it; empty otherwise.
    """

    hub: str | None
    hubs: frozenset[str]
    store_readers: frozenset[str] = frozenset()


def assign_role(
    router: str, zones: Mapping[str, str], unresponsive: Collection[str] = ()
) -> Role:
    """Returns the role of a router.

    A router reports only to routers before it in one fixed order, so that
    reports never loop, even if routers disagree on which of them are live.

    Args:
        router: The router.
        zones: Zones of the live routers, including this one.
        unresponsive: Routers that may not be hubs, because they did not
            answer when they were relied on.
    """
    if len(zones) <= MESH_ROUTERS:
        return Role(None, frozenset(zones) - {router, *unresponsive})
    hubs = {
        zone: _hubs(zone, zones, unresponsive) for zone in set(zones.values())
    }
    local_hubs = hubs[zones[router]]
    if router not in local_hubs:
        return Role(rendezvous.rank(router, local_hubs)[0], frozenset())
    all_hubs = frozenset(hub for found in hubs.values() for hub in found)
    store_readers = _store_readers(hubs)
    if router in store_readers:
        store_readers = frozenset()
    return Role(None, all_hubs - {router}, store_readers)


def first_readers(routers: Collection[str]) -> Sequence[str]:
    """Returns the routers of a small fleet that read the store at its start."""
    return rendezvous.rank(_HUB_ORDER, routers)[:STORE_READERS]


def _store_readers(hubs: Mapping[str, Sequence[str]]) -> frozenset[str]:
    """Returns the hubs that read the store, from as many zones as possible."""
    ranks = itertools.zip_longest(*(hubs[zone] for zone in sorted(hubs)))
    ordered = (hub for rank in ranks for hub in rank if hub is not None)
    return frozenset(itertools.islice(ordered, STORE_READERS))


def _hubs(
    zone: str, zones: Mapping[str, str], unresponsive: Collection[str]
) -> list[str]:
    """Returns the hubs of an availability zone."""
    found = [router for router, its_zone in zones.items() if its_zone == zone]
    count = math.ceil(len(found) / GROUP_ROUTERS)
    eligible = [router for router in found if router not in unresponsive]
    return rendezvous.rank(_HUB_ORDER, eligible)[:count]
