"""Meters of the service gap, utilisation and waiting."""

import collections
import itertools


class GapMeter:
    """Largest gap between two workspaces while both stay backlogged.

    Attributes:
        worst: The largest gap, in cost per unit of share.
        pair: The two workspaces that had it.
    """

    def __init__(self) -> None:
        self.worst = 0.0
        self.pair = ("", "")
        self._ranges: dict[tuple[str, str], tuple[float, float]] = {}

    def sample(self, served: dict[str, float], backlogged: set[str]) -> None:
        """Takes normalised service in, with who was backlogged since."""
        pairs = itertools.combinations(sorted(backlogged), 2)
        ranges: dict[tuple[str, str], tuple[float, float]] = {}
        for pair in pairs:
            lead = served[pair[0]] - served[pair[1]]
            low, high = self._ranges.get(pair, (lead, lead))
            low = min(low, lead)
            high = max(high, lead)
            ranges[pair] = (low, high)
            if high - low > self.worst:
                self.worst = high - low
                self.pair = pair
        self._ranges = ranges


class ServiceMeter:
    """What one service gave to its workspaces in one run."""

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
        self._emptied: set[str] = set()
        self._since: dict[str, float] = {}
        self._granted_at = 0.0

    def queued(self, workspace: str, now: float) -> None:
        """Notes a request that begins to wait."""
        if not any(self._waiting.values()):
            self._granted_at = now
        if not self._waiting[workspace]:
            self._since[workspace] = now
        self._waiting[workspace] += 1

    def left(self, workspace: str, now: float) -> None:
        """Notes a request that no longer waits."""
        self._waiting[workspace] -= 1
        self._note_wait(workspace, now)
        self._since[workspace] = now
        if not self._waiting[workspace]:
            self._emptied.add(workspace)
            del self._since[workspace]

    def granted(self, workspace: str, waited_s: float, now: float) -> None:
        """Notes a request that starts."""
        self.longest_pause_s = max(self.longest_pause_s, now - self._granted_at)
        self._granted_at = now
        self.grants += 1
        self.waits[workspace].append(waited_s)
        self.left(workspace, now)

    def sample(
        self,
        now: float,
        running: dict[str, float],
        in_use: int,
        bears: int,
        unreachable: set[str],
    ) -> None:
        """Takes one sample.

        Args:
            now: Virtual time.
            running: Cost used by running requests, by workspace.
            in_use: Requests that run.
            bears: Requests that the servers bear at once.
            unreachable: Workspaces that no dispatcher can hear of.
        """
        served = {
            name: (cost + running.get(name, 0.0)) / self._shares[name]
            for name, cost in self.settled.items()
        }
        waiting = {name for name, count in self._waiting.items() if count}
        self.gap.sample(served, waiting - self._emptied - unreachable)
        self._emptied.clear()
        self.history.append((now, served))
        for name in waiting - unreachable:
            self._note_wait(name, now)
        for name in unreachable & self._since.keys():
            self._since[name] = now
        if waiting - unreachable:
            self.busy += min(in_use, bears)
            self.capacity += bears

    def _note_wait(self, workspace: str, now: float) -> None:
        waited_s = now - self._since[workspace]
        self.max_wait_s = max(self.max_wait_s, waited_s)

    def utilisation(self) -> float:
        """Returns the part of the capacity in use while work waited."""
        return self.busy / self.capacity if self.capacity else 1.0


def quantile(values: list[float], part: float) -> float:
    """Returns the value below which `part` of the values lie."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
