"""Checks of the promises that routers keep under every fault.

They compare the requests that callers sent with those that servers ran.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping

from soak import callers, environment, notices, programs
from standins import platform_server
from tamarackbridge.components.gateway import instance_check, retries

REVOCATION_S = 5.0
"""Time after the revocation of an API key from which no router accepts it."""

DRAIN_S = 2.0
"""Time after which a draining server gets no further requests."""

EVACUATION_S = 5.0
"""Time after which an evacuated zone gets no further requests."""

SETTLE_S = 3.0
"""Time after a disturbance during which a router still counts as disturbed."""

TOLERANCE_S = 0.5
"""Tolerance for the delay, on a busy machine, between a router's decision and
the moment at which a server sees its effect."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that say that no server has run the request."""

_DISRUPTIONS = frozenset(("dies", "starts", "disturbs"))
"""Changes of a server that end no order of an operator."""

COMPLETE_STREAM = list(range(platform_server.EVENTS))
"""Numbers of the events of a complete stream."""

Runs = Mapping[str, list[environment.RequestRecord]]


def find_broken_promises(
    env: environment.Environment, requests: Iterable[callers.ClientRequest]
) -> list[str]:
    """Returns one line for each broken promise."""
    runs: dict[str, list[environment.RequestRecord]] = collections.defaultdict(
        list
    )
    for run in env.runs:
        runs[run.request_id].append(run)
    ended_requests = [request for request in requests if request.ended_at]
    lines = [
        line
        for request in ended_requests
        for line in _check_request(request, runs)
    ]
    lines.extend(_check_revocations(env, ended_requests, runs))
    lines.extend(_check_drains(env))
    lines.extend(notices.find_broken_promises(env, ended_requests))
    lines.extend(_check_shutdowns(env, ended_requests))
    lines.extend(_check_whole_streams(env, ended_requests, runs))
    for router in env.routers:
        router.check_exit()
        lines.extend(router.failures)
    return lines


def _check_request(request: callers.ClientRequest, runs: Runs) -> Iterator[str]:
    ran = runs.get(request.request_id, ())
    run_count = len(ran)
    servers = len({run.server for run in ran})
    not_retried = request.route in ("pay", "stream")
    repeats = retries.MAX_REPEATS if request.route == "resumed" else 0
    if servers > 2 or run_count > (1 if not_retried else 2 + repeats):
        yield (
            f"{request.request_id} {request.route}: ran {run_count} times on"
            f" {servers} servers"
        )
    if request.status in NOT_RUN_STATUSES and run_count:
        yield f"{request.request_id}: status {request.status}, but it ran"
    if request.status == 200:
        yield from check_answer(request)


def check_answer(request: callers.ClientRequest) -> Iterator[str]:
    """Checks the bytes of an answer of status 200, and what its end says.

    No stream may end as if complete before its last event, whatever its server
    did, and whether its end is marked or not: its caller would take it for
    whole. A caller that resumes a broken stream must get all its events, in
    order, each once.
    """
    name = request.request_id
    if request.answer_id != name:
        yield f"{name}: got the answer to {request.answer_id!r}"
    if request.is_stream:
        events = request.joined_events
        if events != COMPLETE_STREAM[: len(events)]:
            yield f"{name}: got events {events}, expected 0, 1, 2 ..."
        if request.complete and events != COMPLETE_STREAM:
            yield (
                f"{name} {request.route}: stream of events {events} ended as if"
                " complete"
            )
    elif request.complete and request.body != f"answer to {name}".encode():
        yield f"{name}: unexpected answer {request.body[:60]!r}"


def _check_revocations(
    env: environment.Environment,
    requests: Iterable[callers.ClientRequest],
    runs: Runs,
) -> Iterator[str]:
    revoked_at = {
        change.name: change.at
        for change in env.changes
        if change.kind == "revoke"
    }
    for request in requests:
        since_s = request.sent_at - revoked_at.get(request.key, float("inf"))
        if since_s > REVOCATION_S and runs.get(request.request_id):
            yield (
                f"{request.request_id}: ran with an API key that was"
                f" revoked {since_s:.2f} s before the request was sent"
            )


