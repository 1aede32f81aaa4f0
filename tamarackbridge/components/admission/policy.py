"""Admission policy: whether a request is sent, waits or is rejected.

Engines admit requests in order of arrival, so a request that was sent can't be
overtaken. Load patterns: a burst of long prompts, one workspace that floods,
and sustained overload. A request is sent while its first event can still meet
the latency target. One that can't meet it yields to those that can, and is sent
when an engine is nearly idle. One beyond its workspace's share is sent in the
lulls that others leave, until its workspace has had half as much again as its
limit, and is rejected at once otherwise.
"""

from collections.abc import Sequence
import dataclasses
import enum
import math

from tamarackbridge.components.gateway import jobs, rejections
from tamarackbridge.components.placement import scoring

PLANNED_TARGET_FRACTION = 0.9
"""Fraction of the latency target within which the first event is planned."""

ANY_REQUEST_HEADROOM = 0.5
"""Headroom of the engines from which on any request is sent to an idle engine.
That an engine is idle according to one router is not enough: in a large fleet
each router knows only a small part of what the others have sent."""

MAX_LIMIT_FACTOR = 1.5
"""Factor of its limit that a workspace may get in the lulls that others leave.
Below two, so that no workspace gets twice what another one with the same demand
gets."""

OVER_SHARE_TARGET_FRACTION = 0.33
"""Fraction of the latency target that may pass before an engine begins with a
request beyond its workspace's share, if nothing was served for that workspace.
The rest of the engines' backlog is reserved for the others."""

OVER_SHARE_PREFILL_WEIGHT = 0.25
"""Weight of the request's own prefill in that time. Short requests are sent
first, but long ones find room often enough to get half as much in any mix."""

LATE_MAX_FILL = 0.9
"""Fraction of the engines' slots and memory in use above which requests that
have missed their target are rejected. Each holds a slot for seconds that a
request needs which still can be in time. A backlog of prompts is no reason:
late requests wait for it to end before they are sent."""

NEARLY_IDLE_TOKENS = 6_000
"""Pending prefill tokens up to which an engine counts as nearly idle: half of
the longest common prompt, 70 ms of prefill."""

EARLY_REJECT_FRACTION = 0.06
"""Fraction of the latency target within which a rejection does no harm, as the
caller still has time to retry."""

RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0
"""Bounds of the advised retry time. Callers spend at most a third of their
remaining time of 1 to 12 s on it."""


class Action(enum.Enum):
    """What happens to a request now."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class ShareState:
    """State of a request and of its workspace relative to the fair share.

    Attributes:
        served: Cost sent for the workspace in the window, over all routers.
        limit: Limit per workspace in the window; infinite without contention.
        window_s: The window.
        is_within_share: Whether the request is within the workspace's share.
        admitted_fraction: Fraction of the workspace's requests within its
            share.
        headroom: Headroom of the engines, from -1 to 1.
        fill: Fraction of the engines' slots and memory in use.
    """

    served: float
    limit: float
    window_s: float
    is_within_share: bool
    admitted_fraction: float = 1.0
    headroom: float = 0.0
    fill: float = 0.0

    @property
    def limit_ratio(self) -> float:
        """Ratio of the served cost to the limit; 0 without contention."""
        if self.limit == float("inf"):
            return 0.0
        return self.served / max(self.limit, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a request.

    Attributes:
        action: What happens to the request.
        option: The server, if the request is sent.
        rejection: The answer, if the request is rejected.
        max_sendable_wait_s: If the request waits, the longest time for which a
            request like it may have waited to be sent to its best server now;
            negative if there is none.
        recheck_after_s: If the request waits, time after which that server may
            be nearly idle; 0 if unknown.
    """

    action: Action
    option: scoring.ScoredServer | None = None
    rejection: rejections.Rejection | None = None
    max_sendable_wait_s: float = -1.0
    recheck_after_s: float = 0.0


WAIT = Decision(Action.WAIT)


