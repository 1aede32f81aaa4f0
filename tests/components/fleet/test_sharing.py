"""Tests what a router reports, and the effects of reports it receives."""

import asyncio
import math

from tamarackbridge.components.admission import shares
from tamarackbridge.components.fleet import messages, peers
from tamarackbridge.components.placement import ledger, prefix_cache
from tests.components.fleet import rig
from tests.components.knowledge import builders

REPORT = messages.Report(
    messages.Direction.ACROSS,
    work=(messages.ServerWork("s1", 3, 9_000, 12_000),),
    held_blocks=(messages.Held("s1", (11,)),),
    use=(messages.WorkspaceUse("w", 100, 60, 80),),
    routers=(messages.ZoneRouters("z2", ("r2",)),),
)


def test_received_report_is_in_the_view() -> None:
    router = rig.Router()
    router.receive("r2", REPORT)
    assert router.work.at("s1", 100.0, 0.0).pending_prefill_tokens == 9_000
    assert router.sharing.peers_use() == {"w": shares.Usage(100.0, 60.0, 80.0)}
    assert router.sharing.routers() == ("r1", "r2")


def test_late_report_holds_for_the_time_it_was_sent() -> None:
    router = rig.Router()
    router.receive("r2", REPORT, age_s=0.125)
    assert router.work.at("s1", 100.0, 40_000.0).pending_prefill_tokens == 4_000


def test_first_report_of_unknown_age_is_merged() -> None:
    router = rig.Router()
    router.receive("r2", REPORT, age_s=math.inf)
    assert router.requests_at("s1") == 3


def test_silent_router_has_no_work_but_counts_in_budgets() -> None:
    router = rig.Router()
    router.receive("r2", REPORT)
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.refresh_role(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NO_WORK
    assert router.sharing.peers_use() == {}
    assert router.sharing.routers() == ("r1", "r2")
    router.clock.now += peers.BUDGET_S
    assert router.sharing.routers() == ("r1",)


def test_routers_that_are_known_by_name_count_in_budgets_at_first() -> None:
    """Guards against cold servers that all new routers send to at once.

    After all routers were killed, each knows the others from the directory
    alone, and took the whole rate of a cold server.
    """
    router = rig.Router()
    router.sharing.view.peers.add("r2", "z2", router.clock.now)
    assert router.sharing.routers() == ("r1", "r2")
    router.clock.now += peers.NEW_S + 1.0
    assert router.sharing.routers() == ("r1",)


def test_work_of_a_router_that_reported_no_use_is_dropped_too() -> None:
    router = rig.Router()
    router.receive(
        "r2", messages.Report(messages.Direction.ACROSS, work=REPORT.work)
    )
    router.clock.now += peers.SILENT_S + 0.1
    router.sharing.view.refresh_role(router.clock.now)
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NO_WORK


def test_gone_routers_are_dropped() -> None:
    router = rig.Router()
    router.receive("r2", REPORT)
    router.clock.now += peers.GONE_S + 1
    assert router.sharing.view.peers.drop_gone(router.clock.now) == ("r2",)
    assert router.sharing.view.peers.addresses == ()


def test_unlisted_router_gets_reports_once_it_sent_one() -> None:
    router = rig.Router()
    router.receive("r9", REPORT)
    router.sharing._share()
    assert "r9" in router.links.reports()
    assert "r9" in router.links.addresses


def test_used_block_is_reported_again_only_after_the_interval() -> None:
    held = prefix_cache.PrefixCacheIndex()
    assert held.record_use("s1", 7, 100.0)
    assert not held.record_use("s1", 7, 101.0)
    assert held.record_use("s1", 7, 101.0 + prefix_cache.REANNOUNCE_S + 0.1)


async def _async_until_posted(router: rig.Router, count: int) -> None:
    for _ in range(2000):
        if len(router.links.posted) >= count:
            return
        await asyncio.sleep(0.005)
    raise AssertionError(
        f"expected {count} messages, got {len(router.links.posted)}"
    )


async def test_listed_routers_and_seeds_get_reports() -> None:
    router = rig.Router({"r1": "z1", "r2": "z2"}, seeds=("r1", "r3"))
    await router.sharing.on_start()
    await _async_until_posted(router, 2)
    await router.sharing.on_stop()
    assert router.links.reports().keys() == {"r2", "r3"}


async def test_seeds_suffice_if_the_directory_fails() -> None:
    router = rig.Router(None, seeds=("r3",))
    router.new_blocks.append(("s1", 7))
    await router.sharing.on_start()
    await _async_until_posted(router, 1)
    await router.sharing.on_stop()
    to, msg = router.links.posted[0]
    assert to == "r3"
    assert isinstance(msg, messages.Report)
    assert msg.held_blocks == (messages.Held("s1", (7,)),)


def test_router_counts_in_budgets_for_longer_than_the_retry_window() -> None:
    assert builders.BOUNDS.retry_window_s < peers.BUDGET_S


def test_hub_reports_soon_only_if_pending_prefill_changes() -> None:
    """A hub must not send a report for each one that it receives.

    Sixteen routers report four times a second each, mostly without a change
    that matters to others.
    """
    router = rig.Router()
    report_requested = router.sharing._dirty

    def requests_report(pending_tokens: int) -> bool:
        report_requested.clear()
        work = (messages.ServerWork("s1", 3, pending_tokens, 12_000),)
        router.receive("r2", messages.Report(messages.Direction.UP, work=work))
        return report_requested.is_set()

    assert requests_report(9_000)
    assert not requests_report(9_000)
    assert not requests_report(8_800)
    assert requests_report(8_000)
    report_requested.clear()
    router.receive("r2", messages.Report(messages.Direction.UP))
    assert report_requested.is_set()


def test_announced_shutdown_is_reported_at_once_with_its_age() -> None:
    router = rig.Router()
    router.receive("r2", REPORT)
    router.notices.record_shutdown(builders.server("s1"), router.clock.now)
    router.clock.now += 0.25
    router.sharing._share()
    leaving = router.links.reports()["r2"].leaving
    assert [(notice.server, notice.address) for notice in leaving] == [
        ("s1", "127.0.0.1:1")
    ]
    assert 250 <= leaving[0].age_ms <= 252


def test_closed_server_is_reported_as_busy_and_stays_open_elsewhere() -> None:
    sender, receiver = rig.Router(), rig.Router(address="r2")
    server = builders.server("s1")
    sender.receive("r2", REPORT)
    sender.notices.close(server, 3.0, sender.clock.now)
    sender.sharing._share()
    receiver.receive("r1", sender.links.reports()["r2"])
    now = receiver.clock.now
    assert receiver.notices.is_rejecting("s1", now + 2.9)
    assert not receiver.notices.is_rejecting("s1", now + 3.1)
    assert receiver.notices.closed_s(server, now) == 0.0
