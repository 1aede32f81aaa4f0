"""Which of the requests that wait are looked at in a turn.

Load pattern: thousands wait while hardly anything can go, so a turn must not
cost more the more there are, and what can go must not be far behind.
"""

import collections
from collections.abc import Callable, Mapping, Sequence
import math

from tamarackbridge.components.admission import pace, queue, verdict

MAX_LOOKED_AT = 24
"""Requests for which servers are weighed in one turn, so that it holds reading
and answering up for no more than a millisecond or two however many wait."""

RECHECK_S = 0.01
"""Time for which a line is not looked at that could not go; what is not
foreseen of its servers counts this much later."""


def look_at_lines(
    groups: Sequence[queue.Group],
    decide: Callable[[queue.Waiter], verdict.Verdict],
    now: float,
) -> int:
    """Lets go what may go, looking at each line that is due once.

    Groups take turns, so that one with many lines does not keep the others
    from being looked at.

    Args:
        groups: All that wait, in their order.
        decide: Decides on a request, and drops it unless it is to wait.
        now: The time.

    Returns:
        At how many requests it has looked.
    """
    left = MAX_LOOKED_AT
    seen: list[tuple[queue.Group, queue.Line, float]] = []
    for group in groups:
        group.passed_over = True
    while groups and left > 0:
        more = []
        for group in groups:
            if left <= 0:
                break
            group.passed_over = False
            line = group.take_line(now)
            if line is None:
                continue
            looked_at, due = _look_at_line(line, decide, left, now)
            left -= looked_at
            seen.append((group, line, due))
            more.append(group)
        groups = more
    for group, line, due in seen:
        group.look_again(line, due)
    return MAX_LOOKED_AT - left


def _look_at_line(
    line: queue.Line,
    decide: Callable[[queue.Waiter], verdict.Verdict],
    most: int,
    now: float,
) -> tuple[int, float]:
    """Lets requests of a line go until one can't.

    Where the oldest has waited too long to be in time, the oldest that has not
    is looked at as well.

    Returns:
        At how many requests it has looked, and when to do so again.
    """
    looked_at = 0
    since = -math.inf
    waits = False
    while looked_at < most:
        waiter = line.first_since(since)
        if waiter is None:
            break
        looked_at += 1
        found = decide(waiter)
        if found.step is not verdict.Step.WAIT:
            continue
        can_since = now - found.goes_up_to_s
        if waits or not waiter.job.arrived < can_since <= now:
            return looked_at, now + min(found.again_s, RECHECK_S)
        since, waits = can_since, True
    return looked_at, now


def give_up(
    groups: Sequence[queue.Group],
    paces: Mapping[str, pace.Pace],
    gave_up: Callable[[queue.Waiter, float], bool],
    now: float,
) -> None:
    """Refuses those whose turn does not come before their deadlines.

    Of each group the ends are looked at: its newest waits for the most others,
    and its oldest has the least time left.

    Args:
        groups: All that wait, in their order.
        paces: How fast requests go, by service; others are left alone.
        gave_up: Refuses a request that waits so long still, if that is too
            long; says whether it did.
        now: The time.
    """
    before: collections.Counter[str] = collections.Counter()
    for group in groups:
        waiting = group.arrivals
        speed = paces.get(group.service)
        if speed is None:
            continue
        first = before[group.service]
        while waiting:
            left_s = speed.left_s(first + len(waiting) - 1, now)
            if not gave_up(waiting.newest, left_s):
                break
        while waiting and gave_up(waiting.oldest, speed.left_s(first, now)):
            pass
        before[group.service] += len(waiting)
