"""What routers believe that servers have to read."""

import random

import pytest

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import ledger

READ_PER_S = 90_000.0
SERVER = knowledge.BackendServer(
    name="i",
    service="m",
    address="10.0.0.1:1",
    zone="z",
    slots=32,
    draining=False,
    cold_s=0.0,
    started_ms=0,
)


def _told(unread: int, at: float) -> ledger.Told:
    return ledger.Told({"i": ledger.Work(1, unread, unread)}, at)


def _speed(server: str) -> float:
    del server
    return READ_PER_S


def test_unread_tokens_of_one_router_shrink_by_the_whole_speed() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    assert work.at("i", 10.0, READ_PER_S).unread == 9_000
    assert work.at("i", 10.05, READ_PER_S).unread == 4_500
    assert work.at("i", 11.0, READ_PER_S).unread == 0


@pytest.mark.parametrize("routers", [2, 10, 50])
def test_backlog_told_by_many_routers_is_not_read_at_once(
    routers: int,
) -> None:
    work = ledger.Ledger()
    for number in range(routers):
        work.hear(f"r{number}", _told(9_000, at=10.0))
    left = routers * 9_000 - 0.05 * READ_PER_S
    assert work.at("i", 10.05, READ_PER_S).unread == pytest.approx(
        left, abs=routers
    )
    told = [
        work.told_by(f"r{number}", 10.05, _speed)["i"].unread
        for number in range(routers)
    ]
    assert sum(told) == pytest.approx(left, abs=routers)


def test_prompts_of_this_router_are_ahead_of_others_too() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    ticket = ledger.Ticket(SERVER, "w", unread=9_000, memory=9_000, sent=10.0)
    work.begin(ticket)
    found = work.at("i", 10.05, READ_PER_S)
    assert found.unread == 9_000 + 9_000 - 2_250
    assert found.requests == 2


def test_prompt_that_is_sent_now_makes_nothing_unread_again() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    before = work.at("i", 10.09, READ_PER_S).unread
    ticket = ledger.Ticket(SERVER, "w", 12_000, 12_000, sent=10.09)
    work.begin(ticket)
    assert work.at("i", 10.09, READ_PER_S).unread == before + 12_000


def test_prompt_that_is_told_now_makes_nothing_unread_again() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    before = work.at("i", 10.09, READ_PER_S).unread
    work.hear("r2", _told(12_000, at=10.09))
    assert work.at("i", 10.09, READ_PER_S).unread == before + 12_000


def test_prompt_that_fails_now_leaves_what_was_read_before() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    ticket = ledger.Ticket(SERVER, "w", 9_000, 9_000, sent=10.0)
    work.begin(ticket)
    before = work.at("i", 10.1, READ_PER_S).unread
    work.end(ticket, 10.1)
    assert work.at("i", 10.1, READ_PER_S).unread == before - 9_000


def test_router_that_is_forgotten_now_leaves_what_was_read_before() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    work.hear("r2", _told(9_000, at=10.0))
    left = work.at("i", 10.1, READ_PER_S).unread
    work.forget("r2", 10.1)
    assert work.at("i", 10.1, READ_PER_S).unread == left // 2


def test_report_that_was_under_way_shrinks_by_its_part() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.1))
    work.hear("r2", _told(9_000, at=10.05))
    assert work.at("i", 10.1, READ_PER_S).unread == 18_000 - 2_250


@pytest.mark.parametrize("seed", range(20))
def test_total_is_the_sum_of_its_parts(seed: int) -> None:
    rng = random.Random(seed)
    work = ledger.Ledger()
    routers = [f"r{number}" for number in range(6)]
    tickets: list[ledger.Ticket] = []
    now = 10.0
    for _ in range(2_000):
        now += rng.expovariate(100.0)
        step = rng.random()
        if step < 0.5:
            unread = rng.choice([0, rng.randrange(20_000)])
            work.hear(rng.choice(routers), _told(unread, now - 0.002))
        elif step < 0.6:
            work.hear(rng.choice(routers), ledger.Told({}, now))
        elif step < 0.65:
            work.forget(rng.choice(routers), now)
        elif step < 0.8 or not tickets:
            unread = rng.randrange(9_000)
            tickets.append(ledger.Ticket(SERVER, "w", unread, unread, now))
            work.begin(tickets[-1])
        elif step < 0.9:
            work.read(rng.choice(tickets), now)
        else:
            work.end(tickets.pop(rng.randrange(len(tickets))), now)
        at = now + rng.choice([0.0, 0.02])
        found = work.at("i", at, READ_PER_S)
        told = [work.told_by(it, at, _speed).get("i") for it in routers]
        parts = [it for it in told if it is not None]
        parts.append(work.own().get("i", ledger.NOTHING))
        assert found.requests == sum(it.requests for it in parts)
        assert found.memory == sum(it.memory for it in parts)
        assert found.unread == pytest.approx(
            sum(it.unread for it in parts), abs=len(parts)
        )
    assert work.own().get("i", ledger.NOTHING).requests == len(tickets)


def test_server_without_work_is_dropped() -> None:
    work = ledger.Ledger()
    work.hear("r1", _told(9_000, at=10.0))
    ticket = ledger.Ticket(SERVER, "w", 9_000, 9_000, sent=10.0)
    work.begin(ticket)
    work.end(ticket, 10.1)
    work.end(ticket, 10.1)
    work.hear("r1", ledger.Told({}, 10.2))
    assert work.at("i", 10.2, READ_PER_S) == ledger.NOTHING
    assert work.told_by("r1", 10.2, _speed) == {}
    assert work.own() == {}
