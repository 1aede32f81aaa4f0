"""Requests that wait at a dispatcher for a permit, in fair order."""

from collections.abc import Callable, Iterator
import dataclasses
from typing import Protocol

from tamarackbridge.components.dispatch import counters, messages

Allowed = Callable[[str], bool]
"""Returns whether a workspace may run one more request."""

Fits = Callable[["Waiting"], bool]
"""Returns whether a request can run on a server with free capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
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

    def push(self, item: Waiting) -> None:
        """Adds a request."""
        ...

    def remove(self, request_id: str) -> Waiting | None:
        """Takes a request out, if it waits."""
        ...

    def take(self, allowed: Allowed, fits: Fits) -> Waiting | None:
        """Removes and returns the next request that can run."""
        ...

    def started(self, item: Waiting) -> None:
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

    def __iter__(self) -> Iterator[Waiting]: ...


class _UserQueue:
    """Requests of one workspace: least served end user first, then oldest.

    Service is counted by the virtual counters of the end users.
    """

    def __init__(self) -> None:
        self.counters = counters.VirtualCounters()
        self._users: dict[str, dict[str, Waiting]] = {}

    def push(self, item: Waiting) -> None:
        user = item.ask.end_user
        self._users.setdefault(user, {})[item.ask.request_id] = item
        self.counters.activate(user)

    def remove(self, item: Waiting) -> None:
        user = item.ask.end_user
        del self._users[user][item.ask.request_id]
        if not self._users[user]:
            del self._users[user]
            self.counters.deactivate(user)

    def find(self, fits: Fits) -> Waiting | None:
        for user in self.counters.ordered(self._users):
            for item in self._users[user].values():
                if fits(item):
                    return item
        return None


class FairOrder:
    """Least served workspace first; within it, least served end user first."""

    def __init__(self) -> None:
        self.counters = counters.VirtualCounters()
        self._items: dict[str, Waiting] = {}
        self._queues: dict[str, _UserQueue] = {}
        self._counts: dict[str, int] = {}

    def push(self, item: Waiting) -> None:
        """Adds a request."""
        name = item.ask.workspace
        self._items[item.ask.request_id] = item
        self._counts[name] = self._counts.get(name, 0) + 1
        self._queues.setdefault(name, _UserQueue()).push(item)

    def remove(self, request_id: str) -> Waiting | None:
        """Takes a request out, if it waits."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        name = item.ask.workspace
        self._queues[name].remove(item)
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]
            self.counters.deactivate(name)
        return item

    def take(self, allowed: Allowed, fits: Fits) -> Waiting | None:
        """Removes and returns the next request of the least served workspace.

        A workspace that may not run a request isn't backlogged.
        """
        for name in self._counts:
            if allowed(name):
                self.counters.activate(name)
            else:
                self.counters.deactivate(name)
        for name in self.counters.ordered(filter(allowed, self._counts)):
            item = self._queues[name].find(fits)
            if item is not None:
                return self.remove(item.ask.request_id)
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
        for name, queue in list(self._queues.items()):
            queue.counters.prune(())
            if name not in keep:
                del self._queues[name]

    def started(self, item: Waiting) -> None:
        """Raises the virtual times to the request that gets a permit."""
        name = item.ask.workspace
        self.counters.advance(name)
        self._queues[name].counters.advance(item.ask.end_user)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._items.values())
