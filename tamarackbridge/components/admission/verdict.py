"""Whether a request goes now, waits in the router, or is refused.

Engines admit in order of arrival, so what has been sent can't be overtaken.
Load patterns: a clump of long prompts, one workspace that floods, and lasting
overload. A request is sent while its first event can still come in time; one
that can't be in time yields to those that can and goes when an engine is
nearly idle; one beyond its workspace's share goes in the lulls that others
leave, until its workspace has had half as much again, and is refused at once
otherwise.
"""

from collections.abc import Sequence
import dataclasses
import enum
import math

from tamarackbridge.components.gateway import jobs, rejections
from tamarackbridge.components.placement import choose

IN_TIME = 0.9
"""Part of the target within which the first event of a request is planned."""

SPARE = 0.5
"""Spare capacity of the fleet from which on any request goes to an idle engine.
One router's belief that an engine is idle is no sign of it: in a large fleet
each sees a small part of what the others send."""

MOST_OVER = 1.5
"""Part of its level that a workspace may get in the lulls that others leave;
below two, so that none gets twice what another gets that asks for as much."""

AHEAD_OVER = 0.33
"""Part of the target that may pass before an engine begins to read a request
beyond its workspace's share, if nothing was served for that workspace; the rest
of the engines' backlog is kept for the others."""

OWN_OVER = 0.25
"""Weight of the request's own reading in that time: short ones go first, but
long ones find room often enough to get half as much in any mix."""

IDLE_AHEAD = 6_000
"""Unread tokens below which an engine counts as nearly idle: half of the
longest common prompt, 70 ms of reading."""

SOON = 0.06
"""Part of the target within which a refusal does not harm the caller, who
then has time to come back."""

PLAIN_WAITING = 2
"""Requests that may wait at a plain server beside those in its slots; its
own queue keeps the slots busy while an answer is on its way."""

RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0
"""Bounds of the advice when to come back; callers take at most a third of
the time that they have left, of 1 to 12 s."""


class Step(enum.Enum):
    """What happens to a request now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """How a workspace stands against its share.

    Attributes:
        served: Cost begun for it in the window, over all routers.
        level: The most that one workspace gets now; infinite without
            contention.
        window_s: The window.
        within: Whether the request is within its share.
        part: Part of its workspace's requests that is within it.
        spare: How much capacity the engines have to spare, from -1 to 1.
    """

    served: float
    level: float
    window_s: float
    within: bool
    part: float = 1.0
    spare: float = 0.0

    @property
    def ratio(self) -> float:
        """Returns the served part of the share."""
        if self.level == float("inf"):
            return 0.0
        return self.served / max(self.level, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision, with what it rests on.

    Attributes:
        step: What happens.
        option: The server, if it is sent.
        refusal: The answer, if it is refused.
        goes_up_to_s: If it waits, the longest wait with which it would go to
            its best server now; negative if there is none.
        again_s: If it waits, after which time that server may be nearly idle;
            0 if that can't be told.
    """

    step: Step
    option: choose.Option | None = None
    refusal: rejections.Rejection | None = None
    goes_up_to_s: float = -1.0
    again_s: float = 0.0


WAIT = Verdict(Step.WAIT)


def decide(
    job: jobs.Job,
    options: Sequence[choose.Option],
    standing: Standing,
    now: float,
    left_s: float = 0.0,
) -> Verdict:
    """Decides on one request.

    Args:
        job: The request.
        options: Its servers, best first.
        standing: How its workspace stands against its share.
        now: The time.
        left_s: How long it will wait still, by those that went before it; 0
            if that can't be told.
    """
    standing = _standing_of(job, standing)
    if now >= job.deadline:
        return _refuse(rejections.Reason.DEADLINE, RETRY_MIN_S)
    if not job.service.is_model:
        return _decide_plain(job, options)
    waited_s = now - job.arrived
    target_s = job.route.target_s
    best = next((it for it in options if not it.full), None)
    goes_up_to_s = -1.0
    if best is not None:
        goes_up_to_s = _goes_up_to_s(best, standing, target_s)
        if waited_s <= goes_up_to_s:
            return Verdict(Step.SEND, best)
    given_up = decide_unplaced(job, standing, now, left_s)
    if given_up.step is Step.REFUSE:
        return given_up
    if options and now + min(it.first_s for it in options) >= job.deadline:
        return _refuse(rejections.Reason.DEADLINE, RETRY_MIN_S)
    again_s = _idle_in_s(best) if best is not None else 0.0
    return Verdict(Step.WAIT, goes_up_to_s=goes_up_to_s, again_s=again_s)


def given_up_at(job: jobs.Job, within: bool) -> float:
    """Returns when a request is refused if it can't be sent by then.

    Args:
        job: The request.
        within: Whether it is within its workspace's share.
    """
    if within or job.excluded_servers or not job.service.is_model:
        return job.deadline
    return min(job.arrived + job.route.target_s * SOON, job.deadline)


def decide_unplaced(
    job: jobs.Job, standing: Standing, now: float, left_s: float = 0.0
) -> Verdict:
    """Decides on a request that can't be sent now, without its servers."""
    standing = _standing_of(job, standing)
    if now >= job.deadline:
        return _refuse(rejections.Reason.DEADLINE, RETRY_MIN_S)
    if now >= given_up_at(job, standing.within):
        return _refuse(rejections.Reason.OVERLOADED, _retry_s(standing))
    if left_s > 0 and now + left_s >= job.deadline:
        return _refuse(rejections.Reason.OVERLOADED, RETRY_MAX_S)
    return WAIT


def _standing_of(job: jobs.Job, standing: Standing) -> Standing:
    """Returns the standing that a request is held to.

    A request that a server has failed has had its turn already: it is not
    held to its workspace's share again.
    """
    if not job.excluded_servers:
        return standing
    return dataclasses.replace(standing, within=True)


def _idle_in_s(option: choose.Option) -> float:
    """Returns after which time an engine is nearly idle by what it reads."""
    if option.ahead <= IDLE_AHEAD:
        return 0.0
    return option.ahead_s * (1.0 - IDLE_AHEAD / option.ahead)


def _goes_up_to_s(
    option: choose.Option, standing: Standing, target_s: float
) -> float:
    """Returns the longest wait with which a request goes to its best server."""
    if not standing.within:
        if standing.spare >= SPARE and option.ahead == 0:
            return math.inf
        room = max(1.0 - standing.ratio / MOST_OVER, 0.0)
        own_s = OWN_OVER * (option.first_s - option.ahead_s)
        return target_s * AHEAD_OVER * room - option.ahead_s - own_s
    if option.ahead <= IDLE_AHEAD:
        return math.inf
    return target_s * IN_TIME - option.first_s


def _decide_plain(job: jobs.Job, options: Sequence[choose.Option]) -> Verdict:
    del job
    for option in options:
        if not option.full:
            return Verdict(Step.SEND, option)
    return WAIT


def _retry_s(standing: Standing) -> float:
    """Returns when what the workspace asks for may fit its share again."""
    excess = 1.0 - standing.part
    return min(max(excess * standing.window_s, RETRY_MIN_S), RETRY_MAX_S)


def _refuse(reason: rejections.Reason, retry_after_s: float) -> Verdict:
    refusal = rejections.Rejection(reason, retry_after_s)
    return Verdict(Step.REFUSE, refusal=refusal)
