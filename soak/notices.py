"""Checks that routers obey the notices that servers give in their answers.

A server may announce its shutdown (Server-Leaving) or ask for no requests for
a time (Retry-After).
"""

from collections.abc import Iterable, Iterator

from soak import callers, environment, programs

SHUTDOWN_NOTICE_S = 2.0
"""Time after a router relayed an answer with a shutdown notice from which its
new requests don't reach that server."""

IN_TRANSIT_S = 0.5
"""Time during which requests may reach a full server because they were sent
before its Retry-After header arrived."""

MAX_LATE_REQUESTS = 2
"""Number of requests of one router that may reach a full server after
IN_TRANSIT_S."""

TOLERANCE_S = 0.5
"""Tolerance for the delay, on a busy machine, between a router's decision and
the moment at which a server sees its effect."""

_EXCUSES = frozenset(("kill", "term", "pause", "link"))
"""Disturbances of a router that may delay or lose a notice."""

Requests = dict[str, callers.ClientRequest]


def find_broken_promises(
    env: environment.Environment,
    ended_requests: Iterable[callers.ClientRequest],
) -> Iterator[str]:
    """Yields one line for each broken promise."""
    requests = {request.request_id: request for request in ended_requests}
    for change in env.changes:
        until = min(
            (
                other.at
                for other in env.changes
                if other.name == change.name
                and other.at > change.at
                and other.kind != "disturbs"
            ),
            default=float("inf"),
        )
        server_arrivals = [
            arrival
            for arrival in env.arrivals
            if arrival.server == change.name
            and arrival.at > change.at
            and arrival.request_id in requests
        ]
        for router in env.routers:
            arrivals = [
                arrival
                for arrival in server_arrivals
                if requests[arrival.request_id].router == router.name
            ]
            if change.kind == "leaves":
                yield from _check_shutdown_notice(
                    arrivals, requests, router, until
                )
            elif change.kind == "full":
                yield from _check_retry_after(
                    arrivals, router, until, _next_death(env, change)
                )


def _next_death(
    env: environment.Environment, change: environment.Change
) -> float:
    """Returns when the server of a change dies next; infinite if it doesn't."""
    return min(
        (
            other.at
            for other in env.changes
            if other.name == change.name
            and other.at > change.at
            and other.kind == "dies"
        ),
        default=float("inf"),
    )


def _check_shutdown_notice(
    arrivals: list[environment.RequestRecord],
    requests: Requests,
    router: programs.RouterProcess,
    until: float,
) -> Iterator[str]:
    """Checks the requests of one router to a server that shuts down.

    The notice holds until the time `until`.
    """
    answers = (
        requests[arrival.request_id]
        for arrival in arrivals
        if arrival.at < until
    )
    notified_at = min(
        (answer.ended_at for answer in answers if answer.complete),
        default=until,
    )
    for arrival in arrivals:
        since_s = requests[arrival.request_id].sent_at - notified_at
        if not since_s > SHUTDOWN_NOTICE_S + TOLERANCE_S or arrival.at >= until:
            continue
        if not _is_excused(router, notified_at, arrival.at):
            yield (
                f"{arrival.request_id}: reached {arrival.server}"
                f" {since_s:.2f} s after {router.name} had relayed its shutdown"
                " notice"
            )


def _check_retry_after(
    arrivals: list[environment.RequestRecord],
    router: programs.RouterProcess,
    until: float,
    dies_at: float,
) -> Iterator[str]:
    """Checks the requests of one router to a server that is full.

    The server is full until the time `until`. What it asked for ends with its
    process, at the time `dies_at`.
    """
    first = min(
        (arrival.at for arrival in arrivals if arrival.at < until), default=None
    )
    if first is None:
        return
    begin = first + IN_TRANSIT_S + TOLERANCE_S
    end = min(first + environment.RETRY_AFTER_S - TOLERANCE_S, dies_at)
    late = [arrival for arrival in arrivals if begin < arrival.at < end]
    if len(late) > MAX_LATE_REQUESTS and not _is_excused(router, first, end):
        yield (
            f"{len(late)} requests of {router.name} reached"
            f" {late[0].server} within the time of its Retry-After header"
        )


def _is_excused(
    router: programs.RouterProcess, begin: float, end: float
) -> bool:
    return any(
        disturbance.kind in _EXCUSES
        and disturbance.begin <= end
        and disturbance.end >= begin
        for disturbance in router.disturbances
    )
