"""Cost estimates for requests, learned from finished requests."""

import collections
import dataclasses

LEARNING_RATE = 0.1
"""Weight of the newest observation in a running mean."""

MAX_KEYS = 4096
"""Pairs of workspace and route for which estimates are kept."""

MIN_RATIO = 0.01
"""Smallest ratio of cost to hint that is learned."""

MAX_RATIO = 100.0
"""Largest ratio of cost to hint that is learned."""


@dataclasses.dataclass(slots=True)
class _Learned:
    mean: float
    mean_error: float
    ratio: float = 1.0
    hint_error: float = 0.0
    hints: int = 0


class CostEstimates:
    """Learned costs per workspace and route.

    There are two predictors: the running mean of the costs, and the client's
    hint multiplied by the running ratio of cost to hint. The one with the
    smaller mean error is used, so that unreliable hints are ignored.
    """

    def __init__(self) -> None:
        self._learned: collections.OrderedDict[tuple[str, str], _Learned] = (
            collections.OrderedDict()
        )

    def estimate(
        self, workspace: str, route: str, hint: float, ceiling: float
    ) -> float:
        """Returns the expected cost, at most `ceiling`."""
        found = self._learned.get((workspace, route))
        if found is None:
            return min(max(hint, 0.0), ceiling)
        expected = found.mean
        if hint > 0 and found.hints and found.hint_error < found.mean_error:
            expected = hint * found.ratio
        return min(max(expected, 0.0), ceiling)

    def learn(
        self, workspace: str, route: str, hint: float, cost: float
    ) -> None:
        """Learns from the cost of one finished request.

        Args:
            workspace: Name of the workspace.
            route: Name of the route.
            hint: The client's estimate; 0 when it gave none.
            cost: The actual cost.
        """
        key = (workspace, route)
        found = self._learned.get(key)
        if found is None:
            found = _Learned(mean=cost, mean_error=0.0)
            self._learned[key] = found
            if len(self._learned) > MAX_KEYS:
                self._learned.popitem(last=False)
        self._learned.move_to_end(key)
        self._learn_mean(found, cost)
        if hint > 0:
            self._learn_hint(found, hint, cost)

    def _learn_mean(self, found: _Learned, cost: float) -> None:
        error = abs(cost - found.mean)
        found.mean_error += LEARNING_RATE * (error - found.mean_error)
        found.mean += LEARNING_RATE * (cost - found.mean)

    def _learn_hint(self, found: _Learned, hint: float, cost: float) -> None:
        error = abs(cost - hint * found.ratio)
        ratio = min(max(cost / hint, MIN_RATIO), MAX_RATIO)
        if not found.hints:
            found.hint_error = error
            found.ratio = ratio
        found.hints += 1
        found.hint_error += LEARNING_RATE * (error - found.hint_error)
        found.ratio += LEARNING_RATE * (ratio - found.ratio)
