"""Tables of the measurement of streams' ends, in Markdown."""

from collections.abc import Iterable, Sequence
import statistics
from typing import TypeAlias

from bench import stream_ends_caller, stream_ends_outcomes

_Verdict = stream_ends_caller.Verdict
_EVENTS = stream_ends_caller.EVENTS
_Outcomes: TypeAlias = Sequence[stream_ends_outcomes.Outcome]
_HABITS = stream_ends_outcomes.HABITS
_ROUTES = {"again": "resumable", "once": "not resumable"}


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints a table in Markdown."""
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(str(each) for each in row) + " |")
    print(flush=True)


def print_all(outcomes: _Outcomes, before: _Outcomes) -> None:
    """Prints all tables.

    Args:
        outcomes: The outcomes.
        before: Those of an earlier run, shown beside them; empty for none.
    """
    _print_errors(outcomes, before)
    _print_cells(outcomes, before)
    _print_resumptions(outcomes)
    _print_primers(outcomes)


def _print_errors(outcomes: _Outcomes, before: _Outcomes) -> None:
    print("Both errors, by what the caller received (cut: fewer than 12")
    print("events)" + (", before -> now" if before else ""))
    print()
    count = stream_ends_outcomes.count_errors
    names = ("habit", "route", "framing_group", "version")
    earlier = stream_ends_outcomes.group(before, *names)
    rows = []
    for key, found in stream_ends_outcomes.group(outcomes, *names).items():
        habit, route, framing, version = key
        first = (_HABITS[habit], _ROUTES[route], framing, version)
        counts = map(_change, count(earlier.get(key, [])), count(found))
        rows.append((*first, *counts))
    total = map(_change, count(before), count(outcomes))
    rows.append(("all", "", "", "", *total))
    head = ("service", "route", "first server", "caller HTTP")
    errors = ("cut told as whole", "whole told as cut", "refused")
    print_table((*head, *errors), rows)


def _change(before: str, now: str) -> str:
    """Returns an entry, beside the one before if that is another."""
    if before in (now, "", "0 of 0"):
        return now
    return f"{before} -> {now}"


def _cell_rows(outcomes: _Outcomes, before: _Outcomes) -> list[tuple[str, ...]]:
    """Returns a row for all ends of which callers see the same."""
    names = ("framing_group", "ending", "second")
    earlier = stream_ends_outcomes.group(before, *names)
    cells: dict[tuple[str, str], list[str]] = {}
    for key, found in stream_ends_outcomes.group(outcomes, *names).items():
        old = stream_ends_outcomes.merge_cells(earlier.get(key, []))
        now = stream_ends_outcomes.merge_cells(found)
        cells.setdefault((key[0], key[1]), []).append(_change(old, now))
    ends_by_cells: dict[tuple[str, ...], list[str]] = {}
    for (framing, ending), row in cells.items():
        ends_by_cells.setdefault((framing, *row), []).append(ending)
    return [
        (key[0], "; ".join(ends), *key[1:])
        for key, ends in ends_by_cells.items()
    ]


def _print_cells(outcomes: _Outcomes, before: _Outcomes) -> None:
    earlier = stream_ends_outcomes.group(before, "route", "habit")
    for (route,), of_route in stream_ends_outcomes.group(
        outcomes, "route"
    ).items():
        seconds = stream_ends_outcomes.group(of_route, "second")
        names = [second for (second,) in seconds]
        if route == "once":
            names = ["caller sees"]
        habits = stream_ends_outcomes.group(of_route, "habit")
        tables = {
            _HABITS[habit]: _cell_rows(found, earlier.get((route, habit), []))
            for (habit,), found in habits.items()
        }
        if len({str(rows) for rows in tables.values()}) == 1:
            tables = {" or ".join(tables): next(iter(tables.values()))}
        for habit, rows in tables.items():
            print(f"Service that otherwise {habit}, {_ROUTES[route]} route")
            print("(number of events that the caller gets, and their end)")
            print()
            print_table(("first server", "its end", *names), rows)


def _mean(numbers: Iterable[int]) -> str:
    return f"{statistics.mean(numbers):.2f}"


def _seconds(times: Sequence[float]) -> str:
    if not times:
        return ""
    return f"{statistics.median(times):.3f} / {max(times):.3f}"


def _print_resumptions(outcomes: _Outcomes) -> None:
    print("Resumable route: what a caller pays that resumes a broken stream")
    print(
        "(up to 4 times; further requests are answered well, as usual for the"
    )
    print("service; seconds as median / longest, the latter from the break on)")
    print()
    rows = []
    resumable = [each for each in outcomes if each.route == "again"]
    for (habit, framing, ending), found in stream_ends_outcomes.group(
        resumable, "habit", "framing_group", "ending"
    ).items():
        done = [each.resumption for each in found if each.resumption]
        extra = [each.extra_s for each in done]
        early = sum(each.verdict is _Verdict.CUT_AS_WHOLE for each in found)
        rows.append(
            (
                _HABITS[habit],
                framing,
                ending,
                len(found),
                early,
                len(done),
                sum(each.events == _EVENTS for each in done),
                sum(each.says_whole for each in done),
                _mean(each.requests for each in found),
                _mean(each.requests_resumed for each in found),
                _seconds([each.took_s for each in found]),
                _seconds(extra),
            )
        )
    head = (
        "service",
        "first server",
        "its end",
        "streams",
        "told whole too early",
        "broken",
        "all events after resuming",
        "and told as whole",
        "requests at servers for each",
        "with the caller's",
        "seconds of the answer",
        "more by resuming",
    )
    print_table(head, rows)


def _print_primers(outcomes: _Outcomes) -> None:
    print("Whole streams before each case, not resumable route: told as cut")
    print()
    rows = []
    for (habit,), found in stream_ends_outcomes.group(
        outcomes, "habit"
    ).items():
        primers = [each.primers for each in found]
        by_place = [
            sum(not told for told in place)
            for place in zip(*primers, strict=True)
        ]
        total = sum(len(each) for each in primers)
        rows.append((_HABITS[habit], f"{sum(by_place)} of {total}", by_place))
    print_table(("service", "told as cut", "first to last stream"), rows)
