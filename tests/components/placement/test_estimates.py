"""Tests of the ledger, prefix caches, estimates, breakers and warm-up."""

import pytest

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    prefix_cache,
    warmup,
)
from tests.components.knowledge import builders

PROMPT = (
    models.PromptBlock("a", 500),
    models.PromptBlock("b", 4_000),
    models.PromptBlock("c", 100),
)


def _reservation(
    tokens: int, began_at: float | None = None
) -> ledger.Reservation:
    return ledger.Reservation(
        builders.server("s1"), "w", tokens, 1_000, 0.0, began_at
    )


def test_ledger_adds_own_and_reported_work() -> None:
    work = ledger.ReservationLedger()
    work.begin(_reservation(3_000))
    work.begin(_reservation(2_000, began_at=1.0))
    reported = {"s1": ledger.Work(4, 9_000, 8_000)}
    work.apply_report("r2", ledger.WorkReport(reported, 10.0))
    found = work.at("s1", 10.05, 90_000.0)
    assert found.requests == 6
    assert found.memory == 10_000
    # Of the 4,500 tokens prefilled since the report, three quarters are r2's.
    assert 3_000 + 5_525 <= found.pending_prefill_tokens <= 3_000 + 5_725


def test_ledger_drops_the_work_of_a_router() -> None:
    work = ledger.ReservationLedger()
    reported = {"s1": ledger.Work(4, 9_000, 8_000)}
    work.apply_report("r2", ledger.WorkReport(reported, 10.0))
    work.remove_router("r2", 10.0)
    assert work.at("s1", 10.0, 1.0) == ledger.NO_WORK


def test_ledger_ends_each_attempt_once() -> None:
    work = ledger.ReservationLedger()
    reservation = _reservation(10)
    work.begin(reservation)
    work.end(reservation, 1.0)
    work.end(reservation, 1.0)
    assert work.own() == {}


def test_block_counts_as_cached_only_after_all_before_it() -> None:
    cache = prefix_cache.PrefixCacheIndex()
    hashes = [block_hash for block_hash, _ in prefix_cache.hash_blocks(PROMPT)]
    cache.record_use("s1", hashes[1], 0.0)
    assert (
        cache.prefill_tokens("s1", prefix_cache.hash_blocks(PROMPT), 1.0)
        == 4_600
    )
    cache.record_use("s1", hashes[0], 0.0)
    assert (
        cache.prefill_tokens("s1", prefix_cache.hash_blocks(PROMPT), 1.0) == 100
    )


def test_hash_of_a_block_depends_on_the_blocks_before_it() -> None:
    moved = (PROMPT[1], PROMPT[0], PROMPT[2])
    hashes = {block_hash for block_hash, _ in prefix_cache.hash_blocks(PROMPT)}
    assert hashes.isdisjoint(
        block_hash for block_hash, _ in prefix_cache.hash_blocks(moved)
    )


def test_cached_blocks_expire() -> None:
    cache = prefix_cache.PrefixCacheIndex()
    for block_hash, _ in prefix_cache.hash_blocks(PROMPT):
        cache.record_use("s1", block_hash, 0.0)
    assert (
        cache.prefill_tokens(
            "s1", prefix_cache.hash_blocks(PROMPT), prefix_cache.CACHED_S
        )
        == 0
    )
    assert (
        cache.prefill_tokens(
            "s1", prefix_cache.hash_blocks(PROMPT), prefix_cache.CACHED_S + 1
        )
        == 4_600
    )


def test_cached_blocks_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(prefix_cache, "MAX_BLOCKS_PER_SERVER", 3)
    cache = prefix_cache.PrefixCacheIndex()
    for number in range(10):
        cache.record_use("s1", number, float(number))
    assert len(cache._last_used["s1"]) == 3


def test_estimator_learns_a_slow_engine() -> None:
    estimator = estimate.Estimator()
    usual_s = estimator.first_event_s("s1", 9_000, 9_000)
    for _ in range(50):
        estimator.observe_first_event("s1", 18_000, 3 * usual_s, 1.0)
    learned_s = estimator.first_event_s("s1", 9_000, 9_000)
    assert 2.8 * usual_s < learned_s < 3.1 * usual_s
    assert estimator.first_event_s("s2", 9_000, 9_000) == usual_s


def test_average_pause_decays_without_new_ones() -> None:
    estimator = estimate.Estimator()
    for step in range(100):
        estimator.observe_pause("s1", 0.6, step * 0.01)
    assert estimator.pause_s("s1", 1.0) > 0.5
    assert estimator.pause_s("s1", 9.0) < 0.05


@pytest.mark.parametrize(
    "outcome",
    [jobs.Outcome.UNREACHABLE, jobs.Outcome.MISDIRECTED],
)
def test_unreachable_server_opens_the_breaker_at_once(
    outcome: jobs.Outcome,
) -> None:
    breakers = health.CircuitBreakers()
    breakers.record_outcome("s1", outcome, 10.0)
    assert breakers.is_open("s1", 10.1)
    assert not breakers.is_open("s1", 10.0 + health.OPEN_MIN_S)


def test_single_failure_does_not_open_the_breaker() -> None:
    breakers = health.CircuitBreakers()
    breakers.record_outcome("s1", jobs.Outcome.LOST, 10.0)
    assert not breakers.is_open("s1", 10.0)


def test_one_failure_in_five_never_opens_the_breaker() -> None:
    breakers = health.CircuitBreakers()
    for step in range(100):
        failed = step % 5 == 0
        outcome = jobs.Outcome.FAILED if failed else jobs.Outcome.SERVED
        breakers.record_outcome("s1", outcome, float(step))
        assert not breakers.is_open("s1", float(step))


def test_breaker_of_a_lost_server_stays_open_longer_each_time() -> None:
    breakers = health.CircuitBreakers()
    now, open_times_s = 0.0, []
    for _ in range(6):
        breakers.record_outcome("s1", jobs.Outcome.UNREACHABLE, now)
        opened = now
        while breakers.is_open("s1", now):
            now += 0.01
        open_times_s.append(now - opened)
    assert open_times_s == sorted(open_times_s)
    assert open_times_s[-1] <= health.OPEN_MAX_S + 0.02


def test_rejected_and_cancelled_attempts_do_not_open_the_breaker() -> None:
    breakers = health.CircuitBreakers()
    for _ in range(20):
        breakers.record_outcome("s1", jobs.Outcome.REJECTED, 1.0)
        breakers.record_outcome("s1", jobs.Outcome.CANCELLED, 1.0)
    assert not breakers.is_open("s1", 1.0)


@pytest.mark.parametrize("count", [1, 2, 7, 73, 380])
def test_warmup_rate_holds_over_all_routers(count: int) -> None:
    """Every router sends as much as it may, from the same moment on.

    Each router limits only itself; their sum must not exceed the rate of the
    server, nor leave most of it unused.
    """
    bounds = builders.BOUNDS
    rate_per_s = 16.0
    routers = [f"r{number}" for number in range(count)]
    limiters = [warmup.WarmupLimiter(router) for router in routers]
    sent: list[float] = []
    for step in range(150):
        now = step * 0.02
        for limiter in limiters:
            while limiter.may_send("s1", rate_per_s, routers, now):
                limiter.record_sent("s1", rate_per_s, routers, now)
                sent.append(now)
    bound = rate_per_s * bounds.cold_overage + bounds.cold_slack
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= bound
    assert len(sent) >= 2 * rate_per_s
