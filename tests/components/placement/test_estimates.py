"""Ledger, held parts, estimates, breakers and cold servers."""

import pytest

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.placement import (
    cold,
    estimate,
    health,
    ledger,
    parts,
)
from tests.components.knowledge import builders

PROMPT = (
    models.PromptBlock("a", 500),
    models.PromptBlock("b", 4_000),
    models.PromptBlock("c", 100),
)


def _ticket(unread: int, began: float | None = None) -> ledger.Ticket:
    return ledger.Ticket(builders.server("s1"), "w", unread, 1_000, 0.0, began)


def test_ledger_adds_own_and_told_work() -> None:
    book = ledger.Ledger()
    book.begin(_ticket(3_000))
    book.begin(_ticket(2_000, began=1.0))
    told = {"s1": ledger.Work(4, 9_000, 8_000)}
    book.hear("r2", ledger.Told(told, 10.0))
    found = book.at("s1", 10.05, 90_000.0)
    assert found.requests == 6
    assert found.memory == 10_000
    # Of the 4,500 tokens read since then, three quarters were r2's.
    assert 3_000 + 5_525 <= found.unread <= 3_000 + 5_725


def test_ledger_forgets_a_router() -> None:
    book = ledger.Ledger()
    told = {"s1": ledger.Work(4, 9_000, 8_000)}
    book.hear("r2", ledger.Told(told, 10.0))
    book.forget("r2", 10.0)
    assert book.at("s1", 10.0, 1.0) == ledger.NOTHING


def test_ledger_ends_each_sending_once() -> None:
    book = ledger.Ledger()
    ticket = _ticket(10)
    book.begin(ticket)
    book.end(ticket, 1.0)
    book.end(ticket, 1.0)
    assert book.own() == {}


def test_part_counts_as_held_only_after_all_before_it() -> None:
    held = parts.HeldParts()
    numbers = [number for number, _ in parts.chains(PROMPT)]
    held.note("s1", numbers[1], 0.0)
    assert held.unread("s1", parts.chains(PROMPT), 1.0) == 4_600
    held.note("s1", numbers[0], 0.0)
    assert held.unread("s1", parts.chains(PROMPT), 1.0) == 100


def test_same_part_after_another_is_another_part() -> None:
    moved = (PROMPT[1], PROMPT[0], PROMPT[2])
    numbers = {number for number, _ in parts.chains(PROMPT)}
    assert numbers.isdisjoint(number for number, _ in parts.chains(moved))


def test_held_parts_age() -> None:
    held = parts.HeldParts()
    for number, _ in parts.chains(PROMPT):
        held.note("s1", number, 0.0)
    assert held.unread("s1", parts.chains(PROMPT), parts.HELD_S) == 0
    assert held.unread("s1", parts.chains(PROMPT), parts.HELD_S + 1) == 4_600


def test_held_parts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parts, "MAX_PARTS", 3)
    held = parts.HeldParts()
    for number in range(10):
        held.note("s1", number, float(number))
    assert len(held._held["s1"]) == 3


def test_estimator_learns_a_slow_engine() -> None:
    estimator = estimate.Estimator()
    usual_s = estimator.first_event_s("s1", 9_000, 9_000)
    for _ in range(50):
        estimator.observe("s1", 18_000, 3 * usual_s)
    learned_s = estimator.first_event_s("s1", 9_000, 9_000)
    assert 2.8 * usual_s < learned_s < 3.1 * usual_s
    assert estimator.first_event_s("s2", 9_000, 9_000) == usual_s


def test_long_pauses_are_forgotten_without_new_ones() -> None:
    estimator = estimate.Estimator()
    for step in range(100):
        estimator.observe_pause("s1", 0.6, step * 0.01)
    assert estimator.pause_s("s1", 1.0) > 0.5
    assert estimator.pause_s("s1", 9.0) < 0.05


@pytest.mark.parametrize(
    "outcome",
    [jobs.Outcome.UNREACHABLE, jobs.Outcome.MISDIRECTED],
)
def test_certain_failure_opens_the_breaker_at_once(
    outcome: jobs.Outcome,
) -> None:
    breakers = health.Health()
    breakers.note("s1", outcome, 10.0)
    assert breakers.avoided("s1", 10.1)
    assert not breakers.avoided("s1", 10.0 + health.OPEN_MIN_S)


def test_single_failure_does_not_open_the_breaker() -> None:
    breakers = health.Health()
    breakers.note("s1", jobs.Outcome.LOST, 10.0)
    assert not breakers.avoided("s1", 10.0)


def test_one_failure_in_five_never_opens_the_breaker() -> None:
    breakers = health.Health()
    for step in range(100):
        failed = step % 5 == 0
        outcome = jobs.Outcome.FAILED if failed else jobs.Outcome.SERVED
        breakers.note("s1", outcome, float(step))
        assert not breakers.avoided("s1", float(step))


def test_breaker_of_a_lost_server_stays_open_longer_each_time() -> None:
    breakers = health.Health()
    now, pauses = 0.0, []
    for _ in range(6):
        breakers.note("s1", jobs.Outcome.UNREACHABLE, now)
        began = now
        while breakers.avoided("s1", now):
            now += 0.01
        pauses.append(now - began)
    assert pauses == sorted(pauses)
    assert pauses[-1] <= health.OPEN_MAX_S + 0.02


def test_refusals_and_leaving_callers_say_nothing_of_health() -> None:
    breakers = health.Health()
    for _ in range(20):
        breakers.note("s1", jobs.Outcome.REJECTED, 1.0)
        breakers.note("s1", jobs.Outcome.CANCELLED, 1.0)
    assert not breakers.avoided("s1", 1.0)


@pytest.mark.parametrize("count", [1, 2, 7, 73, 380])
def test_cold_server_bears_what_all_routers_send(count: int) -> None:
    """Every router sends as much as it may, from the same moment on."""
    bounds = builders.BOUNDS
    per_s = 16.0
    routers = [f"r{number}" for number in range(count)]
    limiters = [cold.ColdLimiter(router) for router in routers]
    sent: list[float] = []
    for step in range(150):
        now = step * 0.02
        for limiter in limiters:
            while limiter.may_send("s1", per_s, routers, now):
                limiter.take("s1", per_s, routers, now)
                sent.append(now)
    bound = per_s * bounds.cold_overage + bounds.cold_slack
    for begin in sent:
        assert sum(begin <= at < begin + 1.0 for at in sent) <= bound
    assert len(sent) >= 2 * per_s
