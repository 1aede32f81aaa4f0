"""Tests of server notices: announced shutdowns and closures."""

import dataclasses

import pytest

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import notices, server_states, warmup
from tests.components.knowledge import builders
from tests.components.placement import test_selector


def _instance(started_ms: int, name: str = "s1") -> knowledge.BackendServer:
    return dataclasses.replace(builders.server(name), started_ms=started_ms)


def _notice(started_ms: int, at: float) -> notices.ShutdownNotice:
    server = _instance(started_ms)
    return notices.ShutdownNotice(server.name, server.address, started_ms, at)


def test_shutdown_notice_holds_for_one_instance_until_it_ends() -> None:
    received = notices.ServerNotices()
    assert received.record_shutdown(_instance(5), 1.0)
    assert not received.record_shutdown(_instance(5), 2.0)
    assert received.is_shutting_down(_instance(5))
    received.record_no_shutdown(_instance(5), 3.0)
    assert received.is_shutting_down(_instance(5))
    assert not received.is_shutting_down(_instance(6))
    assert not received.is_shutting_down(_instance(5, "s2"))


def test_lapsed_registration_does_not_end_a_notice() -> None:
    """The store loses the server's entry in an outage and regains it later.

    Without its notice, the server would then get requests again.
    """
    received = notices.ServerNotices()
    received.record_shutdown(_instance(5), 1.0)
    received.forget("s1")
    assert received.is_shutting_down(_instance(5))
    assert received.shutdown_notices(2.0) == []


def test_notice_without_start_time_ends_with_the_registration() -> None:
    received = notices.ServerNotices()
    received.record_shutdown(_instance(0), 1.0)
    received.forget("s1")
    assert not received.is_shutting_down(_instance(0))


def test_late_notice_of_an_earlier_instance_is_ignored() -> None:
    received = notices.ServerNotices()
    received.record_shutdown(_instance(6), 1.0)
    assert not received.record_shutdown(_instance(5), 2.0)
    assert received.is_shutting_down(_instance(6))


def test_older_notice_of_another_router_is_ignored() -> None:
    received = notices.ServerNotices()
    received.record_no_shutdown(_instance(5), 2.0)
    assert not received.apply_shutdown_notice(_notice(5, 1.5))
    assert not received.is_shutting_down(_instance(5))
    assert received.apply_shutdown_notice(_notice(5, 2.5))
    assert received.is_shutting_down(_instance(5))


def test_notice_of_another_instance_is_recorded() -> None:
    received = notices.ServerNotices()
    received.record_no_shutdown(_instance(5), 2.0)
    assert received.apply_shutdown_notice(_notice(6, 1.5))
    assert not received.is_shutting_down(_instance(5))
    assert received.is_shutting_down(_instance(6))


def test_notices_are_bounded() -> None:
    received = notices.ServerNotices()
    for number in range(notices.MAX_SERVERS + 10):
        received.record_shutdown(_instance(1, f"s{number}"), 1.0)
        received.record_no_shutdown(_instance(1, f"s{number}"), 1.0)
    assert not received.is_shutting_down(_instance(1, "s0"))
    assert received.is_shutting_down(
        _instance(1, f"s{notices.MAX_SERVERS + 9}")
    )
    assert len(received.shutdown_notices(1.0)) == notices.MAX_SERVERS


def test_notice_is_announced_for_a_limited_time() -> None:
    received = notices.ServerNotices()
    received.record_shutdown(_instance(5), 1.0)
    assert [notice.server for notice in received.shutdown_notices(2.0)] == [
        "s1"
    ]
    assert received.shutdown_notices(1.0 + notices.ANNOUNCE_S + 0.1) == []


@pytest.mark.parametrize(
    ("asked_s", "held_s"),
    [(0.25, 0.25), (3.0, 3.0), (1e9, notices.MAX_CLOSED_S)],
)
def test_server_is_closed_for_as_long_as_it_asked_within_bounds(
    asked_s: float, held_s: float
) -> None:
    received = notices.ServerNotices()
    assert received.close(_instance(5), asked_s, 10.0) == pytest.approx(held_s)
    assert received.closed_s(_instance(5), 10.1) == pytest.approx(held_s - 0.1)
    assert received.closed_s(_instance(6), 10.1) == 0.0
    assert received.closed_s(_instance(5), 10.0 + held_s) == 0.0


def test_shorter_closure_does_not_open_a_server_sooner() -> None:
    received = notices.ServerNotices()
    received.close(_instance(5), 3.0, 10.0)
    received.close(_instance(5), 0.5, 10.2)
    assert received.closed_s(_instance(5), 12.9) > 0.0


def test_closed_server_is_left_out_until_it_opens() -> None:
    world = test_selector.World()
    job = test_selector.make_job()
    home = world.best(job).registered.server
    world.notices.close(home, 2.0, 1.0)
    names = {
        option.registered.server.name
        for option in world.server_selector.options(
            job, test_selector.ROUTERS, 2.9
        )
    }
    assert home.name not in names
    assert world.best(job, 3.0).registered.server == home


def test_server_reopens_at_its_warmup_rate() -> None:
    """Forty requests wait for the server to reopen.

    Sent all at once, they would overload it again.
    """
    world = test_selector.World()
    service = builders.model_service(cold_per_s=16.0)
    for name in ("s1", "s2", "s3", "s4"):
        world.local_copy.unregister(name, 0.0, 0.0)
    only = world.local_copy.servers["s0"].server
    world.notices.close(only, 1.0, 1.0)
    sent = []
    for step in range(40):
        now = 2.0 + step * 0.02
        job = test_selector.make_job(number=step, now=now, service=service)
        options = world.server_selector.options(job, test_selector.ROUTERS, now)
        if options:
            world.server_selector.states.record_sent(
                job, options[0].registered, ("r1",), now
            )
            sent.append(now)
    assert sum(now < 2.01 for now in sent) == 1
    assert 0.8 * 16.0 * 0.8 <= len(sent) <= 16.0 + 1.0
    later = 2.0 + notices.REOPEN_S
    job = test_selector.make_job(now=later, service=service)
    for _ in range(5):
        options = world.server_selector.options(
            job, test_selector.ROUTERS, later
        )
        world.server_selector.states.record_sent(
            job, options[0].registered, ("r1",), later
        )


def test_warming_server_gets_requests_of_its_selected_routers_only() -> None:
    limiter = warmup.WarmupLimiter("r9")
    routers = tuple(f"r{number}" for number in range(40))
    selected = warmup._selected_routers("s1", routers)
    assert limiter.may_send("s1", 16.0, routers, 1.0) == ("r9" in selected)


def test_server_that_rejects_other_routers_costs_more() -> None:
    world = test_selector.World()
    job = test_selector.make_job()
    home = world.best(job).registered.server.name
    before = world.best(job).cost
    world.notices.apply_rejection(home, 5.0)
    after = next(
        option
        for option in world.server_selector.options(
            job, test_selector.ROUTERS, 1.0
        )
        if option.registered.server.name == home
    )
    assert after.cost == pytest.approx(
        before + server_states.FULL_ENGINE_TOKENS
    )
    later = test_selector.make_job(now=5.1)
    assert world.best(later, 5.1).cost == pytest.approx(before)
