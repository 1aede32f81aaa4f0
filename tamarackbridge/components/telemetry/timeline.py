"""Counts what became of requests in each second, from routers' log files.

Tells a router that can't keep up from engines that are full, and a workspace
that is held to its share from one whose routers are too busy to serve it.
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
"""Events that end a request's wait in the router, the first of them."""

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
    """What became of one group's requests in one second.

    Attributes:
        second: The second, counted from the start of the timeline.
        group: The workspace or router; empty if unknown.
        routers: Requests that arrived, by router.
        came: Requests that arrived.
        placed: Requests that were sent to a server, also those sent again.
        over_share: Requests refused that were beyond their workspace's share.
        in_share: Requests within it that were refused.
        router_busy: Requests that the router refused without reading them.
        other: Other answers of the router's own.
        left: Requests whose callers left before a decision.
        waiting: Requests without a decision at the end of the second.
        wait_s: Median wait of the requests that were placed.
        share: Median part of its share that the workspace had had at decisions.
        spare: Median capacity that the fleet saw at the engines then.
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
    node: str
    arrived: float
    decided: float
    workspace: str = ""
    not_admitted: bool = False


@dataclasses.dataclass(slots=True)
class _Sums:
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
        start: Begin of second 0, in UTC unless it names another time zone;
            None for the first request's arrival.

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
    """Returns the timeline of log lines, by second and group."""
    timed = [
        (at, line)
        for line in lines
        if line.get("event") in _DECIDED and (at := _time(line)) is not None
    ]
    timed.sort(key=lambda it: it[0])
    requests = _requests(timed)
    if not requests:
        return []
    if start is None:
        start = min(it.arrived for it in requests.values())
    sums: collections.defaultdict[tuple[int, str], _Sums]
    sums = collections.defaultdict(_Sums)
    for req in requests.values():
        _add_request(sums, req, _group(req, by), start)
    for at, line in timed:
        req = requests[str(line.get("request", ""))]
        sums_of = sums[math.floor(at - start), _group(req, by)]
        _add_line(sums_of, line, req, at)
    return [_step(key, sums[key]) for key in sorted(sums)]


def routers(steps: Iterable[Step]) -> collections.Counter[str]:
    """Returns how many of the requests arrived at each router."""
    total: collections.Counter[str] = collections.Counter()
    for step in steps:
        total.update(step.routers)
    return total


def table(steps: Sequence[Step]) -> Iterator[str]:
    """Yields the lines of a table, the headings first."""
    rows = [_HEADINGS, *(_cells(it) for it in steps)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        yield "  ".join(cell.rjust(width) for cell, width in cells)


def _time(line: Line) -> float | None:
    try:
        at = datetime.datetime.strptime(str(line.get("time")), _TIME_FORMAT)
    except ValueError:
        return None
    return at.replace(tzinfo=datetime.UTC).timestamp()


def _requests(timed: Iterable[tuple[float, Line]]) -> dict[str, _Request]:
    """Returns what each request's lines tell of its way through a router."""
    found: dict[str, _Request] = {}
    for at, line in timed:
        request = str(line.get("request", ""))
        since_s = float(line.get("waited_s", line.get("seconds", 0.0)))
        req = found.get(request)
        if req is None:
            req = _Request(str(line.get("node", "")), at - since_s, at)
            found[request] = req
        req.workspace = req.workspace or str(line.get("workspace", ""))
        req.not_admitted |= line["event"] == "NotAdmitted"
    return found


def _group(req: _Request, by: str) -> str:
    return req.node if by == "node" else req.workspace


def _add_request(
    sums: Mapping[tuple[int, str], _Sums],
    req: _Request,
    group: str,
    start: float,
) -> None:
    """Counts one request where it arrived, and where it waited."""
    arrived = math.floor(req.arrived - start)
    decided = math.floor(req.decided - start)
    sums[arrived, group].counts["came"] += 1
    sums[arrived, group].routers[req.node] += 1
    for second in range(arrived, decided):
        sums[second, group].counts["waiting"] += 1


def _add_line(found: _Sums, line: Line, req: _Request, at: float) -> None:
    event = line["event"]
    if event in ("Placed", "NotAdmitted"):
        found.shares.append(float(line.get("share", 0.0)))
        found.spares.append(float(line.get("spare", 0.0)))
    if event == "Placed":
        found.counts["placed"] += 1
        found.waits.append(float(line.get("waited_s", 0.0)))
    elif event == "NotAdmitted":
        found.counts[_not_admitted(line)] += 1
    elif event == "Refused" and not req.not_admitted:
        busy = line.get("reason") == "router_overloaded"
        found.counts["router_busy" if busy else "other"] += 1
    elif event == "CallerLeft" and at == req.decided:
        found.counts["left"] += 1


def _not_admitted(line: Line) -> str:
    if line.get("reason") not in ("overloaded", "deadline"):
        return "other"
    return "in_share" if line.get("within", True) else "over_share"


def _step(key: tuple[int, str], found: _Sums) -> Step:
    counts = found.counts
    return Step(
        second=key[0],
        group=key[1],
        routers=found.routers,
        came=counts["came"],
        placed=counts["placed"],
        over_share=counts["over_share"],
        in_share=counts["in_share"],
        router_busy=counts["router_busy"],
        other=counts["other"],
        left=counts["left"],
        waiting=counts["waiting"],
        wait_s=_median(found.waits),
        share=_median(found.shares),
        spare=_median(found.spares),
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
        _number(step.wait_s),
        _number(step.share),
        _number(step.spare),
    )


def _number(value: float) -> str:
    return "-" if math.isnan(value) else f"{value:.2f}"
