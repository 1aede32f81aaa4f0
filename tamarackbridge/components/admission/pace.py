"""How soon a waiting request will go, by how fast those before it go.

Load pattern: most engines are lost, and what is left has work for longer than
callers wait. Who can't be reached in time learns it at once, and comes back.
"""

import collections

WINDOW_S = 1.5
"""Time over which goings are counted. A request is judged only after it has
waited as long, so that the count is of its own wait: an eighth of the longest
time that callers wait."""


class Pace:
    """Counts the requests of one service that went lately."""

    def __init__(self) -> None:
        self._went: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Notes that a request went."""
        self._went.append(now)
        self._forget(now)

    def left_s(self, before: int, now: float) -> float:
        """Returns how long a request waits still; infinite if none goes.

        Args:
            before: Requests that go before it.
            now: The time.
        """
        self._forget(now)
        if not self._went:
            return float("inf")
        return (before + 1) * WINDOW_S / len(self._went)

    def _forget(self, now: float) -> None:
        while self._went and now - self._went[0] > WINDOW_S:
            self._went.popleft()
