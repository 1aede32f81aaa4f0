import random

import hypothesis
from hypothesis import strategies
import pytest

from tamarackbridge.components.admission import budget, shares
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
    assert shares.even_level(asked, capacity) == level


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(max_size=3),
        strategies.floats(0.0, 1e6),
        max_size=20,
    ),
    strategies.floats(1.0, 1e6),
)
def test_level_uses_the_capacity_up(
    asked: dict[str, float], capacity: float
) -> None:
    level = shares.even_level(asked, capacity)
    got = sum(min(it, level) for it in asked.values())
    expected = min(sum(asked.values()), capacity)
    assert got == pytest.approx(expected, rel=1e-6, abs=1e-6)


def test_window_slides() -> None:
    window = shares.UseWindow(4.0)
    window.record_request("a", 10.0, 0.0)
    window.record_served("a", 7.0, 1.0)
    window.record_request("b", 5.0, 3.0)
    assert window.sums(3.0)["a"] == shares.Use(10.0, 7.0)
    assert window.sums(4.5)["a"] == shares.Use(0.0, 7.0)
    assert dict(window.sums(6.0)) == {"b": shares.Use(5.0, 0.0)}


def test_requests_without_cost_leave_the_window_too() -> None:
    """A public request has no workspace and no tokens."""
    window = shares.UseWindow(4.0)
    for step in range(10):
        window.record_request("", 0.0, step * 1.0)
    assert len(window.sums(9.0)) == 1
    assert not window.sums(20.0)


def test_budget_grows_with_requests() -> None:
    spent = budget.RetryBudget(builders.BOUNDS, random.Random(1))
    for _ in range(100):
        spent.record_request("lm", 0.0)
    taken = sum(spent.try_spend("lm", 7, 1.0) for _ in range(200))
    bounds = builders.BOUNDS
    assert taken <= bounds.retry_ratio * 100 + bounds.retry_slack / 7
    assert taken >= 15


def test_budgets_of_all_routers_keep_the_fleets_bound() -> None:
    """Each of seven routers repeats as often as it may, for 30 s."""
    bounds = builders.BOUNDS
    routers = [budget.RetryBudget(bounds, random.Random(it)) for it in range(7)]
    repeats: list[float] = []
    requests: list[float] = []
    for step in range(300):
        now = step * 0.1
        for spent in routers:
            spent.record_request("lm", now)
            requests.append(now)
            while spent.try_spend("lm", 7, now):
                repeats.append(now)
    for begin in range(20):
        end = begin + bounds.retry_window_s
        count = sum(begin <= at < end for at in repeats)
        base = sum(begin <= at < end for at in requests)
        assert count <= bounds.retry_ratio * base + bounds.retry_slack


@pytest.mark.parametrize("requests", [100, 300, 1_000])
def test_budget_of_a_large_fleet_is_not_rounded_away(requests: int) -> None:
    """As many requests in a window, at 1 router and at 58."""
    bounds = builders.BOUNDS
    taken = {}
    for count in (1, 58):
        routers = [
            budget.RetryBudget(bounds, random.Random(it)) for it in range(count)
        ]
        for number in range(requests):
            routers[number % count].record_request("lm", 0.0)
        taken[count] = sum(
            spent.try_spend("lm", count, 1.0)
            for spent in routers
            for _ in range(requests)
        )
    assert taken[58] >= 0.9 * taken[1]
