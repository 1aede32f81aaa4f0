"""Callbacks to the owners of bodies that fail or come too late."""

import asyncio
import math

import pytest

from tamarackbridge.components.gateway import body_budget, body_reader


async def test_body_is_cut_off_while_its_time_limit_expires() -> None:
    """Guards against an error in whoever changes the budget.

    It ended the task that measures the lag, and other callers' requests.
    """
    budget = body_budget.BodyBudget(12_000_000)
    loop = asyncio.get_running_loop()
    content = asyncio.StreamReader()
    reading = body_reader._Reading(budget, content, "a", 1_000, 1.0)  # type: ignore[arg-type]
    content.is_eof = content.at_eof  # type: ignore[attr-defined]
    budget.charge(reading.holding, 1_000)

    async def async_expire() -> None:
        async with reading.time_limit:
            reading.time_limit.reschedule(loop.time())
            try:
                await asyncio.sleep(math.inf)
            finally:
                reading.holding.cut()

    with pytest.raises(TimeoutError):
        await async_expire()


def test_failure_of_one_body_does_not_reach_the_budget() -> None:
    """Guards against an error of one request that ends another one."""

    def fail() -> None:
        raise RuntimeError("late")

    budget = body_budget.BodyBudget(12_000_000)
    held = body_budget.Holding("a", cut=fail, free=fail)
    assert budget.charge(held, 4_000_000) is body_budget.Verdict.GRANTED
    for tick in range(40):
        budget.tick(tick * 0.11)
    assert budget.counts.stalled == 1
    budget.release(held)
    assert budget.total_held == 0
    assert budget.counts.failed_callbacks == 2
