"""What routers believe that servers have to read."""

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
