"""Counts arrivals, decisions and waits per second, from routers' log files.

The counts distinguish an overloaded router from engines without headroom, and a
workspace that is limited to its share from one whose routers are overloaded.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
import dataclasses
import datetime
import math
import pathlib
import statistics
from typing import Any, TypeAlias

from tamarackbridge.components.telemetry import log_files

Line: TypeAlias = Mapping[str, Any]

_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

_DECIDED = frozenset({"Placed", "NotAdmitted", "Refused", "CallerLeft", "Cut"})
"""Events that end a request's wait in the router; the first one of a request
counts."""

_HEADINGS = (
    "second",
    "group",
    "routers",
    "came",
    "placed",
    "over share",
    "in share",
    "router busy",
    "other",
    "left",
    "waiting",
    "wait s",
    "share",
    "spare",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The requests of one group in one second.

    A step is one row of the printed table, whose columns are named alike.

    Attributes:
        second: The second, counted from the start of the timeline.
        group: The workspace or router; empty if unknown.
        routers: Number of requests that arrived, by router.
        came: Number of requests that arrived.
        placed: Number of requests sent to a server; each attempt counts.
        over_share: Number of rejected requests beyond their workspace's share.
        in_share: Number of rejected requests within their workspace's share.
        router_busy: Number of requests that an overloaded router rejected
            without parsing them.
        other: Number of requests rejected for another reason.
        left: Number of requests whose caller left before a decision.
        waiting: Number of requests without a decision at the end of the second.
        wait_s: Median wait of the placed requests.
        share: Median of served work divided by limit of the workspace, at the
            decisions; 1 if it had got its whole share.
        spare: Median headroom of the engines at the decisions, from -1 to 1.
    """

    second: int
    group: str
    routers: Mapping[str, int]
    came: int
    placed: int
    over_share: int
    in_share: int
    router_busy: int
    other: int
    left: int
    waiting: int
    wait_s: float
    share: float
    spare: float


@dataclasses.dataclass(slots=True)
class _Request:
    """What the log lines of one request show; times are Unix times."""

    node: str
    arrived: float
    decided: float
    workspace: str = ""
    not_admitted: bool = False


@dataclasses.dataclass(slots=True)
class _Sums:
    """Counts and values of one step, before the medians are taken."""

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    routers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waits: list[float] = dataclasses.field(default_factory=list)
    shares: list[float] = dataclasses.field(default_factory=list)
    spares: list[float] = dataclasses.field(default_factory=list)


def read(
    paths: Iterable[pathlib.Path],
    by: str = "workspace",
    start: datetime.datetime | None = None,
) -> list[Step]:
    """Returns the timeline of log files.

    Args:
        paths: Log files, in any order.
        by: How requests are grouped, "workspace" or "node".
        start: Begin of second 0, in UTC unless it has a time zone; None for
            the arrival of the first request.

    Raises:
        OSError: A file can't be read.
    """
    lines = (line for path in paths for line in log_files.read(path))
    if start is not None and start.tzinfo is None:
        start = start.replace(tzinfo=datetime.UTC)
    return count(lines, by, None if start is None else start.timestamp())


def count(
    lines: Iterable[Line], by: str = "workspace", start: float | None = None
) -> list[Step]:
    """Returns the timeline of log lines, ordered by second and group.

    Args:
        lines: Log lines, in any order.
        by: How requests are grouped, "workspace" or "node".
        start: Begin of second 0 as a Unix time; None for the arrival of the
            first request.
    """
    timed = [
        (at, line)
        for line in lines
        if line.get("event") in _DECIDED
        and (at := _parse_time(line)) is not None
    ]
    timed.sort(key=lambda entry: entry[0])
    requests = _requests(timed)
    if not requests:
        return []
    if start is None:
        start = min(request.arrived for request in requests.values())
    sums: collections.defaultdict[tuple[int, str], _Sums]
    sums = collections.defaultdict(_Sums)
    for req in requests.values():
        _add_request(sums, req, _group(req, by), start)
    for at, line in timed:
        req = requests[str(line.get("request", ""))]
        step_sums = sums[math.floor(at - start), _group(req, by)]
        _add_line(step_sums, line, req, at)
    return [_step(key, sums[key]) for key in sorted(sums)]


