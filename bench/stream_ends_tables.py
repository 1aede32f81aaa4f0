"""Tables of the measurement of streams' ends, in Markdown."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import statistics
from typing import Any

from bench import stream_ends_caller

_Verdict = stream_ends_caller.Verdict
_EVENTS = stream_ends_caller.EVENTS
_HABITS = {True: "marks its ends", False: "never marks its ends"}
_ROUTES = {"again": "resumable", "once": "not resumable"}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one case came to.

    Attributes:
        marks: Whether the service otherwise marks its ends.
        route: `again` if the route is resumable, else `once`.
        version: HTTP version of the caller.
        framing: Framing of the first server's stream.
        ending: Its end.
        second: Answer to the next request.
        primers: Whether each whole stream before the case was told as whole.
        status: Status of the answer.
        events: Numbers of its events.
        end: How it ended.
        took_s: Seconds until it ended.
        requests: Requests that reached servers for it.
        requests_resumed: The same with the caller's resumptions.
        resumption: What they came to; None if there were none.
    """

    marks: bool
    route: str
    version: str
    framing: str
    ending: str
    second: str
    primers: tuple[bool, ...]
    status: int
    events: tuple[int, ...]
    end: stream_ends_caller.End
    took_s: float
    requests: int
    requests_resumed: int
    resumption: stream_ends_caller.Resumption | None

    @property
    def says_whole(self) -> bool:
        """Whether the caller takes the answer for a whole stream."""
        answer = stream_ends_caller.Answer(self.status, self.events, self.end)
        return answer.says_whole

    @property
    def verdict(self) -> stream_ends_caller.Verdict:
        """What the end told the caller, and whether it was true."""
        return stream_ends_caller.judge(len(set(self.events)), self.says_whole)

    @property
    def cell(self) -> str:
        """Entry in a table; cut told as whole is bold, whole as cut italic."""
        text = f"{len(self.events)} {self.end.value}"
        if self.status != 200:
            text += f" ({self.status})"
        mark = {_Verdict.CUT_AS_WHOLE: "**", _Verdict.WHOLE_AS_CUT: "_"}
        return f"{mark.get(self.verdict, '')}{text}{mark.get(self.verdict, '')}"

    @property
    def framing_group(self) -> str:
        """Framing without the version."""
        return "chunked" if self.framing == "chunked" else "unmarked"

    def to_json(self) -> dict[str, Any]:
        """Returns the figures as JSON values."""
        values = dataclasses.asdict(self)
        return {**values, "end": self.end.value, "verdict": self.verdict.value}


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints a table in Markdown."""
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(str(each) for each in row) + " |")
    print(flush=True)


def _group(
    outcomes: Iterable[Outcome], *names: str
) -> dict[tuple[Any, ...], list[Outcome]]:
    groups: dict[tuple[Any, ...], list[Outcome]] = {}
    for each in outcomes:
        key = tuple(getattr(each, name) for name in names)
        groups.setdefault(key, []).append(each)
    return groups


def merge_cells(outcomes: Sequence[Outcome]) -> str:
    """Returns one cell for several outcomes; names and counts what differs."""
    if len({each.cell for each in outcomes}) == 1:
        return outcomes[0].cell
    parts = []
    for (version,), found in _group(outcomes, "version").items():
        counts = collections.Counter(each.cell for each in found)
        total = len(found)
        texts = [
            cell if count == total else f"{count} of {total} {cell}"
            for cell, count in counts.items()
        ]
        parts.append(f"HTTP/{version}: {', '.join(texts)}")
    return "; ".join(parts)


def print_all(outcomes: Sequence[Outcome]) -> None:
    """Prints all tables."""
    _print_errors(outcomes)
    _print_cells(outcomes)
    _print_resumptions(outcomes)
    _print_primers(outcomes)


def count_errors(outcomes: Sequence[Outcome]) -> tuple[str, str]:
    """Returns how many cut streams were told as whole, and the reverse."""
    verdicts = collections.Counter(each.verdict for each in outcomes)
    cut = verdicts[_Verdict.CUT] + verdicts[_Verdict.CUT_AS_WHOLE]
    whole = verdicts[_Verdict.WHOLE] + verdicts[_Verdict.WHOLE_AS_CUT]
    return (
        f"{verdicts[_Verdict.CUT_AS_WHOLE]} of {cut}",
        f"{verdicts[_Verdict.WHOLE_AS_CUT]} of {whole}",
    )


def _print_errors(outcomes: Sequence[Outcome]) -> None:
    print(
        "Both errors, by what the caller received (cut: fewer than 12 events)"
    )
    print()
    rows: list[tuple[str, ...]] = []
    groups = _group(outcomes, "marks", "route", "framing_group", "version")
    for (marks, route, framing, version), found in groups.items():
        first = (_HABITS[marks], _ROUTES[route], framing, version)
        rows.append((*first, *count_errors(found)))
    rows.append(("all", "", "", "", *count_errors(outcomes)))
    head = ("service", "route", "first server", "caller HTTP")
    print_table((*head, "cut told as whole", "whole told as cut"), rows)


def _cell_rows(outcomes: Sequence[Outcome]) -> list[tuple[str, ...]]:
    """Returns a row for all ends of which callers see the same."""
    ends_by_cells: dict[tuple[str, ...], list[str]] = {}
    for (framing, ending), row in _group(
        outcomes, "framing_group", "ending"
    ).items():
        cells = [merge_cells(found) for found in _group(row, "second").values()]
        ends_by_cells.setdefault((framing, *cells), []).append(ending)
    return [
        (key[0], "; ".join(ends), *key[1:])
        for key, ends in ends_by_cells.items()
    ]


def _print_cells(outcomes: Sequence[Outcome]) -> None:
    for (route,), of_route in _group(outcomes, "route").items():
        seconds = [second for (second,) in _group(of_route, "second")]
        names = seconds if route == "again" else ["caller sees"]
        tables = {
            _HABITS[marks]: _cell_rows(found)
            for (marks,), found in _group(of_route, "marks").items()
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


def _print_resumptions(outcomes: Sequence[Outcome]) -> None:
    print("Resumable route: what a caller pays that resumes a broken stream")
    print(
        "(up to 4 times; further requests are answered well, as usual for the"
    )
    print("service; seconds as median / longest, the latter from the break on)")
    print()
    rows = []
    resumable = [each for each in outcomes if each.route == "again"]
    for (marks, framing, ending), found in _group(
        resumable, "marks", "framing_group", "ending"
    ).items():
        done = [each.resumption for each in found if each.resumption]
        extra = [each.extra_s for each in done]
        early = sum(each.verdict is _Verdict.CUT_AS_WHOLE for each in found)
        rows.append(
            (
                _HABITS[marks],
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


def _print_primers(outcomes: Sequence[Outcome]) -> None:
    print("Whole streams before each case, not resumable route: told as cut")
    print()
    rows = []
    for (marks,), found in _group(outcomes, "marks").items():
        primers = [each.primers for each in found]
        by_place = [
            sum(not told for told in place)
            for place in zip(*primers, strict=True)
        ]
        total = sum(len(each) for each in primers)
        rows.append((_HABITS[marks], f"{sum(by_place)} of {total}", by_place))
    print_table(("service", "told as cut", "first to last stream"), rows)
