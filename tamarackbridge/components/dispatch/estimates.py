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
class _CostModel:
    mean: float
    mean_error: float
    ratio: float = 1.0
    hint_error: float = 0.0
    hint_count: int = 0


class CostEstimates:
    """Learned costs per workspace and route.

    There are two predictors: the running mean of the costs, and the caller's
    hint multiplied by the running ratio of cost to hint. The one with the
    smaller mean error is used, so that unreliable hints are ignored.
    """

    def __init__(self) -> None:
        self._models: collections.OrderedDict[tuple[str, str], _CostModel] = (
            collections.OrderedDict()
        )

    def estimate(
        self, workspace: str, route: str, hint: float, ceiling: float
    ) -> float:
        """Returns the expected cost, at most `ceiling`."""
        model = self._models.get((workspace, route))
        if model is None:
            return min(max(hint, 0.0), ceiling)
        expected = model.mean
        if (
            hint > 0
            and model.hint_count
            and model.hint_error < model.mean_error
        ):
            expected = hint * model.ratio
        return min(max(expected, 0.0), ceiling)

    def learn(
        self, workspace: str, route: str, hint: float, cost: float
    ) -> None:
        """Learns from the cost of one finished request.

        Args:
            workspace: Name of the workspace.
            route: Name of the route.
            hint: The caller's estimate; 0 when it gave none.
            cost: The actual cost.
        """
        key = (workspace, route)
        model = self._models.get(key)
        if model is None:
            model = _CostModel(mean=cost, mean_error=0.0)
            self._models[key] = model
            if len(self._models) > MAX_KEYS:
                self._models.popitem(last=False)
        self._models.move_to_end(key)
        self._learn_mean(model, cost)
        if hint > 0:
            self._learn_hint(model, hint, cost)

    def _learn_mean(self, model: _CostModel, cost: float) -> None:
        error = abs(cost - model.mean)
        model.mean_error += LEARNING_RATE * (error - model.mean_error)
        model.mean += LEARNING_RATE * (cost - model.mean)

    def _learn_hint(self, model: _CostModel, hint: float, cost: float) -> None:
        error = abs(cost - hint * model.ratio)
        ratio = min(max(cost / hint, MIN_RATIO), MAX_RATIO)
        if not model.hint_count:
            model.hint_error = error
            model.ratio = ratio
        model.hint_count += 1
        model.hint_error += LEARNING_RATE * (error - model.hint_error)
        model.ratio += LEARNING_RATE * (ratio - model.ratio)
