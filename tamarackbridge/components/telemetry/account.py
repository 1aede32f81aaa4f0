"""Counts how requests ended, from the log files of several routers.

Answers "what was lost, and by what" for a whole period, as `trace` does for one
request.
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
class Account:
    """How requests ended.

    Attributes:
        ends: Number of requests by group and by how they ended.
        seconds: Mean time until each kind of end, by group and end.
    """

    ends: Mapping[str, Mapping[str, int]]
    seconds: Mapping[str, Mapping[str, float]]


def read(paths: Iterable[pathlib.Path], by: str = "route") -> Account:
    """Returns how the requests in log files ended.

    Args:
        paths: Log files, in any order.
        by: Field of the lines that tells the group of a request.

    Raises:
        OSError: A file can't be read.
    """
    return count((line for path in paths for line in log_files.read(path)), by)


def count(lines: Iterable[Line], by: str = "route") -> Account:
    """Returns how the requests in log lines ended."""
    groups: dict[str, str] = {}
    ended: list[tuple[str, str, float]] = []
    for line in lines:
        request = str(line.get("request", ""))
        if line.get(by):
            groups[request] = str(line[by])
        end = end_of(line)
        if end:
            ended.append((request, end, float(line.get("seconds", 0.0))))
    ends: dict[str, collections.Counter[str]] = {}
    sums: dict[str, collections.Counter[str]] = {}
    for request, end, seconds in ended:
        group = groups.get(request, "")
        ends.setdefault(group, collections.Counter())[end] += 1
        total: Any = sums.setdefault(group, collections.Counter())
        total[end] += seconds
    means = {
        group: {end: sums[group][end] / ends[group][end] for end in found}
        for group, found in ends.items()
    }
    return Account(ends, means)


def end_of(line: Line) -> str:
    """Returns how a request ended by one line; empty if it goes on."""
    event = str(line.get("event", ""))
    return _ENDS[event](line) if event in _ENDS else ""


def table(account: Account) -> Iterator[str]:
    """Yields the lines of a table: a group a block, its largest end first."""
    for group, ends in sorted(account.ends.items()):
        total = sum(ends.values())
        yield f"{group or '(unknown)'}: {total} requests"
        for end, number in sorted(ends.items(), key=lambda it: -it[1]):
            part = number / total
            mean_s = account.seconds[group][end]
            yield f"  {part:6.1%} {number:7d}  {end}, after {mean_s:.3f} s"


def _answered(line: Line) -> str:
    if int(line.get("status", 0)) >= 500:
        return "failed by server"
    if float(line["first_event_s"]) > float(line["target_s"]):
        return LATE
    allowed_s = float(line["allowed_pause_s"])
    if 0 < allowed_s < float(line["longest_pause_s"]):
        return PAUSED
    return IN_TIME


def _refused(line: Line) -> str:
    return f"answered {line.get('status')}, {line.get('reason')}"


def _cut(line: Line) -> str:
    return f"cut, {line.get('by')}"


def _left(line: Line) -> str:
    del line
    return "caller left"


_ENDS: Mapping[str, Callable[[Line], str]] = {
    "Answered": _answered,
    "Refused": _refused,
    "Cut": _cut,
    "CallerLeft": _left,
}
