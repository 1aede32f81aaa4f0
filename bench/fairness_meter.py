"""Meters of service gap, utilisation and waiting times."""

import collections
import itertools


class GapMeter:
    """Maximum service gap between two workspaces while both are backlogged.

    Attributes:
        worst: Maximum gap, in cost per unit of share.
        pair: Workspaces between which it occurred.
    """

    def __init__(self) -> None:
        self.worst = 0.0
        self.pair = ("", "")
        self._lead_ranges: dict[tuple[str, str], tuple[float, float]] = {}

    def sample(self, served: dict[str, float], backlogged: set[str]) -> None:
        """Adds a sample.

        Args:
            served: Cost per unit of share that each workspace received so far.
            backlogged: Workspaces that were backlogged since the last sample.
        """
        pairs = itertools.combinations(sorted(backlogged), 2)
        ranges: dict[tuple[str, str], tuple[float, float]] = {}
        for pair in pairs:
            lead = served[pair[0]] - served[pair[1]]
            low, high = self._lead_ranges.get(pair, (lead, lead))
            low = min(low, lead)
            high = max(high, lead)
            ranges[pair] = (low, high)
            if high - low > self.worst:
                self.worst = high - low
                self.pair = pair
        self._lead_ranges = ranges


class ServiceMeter:
    """Service that the workspaces received from one service in one run.

    Attributes:
        gap: Service gap.
        waits: Waiting times of started requests, by workspace.
        max_wait_s: Longest time in which a backlogged workspace had no start.
        longest_pause_s: Longest time without a start while requests waited.
        busy: Sum of the concurrency in use, over the samples in which work
            waited.
        capacity: Sum of the concurrency limits over the same samples.
        grants: Number of started requests.
        refused: Number of rejected requests by reason.
        settled: Cost of ended requests by workspace.
        history: Time and service per unit of share of each workspace, for
            each sample.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self.gap = GapMeter()
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.max_wait_s = 0.0
        self.longest_pause_s = 0.0
        self.busy = 0.0
        self.capacity = 0.0
        self.grants = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.settled = dict.fromkeys(shares, 0.0)
        self.history: list[tuple[float, dict[str, float]]] = []
        self._shares = shares
        self._waiting: dict[str, int] = dict.fromkeys(shares, 0)
        self._emptied_since_sample: set[str] = set()
        self._no_start_since: dict[str, float] = {}
        self._last_start_at = 0.0

    def record_queued(self, workspace: str, now: float) -> None:
        """Records a request that begins to wait."""
        if not any(self._waiting.values()):
            self._last_start_at = now
        if not self._waiting[workspace]:
            self._no_start_since[workspace] = now
        self._waiting[workspace] += 1

    def record_left(self, workspace: str, now: float) -> None:
        """Records a request that no longer waits."""
        self._waiting[workspace] -= 1
        self._update_max_wait(workspace, now)
        self._no_start_since[workspace] = now
        if not self._waiting[workspace]:
            self._emptied_since_sample.add(workspace)
            del self._no_start_since[workspace]

    def record_start(self, workspace: str, waited_s: float, now: float) -> None:
        """Records a request that starts."""
        self.longest_pause_s = max(
            self.longest_pause_s, now - self._last_start_at
        )
        self._last_start_at = now
        self.grants += 1
        self.waits[workspace].append(waited_s)
        self.record_left(workspace, now)

    def sample(
        self,
        now: float,
        running: dict[str, float],
        in_use: int,
        limit: int,
        unreachable: set[str],
    ) -> None:
        """Adds a sample.

        Args:
            now: Virtual time.
            running: Cost used by running requests, by workspace.
            in_use: Number of running requests.
            limit: Concurrency limit of all servers.
            unreachable: Workspaces whose requests reach no dispatcher.
        """
        normalised_service = {
            name: (cost + running.get(name, 0.0)) / self._shares[name]
            for name, cost in self.settled.items()
        }
        waiting = {name for name, count in self._waiting.items() if count}
        self.gap.sample(
            normalised_service,
            waiting - self._emptied_since_sample - unreachable,
        )
        self._emptied_since_sample.clear()
        self.history.append((now, normalised_service))
        for name in waiting - unreachable:
            self._update_max_wait(name, now)
        for name in unreachable & self._no_start_since.keys():
            self._no_start_since[name] = now
        if waiting - unreachable:
            self.busy += min(in_use, limit)
            self.capacity += limit

    def _update_max_wait(self, workspace: str, now: float) -> None:
        waited_s = now - self._no_start_since[workspace]
        self.max_wait_s = max(self.max_wait_s, waited_s)

    def utilisation(self) -> float:
        """Returns the fraction of the capacity in use while work waited."""
        return self.busy / self.capacity if self.capacity else 1.0


def quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which the given fraction of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
