"""Queue of the requests that wait in this router.

Load pattern: thousands of requests wait while hardly any can be sent. Requests
with equal criteria form one class, so that evaluating one of them answers for
all. Requests whose wait ends by time alone are found through a heap of
deadlines.
"""

import asyncio
import bisect
import collections
from collections.abc import Callable, Hashable, Iterable, Iterator
import dataclasses
import heapq
import itertools
import math

from tamarackbridge.components.admission import policy
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.placement import request_profile

SIZE_STEPS_PER_OCTAVE = 4
"""Sizes of the requests in one class lie within a quarter of an octave, so that
a long request never represents short ones, which fit where it does not."""

STALE_ENTRIES = 64
"""Heap entries of requests that have left the queue that are tolerated, in
addition to one for each waiting request, before the heap is rebuilt."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes:
        job: The request.
        profile: Properties of the request by which servers are compared.
        is_within_share: Whether it is within its workspace's share.
        future: Receives the decision.
        queue: The queue in which it waits; None if it does not wait.
        request_class: Its class in the queue; None if it does not wait.
        deadline_entry: Its entry in the heap of deadlines; None if it does not
            wait.
    """

    job: jobs.Job
    profile: request_profile.RequestProfile
    is_within_share: bool
    future: asyncio.Future[jobs.AdmissionResult]
    queue: "WorkspaceQueue | None" = None
    request_class: "RequestClass | None" = None
    deadline_entry: "DeadlineEntry | None" = None


@dataclasses.dataclass(slots=True, eq=False)
class DeadlineEntry:
    """Reference of the heap of deadlines to a request.

    It outlives the wait, so it refers to the request only until then.

    Attributes:
        waiter: The request; None once it has left the queue or has another
            entry.
    """

    waiter: Waiter | None


