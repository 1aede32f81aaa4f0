"""Bodies that are referred to after their memory has been released."""

import asyncio
import sys

import pytest

from tamarackbridge.components.admission import queue
from tamarackbridge.components.gateway import (
    body_budget,
    body_payload,
    exceptions,
    jobs,
    large_body,
    request_body,
)
from tamarackbridge.components.placement import request_profile
from tests.components.placement import test_quarantine


def _large() -> request_body.RequestBody:
    memory = large_body.LargeBody(200_000)
    memory.append(b"x" * 150_000)
    return request_body.RequestBody(memory)


@pytest.mark.parametrize("body", [_large(), request_body.RequestBody(b"xx")])
def test_released_body_holds_no_bytes(body: request_body.RequestBody) -> None:
    """Guards against memory that lasts as long as any reference to it."""
    budget = body_budget.BodyBudget(12_000_000)
    holding = body_budget.Holding("", free=body.release)
    assert budget.charge_complete(holding, len(body))
    data = body.read()
    assert b"".join(body.pieces()) == data == b"x" * len(body)
    pieces = body.pieces()
    budget.release(holding)
    assert len(body) == len(data)
    for read in (body.read, lambda: next(pieces)):
        with pytest.raises(exceptions.BodyReleasedError):
            read()


async def test_request_that_left_the_queue_is_not_referred_to() -> None:
    """Guards against a heap that keeps requests until their deadlines."""
    waiting = queue.WaitingQueue()
    job = test_quarantine._job()
    future: asyncio.Future[jobs.AdmissionResult] = asyncio.Future()
    waiter = queue.Waiter(job, request_profile.make(job), True, future)
    references = sys.getrefcount(waiter)
    waiting.add(waiter, 0.0)
    waiting.remove(waiter)
    assert sys.getrefcount(waiter) == references


def test_empty_body_is_no_payload() -> None:
    assert body_payload.to_payload(request_body.EMPTY) is None
