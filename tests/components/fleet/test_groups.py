"""Tests the roles of routers in small and large fleets."""

import pytest

from tamarackbridge.components.fleet import groups

ZONES = ("z1", "z2", "z3")


def fleet(count: int) -> dict[str, str]:
    return {f"r{n}": ZONES[n % len(ZONES)] for n in range(count)}


def test_every_router_of_a_small_fleet_is_a_hub() -> None:
    zones = fleet(groups.MESH_ROUTERS)
    role = groups.assign_role("r3", zones)
    assert role.hub is None
    assert role.hubs == zones.keys() - {"r3"}


@pytest.mark.parametrize("count", [17, 58, 73, 380])
def test_every_router_is_one_hop_from_a_hub_of_its_zone(count: int) -> None:
    zones = fleet(count)
    roles = {router: groups.assign_role(router, zones) for router in zones}
    hubs = {router for router, it in roles.items() if it.hub is None}
    assert all(roles[hub].hubs == hubs - {hub} for hub in hubs)
    for router, role in roles.items():
        if role.hub is not None:
            assert role.hub in hubs
            assert zones[role.hub] == zones[router]


@pytest.mark.parametrize("count", [17, 58, 73, 380])
def test_no_router_has_more_links_than_twice_a_group(count: int) -> None:
    zones = fleet(count)
    roles = {router: groups.assign_role(router, zones) for router in zones}
    for router, role in roles.items():
        reporting = sum(it.hub == router for it in roles.values())
        assert reporting <= 2.5 * groups.GROUP_ROUTERS
        assert len(role.hubs) <= max(
            groups.MESH_ROUTERS, count / groups.GROUP_ROUTERS + len(ZONES)
        )


def test_lost_hub_is_replaced_and_other_hubs_remain() -> None:
    zones = fleet(73)
    hubs = {it for it in zones if groups.assign_role(it, zones).hub is None}
    lost = min(hubs)
    left = {it: zone for it, zone in zones.items() if it != lost}
    now = {it for it in left if groups.assign_role(it, left).hub is None}
    assert hubs - {lost} <= now
    assert len(now) >= len(hubs) - 1


def test_reports_never_loop_if_routers_disagree_on_the_live_ones() -> None:
    """A loop of reports would count the same work again and again.

    Each router takes other routers for lost; it still reports only to a router
    before it in the fixed order of its zone.
    """
    zones = fleet(73)
    routers = sorted(zones)
    hub_of: dict[str, str | None] = {}
    for number, router in enumerate(routers):
        missing = set(routers[number % 7 :: 7]) - {router}
        live = {it: zone for it, zone in zones.items() if it not in missing}
        hub_of[router] = groups.assign_role(router, live).hub
    for router in routers:
        visited = {router}
        hub = hub_of[router]
        while hub is not None:
            assert hub not in visited
            visited.add(hub)
            hub = hub_of[hub]


def test_every_router_of_a_small_fleet_reads_the_store() -> None:
    zones = fleet(groups.MESH_ROUTERS)
    assert not any(groups.assign_role(it, zones).store_readers for it in zones)


@pytest.mark.parametrize("count", [17, 58, 380])
def test_all_hubs_agree_on_the_store_readers(count: int) -> None:
    zones = fleet(count)
    roles = {router: groups.assign_role(router, zones) for router in zones}
    hubs = {router for router, it in roles.items() if it.hub is None}
    store_readers = {it for it in hubs if not roles[it].store_readers}
    assert len(store_readers) == min(groups.STORE_READERS, len(hubs))
    assert len({zones[it] for it in store_readers}) == len(store_readers)
    assert all(
        roles[it].store_readers == store_readers for it in hubs - store_readers
    )
