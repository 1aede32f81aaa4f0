"""Checks of the promises that routers keep under every fault.

They compare the requests that callers sent with those that servers ran.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping

from soak import callers, notices, programs, world
from standins import platform_server

REVOKED_S = 5.0
"""Time after the revocation of an API key from which no router accepts it."""

LEAVE_S = 2.0
"""Time after which a draining server gets no further requests."""

EVACUATED_S = 5.0
"""Time after which an evacuated zone gets no further requests."""

SETTLE_S = 3.0
"""Time after a disturbance during which a router still counts as disturbed."""

SLACK_S = 0.5
"""Tolerance for the delay, on a busy machine, between a router's decision and
the moment at which a server sees its effect."""

NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that say that no server has run the request."""

WHOLE_STREAM = list(range(platform_server.EVENTS))
"""Numbers of the events of a complete stream."""

Runs = Mapping[str, list[world.Run]]


def all_of(
    place: world.World, attempts: Iterable[callers.Attempt]
) -> list[str]:
    """Returns one line for each broken promise."""
    runs: dict[str, list[world.Run]] = collections.defaultdict(list)
    for run in place.runs:
        runs[run.request_id].append(run)
    ended = [it for it in attempts if it.ended_at]
    found = [line for it in ended for line in _attempt(it, runs)]
    found.extend(_revoked(place, ended, runs))
    found.extend(_left(place))
    found.extend(notices.broken(place, ended))
    found.extend(_shutdowns(place, ended))
    for program in place.programs:
        program.check_exit()
        found.extend(program.failures)
    return found


def _attempt(attempt: callers.Attempt, runs: Runs) -> Iterator[str]:
    ran = len(runs.get(attempt.request_id, ()))
    once = attempt.route in ("pay", "stream")
    if ran > (1 if once else 2):
        yield f"{attempt.request_id} {attempt.route}: ran {ran} times"
    if attempt.status in NOT_RUN and ran:
        yield f"{attempt.request_id}: status {attempt.status}, but it ran"
    if attempt.status == 200:
        yield from _answer(attempt)


def _answer(attempt: callers.Attempt) -> Iterator[str]:
    name = attempt.request_id
    if attempt.answer_id != name:
        yield f"{name}: got the answer to {attempt.answer_id!r}"
    if attempt.streams:
        events = attempt.events
        if events != WHOLE_STREAM[: len(events)]:
            yield f"{name}: got events {events}, expected 0, 1, 2 ..."
        if attempt.whole and events != WHOLE_STREAM:
            yield f"{name}: stream of events {events} ended as if complete"
    elif attempt.whole and attempt.body != f"answer to {name}".encode():
        yield f"{name}: unexpected answer {attempt.body[:60]!r}"


def _revoked(
    place: world.World, attempts: Iterable[callers.Attempt], runs: Runs
) -> Iterator[str]:
    revoked = {it.name: it.at for it in place.changes if it.kind == "revoke"}
    for attempt in attempts:
        since = attempt.sent_at - revoked.get(attempt.key, float("inf"))
        if since > REVOKED_S and runs.get(attempt.request_id):
            yield (
                f"{attempt.request_id}: ran with an API key that was"
                f" revoked {since:.2f} s before the request was sent"
            )


def _left(place: world.World) -> Iterator[str]:
    """Checks that draining servers and evacuated zones get no requests.

    Times in which a router could not read the store are left out.
    """
    for change in place.changes:
        limit_s = {"drain": LEAVE_S, "out": EVACUATED_S}.get(change.kind)
        if limit_s is None:
            continue
        back = _back_at(place, change)
        begin = change.at + limit_s + SLACK_S
        for run in place.runs:
            concerned = change.name in (run.server, run.zone)
            if concerned and begin < run.at < back:
                if _any_disturbed(place, change.at, run.at):
                    continue
                yield (
                    f"{run.request_id}: ran in {change.name}"
                    f" {run.at - change.at:.2f} s after {change.kind}"
                )


def _back_at(place: world.World, change: world.Change) -> float:
    later = (
        it.at
        for it in place.changes
        if it.name == change.name and it.at > change.at
    )
    return min(later, default=float("inf"))


def _any_disturbed(place: world.World, begin: float, end: float) -> bool:
    """Returns whether some router could not read the store in this time."""
    return any(
        _overlap(it, begin, end)
        for program in place.programs
        for it in program.disturbed
        if it.kind in ("store", "pause")
    )


def _shutdowns(
    place: world.World, attempts: Iterable[callers.Attempt]
) -> Iterator[str]:
    """Checks that SIGTERM alone leaves no request without an answer.

    Requests that overlap with any other disturbance of the router are left
    out.
    """
    terms = {it.name: first_terms(it.disturbed) for it in place.programs}
    rough = {
        program.name: [it for it in program.disturbed if it.kind != "term"]
        for program in place.programs
    }
    for attempt in attempts:
        if attempt.whole or attempt.left or attempt.status:
            continue
        begin, end = attempt.sent_at, attempt.ended_at
        if any(_overlap(it, begin, end) for it in rough[attempt.router]):
            continue
        for term in terms[attempt.router]:
            # After SETTLE_S the balancer has seen that the router is not
            # ready, and the router closes its listener.
            if term.begin <= begin < term.begin + SETTLE_S:
                yield (
                    f"{attempt.request_id}: no answer, sent"
                    f" {begin - term.begin:.2f} s after SIGTERM of"
                    f" {attempt.router}: {attempt.error}"
                )


def first_terms(
    disturbed: Iterable[programs.Disturbance],
) -> list[programs.Disturbance]:
    """Returns the SIGTERMs that began a shutdown.

    A further SIGTERM during a shutdown does not start it anew.
    """
    found: list[programs.Disturbance] = []
    for it in disturbed:
        if it.kind != "term" or (found and it.begin < found[-1].end):
            continue
        found.append(it)
    return found


def _overlap(
    disturbance: programs.Disturbance, begin: float, end: float
) -> bool:
    return disturbance.begin <= end and disturbance.end + SETTLE_S >= begin
