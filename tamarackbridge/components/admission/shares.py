"""Max-min fair shares of the engines' throughput between workspaces.

Load pattern: one workspace sends many times its usual load, and the others must
not notice. Cost is counted in tokens, with generated tokens counted twice. A
workspace that requests less than an even share gets all that it requests; what
it leaves is divided evenly between the others.
"""

import collections
from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Cost of a workspace's requests over a window.

    Attributes:
        asked: Cost of the requests that arrived.
        served: Cost of the requests that were sent to servers.
        admitted: Cost of the requests that were within the workspace's share.
        shed: Cost of the requests that a router had no processor time to
            accept, with retries not counted again. Not included in `asked`.
    """

    asked: float = 0.0
    served: float = 0.0
    admitted: float = 0.0
    shed: float = 0.0

    def plus(self, other: "Use") -> "Use":
        """Returns the sum of both."""
        return Use(
            self.asked + other.asked,
            self.served + other.served,
            self.admitted + other.admitted,
            self.shed + other.shed,
        )

    def less(self, other: "Use") -> "Use":
        """Returns the difference to another usage."""
        return Use(
            self.asked - other.asked,
            self.served - other.served,
            self.admitted - other.admitted,
            self.shed - other.shed,
        )


NOTHING = Use()


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    at: float
    workspace: str
    use: Use


class UseWindow:
    """Usage of each workspace at this router over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._entries: collections.deque[_Entry] = collections.deque()
        self._sums: dict[str, Use] = {}
        self._counts: dict[str, int] = {}

    def record_request(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that arrived."""
        self._add(_Entry(now, workspace, Use(asked=cost)))

    def record_admitted(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that is within its workspace's share."""
        self._add(_Entry(now, workspace, Use(admitted=cost)))

    def record_served(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was sent to a server."""
        self._add(_Entry(now, workspace, Use(served=cost)))

    def record_shed(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was not accepted."""
        self._add(_Entry(now, workspace, Use(shed=cost)))

    def sums(self, now: float) -> Mapping[str, Use]:
        """Returns the usage of each workspace over the window."""
        while self._entries and self._entries[0].at < now - self._window_s:
            old = self._entries.popleft()
            left = self._counts[old.workspace] - 1
            if left == 0:
                del self._counts[old.workspace]
                del self._sums[old.workspace]
                continue
            self._counts[old.workspace] = left
            self._sums[old.workspace] = self._sums[old.workspace].less(old.use)
        return self._sums

    def _add(self, entry: _Entry) -> None:
        self._entries.append(entry)
        count = self._counts.get(entry.workspace, 0)
        self._counts[entry.workspace] = count + 1
        known = self._sums.get(entry.workspace, NOTHING)
        self._sums[entry.workspace] = known.plus(entry.use)


def even_level(asked: Mapping[str, float], capacity: float) -> float:
    """Returns the max-min fair limit per workspace for a capacity.

    Infinite if the capacity covers the demand of all workspaces.

    Args:
        asked: Demand of each workspace.
        capacity: What is divided, in the same unit.
    """
    left = capacity
    demands = sorted(asked.values())
    while demands:
        limit = left / len(demands)
        if demands[0] > limit:
            return limit
        left -= demands.pop(0)
    return float("inf")
