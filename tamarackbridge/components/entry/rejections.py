"""Problem documents for requests that got no claim, permit or answer."""

from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import attempts, const, problem

RETRY_AFTER_S = 1.0
"""Retry-After seconds where the dispatcher gave none."""

_ANSWER = claims.ClaimAnswer
_REASON = const.Reason
_NOT_RUN = problem.NotRun

CLAIM_PROBLEMS: dict[
    claims.ClaimAnswer, tuple[const.Reason, problem.NotRun, str]
] = {
    _ANSWER.IN_PROGRESS: (
        _REASON.IN_PROGRESS,
        _NOT_RUN.UNKNOWN,
        "another request with this key has not ended",
    ),
    _ANSWER.MISMATCH: (
        _REASON.KEY_MISMATCH,
        _NOT_RUN.TRUE,
        "the key was used with another request; this one was not run",
    ),
    _ANSWER.OUTCOME_UNKNOWN: (
        _REASON.OUTCOME_UNKNOWN,
        _NOT_RUN.UNKNOWN,
        "the outcome is not known; the work will not run again",
    ),
    _ANSWER.OUTCOME_NOT_KEPT: (
        _REASON.OUTCOME_NOT_KEPT,
        _NOT_RUN.FALSE,
        "the work ran; its answer was too large to be kept",
    ),
    _ANSWER.UNAVAILABLE: (
        _REASON.STORE_UNAVAILABLE,
        _NOT_RUN.UNKNOWN,
        "this request ran nothing; whether an earlier one with this key did"
        " can't be read now",
    ),
}
"""Reason, `not_run` and detail for each claim result that forbids the work.

If the store can't be read, an earlier request with the same key may have run.
A caller that took "not run" as valid for the key might then pay another way, so
`not_run` is unknown there.
"""


def from_claim_answer(
    answer: claims.ClaimAnswer, request_id: str
) -> problem.Problem:
    """Returns the problem for a claim result that forbids the work."""
    reason, not_run, detail = CLAIM_PROBLEMS[answer]
    return problem.Problem(reason, not_run, request_id, detail, RETRY_AFTER_S)


def before_claim(
    reason: const.Reason, request_id: str, detail: str, keyed: bool
) -> problem.Problem:
    """Returns the problem of a request rejected before its claim was read.

    Args:
        reason: Why the request is rejected.
        request_id: Identifier of the request.
        detail: Explanation for human readers.
        keyed: Whether the request has an idempotency key; an earlier request
            with the same key may have run.
    """
    not_run = _NOT_RUN.UNKNOWN if keyed else _NOT_RUN.TRUE
    return problem.Problem(reason, not_run, request_id, detail, RETRY_AFTER_S)


def from_permit_rejection(
    rejection: dispatch.Refused, not_run: problem.NotRun
) -> problem.Problem:
    """Returns the problem of a request that got no permit."""
    return problem.Problem(
        const.Reason(rejection.reason),
        not_run,
        rejection.request_id,
        "no backend server took the request",
        rejection.retry_after_s,
    )


def from_decision(
    decision: attempts.Decision, request_id: str
) -> problem.Problem:
    """Returns the problem of a request whose attempts have failed."""
    detail = "no backend server gave a whole answer"
    if decision.reason is _REASON.OUTCOME_UNKNOWN:
        _, _, detail = CLAIM_PROBLEMS[_ANSWER.OUTCOME_UNKNOWN]
    return problem.Problem(
        decision.reason, decision.not_run, request_id, detail, RETRY_AFTER_S
    )
