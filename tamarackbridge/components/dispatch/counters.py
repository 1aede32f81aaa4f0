"""Virtual service counters (virtual token counter, start-time fair queueing).

A counter is the service charged to a key, divided by the key's share. The
virtual time is the highest counter at which a key was chosen; it never goes
back. A key that becomes backlogged is lifted to the virtual time, so that
idling earns no credit.
"""

from collections.abc import Container, Iterable


class VirtualCounters:
    """Counters of the keys that compete for one capacity."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._values: dict[str, float] = {}
        self._active: set[str] = set()

    def value(self, key: str) -> float:
        """Returns the counter of a key."""
        return self._values.get(key, self.virtual_time)

    def values(self) -> dict[str, float]:
        """Returns a copy of all counters."""
        return dict(self._values)

    def restore(self, key: str, value: float) -> None:
        """Sets a counter from the records of an earlier owner."""
        self._values[key] = value

    def activate(self, key: str) -> None:
        """Notes that a key is backlogged; lifts it if it was not."""
        if key in self._active:
            return
        self._active.add(key)
        self._values[key] = max(self.value(key), self.virtual_time)

    def deactivate(self, key: str) -> None:
        """Notes that a key is no longer backlogged."""
        self._active.discard(key)

    def charge(self, key: str, amount: float) -> None:
        """Adds normalised cost to a counter; a refund is negative."""
        self._values[key] = self.value(key) + amount

    def advance(self, key: str) -> None:
        """Moves the virtual time up to the counter of the chosen key."""
        self.virtual_time = max(self.virtual_time, self.value(key))

    def ordered(self, keys: Iterable[str]) -> list[str]:
        """Returns keys by counter, least served first."""
        return sorted(keys, key=lambda key: (self.value(key), key))

    def prune(self, keep: Container[str]) -> None:
        """Drops counters that a lift would restore anyway."""
        for key, value in list(self._values.items()):
            idle = key not in self._active and key not in keep
            if idle and value <= self.virtual_time:
                del self._values[key]
