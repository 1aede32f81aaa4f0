"""Checks that routers obey the notices that servers give in their answers.

A server may announce its shutdown (Server-Leaving) or ask for no requests for
a time (Retry-After).
"""

from collections.abc import Iterable, Iterator

from soak import callers, programs, world

LEAVE_S = 2.0
"""Time after a router relayed an answer with a shutdown notice from which its
new requests don't reach that server."""

CROSSING_S = 0.5
"""Time during which requests may reach a full server because they were sent
before its Retry-After header arrived."""

MOST_CROSSING = 2
"""Number of requests of one router that may reach a full server after
CROSSING_S."""

SLACK_S = 0.5
"""Tolerance for the delay, on a busy machine, between a router's decision and
the moment at which a server sees its effect."""

_EXCUSES = frozenset(("kill", "term", "pause", "link"))
"""Disturbances of a router that may delay or lose a notice."""

Attempts = dict[str, callers.Attempt]


def broken(
    place: world.World, ended: Iterable[callers.Attempt]
) -> Iterator[str]:
    """Yields one line for each broken promise."""
    attempts = {it.request_id: it for it in ended}
    for change in place.changes:
        back = min(
            (
                it.at
                for it in place.changes
                if it.name == change.name and it.at > change.at
            ),
            default=float("inf"),
        )
        got = [
            it
            for it in place.arrivals
            if it.server == change.name
            and it.at > change.at
            and it.request_id in attempts
        ]
        for program in place.programs:
            own = [
                it
                for it in got
                if attempts[it.request_id].router == program.name
            ]
            if change.kind == "leaves":
                yield from _left(own, attempts, program, back)
            elif change.kind == "full":
                yield from _spared(own, program, back)


def _left(
    own: list[world.Run],
    attempts: Attempts,
    program: programs.Program,
    back: float,
) -> Iterator[str]:
    """Checks the requests of one router to a server that shuts down.

    The notice holds until the time `back`.
    """
    answers = (attempts[it.request_id] for it in own if it.at < back)
    told = min((it.ended_at for it in answers if it.whole), default=back)
    for it in own:
        since_s = attempts[it.request_id].sent_at - told
        if not since_s > LEAVE_S + SLACK_S or it.at >= back:
            continue
        if not _excused(program, told, it.at):
            yield (
                f"{it.request_id}: reached {it.server} {since_s:.2f} s after"
                f" {program.name} had relayed its shutdown notice"
            )


def _spared(
    own: list[world.Run], program: programs.Program, back: float
) -> Iterator[str]:
    """Checks the requests of one router to a server that is full.

    The server is full until the time `back`.
    """
    first = min((it.at for it in own if it.at < back), default=None)
    if first is None:
        return
    begin = first + CROSSING_S + SLACK_S
    end = first + world.ADVICE_S - SLACK_S
    late = [it for it in own if begin < it.at < end]
    if len(late) > MOST_CROSSING and not _excused(program, first, end):
        yield (
            f"{len(late)} requests of {program.name} reached"
            f" {late[0].server} within the time of its Retry-After header"
        )


def _excused(program: programs.Program, begin: float, end: float) -> bool:
    return any(
        it.kind in _EXCUSES and it.begin <= end and it.end >= begin
        for it in program.disturbed
    )
