"""What a router tells, and what it makes of what it hears."""

import asyncio
import math

from tamarackbridge.components.admission import shares
from tamarackbridge.components.fleet import messages, peers
from tamarackbridge.components.placement import ledger, parts
from tests.components.fleet import rig
from tests.components.knowledge import builders

REPORT = messages.Report(
    messages.Way.ACROSS,
    work=(messages.ServerWork("s1", 3, 9_000, 12_000),),
    held=(messages.Held("s1", (11,)),),
    use=(messages.WorkspaceUse("w", 100, 60, 80),),
    routers=(messages.ZoneRouters("z2", ("r2",)),),
)


def test_what_is_heard_is_in_the_view() -> None:
    router = rig.Router()
    router.hear("r2", REPORT)
    assert router.work.at("s1", 100.0, 0.0).unread == 9_000
    assert router.sharing.others_use() == {"w": shares.Usage(100.0, 60.0, 80.0)}
    assert router.sharing.routers() == ("r1", "r2")


def test_late_message_counts_from_its_sending() -> None:
    router = rig.Router()
    router.hear("r2", REPORT, age_s=0.125)
    assert router.work.at("s1", 100.0, 40_000.0).unread == 4_000


def test_first_message_of_unknown_age_is_taken() -> None:
    router = rig.Router()
    router.hear("r2", REPORT, age_s=math.inf)
    assert router.requests_at("s1") == 3


def test_silent_router_has_no_work_but_counts_for_budgets() -> None:
    router = rig.Router()
    router.hear("r2", REPORT)
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.settle(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING
    assert router.sharing.others_use() == {}
    assert router.sharing.routers() == ("r1", "r2")
    router.clock.now += peers.REMEMBERED_S
    assert router.sharing.routers() == ("r1",)


def test_work_without_use_is_forgotten_too() -> None:
    router = rig.Router()
    router.hear("r2", messages.Report(messages.Way.ACROSS, work=REPORT.work))
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.settle(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING


def test_gone_routers_are_dropped() -> None:
    router = rig.Router()
    router.hear("r2", REPORT)
    router.clock.now += peers.GONE_S + 1
    assert router.sharing.view.peers.drop_gone(router.clock.now) == ("r2",)
    assert router.sharing.view.peers.addresses == ()


def test_router_that_nobody_listed_is_told_from_then_on() -> None:
    router = rig.Router()
    router.hear("r9", REPORT)
    router.sharing._share()
    assert "r9" in router.wire.reports()
    assert "r9" in router.wire.addresses


def test_part_in_use_is_told_once_until_it_grows_old() -> None:
    held = parts.HeldParts()
    assert held.note("s1", 7, 100.0)
    assert not held.note("s1", 7, 101.0)
    assert held.note("s1", 7, 101.0 + parts.RETELL_S + 0.1)


async def _async_until_posted(router: rig.Router, count: int) -> None:
    for _ in range(2000):
        if len(router.wire.posted) >= count:
            return
        await asyncio.sleep(0.005)
    raise AssertionError("nothing was told")


async def test_listed_routers_and_seeds_are_told() -> None:
    router = rig.Router({"r1": "z1", "r2": "z2"}, seeds=("r1", "r3"))
    await router.sharing.on_start()
    await _async_until_posted(router, 2)
    await router.sharing.on_stop()
    assert router.wire.reports().keys() == {"r2", "r3"}


async def test_seeds_are_enough_while_the_store_is_away() -> None:
    router = rig.Router(None, seeds=("r3",))
    router.fresh.append(("s1", 7))
    await router.sharing.on_start()
    await _async_until_posted(router, 1)
    await router.sharing.on_stop()
    to, msg = router.wire.posted[0]
    assert to == "r3"
    assert isinstance(msg, messages.Report)
    assert msg.held == (messages.Held("s1", (7,)),)


def test_bounds_of_the_fleet_are_not_about_one_router() -> None:
    assert builders.BOUNDS.retry_window_s < peers.REMEMBERED_S


def test_hub_passes_on_soon_only_what_changes_an_engines_reading() -> None:
    """Sixteen routers that report four times a second are no news."""
    router = rig.Router()
    dirty = router.sharing._dirty

    def is_passed_on(unread: int) -> bool:
        dirty.clear()
        work = (messages.ServerWork("s1", 3, unread, 12_000),)
        router.hear("r2", messages.Report(messages.Way.UP, work=work))
        return dirty.is_set()

    assert is_passed_on(9_000)
    assert not is_passed_on(9_000)
    assert not is_passed_on(8_800)
    assert is_passed_on(8_000)
    dirty.clear()
    router.hear("r2", messages.Report(messages.Way.UP))
    assert dirty.is_set()


def test_leaving_server_is_told_at_once_with_its_age() -> None:
    router = rig.Router()
    router.hear("r2", REPORT)
    router.notices.note_leaving(builders.server("s1"), router.clock.now)
    router.clock.now += 0.25
    router.sharing._share()
    told = router.wire.reports()["r2"].leaving
    assert [(it.server, it.address) for it in told] == [("s1", "127.0.0.1:1")]
    assert 250 <= told[0].age_ms <= 252


def test_closed_server_is_told_as_busy_and_closes_nothing_elsewhere() -> None:
    teller, listener = rig.Router(), rig.Router(address="r2")
    server = builders.server("s1")
    teller.hear("r2", REPORT)
    teller.notices.close(server, 3.0, teller.clock.now)
    teller.sharing._share()
    listener.hear("r1", teller.wire.reports()["r2"])
    now = listener.clock.now
    assert listener.notices.is_busy("s1", now + 2.9)
    assert not listener.notices.is_busy("s1", now + 3.1)
    assert listener.notices.closed_s(server, now) == 0.0
