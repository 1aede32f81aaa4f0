"""Virtual service counters (virtual token counter, start-time fair queueing).

A counter is the cost charged to a key (a workspace or an end user), divided by
the key's share. The virtual time is the highest counter at which a key was
scheduled; it never decreases. The counter of a key that becomes backlogged is
raised to the virtual time, so that an idle period earns no credit.
"""

from collections.abc import Container, Iterable


class VirtualCounters:
    """Counters of the keys that compete for the same capacity.

    Attributes:
        virtual_time: Highest counter at which a key was scheduled.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._values: dict[str, float] = {}
        self._backlogged: set[str] = set()

    def value(self, key: str) -> float:
        """Returns the counter of a key."""
        return self._values.get(key, self.virtual_time)

    def values(self) -> dict[str, float]:
        """Returns a copy of all counters."""
        return dict(self._values)

    def restore(self, key: str, value: float) -> None:
        """Sets a counter to the value that an earlier dispatcher had."""
        self._values[key] = value

    def activate(self, key: str) -> None:
        """Marks a key as backlogged; raises its counter if it was not."""
        if key in self._backlogged:
            return
        self._backlogged.add(key)
        self._values[key] = max(self.value(key), self.virtual_time)

    def deactivate(self, key: str) -> None:
        """Marks a key as no longer backlogged."""
        self._backlogged.discard(key)

    def charge(self, key: str, amount: float) -> None:
        """Adds normalised cost to a counter; a refund is negative."""
        self._values[key] = self.value(key) + amount

    def advance(self, key: str) -> None:
        """Raises the virtual time to the counter of the scheduled key."""
        self.virtual_time = max(self.virtual_time, self.value(key))

    def ordered(self, keys: Iterable[str]) -> list[str]:
        """Returns the keys sorted by counter, least served first."""
        return sorted(keys, key=lambda key: (self.value(key), key))

    def prune(self, keep: Container[str]) -> None:
        """Removes counters that `activate` would set to the same value again.

        Args:
            keep: Keys whose counters stay.
        """
        for key, value in list(self._values.items()):
            idle = key not in self._backlogged and key not in keep
            if idle and value <= self.virtual_time:
                del self._values[key]
