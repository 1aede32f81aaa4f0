"""Tests of the pending prefill tokens that the ledger computes."""

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


def _report(tokens: int, at: float) -> ledger.WorkReport:
    return ledger.WorkReport({"i": ledger.Work(1, tokens, tokens)}, at)


def _tokens_per_s(server: str) -> float:
    del server
    return READ_PER_S


def test_backlog_of_one_router_decays_at_the_whole_speed() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    assert work.at("i", 10.0, READ_PER_S).pending_prefill_tokens == 9_000
    assert work.at("i", 10.05, READ_PER_S).pending_prefill_tokens == 4_500
    assert work.at("i", 11.0, READ_PER_S).pending_prefill_tokens == 0


@pytest.mark.parametrize("routers", [2, 10, 50])
def test_backlog_of_many_routers_shares_the_speed(
    routers: int,
) -> None:
    work = ledger.ReservationLedger()
    for number in range(routers):
        work.apply_report(f"r{number}", _report(9_000, at=10.0))
    left = routers * 9_000 - 0.05 * READ_PER_S
    assert work.at(
        "i", 10.05, READ_PER_S
    ).pending_prefill_tokens == pytest.approx(left, abs=routers)
    remaining = [
        work.remaining_work(f"r{number}", 10.05, _tokens_per_s)[
            "i"
        ].pending_prefill_tokens
        for number in range(routers)
    ]
    assert sum(remaining) == pytest.approx(left, abs=routers)


def test_own_backlog_shares_the_speed_with_reported_backlog() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    reservation = ledger.Reservation(
        SERVER, "w", prefill_tokens=9_000, memory=9_000, sent_at=10.0
    )
    work.begin(reservation)
    found = work.at("i", 10.05, READ_PER_S)
    assert found.pending_prefill_tokens == 9_000 + 9_000 - 2_250
    assert found.requests == 2


def test_new_attempt_leaves_the_decay_until_now() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    before = work.at("i", 10.09, READ_PER_S).pending_prefill_tokens
    reservation = ledger.Reservation(SERVER, "w", 12_000, 12_000, sent_at=10.09)
    work.begin(reservation)
    assert (
        work.at("i", 10.09, READ_PER_S).pending_prefill_tokens
        == before + 12_000
    )


def test_new_report_leaves_the_decay_until_now() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    before = work.at("i", 10.09, READ_PER_S).pending_prefill_tokens
    work.apply_report("r2", _report(12_000, at=10.09))
    assert (
        work.at("i", 10.09, READ_PER_S).pending_prefill_tokens
        == before + 12_000
    )


def test_end_of_an_attempt_leaves_the_decay_until_now() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    reservation = ledger.Reservation(SERVER, "w", 9_000, 9_000, sent_at=10.0)
    work.begin(reservation)
    before = work.at("i", 10.1, READ_PER_S).pending_prefill_tokens
    work.end(reservation, 10.1)
    assert (
        work.at("i", 10.1, READ_PER_S).pending_prefill_tokens == before - 9_000
    )


def test_dropping_a_router_leaves_the_decay_until_now() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    work.apply_report("r2", _report(9_000, at=10.0))
    left = work.at("i", 10.1, READ_PER_S).pending_prefill_tokens
    work.remove_router("r2", 10.1)
    assert work.at("i", 10.1, READ_PER_S).pending_prefill_tokens == left // 2


def test_late_report_decays_by_its_share_since_it_was_made() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.1))
    work.apply_report("r2", _report(9_000, at=10.05))
    assert (
        work.at("i", 10.1, READ_PER_S).pending_prefill_tokens == 18_000 - 2_250
    )


@pytest.mark.parametrize("seed", range(20))
def test_total_is_the_sum_over_all_routers(seed: int) -> None:
    """Plays random reports, attempts and router losses.

    The total is kept as a running sum, which must not drift from the work of
    the single routers.
    """
    rng = random.Random(seed)
    work = ledger.ReservationLedger()
    routers = [f"r{number}" for number in range(6)]
    reservations: list[ledger.Reservation] = []
    now = 10.0
    for _ in range(2_000):
        now += rng.expovariate(100.0)
        step = rng.random()
        if step < 0.5:
            tokens = rng.choice([0, rng.randrange(20_000)])
            work.apply_report(rng.choice(routers), _report(tokens, now - 0.002))
        elif step < 0.6:
            work.apply_report(rng.choice(routers), ledger.WorkReport({}, now))
        elif step < 0.65:
            work.remove_router(rng.choice(routers), now)
        elif step < 0.8 or not reservations:
            tokens = rng.randrange(9_000)
            reservations.append(
                ledger.Reservation(SERVER, "w", tokens, tokens, now)
            )
            work.begin(reservations[-1])
        elif step < 0.9:
            work.record_prefill(rng.choice(reservations), now)
        else:
            work.end(reservations.pop(rng.randrange(len(reservations))), now)
        at = now + rng.choice([0.0, 0.02])
        found = work.at("i", at, READ_PER_S)
        remaining = [
            work.remaining_work(router, at, _tokens_per_s).get("i")
            for router in routers
        ]
        shares = [share for share in remaining if share is not None]
        shares.append(work.own().get("i", ledger.NO_WORK))
        assert found.requests == sum(share.requests for share in shares)
        assert found.memory == sum(share.memory for share in shares)
        assert found.pending_prefill_tokens == pytest.approx(
            sum(share.pending_prefill_tokens for share in shares),
            abs=len(shares),
        )
    assert work.own().get("i", ledger.NO_WORK).requests == len(reservations)


def test_account_of_a_server_without_work_is_dropped() -> None:
    work = ledger.ReservationLedger()
    work.apply_report("r1", _report(9_000, at=10.0))
    reservation = ledger.Reservation(SERVER, "w", 9_000, 9_000, sent_at=10.0)
    work.begin(reservation)
    work.end(reservation, 10.1)
    work.end(reservation, 10.1)
    work.apply_report("r1", ledger.WorkReport({}, 10.2))
    assert work.at("i", 10.2, READ_PER_S) == ledger.NO_WORK
    assert work.remaining_work("r1", 10.2, _tokens_per_s) == {}
    assert work.own() == {}
