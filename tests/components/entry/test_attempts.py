"""Decisions after each end of an attempt, and the retry budget.

They guard against work that runs twice because an attempt that may have run was
retried, and against retries that multiply an overload.
"""

import random

import pytest

from tamarackbridge.components.entry import attempts, retry_budget

_END = attempts.End
_DEADLINE = 10.0

# End, retried if idempotent, retried if not, `not_run` when rejected.
_TABLE = [
    (_END.PERMIT_EXPIRED, True, True, "true"),
    (_END.NOT_SENT, True, True, "true"),
    (_END.NOT_STARTED, True, True, "true"),
    (_END.FAILED, True, False, "unknown"),
    (_END.MISMATCHED, True, False, "unknown"),
    (_END.EMPTY, True, False, "unknown"),
    (_END.TRUNCATED, True, False, "unknown"),
    (_END.NOT_A_STREAM, True, False, "unknown"),
    (_END.TIMED_OUT, False, False, "unknown"),
    (_END.CUT_OFF, False, False, "unknown"),
]


def _attempts(idempotent: bool) -> attempts.AttemptHistory:
    budget = retry_budget.RetryBudget()
    return attempts.AttemptHistory(
        idempotent, _DEADLINE, budget, random.Random(1)
    )


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("end", "retry", "retry_non_idempotent", "not_run"), _TABLE
)
def test_decision_after_end(
    end: attempts.End,
    retry: bool,
    retry_non_idempotent: bool,
    not_run: str,
    idempotent: bool,
) -> None:
    history = _attempts(idempotent)
    retried = retry if idempotent else retry_non_idempotent

    first = history.record_end(end, "s1", 1.0)
    late = history.record_end(end, "s2", _DEADLINE)

    assert (first.step is attempts.Step.RETRY) == retried
    assert late.step is attempts.Step.REJECT
    assert late.not_run == not_run
    assert history.avoid == (() if end is _END.PERMIT_EXPIRED else ("s1", "s2"))


def test_proof_of_a_later_attempt_does_not_undo_an_earlier_doubt() -> None:
    """Guards against a true `not_run` after an attempt that may have run."""
    history = _attempts(True)
    history.record_end(_END.FAILED, "s1", 1.0)

    decision = history.record_end(_END.NOT_SENT, "s2", _DEADLINE)

    assert decision.not_run == "unknown"


@pytest.mark.parametrize("resumable", [True, False])
def test_begun_stream_is_resumed_or_broken(resumable: bool) -> None:
    """Guards against a problem document after part of a stream was sent."""
    history = _attempts(True)

    steps = [
        history.record_end(_END.TRUNCATED, "s", 1.0, True, resumable).step
        for _ in range(attempts.MAX_ATTEMPTS)
    ]

    resumed = attempts.MAX_ATTEMPTS - 1 if resumable else 0
    assert steps[:resumed] == [attempts.Step.RETRY] * resumed
    assert set(steps[resumed:]) == {attempts.Step.ABORT}


def test_retries_stay_a_share_of_requests_when_all_fail() -> None:
    """Guards against retries that multiply the load of an overload."""
    budget = retry_budget.RetryBudget(
        retries_per_request=0.1, min_retries_per_s=5.0
    )
    retries = 0
    for step in range(10_000):
        budget.record_request()
        retries += budget.try_draw(step * 0.001)

    assert retries <= 10_000 * 0.1 + 10 * 5.0 + 5.0
    assert budget.rejected == 10_000 - retries
