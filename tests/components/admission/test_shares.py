"""Max-min shares, the usage window and the retry budget."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from tamarackbridge.components.admission import retry_budget, shares
from tests.components.knowledge import builders


@pytest.mark.parametrize(
    ("asked", "capacity", "level"),
    [
        ({}, 100.0, float("inf")),
        ({"a": 40.0, "b": 50.0}, 100.0, float("inf")),
        ({"a": 90.0, "b": 90.0}, 100.0, 50.0),
        ({"a": 10.0, "b": 90.0, "c": 90.0}, 100.0, 45.0),
        ({"a": 10.0, "b": 30.0, "c": 900.0}, 100.0, 60.0),
    ],
)
def test_even_level(
    asked: dict[str, float], capacity: float, level: float
) -> None:
    assert shares.max_min_limit(asked, capacity) == level


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(max_size=3),
        strategies.floats(0.0, 1e6),
        max_size=20,
    ),
    strategies.floats(1.0, 1e6),
)
def test_limit_uses_the_whole_capacity(
    asked: dict[str, float], capacity: float
) -> None:
    level = shares.max_min_limit(asked, capacity)
    got = sum(min(demand, level) for demand in asked.values())
    expected = min(sum(asked.values()), capacity)
    assert got == pytest.approx(expected, rel=1e-6, abs=1e-6)


def test_window_slides() -> None:
    window = shares.UsageWindow(4.0)
    window.record_request("a", 10.0, 0.0)
    window.record_served("a", 7.0, 1.0)
    window.record_request("b", 5.0, 3.0)
    assert window.sums(3.0)["a"] == shares.Usage(10.0, 7.0)
    assert window.sums(4.5)["a"] == shares.Usage(0.0, 7.0)
    assert dict(window.sums(6.0)) == {"b": shares.Usage(5.0, 0.0)}


def test_requests_without_cost_expire_too() -> None:
    """A public request has no workspace and no tokens.

    Its entries must expire as well, or the window would grow without limit.
    """
    window = shares.UsageWindow(4.0)
    for step in range(10):
        window.record_request("", 0.0, step * 1.0)
    assert len(window.sums(9.0)) == 1
    assert not window.sums(20.0)


def test_budget_grows_with_requests() -> None:
    router_budget = retry_budget.RetryBudget(builders.BOUNDS, random.Random(1))
    for _ in range(100):
        router_budget.record_request("lm", 0.0)
    spent_retries = sum(
        router_budget.try_spend("lm", 7, 1.0) for _ in range(200)
    )
    bounds = builders.BOUNDS
    assert spent_retries <= bounds.retry_ratio * 100 + bounds.retry_slack / 7
    assert spent_retries >= 15


def test_budgets_of_all_routers_stay_within_the_fleet_bound() -> None:
    """Each of seven routers retries as often as it may, for 30 s."""
    bounds = builders.BOUNDS
    budgets = [
        retry_budget.RetryBudget(bounds, random.Random(seed))
        for seed in range(7)
    ]
    retries: list[float] = []
    requests: list[float] = []
    for step in range(300):
        now = step * 0.1
        for router_budget in budgets:
            router_budget.record_request("lm", now)
            requests.append(now)
            while router_budget.try_spend("lm", 7, now):
                retries.append(now)
    for begin in range(20):
        end = begin + bounds.retry_window_s
        count = sum(begin <= at < end for at in retries)
        requested = sum(begin <= at < end for at in requests)
        assert count <= bounds.retry_ratio * requested + bounds.retry_slack


@pytest.mark.parametrize("requests", [100, 300, 1_000])
def test_budget_of_a_large_fleet_is_not_lost_to_rounding(requests: int) -> None:
    """The same number of requests in a window, at 1 router and at 58.

    A router's portion of the budget is less than one retry in the large fleet.
    """
    bounds = builders.BOUNDS
    spent_retries = {}
    for count in (1, 58):
        budgets = [
            retry_budget.RetryBudget(bounds, random.Random(seed))
            for seed in range(count)
        ]
        for number in range(requests):
            budgets[number % count].record_request("lm", 0.0)
        spent_retries[count] = sum(
            router_budget.try_spend("lm", count, 1.0)
            for router_budget in budgets
            for _ in range(requests)
        )
    assert spent_retries[58] >= 0.9 * spent_retries[1]


def test_confirmations_leave_half_of_the_budget_to_other_retries() -> None:
    """Many servers end streams at once, then requests fail."""
    spent = {}
    for confirmations in (0, 200):
        router_budget = retry_budget.RetryBudget(
            builders.BOUNDS, random.Random(1)
        )
        for _ in range(100):
            router_budget.record_request("lm", 0.0)
        confirmed = sum(
            router_budget.try_spend(
                "lm", 7, 1.0, retry_budget.CONFIRMATIONS_FRACTION
            )
            for _ in range(confirmations)
        )
        retried = sum(router_budget.try_spend("lm", 7, 1.0) for _ in range(200))
        spent[confirmations] = (confirmed, retried)
    (_, without), (confirmed, beside) = spent[0], spent[200]
    assert 0 < confirmed <= without / 2 + 1
    assert beside >= without / 2 - 1
    assert confirmed + beside == without
