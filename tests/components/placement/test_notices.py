"""What servers say of taking more work, and how long it holds."""

import dataclasses

import pytest

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import choose, cold, notices
from tests.components.knowledge import builders
from tests.components.placement import test_choose


def _life(started_ms: int, name: str = "s1") -> knowledge.BackendServer:
    return dataclasses.replace(builders.server(name), started_ms=started_ms)


def _told(started_ms: int, at: float) -> notices.Leaving:
    life = _life(started_ms)
    return notices.Leaving(life.name, life.address, started_ms, at)


def test_leaving_holds_for_one_life_and_each_of_its_registrations() -> None:
    found = notices.Notices()
    assert found.note_leaving(_life(5), 1.0)
    assert not found.note_leaving(_life(5), 2.0)
    assert found.is_leaving(_life(5))
    found.note_staying(_life(5), 3.0)
    assert found.is_leaving(_life(5))
    assert not found.is_leaving(_life(6))
    assert not found.is_leaving(_life(5, "s2"))


def test_registration_that_lapses_does_not_end_a_notice() -> None:
    """The store is away, drops the server's entry and has it again later."""
    found = notices.Notices()
    found.note_leaving(_life(5), 1.0)
    found.forget("s1")
    assert found.is_leaving(_life(5))
    assert found.leaving(2.0) == []


def test_without_a_time_of_start_a_notice_ends_with_the_registration() -> None:
    found = notices.Notices()
    found.note_leaving(_life(0), 1.0)
    found.forget("s1")
    assert not found.is_leaving(_life(0))


def test_late_notice_of_a_former_life_is_no_notice_of_the_next() -> None:
    found = notices.Notices()
    found.note_leaving(_life(6), 1.0)
    assert not found.note_leaving(_life(5), 2.0)
    assert found.is_leaving(_life(6))


def test_others_word_counts_less_than_what_was_read_since() -> None:
    found = notices.Notices()
    found.note_staying(_life(5), 2.0)
    assert not found.hear_leaving(_told(5, 1.5))
    assert not found.is_leaving(_life(5))
    assert found.hear_leaving(_told(5, 2.5))
    assert found.is_leaving(_life(5))


def test_word_of_another_life_is_taken_whatever_was_read_of_this_one() -> None:
    found = notices.Notices()
    found.note_staying(_life(5), 2.0)
    assert found.hear_leaving(_told(6, 1.5))
    assert not found.is_leaving(_life(5))
    assert found.is_leaving(_life(6))


def test_notices_are_bounded() -> None:
    found = notices.Notices()
    for number in range(notices.MAX_SERVERS + 10):
        found.note_leaving(_life(1, f"s{number}"), 1.0)
        found.note_staying(_life(1, f"s{number}"), 1.0)
    assert not found.is_leaving(_life(1, "s0"))
    assert found.is_leaving(_life(1, f"s{notices.MAX_SERVERS + 9}"))
    assert len(found.leaving(1.0)) == notices.MAX_SERVERS


def test_notice_is_told_while_it_can_matter() -> None:
    found = notices.Notices()
    found.note_leaving(_life(5), 1.0)
    assert [it.server for it in found.leaving(2.0)] == ["s1"]
    assert found.leaving(1.0 + notices.ANNOUNCE_S + 0.1) == []


@pytest.mark.parametrize(
    ("asked_s", "held_s"),
    [(0.25, 0.25), (3.0, 3.0), (1e9, notices.MAX_CLOSED_S)],
)
def test_closed_for_as_long_as_was_asked_within_bounds(
    asked_s: float, held_s: float
) -> None:
    found = notices.Notices()
    assert found.close(_life(5), asked_s, 10.0) == pytest.approx(held_s)
    assert found.closed_s(_life(5), 10.1) == pytest.approx(held_s - 0.1)
    assert found.closed_s(_life(6), 10.1) == 0.0
    assert found.closed_s(_life(5), 10.0 + held_s) == 0.0


def test_shorter_advice_does_not_open_a_server_sooner() -> None:
    found = notices.Notices()
    found.close(_life(5), 3.0, 10.0)
    found.close(_life(5), 0.5, 10.2)
    assert found.closed_s(_life(5), 12.9) > 0.0


def test_closed_server_is_left_out_until_it_opens() -> None:
    world = test_choose.World()
    job = test_choose.make_job()
    home = world.best(job).known.server
    world.notices.close(home, 2.0, 1.0)
    names = {
        it.known.server.name
        for it in world.chooser.options(job, test_choose.ROUTERS, 2.9)
    }
    assert home.name not in names
    assert world.best(job, 3.0).known.server == home


def test_server_opens_again_at_the_rate_that_it_bears_cold() -> None:
    """Forty requests waited for the moment at which the server opens."""
    world = test_choose.World()
    service = builders.model_service(cold_per_s=16.0)
    for name in ("s1", "s2", "s3", "s4"):
        world.known.unregister(name, 0.0, 0.0)
    only = world.known.servers["s0"].server
    world.notices.close(only, 1.0, 1.0)
    sent = []
    for step in range(40):
        now = 2.0 + step * 0.02
        job = test_choose.make_job(number=step, now=now, service=service)
        found = world.chooser.options(job, test_choose.ROUTERS, now)
        if found:
            world.chooser.note_sent(job, found[0].known, ("r1",), now)
            sent.append(now)
    assert sum(now < 2.01 for now in sent) == 1
    assert 0.8 * 16.0 * 0.8 <= len(sent) <= 16.0 + 1.0
    later = 2.0 + notices.REOPEN_S
    job = test_choose.make_job(now=later, service=service)
    for _ in range(5):
        found = world.chooser.options(job, test_choose.ROUTERS, later)
        world.chooser.note_sent(job, found[0].known, ("r1",), later)


def test_cold_server_that_reopens_is_still_shared_by_its_few_routers() -> None:
    limiter = cold.ColdLimiter("r9")
    routers = tuple(f"r{number}" for number in range(40))
    owners = cold._selected_routers("s1", routers)
    assert limiter.may_send("s1", 16.0, routers, 1.0) == ("r9" in owners)


def test_server_that_turns_others_away_is_used_after_the_others() -> None:
    world = test_choose.World()
    job = test_choose.make_job()
    home = world.best(job).known.server.name
    before = world.best(job).cost
    world.notices.hear_busy(home, 5.0)
    after = next(
        it
        for it in world.chooser.options(job, test_choose.ROUTERS, 1.0)
        if it.known.server.name == home
    )
    assert after.cost == pytest.approx(before + choose.FULL_ENGINE_TOKENS)
    later = test_choose.make_job(now=5.1)
    assert world.best(later, 5.1).cost == pytest.approx(before)
