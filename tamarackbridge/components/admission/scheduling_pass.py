"""Selection of the waiting requests that one scheduling pass evaluates.

Load pattern: thousands of requests wait while hardly any can be sent. A pass
must not cost more the more requests wait, and a request that can be sent must
be found soon.
"""

import collections
from collections.abc import Callable, Mapping, Sequence
import math

from tamarackbridge.components.admission import dispatch_rate, policy, queue

MAX_EVALUATED = 24
"""Requests for which servers are compared in one pass, so that a pass delays
the reading of requests and the relaying of answers by no more than a
millisecond or two, however many requests wait."""

BLOCKED_RECHECK_S = 0.01
"""Time for which a request class that can't be sent is not evaluated again.
Changes at its servers that were not predicted take effect this much later."""


def dispatch_due_classes(
    queues: Sequence[queue.WorkspaceQueue],
    decide: Callable[[queue.Waiter], policy.Decision],
    now: float,
) -> int:
    """Evaluates each due request class once and sends what may be sent.

    The queues are served round-robin, so that a queue with many request classes
    does not keep the others from being evaluated.

    Args:
        queues: All queues, in fair order.
        decide: Decides on a request, and removes it unless it keeps waiting.
        now: The time.

    Returns:
        The number of requests evaluated.
    """
    left = MAX_EVALUATED
    evaluated: list[tuple[queue.WorkspaceQueue, queue.RequestClass, float]] = []
    for workspace_queue in queues:
        workspace_queue.was_skipped = True
    while queues and left > 0:
        remaining = []
        for workspace_queue in queues:
            if left <= 0:
                break
            workspace_queue.was_skipped = False
            request_class = workspace_queue.pop_due_class(now)
            if request_class is None:
                continue
            count, recheck_at = _dispatch_class(
                request_class, decide, left, now
            )
            left -= count
            evaluated.append((workspace_queue, request_class, recheck_at))
            remaining.append(workspace_queue)
        queues = remaining
    for workspace_queue, request_class, recheck_at in evaluated:
        workspace_queue.schedule_recheck(request_class, recheck_at)
    return MAX_EVALUATED - left


def _dispatch_class(
    request_class: queue.RequestClass,
    decide: Callable[[queue.Waiter], policy.Decision],
    limit: int,
    now: float,
) -> tuple[int, float]:
    """Sends requests of a class until one has to wait.

    If the oldest request has waited too long to meet its target, the oldest
    request that can still meet it is evaluated as well.

    Returns:
        The number of requests evaluated, and when to evaluate the class again.
    """
    evaluated = 0
    since = -math.inf
    has_blocked = False
    while evaluated < limit:
        waiter = request_class.first_since(since)
        if waiter is None:
            break
        evaluated += 1
        decision = decide(waiter)
        if decision.action is not policy.Action.WAIT:
            continue
        sendable_since = now - decision.max_sendable_wait_s
        if has_blocked or not waiter.job.arrived < sendable_since <= now:
            return (
                evaluated,
                now + min(decision.recheck_after_s, BLOCKED_RECHECK_S),
            )
        since, has_blocked = sendable_since, True
    return evaluated, now


def reject_unreachable(
    queues: Sequence[queue.WorkspaceQueue],
    rates: Mapping[str, dispatch_rate.DispatchRate],
    try_reject: Callable[[queue.Waiter, float], bool],
    now: float,
) -> None:
    """Rejects requests that are not expected to be sent by their deadlines.

    Of each queue both ends are checked: the newest request waits behind the
    most others, and the oldest has the least time left.

    Args:
        queues: All queues, in fair order.
        rates: Dispatch rate by service; other services are left alone.
        try_reject: Rejects a request if the given expected wait is too long
            for it; returns whether it did.
        now: The time.
    """
    before: collections.Counter[str] = collections.Counter()
    for workspace_queue in queues:
        requests = workspace_queue.requests
        rate = rates.get(workspace_queue.service)
        if rate is None:
            continue
        first = before[workspace_queue.service]
        while requests:
            wait_s = rate.expected_wait_s(first + len(requests) - 1, now)
            if not try_reject(requests.newest, wait_s):
                break
        while requests and try_reject(
            requests.oldest, rate.expected_wait_s(first, now)
        ):
            pass
        before[workspace_queue.service] += len(requests)