def decide(
    job: jobs.Job,
    options: Sequence[scoring.ScoredServer],
    share_state: ShareState,
    now: float,
    expected_wait_s: float = 0.0,
) -> Decision:
    """Decides on one request.

    Args:
        job: The request.
        options: Its servers, best first.
        share_state: State of its workspace relative to the share.
        now: The time.
        expected_wait_s: Further time that it is expected to wait for those
            before it; 0 if unknown.
    """
    share_state = _effective_share_state(job, share_state)
    if now >= job.deadline:
        return _reject(rejections.Reason.DEADLINE, RETRY_MIN_S)
    if not job.service.is_model:
        return _decide_plain(job, options)
    waited_s = now - job.arrived
    target_s = job.route.target_s
    if (
        waited_s >= target_s
        and not job.excluded_servers
        and share_state.fill > LATE_MAX_FILL
    ):
        return _reject(rejections.Reason.OVERLOADED, RETRY_MAX_S)
    best = next((option for option in options if not option.is_full), None)
    max_sendable_wait_s = -1.0
    if best is not None:
        max_sendable_wait_s = _max_sendable_wait_s(best, share_state, target_s)
        if waited_s <= max_sendable_wait_s:
            return Decision(Action.SEND, best)
    fallback = decide_unsendable(job, share_state, now, expected_wait_s)
    if fallback.action is Action.REJECT:
        return fallback
    if (
        options
        and now + min(option.first_event_s for option in options)
        >= job.deadline
    ):
        return _reject(rejections.Reason.DEADLINE, RETRY_MIN_S)
    recheck_after_s = _nearly_idle_after_s(best) if best is not None else 0.0
    return Decision(
        Action.WAIT,
        max_sendable_wait_s=max_sendable_wait_s,
        recheck_after_s=recheck_after_s,
    )


def reject_at(job: jobs.Job, is_within_share: bool) -> float:
    """Returns when a request is rejected if it could not be sent by then.

    Args:
        job: The request.
        is_within_share: Whether it is within its workspace's share.
    """
    if is_within_share or job.excluded_servers or not job.service.is_model:
        return job.deadline
    return min(
        job.arrived + job.route.target_s * EARLY_REJECT_FRACTION, job.deadline
    )


def decide_unsendable(
    job: jobs.Job,
    share_state: ShareState,
    now: float,
    expected_wait_s: float = 0.0,
) -> Decision:
    """Decides whether a request that can't be sent now waits or is rejected."""
    share_state = _effective_share_state(job, share_state)
    if now >= job.deadline:
        return _reject(rejections.Reason.DEADLINE, RETRY_MIN_S)
    if now >= reject_at(job, share_state.is_within_share):
        return _reject(
            rejections.Reason.OVERLOADED, _retry_after_s(share_state)
        )
    if expected_wait_s > 0 and now + expected_wait_s >= job.deadline:
        return _reject(rejections.Reason.OVERLOADED, RETRY_MAX_S)
    return WAIT


def _effective_share_state(
    job: jobs.Job, share_state: ShareState
) -> ShareState:
    """Returns the share state that applies to a request.

    A request that failed at a server has been admitted before, so its
    workspace's share is not applied to it again.
    """
    if not job.excluded_servers:
        return share_state
    return dataclasses.replace(share_state, is_within_share=True)


def _nearly_idle_after_s(option: scoring.ScoredServer) -> float:
    """Returns the time until an engine is nearly idle by its backlog."""
    if option.tokens_ahead <= NEARLY_IDLE_TOKENS:
        return 0.0
    return option.tokens_ahead_s * (
        1.0 - NEARLY_IDLE_TOKENS / option.tokens_ahead
    )


def _max_sendable_wait_s(
    option: scoring.ScoredServer, share_state: ShareState, target_s: float
) -> float:
    """Returns the longest wait after which a request is sent to a server."""
    if not share_state.is_within_share:
        if (
            share_state.headroom >= ANY_REQUEST_HEADROOM
            and option.tokens_ahead == 0
        ):
            return math.inf
        room = max(1.0 - share_state.limit_ratio / MAX_LIMIT_FACTOR, 0.0)
        prefill_s = OVER_SHARE_PREFILL_WEIGHT * (
            option.first_event_s - option.tokens_ahead_s
        )
        return (
            target_s * OVER_SHARE_TARGET_FRACTION * room
            - option.tokens_ahead_s
            - prefill_s
        )
    if option.tokens_ahead <= NEARLY_IDLE_TOKENS:
        return math.inf
    return target_s * PLANNED_TARGET_FRACTION - option.first_event_s


def _decide_plain(
    job: jobs.Job, options: Sequence[scoring.ScoredServer]
) -> Decision:
    del job
    for option in options:
        if not option.is_full:
            return Decision(Action.SEND, option)
    return WAIT


def _retry_after_s(share_state: ShareState) -> float:
    """Returns when the workspace's demand may fit its share again."""
    excess = 1.0 - share_state.admitted_fraction
    return min(max(excess * share_state.window_s, RETRY_MIN_S), RETRY_MAX_S)


def _reject(reason: rejections.Reason, retry_after_s: float) -> Decision:
    rejection = rejections.Rejection(reason, retry_after_s)
    return Decision(Action.REJECT, rejection=rejection)
