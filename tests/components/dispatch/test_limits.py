"""Tests of the concurrency limit of one backend server."""

import dataclasses

import pytest

from tamarackbridge.components.dispatch import breaker, limits, messages
from tests.components.dispatch import builders

Outcome = messages.Outcome
WARM, COLD = 8, 2


@dataclasses.dataclass(frozen=True)
class Report:
    cold: bool = False
    boot: str = "1"


def _limit(lag_s: float = 0.4) -> limits.ServerLimit:
    server = builders.server(
        "s0", limit_warm=WARM, limit_cold=COLD, load_lag_s=lag_s
    )
    return limits.ServerLimit(server)


def _run_events(limit: limits.ServerLimit, events: list[object]) -> float:
    now = 0.0
    for event in events:
        now += 1.0
        if isinstance(event, Report):
            report = messages.LoadReport("s0", 0, event.cold, 0.4, event.boot)
            limit.handle_load_report(report, now)
        elif isinstance(event, Outcome):
            limit.record_outcome(event, now - 0.1, now)
    return now


OK3 = [Outcome.OK] * 3


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([], COLD),
        (OK3, COLD),
        ([Report(), *OK3], COLD + 3),
        ([Report(), *[Outcome.OK] * 20], WARM),
        ([Report(), *OK3, Outcome.COLD], COLD),
        ([Report(), *OK3, Outcome.COLD, *OK3], COLD),
        ([Report(), *OK3, Report(cold=True), *OK3], COLD),
        ([Report(), *OK3, Report(boot="2")], COLD),
        ([Report(), *OK3, Outcome.FAILED], COLD),
        ([Report(), *OK3, Outcome.FAILED, Report()], COLD + 3),
        ([Report(), *OK3, Outcome.FAILED, Report(boot="2")], COLD),
        ([Report(), *OK3, *OK3, Outcome.SLOW], WARM // 2),
        ([Report(), *OK3, Outcome.CANCELLED, Outcome.UNUSED], COLD + 3),
    ],
)
def test_limit_rises_by_evidence_and_falls_at_once(
    events: list[object], expected: int
) -> None:
    limit = _limit()
    now = _run_events(limit, events)
    assert limit.allowed(now) == expected


def test_limit_without_reports_rises_slower() -> None:
    limit = _limit(lag_s=0.0)
    _run_events(limit, [Outcome.OK] * 4)
    assert limit.allowed(5.0) == COLD + 1


def test_success_of_work_from_before_a_decrease_is_ignored() -> None:
    limit = _limit()
    _run_events(limit, [Report(), Outcome.COLD, Report()])
    limit.record_outcome(Outcome.OK, granted_at=1.5, now=4.0)
    assert limit.allowed(4.0) == COLD


def test_lagging_warm_report_does_not_undo_a_decrease() -> None:
    limit = _limit()
    now = _run_events(limit, [Report(), *OK3, Outcome.FAILED])
    late = messages.LoadReport("s0", 0, False, 0.4, "1")
    limit.handle_load_report(late, now + 0.1)
    assert limit.allowed(now + 0.1) == COLD


def test_earlier_limit_applies_after_a_report_past_the_fence() -> None:
    limit = _limit()
    limit.record_earlier_limit(WARM, seen_at=9.0, fence=10.0)
    limit.handle_load_report(
        messages.LoadReport("s0", 0, False, 0.4, "1"), 10.2
    )
    assert limit.allowed(10.2) == COLD
    limit.handle_load_report(
        messages.LoadReport("s0", 0, False, 0.4, "1"), 10.5
    )
    assert limit.allowed(10.5) == WARM


def test_latest_observation_of_an_earlier_limit_counts() -> None:
    limit = _limit()
    limit.record_earlier_limit(WARM, seen_at=8.0, fence=10.0)
    limit.record_earlier_limit(0, seen_at=9.0, fence=10.0)
    limit.handle_load_report(
        messages.LoadReport("s0", 0, False, 0.4, "1"), 10.5
    )
    assert limit.allowed(10.5) == COLD


def test_breaker_opens_probes_and_closes() -> None:
    failing = breaker.Breaker()
    for _ in range(breaker.MIN_OUTCOMES):
        failing.record(True, 0.0)
    assert failing.state(0.5) is breaker.State.OPEN
    probing_at = breaker.FIRST_OPEN_S
    assert failing.state(probing_at) is breaker.State.HALF_OPEN
    failing.record(True, probing_at)
    assert failing.state(probing_at + 1.5) is breaker.State.OPEN
    failing.record(False, probing_at + 2.0)
    assert failing.state(probing_at + 2.0) is breaker.State.CLOSED
