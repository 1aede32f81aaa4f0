"""Counts how requests ended, from the log files of several routers.

For the whole period of the files this shows how many requests failed, and why;
the command `trace` shows the same for a single request.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses
import pathlib
from typing import Any, TypeAlias

from tamarackbridge.components.telemetry import log_files

IN_TIME = "in time"
LATE = "late first event"
PAUSED = "paused"

Line: TypeAlias = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeSummary:
    """Numbers of requests and mean durations, by how the requests ended.

    Attributes:
        ends: Number of requests, by group and kind of end.
        mean_s: Mean time from the arrival of a request to its end, by group
            and kind of end.
    """

    ends: Mapping[str, Mapping[str, int]]
    mean_s: Mapping[str, Mapping[str, float]]


def read(paths: Iterable[pathlib.Path], by: str = "route") -> OutcomeSummary:
    """Returns how the requests in log files ended.

    Args:
        paths: Log files, in any order.
        by: Log field by whose value requests are grouped.

    Raises:
        OSError: A file can't be read.
    """
    return count((line for path in paths for line in log_files.read(path)), by)


def count(lines: Iterable[Line], by: str = "route") -> OutcomeSummary:
    """Returns how the requests in log lines ended.

    Args:
        lines: Log lines, in any order.
        by: Log field by whose value requests are grouped.
    """
    group_of: dict[str, str] = {}
    ended: list[tuple[str, str, float]] = []
    for line in lines:
        request = str(line.get("request", ""))
        if line.get(by):
            group_of[request] = str(line[by])
        end = end_of(line)
        if end:
            ended.append((request, end, float(line.get("seconds", 0.0))))
    ends: dict[str, collections.Counter[str]] = {}
    sums: dict[str, collections.Counter[str]] = {}
    for request, end, seconds in ended:
        group = group_of.get(request, "")
        ends.setdefault(group, collections.Counter())[end] += 1
        group_sums: Any = sums.setdefault(group, collections.Counter())
        group_sums[end] += seconds
    means = {
        group: {end: sums[group][end] / ends[group][end] for end in counts}
        for group, counts in ends.items()
    }
    return OutcomeSummary(ends, means)


def end_of(line: Line) -> str:
    """Returns the kind of end that a line records; empty if it records none."""
    event = str(line.get("event", ""))
    return _END_BY_EVENT[event](line) if event in _END_BY_EVENT else ""


def table(summary: OutcomeSummary) -> Iterator[str]:
    """Yields the lines of a table, by group, the most frequent end first."""
    for group, ends in sorted(summary.ends.items()):
        total = sum(ends.values())
        yield f"{group or '(unknown)'}: {total} requests"
        for end, number in sorted(ends.items(), key=lambda item: -item[1]):
            fraction = number / total
            mean_s = summary.mean_s[group][end]
            yield f"  {fraction:6.1%} {number:7d}  {end}, after {mean_s:.3f} s"


def _answered(line: Line) -> str:
    if int(line.get("status", 0)) >= 500:
        return "failed by server"
    if float(line["first_event_s"]) > float(line["target_s"]):
        return LATE
    allowed_s = float(line["allowed_pause_s"])
    if 0 < allowed_s < float(line["longest_pause_s"]):
        return PAUSED
    return IN_TIME


def _rejected(line: Line) -> str:
    return f"answered {line.get('status')}, {line.get('reason')}"


def _cut(line: Line) -> str:
    return f"cut, {line.get('by')}"


def _caller_left(line: Line) -> str:
    del line
    return "caller left"


_END_BY_EVENT: Mapping[str, Callable[[Line], str]] = {
    "Answered": _answered,
    "Refused": _rejected,
    "Cut": _cut,
    "CallerLeft": _caller_left,
}
