"""Which refusal follows from what the other parts say."""

from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import attempts, const, problem

RETRY_AFTER_S = 1.0
"""When a caller may come back where nothing else tells."""

_ANSWER = claims.ClaimAnswer
_REASON = const.Reason
_NOT_RUN = problem.NotRun

CLAIM_REFUSALS: dict[
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
"""What a caller is told when its request may not run.

With the store unread, an earlier request with the same key may have run, and
a caller who took "not run" for the key would pay another way.
"""


def of_claim(answer: claims.ClaimAnswer, request_id: str) -> problem.Problem:
    """Returns the refusal for an answer of the claim keeper."""
    reason, not_run, detail = CLAIM_REFUSALS[answer]
    return problem.Problem(reason, not_run, request_id, detail, RETRY_AFTER_S)


def unread(
    reason: const.Reason, request_id: str, detail: str, keyed: bool
) -> problem.Problem:
    """Returns the refusal of a request before its claim was looked up.

    Args:
        reason: Why it is refused.
        request_id: Identifier of the request.
        detail: One sentence for people.
        keyed: Whether it carries an idempotency key; an earlier request with
            the same key may then have run.
    """
    not_run = _NOT_RUN.UNKNOWN if keyed else _NOT_RUN.TRUE
    return problem.Problem(reason, not_run, request_id, detail, RETRY_AFTER_S)


def of_permit(
    refused: dispatch.Refused, not_run: problem.NotRun
) -> problem.Problem:
    """Returns the refusal for a request that got no permit."""
    return problem.Problem(
        const.Reason(refused.reason),
        not_run,
        refused.request_id,
        "no backend server took the request",
        refused.retry_after_s,
    )


def of_attempts(
    decision: attempts.Decision, request_id: str
) -> problem.Problem:
    """Returns the refusal for a request whose attempts have failed."""
    detail = "no backend server gave a whole answer"
    if decision.reason is _REASON.OUTCOME_UNKNOWN:
        _, _, detail = CLAIM_REFUSALS[_ANSWER.OUTCOME_UNKNOWN]
    return problem.Problem(
        decision.reason, decision.not_run, request_id, detail, RETRY_AFTER_S
    )
