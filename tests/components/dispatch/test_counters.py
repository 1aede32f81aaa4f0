"""Tests of virtual counters, cost estimates and the fair order."""

import hypothesis
from hypothesis import strategies as st
import pytest

from tamarackbridge.components.dispatch import (
    counters,
    estimates,
    messages,
    waiting,
)


def _queued(
    request_id: str, name: str, user: str = ""
) -> waiting.QueuedRequest:
    ask = messages.Ask("lm/0", request_id, name, user, "chat", 1.0, 9.0)
    return waiting.QueuedRequest(ask, "r0", 0.0, 9.0)


def _pop_next(order: waiting.FairOrder, cost: float = 1.0) -> str:
    item = order.pop_next(lambda name: True, lambda item: True)
    assert item is not None
    order.record_start(item)
    order.charge(item.ask.workspace, item.ask.end_user, cost)
    return item.ask.request_id


def test_least_served_workspace_and_end_user_are_next() -> None:
    order = waiting.FairOrder()
    for request_id, name, user in [
        ("a1", "a", "x"),
        ("a2", "a", "x"),
        ("a3", "a", "y"),
        ("b1", "b", "z"),
    ]:
        order.push(_queued(request_id, name, user))

    assert [_pop_next(order) for _ in range(4)] == ["a1", "b1", "a3", "a2"]


def test_idling_earns_no_credit() -> None:
    order = waiting.FairOrder()
    for index in range(20):
        order.push(_queued(f"a{index}", "a"))
    for _ in range(10):
        _pop_next(order)
    order.push(_queued("b1", "b"))
    order.push(_queued("b2", "b"))

    popped = [_pop_next(order) for _ in range(4)]

    assert len([name for name in popped if name.startswith("a")]) == 2


def test_pruning_keeps_debt() -> None:
    virtual_counters = counters.VirtualCounters()
    virtual_counters.charge("a", 5.0)
    virtual_counters.charge("b", 1.0)
    virtual_counters.virtual_time = 2.0

    virtual_counters.prune(())

    assert virtual_counters.value("a") == 5.0
    assert virtual_counters.value("b") == 2.0


@pytest.mark.parametrize("hint_ratio", [0.1, 1.0, 10.0])
def test_constant_hint_error_is_corrected(hint_ratio: float) -> None:
    learned = estimates.CostEstimates()
    for index in range(100):
        cost = 100.0 * (1 + index % 5)
        learned.learn("a", "chat", cost * hint_ratio, cost)

    assert learned.estimate(
        "a", "chat", 300.0 * hint_ratio, 1e9
    ) == pytest.approx(300.0, rel=0.05)


@hypothesis.given(
    hints=st.lists(st.floats(0, 1e9), min_size=1, max_size=30),
    costs=st.lists(st.floats(0, 1e4), min_size=1, max_size=30),
)
def test_estimates_stay_within_the_ceiling(
    hints: list[float], costs: list[float]
) -> None:
    learned = estimates.CostEstimates()
    for hint, cost in zip(hints, costs, strict=False):
        assert 0 <= learned.estimate("a", "chat", hint, 50.0) <= 50.0
        learned.learn("a", "chat", hint, cost)


def test_estimates_are_bounded_in_number() -> None:
    learned = estimates.CostEstimates()
    for index in range(estimates.MAX_KEYS + 10):
        learned.learn(f"w{index}", "chat", 1.0, 1.0)

    assert len(learned._models) == estimates.MAX_KEYS