def routers(steps: Iterable[Step]) -> collections.Counter[str]:
    """Returns the number of requests that arrived at each router."""
    total: collections.Counter[str] = collections.Counter()
    for step in steps:
        total.update(step.routers)
    return total


def table(steps: Sequence[Step]) -> Iterator[str]:
    """Yields the lines of a table, headings first."""
    texts = [_HEADINGS, *(_cells(step) for step in steps)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = zip(row, widths, strict=True)
        yield "  ".join(cell.rjust(width) for cell, width in cells)


def _parse_time(line: Line) -> float | None:
    try:
        at = datetime.datetime.strptime(str(line.get("time")), _TIME_FORMAT)
    except ValueError:
        return None
    return at.replace(tzinfo=datetime.UTC).timestamp()


def _requests(timed: Iterable[tuple[float, Line]]) -> dict[str, _Request]:
    """Returns the requests in log lines, by identifier.

    Args:
        timed: Lines with their times, in order of time.
    """
    requests: dict[str, _Request] = {}
    for at, line in timed:
        request = str(line.get("request", ""))
        elapsed_s = float(line.get("waited_s", line.get("seconds", 0.0)))
        req = requests.get(request)
        if req is None:
            req = _Request(str(line.get("node", "")), at - elapsed_s, at)
            requests[request] = req
        req.workspace = req.workspace or str(line.get("workspace", ""))
        req.not_admitted |= line["event"] == "NotAdmitted"
    return requests


def _group(req: _Request, by: str) -> str:
    return req.node if by == "node" else req.workspace


def _add_request(
    sums: Mapping[tuple[int, str], _Sums],
    req: _Request,
    group: str,
    start: float,
) -> None:
    """Counts a request in the second of its arrival and in those it waited."""
    arrived = math.floor(req.arrived - start)
    decided = math.floor(req.decided - start)
    sums[arrived, group].counts["came"] += 1
    sums[arrived, group].routers[req.node] += 1
    for second in range(arrived, decided):
        sums[second, group].counts["waiting"] += 1


def _add_line(sums: _Sums, line: Line, req: _Request, at: float) -> None:
    """Counts a decision; a rejection also written as `Refused` counts once."""
    event = line["event"]
    if event in ("Placed", "NotAdmitted"):
        sums.shares.append(float(line.get("share", 0.0)))
        sums.spares.append(float(line.get("spare", 0.0)))
    if event == "Placed":
        sums.counts["placed"] += 1
        sums.waits.append(float(line.get("waited_s", 0.0)))
    elif event == "NotAdmitted":
        sums.counts[_rejection(line)] += 1
    elif event == "Refused" and not req.not_admitted:
        is_overloaded = line.get("reason") == "router_overloaded"
        sums.counts["router_busy" if is_overloaded else "other"] += 1
    elif event == "CallerLeft" and at == req.decided:
        sums.counts["left"] += 1


def _rejection(line: Line) -> str:
    """Returns the count that an event `NotAdmitted` belongs to."""
    if line.get("reason") not in ("overloaded", "deadline"):
        return "other"
    return "in_share" if line.get("within", True) else "over_share"


def _step(key: tuple[int, str], sums: _Sums) -> Step:
    counts = sums.counts
    return Step(
        second=key[0],
        group=key[1],
        routers=sums.routers,
        came=counts["came"],
        placed=counts["placed"],
        over_share=counts["over_share"],
        in_share=counts["in_share"],
        router_busy=counts["router_busy"],
        other=counts["other"],
        left=counts["left"],
        waiting=counts["waiting"],
        wait_s=_median(sums.waits),
        share=_median(sums.shares),
        spare=_median(sums.spares),
    )


def _median(values: Sequence[float]) -> float:
    return statistics.median(values) if values else math.nan


def _cells(step: Step) -> tuple[str, ...]:
    return (
        str(step.second),
        step.group or "(unknown)",
        str(len(step.routers)),
        str(step.came),
        str(step.placed),
        str(step.over_share),
        str(step.in_share),
        str(step.router_busy),
        str(step.other),
        str(step.left),
        str(step.waiting),
        _format_value(step.wait_s),
        _format_value(step.share),
        _format_value(step.spare),
    )


def _format_value(value: float) -> str:
    return "-" if math.isnan(value) else f"{value:.2f}"