def _check_drains(env: environment.Environment) -> Iterator[str]:
    """Checks that draining servers and evacuated zones get no requests.

    Times in which a router could not read the store are left out.
    """
    for change in env.changes:
        limit_s = {"drain": DRAIN_S, "out": EVACUATION_S}.get(change.kind)
        if limit_s is None:
            continue
        returned_at = _find_return(env, change)
        begin = change.at + limit_s + TOLERANCE_S
        for run in env.runs:
            is_concerned = change.name in (run.server, run.zone)
            if is_concerned and begin < run.at < returned_at:
                if _was_store_unreadable(env, change.at, run.at):
                    continue
                yield (
                    f"{run.request_id}: ran in {change.name}"
                    f" {run.at - change.at:.2f} s after {change.kind}"
                )


def _find_return(
    env: environment.Environment, change: environment.Change
) -> float:
    later = (
        other.at
        for other in env.changes
        if other.name == change.name
        and other.at > change.at
        and other.kind not in _DISRUPTIONS
    )
    return min(later, default=float("inf"))


def _was_store_unreadable(
    env: environment.Environment, begin: float, end: float
) -> bool:
    """Returns whether some router could not read the store in this time."""
    return any(
        _overlaps(disturbance, begin, end)
        for router in env.routers
        for disturbance in router.disturbances
        if disturbance.kind in ("store", "pause")
    )


def _check_shutdowns(
    env: environment.Environment, requests: Iterable[callers.ClientRequest]
) -> Iterator[str]:
    """Checks that SIGTERM alone leaves no request without an answer.

    Requests that overlap with any other disturbance of the router are left
    out.
    """
    shutdowns = {
        process.name: find_shutdown_starts(process.disturbances)
        for process in env.routers
    }
    other_disturbances = {
        router.name: [
            disturbance
            for disturbance in router.disturbances
            if disturbance.kind != "term"
        ]
        for router in env.routers
    }
    for request in requests:
        if request.complete or request.abandoned or request.status:
            continue
        begin, end = request.sent_at, request.ended_at
        if any(
            _overlaps(disturbance, begin, end)
            for disturbance in other_disturbances[request.router]
        ):
            continue
        for shutdown in shutdowns[request.router]:
            # After SETTLE_S the balancer has seen that the router is not
            # ready, and the router closes its listener.
            if shutdown.begin <= begin < shutdown.begin + SETTLE_S:
                yield (
                    f"{request.request_id}: no answer, sent"
                    f" {begin - shutdown.begin:.2f} s after SIGTERM of"
                    f" {request.router}: {request.error}"
                )


def _check_whole_streams(
    env: environment.Environment,
    requests: Iterable[callers.ClientRequest],
    runs: Runs,
) -> Iterator[str]:
    """Checks that no whole stream is reset only because nothing marks its end.

    Left out are routers that were disturbed, other than by a SIGTERM, and
    servers whose link was, or that died: one that had just started may not be
    told from another process if its registration is outdated.
    """
    started_s = instance_check.MAX_CLOCK_SKEW_MS / 1000
    for request in requests:
        events = request.joined_events
        if not request.is_broken_stream or events != COMPLETE_STREAM:
            continue
        ran = runs.get(request.request_id, ())
        if not ran or ran[0].fault is not platform_server.Fault.UNFRAMED:
            continue
        begin, end = request.sent_at, request.ended_at
        router = next(
            each for each in env.routers if each.name == request.router
        )
        if any(
            _overlaps(disturbance, begin, end)
            for disturbance in router.disturbances
            if disturbance.kind not in ("term", "store")
        ):
            continue
        servers = {run.server for run in ran}
        if any(
            change.kind in _DISRUPTIONS
            and change.name in servers
            and begin - started_s <= change.at <= end + TOLERANCE_S
            for change in env.changes
        ):
            continue
        yield (
            f"{request.request_id} {request.route}: whole stream was reset,"
            f" answers: {', '.join(str(run.fault) for run in ran)}"
        )


def find_shutdown_starts(
    disturbances: Iterable[programs.Disturbance],
) -> list[programs.Disturbance]:
    """Returns the SIGTERMs that began a shutdown.

    A further SIGTERM during a shutdown does not start it anew.
    """
    starts: list[programs.Disturbance] = []
    for disturbance in disturbances:
        if disturbance.kind != "term" or (
            starts and disturbance.begin < starts[-1].end
        ):
            continue
        starts.append(disturbance)
    return starts


def _overlaps(
    disturbance: programs.Disturbance, begin: float, end: float
) -> bool:
    return disturbance.begin <= end and disturbance.end + SETTLE_S >= begin
