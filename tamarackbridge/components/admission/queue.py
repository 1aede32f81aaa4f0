"""The requests that wait in a router, by how they stand.

Load pattern: thousands wait while hardly anything can go. Requests that stand
alike are kept in one line, so that one look answers for all of them, and what
ends a wait by time alone is found by its time.
"""

import asyncio
import bisect
import collections
from collections.abc import Callable, Hashable, Iterable, Iterator
import dataclasses
import heapq
import itertools
import math

from tamarackbridge.components.admission import verdict
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.placement import prompts

SIZE_STEPS = 4
"""Sizes of requests in one line lie within a quarter of an octave, so that a
long one never stands for short ones, which find room where it does not."""

SPARE_ENTRIES = 64
"""Entries of ended waits that are kept beside as many as there are waits."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes:
        job: The request.
        prompt: The request as servers are weighed for it.
        within: Whether it was found to be within its workspace's share.
        fut: Takes the decision.
        group: Where it waits; None if it does not.
        line: Its line in the group.
    """

    job: jobs.Job
    prompt: prompts.Prompt
    within: bool
    fut: asyncio.Future[jobs.AdmissionResult]
    group: "Group | None" = None
    line: "Line | None" = None


class Arrivals:
    """Requests in order of arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    @property
    def oldest(self) -> Waiter:
        """The request that arrived first."""
        return self._waiters[0]

    @property
    def newest(self) -> Waiter:
        """The request that arrived last."""
        return self._waiters[-1]

    def add(self, waiter: Waiter) -> None:
        """Takes a request."""
        bisect.insort_right(self._waiters, waiter, key=_arrived)

    def remove(self, waiter: Waiter) -> None:
        """Drops a request."""
        at = self._place(waiter.job.arrived)
        while self._waiters[at] is not waiter:
            at += 1
        del self._waiters[at]

    def first_since(self, arrived: float) -> Waiter | None:
        """Returns the first request that arrived at a time or later."""
        at = self._place(arrived)
        return self._waiters[at] if at < len(self._waiters) else None

    def _place(self, arrived: float) -> int:
        return bisect.bisect_left(self._waiters, arrived, key=_arrived)


class Line(Arrivals):
    """Requests that stand alike.

    They are of one workspace and service, within their share or beyond it, in
    time or late, with the same targets and shared parts, of about one size, and
    have tried the same servers. So they have the same best server, and differ
    in how long they have waited: where one can't go, none can that has waited
    as long.

    Attributes:
        key: What they have in common.
        due: When they are looked at next; infinite while they are.
    """

    def __init__(self, key: Hashable) -> None:
        super().__init__()
        self.key = key
        self.due = math.inf


class Group:
    """Requests of one workspace and service, in time or late.

    Attributes:
        service: Name of their service.
        workspace: Who sent them.
        within: Whether they are within its share.
        late: Whether their targets have passed.
        arrivals: All of them.
        passed_over: Whether the last turn ended before it came to them.
    """

    def __init__(
        self, service: str, workspace: str, within: bool, late: bool
    ) -> None:
        self.service = service
        self.workspace = workspace
        self.within = within
        self.late = late
        self.arrivals = Arrivals()
        self.passed_over = False
        self._lines: dict[Hashable, Line] = {}
        self._order: list[tuple[float, int, Line]] = []
        self._numbers = itertools.count()

    def add(self, waiter: Waiter) -> None:
        """Takes a request; its line is looked at next."""
        key = _line_key(waiter)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = Line(key)
        line.add(waiter)
        self.look_again(line, -math.inf)
        self.arrivals.add(waiter)
        waiter.group, waiter.line = self, line

    def remove(self, waiter: Waiter) -> None:
        """Drops a request."""
        line = waiter.line
        assert line is not None
        line.remove(waiter)
        self.arrivals.remove(waiter)
        if not line:
            del self._lines[line.key]
        waiter.group = waiter.line = None

    def take_line(self, now: float) -> Line | None:
        """Returns the line that is due first, if one is.

        It is not returned again before `look_again`, or an arrival to it.
        """
        while self._order:
            due, _, line = self._order[0]
            is_current = line and due == line.due
            if is_current and due > now:
                return None
            heapq.heappop(self._order)
            if is_current:
                line.due = math.inf
                return line
        return None

    def look_again(self, line: Line, due: float) -> None:
        """Sets when a line is looked at next, if it is not empty."""
        if not line or due >= line.due:
            return
        line.due = due
        heapq.heappush(self._order, (due, next(self._numbers), line))


class WaitingQueue:
    """All requests that wait."""

    def __init__(self) -> None:
        self._groups: dict[tuple[str, str, bool, bool], Group] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._due: list[tuple[float, int, Waiter]] = []
        self._numbers = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def count(self, service: str) -> int:
        """Returns how many wait for a service."""
        return self._counts[service]

    def services(self) -> list[str]:
        """Returns the services for which requests wait."""
        return [name for name, count in self._counts.items() if count]

    def add(self, waiter: Waiter, now: float) -> None:
        """Takes a request."""
        self._count += 1
        self._counts[waiter.job.service.name] += 1
        self._enter(waiter, now)

    def remove(self, waiter: Waiter) -> None:
        """Drops a request, if it waits."""
        if waiter.group is None:
            return
        self._leave(waiter)
        self._count -= 1
        self._counts[waiter.job.service.name] -= 1
        if len(self._due) > 2 * self._count + SPARE_ENTRIES:
            self._due = [it for it in self._due if it[2].group is not None]
            heapq.heapify(self._due)

    def take_due(self, now: float) -> Iterator[Waiter]:
        """Returns the requests that are refused by now if they can't go.

        Those whose target has passed are grouped as late ones by the way.
        """
        while self._due and self._due[0][0] <= now:
            waiter = heapq.heappop(self._due)[2]
            if waiter.group is None:
                continue
            if now >= verdict.given_up_at(waiter.job, waiter.within):
                yield waiter
            else:
                self._leave(waiter)
                self._enter(waiter, now)

    def next_due(self) -> float:
        """Returns when the next request is due; infinite if none is."""
        while self._due and self._due[0][2].group is None:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else math.inf

    def oldest_arrived(self) -> float:
        """Returns when the oldest request arrived; infinite if none waits."""
        oldest = (it.arrivals.oldest for it in self._groups.values())
        return min((it.job.arrived for it in oldest), default=math.inf)

    def in_order(self, served: Callable[[str], float]) -> list[Group]:
        """Returns all groups in the order in which they are looked at.

        Those within their share come first, then those in time, then the
        workspaces that have been served least; but before all others those
        that the last turn did not come to.
        """

        def order(it: Group) -> tuple[bool, bool, bool, float, float]:
            arrived = it.arrivals.oldest.job.arrived
            first = not it.passed_over
            return (
                first,
                not it.within,
                it.late,
                served(it.workspace),
                arrived,
            )

        return sorted(self._groups.values(), key=order)

    def of(self, service: str) -> Iterable[Waiter]:
        """Returns the requests that wait for a service."""
        groups = [it for it in self._groups.values() if it.service == service]
        return [waiter for group in groups for waiter in group.arrivals]

    def _enter(self, waiter: Waiter, now: float) -> None:
        job = waiter.job
        late_at = job.arrived + job.route.target_s
        key = (job.service.name, job.workspace, waiter.within, now >= late_at)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = Group(*key)
        group.add(waiter)
        due = verdict.given_up_at(job, waiter.within)
        if now < late_at:
            due = min(due, late_at)
        heapq.heappush(self._due, (due, next(self._numbers), waiter))

    def _leave(self, waiter: Waiter) -> None:
        group = waiter.group
        assert group is not None
        group.remove(waiter)
        if not group.arrivals:
            key = (group.service, group.workspace, group.within, group.late)
            del self._groups[key]


def _arrived(waiter: Waiter) -> float:
    return waiter.job.arrived


def _line_key(waiter: Waiter) -> Hashable:
    job, prompt = waiter.job, waiter.prompt
    return (
        job.service,
        job.route.target_s,
        job.route.target_gap_s,
        prompt.key,
        _step(prompt.tokens),
        _step(prompt.memory),
        frozenset(job.excluded_servers),
    )


def _step(tokens: int) -> int:
    """Returns which of the steps of size a number of tokens is in."""
    return int(SIZE_STEPS * math.log2(tokens + 1))