class ArrivalList:
    """Waiting requests in order of arrival."""

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
        """Adds a request."""
        bisect.insort_right(self._waiters, waiter, key=_arrived)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request."""
        index = self._index(waiter.job.arrived)
        while self._waiters[index] is not waiter:
            index += 1
        del self._waiters[index]

    def first_since(self, arrived: float) -> Waiter | None:
        """Returns the first request that arrived at a time or later."""
        index = self._index(arrived)
        return self._waiters[index] if index < len(self._waiters) else None

    def _index(self, arrived: float) -> int:
        return bisect.bisect_left(self._waiters, arrived, key=_arrived)


class RequestClass(ArrivalList):
    """Requests with equal criteria, evaluated together.

    They share the workspace and service, whether they are within their share
    and whether their target has passed, the targets, the shared prompt blocks,
    the servers already tried, and roughly the size. So they have the same best
    server and differ only in how long they have waited: if one can't be sent,
    none can that has waited as long.

    Attributes:
        key: The common criteria.
        due: When the class is evaluated next; infinite while it is evaluated.
    """

    def __init__(self, key: Hashable) -> None:
        super().__init__()
        self.key = key
        self.due = math.inf


class WorkspaceQueue:
    """Queue of one workspace at one service.

    Requests within the share and beyond it, and requests before and after
    their target, are in separate queues.

    Attributes:
        service: Name of the service.
        workspace: Name of the workspace.
        is_within_share: Whether the requests are within the workspace's share.
        is_late: Whether the requests' targets have passed.
        requests: All requests of the queue.
        was_skipped: Whether the last scheduling pass ended before the queue was
            reached.
    """

    def __init__(
        self,
        service: str,
        workspace: str,
        is_within_share: bool,
        is_late: bool,
    ) -> None:
        self.service = service
        self.workspace = workspace
        self.is_within_share = is_within_share
        self.is_late = is_late
        self.requests = ArrivalList()
        self.was_skipped = False
        self._classes: dict[Hashable, RequestClass] = {}
        self._due_heap: list[tuple[float, int, RequestClass]] = []
        self._sequence = itertools.count()

    def add(self, waiter: Waiter) -> None:
        """Adds a request; its class is evaluated next."""
        key = _class_key(waiter)
        request_class = self._classes.get(key)
        if request_class is None:
            request_class = self._classes[key] = RequestClass(key)
        request_class.add(waiter)
        self.schedule_recheck(request_class, -math.inf)
        self.requests.add(waiter)
        waiter.queue, waiter.request_class = self, request_class

    def remove(self, waiter: Waiter) -> None:
        """Removes a request."""
        request_class = waiter.request_class
        assert request_class is not None
        request_class.remove(waiter)
        self.requests.remove(waiter)
        if not request_class:
            del self._classes[request_class.key]
        waiter.queue = waiter.request_class = None

    def pop_due_class(self, now: float) -> RequestClass | None:
        """Returns the class that is due first, if one is due.

        It is not returned again before `schedule_recheck` is called for it or a
        request of the class arrives.
        """
        while self._due_heap:
            due, _, request_class = self._due_heap[0]
            is_current = request_class and due == request_class.due
            if is_current and due > now:
                return None
            heapq.heappop(self._due_heap)
            if is_current:
                request_class.due = math.inf
                return request_class
        return None

    def schedule_recheck(self, request_class: RequestClass, due: float) -> None:
        """Schedules the next evaluation of a class, unless it is empty.

        An earlier time that is already scheduled is kept.
        """
        if not request_class or due >= request_class.due:
            return
        request_class.due = due
        heapq.heappush(
            self._due_heap, (due, next(self._sequence), request_class)
        )


class WaitingQueue:
    """All waiting requests of this router."""

    def __init__(self) -> None:
        self._queues: dict[tuple[str, str, bool, bool], WorkspaceQueue] = {}
        self._service_counts: collections.Counter[str] = collections.Counter()
        self._deadline_heap: list[tuple[float, int, DeadlineEntry]] = []
        self._sequence = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def count(self, service: str) -> int:
        """Returns how many requests wait for a service."""
        return self._service_counts[service]

    def services(self) -> list[str]:
        """Returns the services for which requests wait."""
        return [name for name, count in self._service_counts.items() if count]

    def add(self, waiter: Waiter, now: float) -> None:
        """Adds a request."""
        self._count += 1
        self._service_counts[waiter.job.service.name] += 1
        self._enqueue(waiter, now)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request, if it waits."""
        if waiter.queue is None:
            return
        self._dequeue(waiter)
        self._count -= 1
        self._service_counts[waiter.job.service.name] -= 1
        if len(self._deadline_heap) > 2 * self._count + STALE_ENTRIES:
            self._deadline_heap = [
                entry
                for entry in self._deadline_heap
                if entry[2].waiter is not None
            ]
            heapq.heapify(self._deadline_heap)

    def pop_expired(self, now: float) -> Iterator[Waiter]:
        """Yields the requests that are rejected unless they can be sent now.

        Requests whose target has passed meanwhile move to the queue of late
        requests.
        """
        while self._deadline_heap and self._deadline_heap[0][0] <= now:
            waiter = heapq.heappop(self._deadline_heap)[2].waiter
            if waiter is None:
                continue
            if now >= policy.reject_at(waiter.job, waiter.is_within_share):
                yield waiter
            else:
                self._dequeue(waiter)
                self._enqueue(waiter, now)

    def next_deadline(self) -> float:
        """Returns when `pop_expired` has work next; infinite if never."""
        heap = self._deadline_heap
        while heap and heap[0][2].waiter is None:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def oldest_arrival(self) -> float:
        """Returns when the oldest request arrived; infinite if none waits."""
        oldest = (queue.requests.oldest for queue in self._queues.values())
        return min((waiter.job.arrived for waiter in oldest), default=math.inf)

    def in_fair_order(
        self, served: Callable[[str], float]
    ) -> list[WorkspaceQueue]:
        """Returns all queues in the order in which they are evaluated.

        Queues that the last scheduling pass did not reach come first. Then
        follow queues within their share before those beyond it, queues before
        their target ahead of late ones, and workspaces that have been served
        least.

        Args:
            served: Returns what has been served to a workspace.
        """

        def order(
            queue: WorkspaceQueue,
        ) -> tuple[bool, bool, bool, float, float]:
            arrived = queue.requests.oldest.job.arrived
            was_reached = not queue.was_skipped
            return (
                was_reached,
                not queue.is_within_share,
                queue.is_late,
                served(queue.workspace),
                arrived,
            )

        return sorted(self._queues.values(), key=order)

    def for_service(self, service: str) -> Iterable[Waiter]:
        """Returns the requests that wait for a service."""
        queues = [
            candidate
            for candidate in self._queues.values()
            if candidate.service == service
        ]
        return [waiter for queue in queues for waiter in queue.requests]

    def _enqueue(self, waiter: Waiter, now: float) -> None:
        job = waiter.job
        late_at = job.arrived + job.route.target_s
        key = (
            job.service.name,
            job.workspace,
            waiter.is_within_share,
            now >= late_at,
        )
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = WorkspaceQueue(*key)
        queue.add(waiter)
        due = policy.reject_at(job, waiter.is_within_share)
        if now < late_at:
            due = min(due, late_at)
        entry = waiter.deadline_entry = DeadlineEntry(waiter)
        heapq.heappush(self._deadline_heap, (due, next(self._sequence), entry))

    def _dequeue(self, waiter: Waiter) -> None:
        queue = waiter.queue
        assert queue is not None
        queue.remove(waiter)
        entry = waiter.deadline_entry
        if entry is not None:
            entry.waiter = None
            waiter.deadline_entry = None
        if not queue.requests:
            key = (
                queue.service,
                queue.workspace,
                queue.is_within_share,
                queue.is_late,
            )
            del self._queues[key]


def _arrived(waiter: Waiter) -> float:
    return waiter.job.arrived


def _class_key(waiter: Waiter) -> Hashable:
    job, profile = waiter.job, waiter.profile
    return (
        job.service,
        job.route.target_s,
        job.route.target_gap_s,
        profile.key,
        _size_step(profile.tokens),
        _size_step(profile.memory),
        frozenset(job.excluded_servers),
    )


def _size_step(tokens: int) -> int:
    """Returns the logarithmic size step of a number of tokens."""
    return int(SIZE_STEPS_PER_OCTAVE * math.log2(tokens + 1))
