"""Who tells whom, in small fleets and large ones."""

import pytest

from tamarackbridge.components.fleet import groups

ZONES = ("z1", "z2", "z3")


def fleet(count: int) -> dict[str, str]:
    return {f"r{it}": ZONES[it % len(ZONES)] for it in range(count)}


def test_small_fleet_has_hubs_only() -> None:
    zones = fleet(groups.MESH_ROUTERS)
    place = groups.place("r3", zones)
    assert place.hub is None
    assert place.hubs == zones.keys() - {"r3"}


@pytest.mark.parametrize("count", [17, 58, 73, 380])
def test_every_router_is_one_hop_from_a_hub_of_its_zone(count: int) -> None:
    zones = fleet(count)
    places = {router: groups.place(router, zones) for router in zones}
    hubs = {router for router, it in places.items() if it.hub is None}
    assert all(places[hub].hubs == hubs - {hub} for hub in hubs)
    for router, place in places.items():
        if place.hub is not None:
            assert place.hub in hubs
            assert zones[place.hub] == zones[router]


@pytest.mark.parametrize("count", [17, 58, 73, 380])
def test_no_router_has_more_links_than_twice_a_group(count: int) -> None:
    zones = fleet(count)
    places = {router: groups.place(router, zones) for router in zones}
    for router, place in places.items():
        reporting = sum(it.hub == router for it in places.values())
        assert reporting <= 2.5 * groups.GROUP_ROUTERS
        assert len(place.hubs) <= max(
            groups.MESH_ROUTERS, count / groups.GROUP_ROUTERS + len(ZONES)
        )


def test_lost_hub_is_replaced_and_the_others_stay() -> None:
    zones = fleet(73)
    hubs = {it for it in zones if groups.place(it, zones).hub is None}
    lost = min(hubs)
    left = {it: zone for it, zone in zones.items() if it != lost}
    now = {it for it in left if groups.place(it, left).hub is None}
    assert hubs - {lost} <= now
    assert len(now) >= len(hubs) - 1


def test_reports_never_go_around_whoever_is_taken_for_live() -> None:
    """Routers report to those before them in one order of the zone."""
    zones = fleet(73)
    routers = sorted(zones)
    hub_of: dict[str, str | None] = {}
    for number, router in enumerate(routers):
        missing = set(routers[number % 7 :: 7]) - {router}
        seen = {it: zone for it, zone in zones.items() if it not in missing}
        hub_of[router] = groups.place(router, seen).hub
    for router in routers:
        passed = {router}
        hub = hub_of[router]
        while hub is not None:
            assert hub not in passed
            passed.add(hub)
            hub = hub_of[hub]


def test_small_fleet_reads_for_itself() -> None:
    zones = fleet(groups.MESH_ROUTERS)
    assert not any(groups.place(it, zones).readers for it in zones)


@pytest.mark.parametrize("count", [17, 58, 380])
def test_all_hubs_agree_on_the_readers(count: int) -> None:
    zones = fleet(count)
    places = {router: groups.place(router, zones) for router in zones}
    hubs = {router for router, it in places.items() if it.hub is None}
    readers = {it for it in hubs if not places[it].readers}
    assert len(readers) == min(groups.READERS, len(hubs))
    assert len({zones[it] for it in readers}) == len(readers)
    assert all(places[it].readers == readers for it in hubs - readers)
