"""Server notices: announced shutdowns, temporary closures, rate limits.

Load patterns: servers are taken away while the store that lists them is
unreachable, so that only their answers announce it; and a server with more
work than it can handle rejects requests and states when to retry.
"""

import collections
import dataclasses

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import rate_limits

MAX_CLOSED_S = 600.0
"""Longest time for which a server can ask to be closed; operators replace one
that is full for longer than ten minutes."""

REOPEN_S = 1.0
"""Time after a closure during which the server gets requests at its warm-up
rate only: the requests that waited for it arrive one after the other."""

ANNOUNCE_S = 120.0
"""Time for which other routers are informed of a shutdown notice. The server
ends within some ten seconds, and an outage of the store can hide that for a
minute or two."""

MAX_SERVERS = 4_096
"""Servers whose notices are kept, the newest first. This covers two days when
each of 600 engines is replaced every eight hours."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """A server's announcement that it shuts down.

    Attributes:
        server: Name of the server.
        address: Address at which it listens.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        at: Time of the announcement.
    """

    server: str
    address: str
    started_ms: int
    at: float

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """Identifies the server's instance: one run from start to shutdown."""
        return (self.server, self.address, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class _Closure:
    incarnation: tuple[str, str, int]
    until: float


class ServerNotices:
    """Notices of all servers, received directly or from other routers.

    Attributes:
        limits: Rate limits of the servers.
    """

    def __init__(self) -> None:
        self.limits = rate_limits.RateLimits()
        self._changes = 0
        self._shutdowns: collections.OrderedDict[str, ShutdownNotice]
        self._shutdowns = collections.OrderedDict()
        self._unregistered: set[str] = set()
        self._last_without_notice: dict[str, ShutdownNotice] = {}
        self._closures: dict[str, _Closure] = {}
        self._rejecting_until: dict[str, float] = {}
        self._has_unsent = False

    @property
    def changes(self) -> int:
        """Counts changes, so that readers notice outdated results.

        Changes are new shutdown notices, closures and rate limits.
        """
        return self._changes + self.limits.changes

    def record_shutdown(
        self, server: knowledge.BackendServer, now: float
    ) -> bool:
        """Records a server's shutdown notice; returns whether it is new."""
        return self._keep(_notice_of(server, now))

    def record_no_shutdown(
        self, server: knowledge.BackendServer, now: float
    ) -> None:
        """Records an answer without a shutdown notice."""
        self._last_without_notice[server.name] = _notice_of(server, now)
        if len(self._last_without_notice) > MAX_SERVERS:
            del self._last_without_notice[next(iter(self._last_without_notice))]

    def apply_shutdown_notice(self, notice: ShutdownNotice) -> bool:
        """Records a shutdown notice from another router.

        It is ignored if this router has since received an answer without a
        notice from the same instance.

        Returns:
            Whether it is new.
        """
        seen = self._last_without_notice.get(notice.server)
        if (
            seen
            and seen.incarnation == notice.incarnation
            and seen.at >= notice.at
        ):
            return False
        return self._keep(notice)

    def is_shutting_down(self, server: knowledge.BackendServer) -> bool:
        """Returns whether this instance of a server announced its shutdown."""
        notice = self._shutdowns.get(server.name)
        return notice is not None and notice.incarnation == server.incarnation

    def shutdown_notices(self, now: float) -> list[ShutdownNotice]:
        """Returns the shutdown notices to send to other routers, oldest first.

        Those of servers that are no longer registered are left out.
        """
        notices = []
        for notice in reversed(self._shutdowns.values()):
            if now - notice.at > ANNOUNCE_S:
                break
            if notice.server not in self._unregistered:
                notices.append(notice)
        return notices[::-1]

    def close(
        self, server: knowledge.BackendServer, seconds: float, now: float
    ) -> float:
        """Closes a server that rejected a request.

        A closure of the same instance is extended, never shortened.

        Args:
            server: The server.
            seconds: For how long it asked to be closed.
            now: The time.

        Returns:
            For how long it is closed, in seconds.
        """
        previous = self._closures.get(server.name)
        until = now + min(seconds, MAX_CLOSED_S)
        if previous is not None and previous.incarnation == server.incarnation:
            until = max(until, previous.until)
        self._closures[server.name] = _Closure(server.incarnation, until)
        self._has_unsent = True
        self._changes += 1
        return until - now

    def closed_s(self, server: knowledge.BackendServer, now: float) -> float:
        """Returns for how long a server stays closed; 0 if it is open."""
        return max(self._closed_until(server) - now, 0.0)

    def is_reopening(self, server: knowledge.BackendServer, now: float) -> bool:
        """Returns whether a server's closure ended less than `REOPEN_S` ago."""
        return 0.0 <= now - self._closed_until(server) < REOPEN_S

    def remaining_closures_s(self, now: float) -> dict[str, float]:
        """Returns the seconds left of each closure, by server.

        They are negative for servers that are reopening.
        """
        self._drop_ended(now)
        return {
            name: closure.until - now
            for name, closure in self._closures.items()
        }

    def apply_rejection(self, server: str, until: float) -> None:
        """Records that a server rejects requests of another router."""
        self._rejecting_until[server] = max(
            until, self._rejecting_until.get(server, until)
        )

    def is_rejecting(self, server: str, now: float) -> bool:
        """Returns whether a server rejects requests of another router."""
        return now < self._rejecting_until.get(server, now)

    def pop_unsent_change(self) -> bool:
        """Returns whether notices changed since this was last called."""
        has_unsent, self._has_unsent = self._has_unsent, False
        return self.limits.pop_unsent_change() or has_unsent

    def forget(self, server: str) -> None:
        """Handles the end of a server's registration.

        An expired registration may come back for the same instance, whose
        notice is then still valid. Without a start time instances can't be
        distinguished, so the notice is dropped.
        """
        notice = self._shutdowns.get(server)
        if notice is None:
            return
        if notice.started_ms:
            self._unregistered.add(server)
        else:
            del self._shutdowns[server]

    def _keep(self, notice: ShutdownNotice) -> bool:
        """Stores a shutdown notice; returns whether it is new."""
        known = self._shutdowns.get(notice.server)
        if known is not None:
            if known.incarnation == notice.incarnation:
                return False
            if notice.started_ms < known.started_ms:
                return False
        self._shutdowns[notice.server] = notice
        self._shutdowns.move_to_end(notice.server)
        self._unregistered.discard(notice.server)
        if len(self._shutdowns) > MAX_SERVERS:
            name, _ = self._shutdowns.popitem(last=False)
            self._unregistered.discard(name)
        self._has_unsent = True
        self._changes += 1
        return True

    def _closed_until(self, server: knowledge.BackendServer) -> float:
        closure = self._closures.get(server.name)
        if closure is None or closure.incarnation != server.incarnation:
            return float("-inf")
        return closure.until

    def _drop_ended(self, now: float) -> None:
        """Drops closures and other routers' rejections that have ended."""
        for name, closure in list(self._closures.items()):
            if now - closure.until >= REOPEN_S:
                del self._closures[name]
        for name, until in list(self._rejecting_until.items()):
            if until <= now:
                del self._rejecting_until[name]


def _notice_of(server: knowledge.BackendServer, now: float) -> ShutdownNotice:
    return ShutdownNotice(server.name, server.address, server.started_ms, now)
