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
class Usage:
    """Cost of a workspace's requests over a window.

    Attributes:
        requested: Cost of the requests that arrived.
        served: Cost of the requests that were sent to servers.
        admitted: Cost of the requests that were within the workspace's share.
        shed: Cost of the requests that a router had no processor time to
            accept, with retries not counted again. Not included in `requested`.
    """

    requested: float = 0.0
    served: float = 0.0
    admitted: float = 0.0
    shed: float = 0.0

    def plus(self, other: "Usage") -> "Usage":
        """Returns the sum of both."""
        return Usage(
            self.requested + other.requested,
            self.served + other.served,
            self.admitted + other.admitted,
            self.shed + other.shed,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Returns the difference to another usage."""
        return Usage(
            self.requested - other.requested,
            self.served - other.served,
            self.admitted - other.admitted,
            self.shed - other.shed,
        )


NO_USAGE = Usage()


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    at: float
    workspace: str
    usage: Usage


class UsageWindow:
    """Usage of each workspace at this router over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._entries: collections.deque[_Entry] = collections.deque()
        self._sums: dict[str, Usage] = {}
        self._counts: dict[str, int] = {}

    def record_request(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that arrived."""
        self._add(_Entry(now, workspace, Usage(requested=cost)))

    def record_admitted(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that is within its workspace's share."""
        self._add(_Entry(now, workspace, Usage(admitted=cost)))

    def record_served(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was sent to a server."""
        self._add(_Entry(now, workspace, Usage(served=cost)))

    def record_shed(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was not accepted."""
        self._add(_Entry(now, workspace, Usage(shed=cost)))

    def sums(self, now: float) -> Mapping[str, Usage]:
        """Returns the usage of each workspace over the window."""
        while self._entries and self._entries[0].at < now - self._window_s:
            expired = self._entries.popleft()
            left = self._counts[expired.workspace] - 1
            if left == 0:
                del self._counts[expired.workspace]
                del self._sums[expired.workspace]
                continue
            self._counts[expired.workspace] = left
            self._sums[expired.workspace] = self._sums[expired.workspace].minus(
                expired.usage
            )
        return self._sums

    def _add(self, entry: _Entry) -> None:
        self._entries.append(entry)
        count = self._counts.get(entry.workspace, 0)
        self._counts[entry.workspace] = count + 1
        previous = self._sums.get(entry.workspace, NO_USAGE)
        self._sums[entry.workspace] = previous.plus(entry.usage)


def max_min_limit(demand: Mapping[str, float], capacity: float) -> float:
    """Returns the max-min fair limit per workspace for a capacity.

    Infinite if the capacity covers the demand of all workspaces.

    Args:
        demand: Demand of each workspace.
        capacity: What is divided, in the same unit.
    """
    left = capacity
    demands = sorted(demand.values())
    while demands:
        limit = left / len(demands)
        if demands[0] > limit:
            return limit
        left -= demands.pop(0)
    return float("inf")
