"""Requests that wait at a dispatcher for a permit, in fair order."""

from collections.abc import Callable, Iterator
import dataclasses
from typing import Protocol

from tamarackbridge.components.dispatch import counters, messages

MayRun = Callable[[str], bool]
"""Returns whether a workspace may run one more request."""

CanRun = Callable[["QueuedRequest"], bool]
"""Returns whether a request can run on a server with free capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One waiting request.

    Attributes:
        ask: The entry's request for a permit.
        entry: Identifier of the router that has the request.
        arrived_at: Monotonic time of arrival at the dispatcher.
        expires_at: Monotonic time of the request's deadline.
    """

    ask: messages.Ask
    entry: str
    arrived_at: float
    expires_at: float


class Order(Protocol):
    """A queue that decides which waiting request runs next."""

    counters: counters.VirtualCounters

    def push(self, request: QueuedRequest) -> None:
        """Adds a request."""
        ...

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes and returns a request, if it waits."""
        ...

    def pop_next(self, allowed: MayRun, fits: CanRun) -> QueuedRequest | None:
        """Removes and returns the next request that can run."""
        ...

    def record_start(self, request: QueuedRequest) -> None:
        """Records that a removed request gets a permit."""
        ...

    def charge(self, workspace: str, end_user: str, amount: float) -> None:
        """Charges normalised cost to a workspace and its end user."""
        ...

    def prune(self, running: set[str]) -> None:
        """Drops workspaces and end users that are idle and not in debt."""
        ...

    def count(self, workspace: str) -> int:
        """Returns how many requests of a workspace wait."""
        ...

    def __len__(self) -> int: ...

    def __contains__(self, request_id: object) -> bool: ...

    def __iter__(self) -> Iterator[QueuedRequest]: ...


class _UserQueue:
    """Requests of one workspace: least served end user first, then oldest.

    Service is counted by the virtual counters of the end users.
    """

    def __init__(self) -> None:
        self.counters = counters.VirtualCounters()
        self._users: dict[str, dict[str, QueuedRequest]] = {}

    def push(self, request: QueuedRequest) -> None:
        user = request.ask.end_user
        self._users.setdefault(user, {})[request.ask.request_id] = request
        self.counters.activate(user)

    def remove(self, request: QueuedRequest) -> None:
        user = request.ask.end_user
        del self._users[user][request.ask.request_id]
        if not self._users[user]:
            del self._users[user]
            self.counters.deactivate(user)

    def find(self, fits: CanRun) -> QueuedRequest | None:
        for user in self.counters.ordered(self._users):
            for request in self._users[user].values():
                if fits(request):
                    return request
        return None


class FairOrder:
    """Least served workspace first; within it, least served end user first."""

    def __init__(self) -> None:
        self.counters = counters.VirtualCounters()
        self._requests: dict[str, QueuedRequest] = {}
        self._queues: dict[str, _UserQueue] = {}
        self._counts: dict[str, int] = {}

    def push(self, request: QueuedRequest) -> None:
        """Adds a request."""
        workspace = request.ask.workspace
        self._requests[request.ask.request_id] = request
        self._counts[workspace] = self._counts.get(workspace, 0) + 1
        self._queues.setdefault(workspace, _UserQueue()).push(request)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes and returns a request, if it waits."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        workspace = request.ask.workspace
        self._queues[workspace].remove(request)
        self._counts[workspace] -= 1
        if not self._counts[workspace]:
            del self._counts[workspace]
            self.counters.deactivate(workspace)
        return request

    def pop_next(self, allowed: MayRun, fits: CanRun) -> QueuedRequest | None:
        """Removes and returns the next request of the least served workspace.

        A workspace that may not run a request isn't backlogged.
        """
        for workspace in self._counts:
            if allowed(workspace):
                self.counters.activate(workspace)
            else:
                self.counters.deactivate(workspace)
        for workspace in self.counters.ordered(filter(allowed, self._counts)):
            request = self._queues[workspace].find(fits)
            if request is not None:
                return self.remove(request.ask.request_id)
        return None

    def charge(self, workspace: str, end_user: str, amount: float) -> None:
        """Charges normalised cost to a workspace and its end user."""
        self.counters.charge(workspace, amount)
        if workspace in self._queues:
            self._queues[workspace].counters.charge(end_user, amount)

    def count(self, workspace: str) -> int:
        """Returns how many requests of a workspace wait."""
        return self._counts.get(workspace, 0)

    def prune(self, running: set[str]) -> None:
        """Drops workspaces and end users that are idle and not in debt."""
        keep = running | self._counts.keys()
        self.counters.prune(keep)
        for workspace, queue in list(self._queues.items()):
            queue.counters.prune(())
            if workspace not in keep:
                del self._queues[workspace]

    def record_start(self, request: QueuedRequest) -> None:
        """Raises the virtual times to the request that gets a permit."""
        workspace = request.ask.workspace
        self.counters.advance(workspace)
        self._queues[workspace].counters.advance(request.ask.end_user)

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._requests

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._requests.values())
