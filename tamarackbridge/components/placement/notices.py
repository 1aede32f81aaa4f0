"""What backend servers say of taking more work: that they leave, or are full.

Load patterns: servers are taken away while the store that lists them is out
of reach, so that only their answers tell; and a server with more work than it
bears turns requests away and says when to come back.
"""

import collections
import dataclasses

from tamarackbridge.components.knowledge import models as knowledge

MAX_CLOSED_S = 600.0
"""Longest time for which a server's advice closes it; one that is full for
longer than ten minutes is replaced by operators."""

REOPEN_S = 1.0
"""Time after its end in which a server is held to the rate of a cold one: the
requests that waited for it arrive one after the other."""

TOLD_S = 120.0
"""Time for which others are told of a server that leaves: it ends within some
ten seconds, and an outage of the store may hide that for a minute or two."""

MAX_SERVERS = 4_096
"""Servers whose notices are kept, the newest first: those of two days at a
replacement of each of 600 engines every eight hours."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A server said that it leaves.

    Attributes:
        server: Name of the server.
        address: Where it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        at: Time at which it said so.
    """

    server: str
    address: str
    started_ms: int
    at: float

    @property
    def life(self) -> tuple[str, str, int]:
        """Identifies one life of the server."""
        return (self.server, self.address, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class _Closed:
    life: tuple[str, str, int]
    until: float


class Notices:
    """Notices of all servers, read by this router or told by another.

    Attributes:
        changes: Number of changes of who leaves or is closed.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._leaving: collections.OrderedDict[str, Leaving]
        self._leaving = collections.OrderedDict()
        self._gone: set[str] = set()
        self._sound: dict[str, Leaving] = {}
        self._closed: dict[str, _Closed] = {}
        self._busy: dict[str, float] = {}
        self._has_news = False

    def note_leaving(self, server: knowledge.BackendServer, now: float) -> bool:
        """Takes a server's own notice that it leaves; says if it is new."""
        return self._keep(_of(server, now))

    def note_staying(self, server: knowledge.BackendServer, now: float) -> None:
        """Takes an answer without such a notice."""
        self._sound[server.name] = _of(server, now)
        if len(self._sound) > MAX_SERVERS:
            del self._sound[next(iter(self._sound))]

    def hear_leaving(self, told: Leaving) -> bool:
        """Takes a notice that another router read; says if it is new.

        What this router has read of the same life since then counts more.
        """
        sound = self._sound.get(told.server)
        if sound and sound.life == told.life and sound.at >= told.at:
            return False
        return self._keep(told)

    def is_leaving(self, server: knowledge.BackendServer) -> bool:
        """Whether this life of a server leaves."""
        found = self._leaving.get(server.name)
        return found is not None and found.life == server.incarnation

    def leaving(self, now: float) -> list[Leaving]:
        """Returns the notices that other routers may need, oldest first."""
        found = []
        for it in reversed(self._leaving.values()):
            if now - it.at > TOLD_S:
                break
            if it.server not in self._gone:
                found.append(it)
        return found[::-1]

    def close(
        self, server: knowledge.BackendServer, seconds: float, now: float
    ) -> float:
        """Closes a server that turned a request away; returns for how long."""
        known = self._closed.get(server.name)
        until = now + min(seconds, MAX_CLOSED_S)
        if known is not None and known.life == server.incarnation:
            until = max(until, known.until)
        self._closed[server.name] = _Closed(server.incarnation, until)
        self._has_news = True
        self.changes += 1
        return until - now

    def closed_s(self, server: knowledge.BackendServer, now: float) -> float:
        """Returns for how long a server takes nothing from this router."""
        return max(self._closed_until(server) - now, 0.0)

    def is_reopening(self, server: knowledge.BackendServer, now: float) -> bool:
        """Whether a server was closed until a moment ago."""
        return 0.0 <= now - self._closed_until(server) < REOPEN_S

    def closed(self, now: float) -> dict[str, float]:
        """Returns closed servers with the time that is left of it."""
        self._drop_open(now)
        return {name: it.until - now for name, it in self._closed.items()}

    def hear_busy(self, server: str, until: float) -> None:
        """Takes that a server turns requests of another router away."""
        self._busy[server] = max(until, self._busy.get(server, until))

    def is_busy(self, server: str, now: float) -> bool:
        """Whether a server turns requests of another router away."""
        return now < self._busy.get(server, now)

    def take_news(self) -> bool:
        """Whether there is something that others were not told yet."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def forget(self, server: str) -> None:
        """Drops notices of a server that is gone, unless it may come back.

        A registration that lapsed may come back with the same life; without
        a time of its start, lives can't be told apart.
        """
        found = self._leaving.get(server)
        if found is None:
            return
        if found.started_ms:
            self._gone.add(server)
        else:
            del self._leaving[server]

    def _keep(self, found: Leaving) -> bool:
        known = self._leaving.get(found.server)
        if known is not None:
            if known.life == found.life:
                return False
            if found.started_ms < known.started_ms:
                return False
        self._leaving[found.server] = found
        self._leaving.move_to_end(found.server)
        self._gone.discard(found.server)
        if len(self._leaving) > MAX_SERVERS:
            name, _ = self._leaving.popitem(last=False)
            self._gone.discard(name)
        self._has_news = True
        self.changes += 1
        return True

    def _closed_until(self, server: knowledge.BackendServer) -> float:
        found = self._closed.get(server.name)
        if found is None or found.life != server.incarnation:
            return float("-inf")
        return found.until

    def _drop_open(self, now: float) -> None:
        """Drops closures and advice that have ended."""
        for name, it in list(self._closed.items()):
            if now - it.until >= REOPEN_S:
                del self._closed[name]
        for name, until in list(self._busy.items()):
            if until <= now:
                del self._busy[name]


def _of(server: knowledge.BackendServer, now: float) -> Leaving:
    return Leaving(server.name, server.address, server.started_ms, now)
