"""Max-min shares of the engines' throughput between workspaces.

Load pattern: one workspace sends many times its usual, and the others must
not notice. Cost is counted in tokens, a generated one twice; a workspace that
asks for less than an even share gets all of it, and what it leaves is shared
evenly by the rest.
"""

import collections
from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Cost over the last window.

    Attributes:
        asked: Cost of what a workspace asked for.
        served: Cost of what was begun for it.
        admitted: Cost of what was found to be within its share.
        shed: Cost of what a router had no processor time to take up, each
            caller counted once. `asked` is without it.
    """

    asked: float = 0.0
    served: float = 0.0
    admitted: float = 0.0
    shed: float = 0.0

    def plus(self, other: "Use") -> "Use":
        """Returns the sum."""
        return Use(
            self.asked + other.asked,
            self.served + other.served,
            self.admitted + other.admitted,
            self.shed + other.shed,
        )

    def less(self, other: "Use") -> "Use":
        """Returns what is left without a part of this use."""
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
    """What workspaces asked and got at this router over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._entries: collections.deque[_Entry] = collections.deque()
        self._sums: dict[str, Use] = {}
        self._counts: dict[str, int] = {}

    def ask(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that arrived."""
        self._add(_Entry(now, workspace, Use(asked=cost)))

    def admit(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that is within its workspace's share."""
        self._add(_Entry(now, workspace, Use(admitted=cost)))

    def serve(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was sent to a server."""
        self._add(_Entry(now, workspace, Use(served=cost)))

    def shed(self, workspace: str, cost: float, now: float) -> None:
        """Counts a request that was not taken up."""
        self._add(_Entry(now, workspace, Use(shed=cost)))

    def sums(self, now: float) -> Mapping[str, Use]:
        """Returns the use of each workspace over the window."""
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
    """Returns the most that one workspace gets of a capacity.

    Infinite where the capacity serves all that is asked.
    """
    left = capacity
    waiting = sorted(asked.values())
    while waiting:
        level = left / len(waiting)
        if waiting[0] > level:
            return level
        left -= waiting.pop(0)
    return float("inf")
