"""What one router knows, and since when.

Knowledge has an age: the time since a moment at which the store certainly held
nothing newer. Ages are taken on a clock that counts suspension, so that what
was known before a freeze is old after it.
"""

import dataclasses
import math

from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.knowledge import const, models, source


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """A backend server with what its registration means here.

    Attributes:
        server: Its registration.
        cold_until: Time until which it said to be cold.
        lapses_at: Time at which it counts as gone unless it is registered
            again; infinite while it is registered.
    """

    server: models.BackendServer
    cold_until: float
    lapses_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Edition:
    """How far the knowledge of one kind reaches.

    Attributes:
        revision: Revision of the store up to which all is known; 0 for none.
        changed: Revision at which this kind last changed, as far as is known.
        at: A time at which the store held nothing newer.
    """

    revision: int = 0
    changed: int = 0
    at: float = -math.inf


class Knowledge:
    """Configuration, registered servers and zones taken out.

    Attributes:
        configuration: The newest configuration; None until one is known.
        servers: Registered servers by name.
        zones_out: Availability zones that get no new work.
        changes: Number of changes of the registered servers.
        away: Kinds on which the store gave this router nothing on its last
            call.
    """

    def __init__(self, bounds: fleet.Bounds) -> None:
        self._bounds = bounds
        self.changes = 0
        self.configuration: models.Configuration | None = None
        self.servers: dict[str, Registered] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.away: set[source.Kind] = set()
        self._editions = {kind: Edition() for kind in source.Kind}

    def use_bounds(self, bounds: fleet.Bounds) -> None:
        """Takes changed bounds."""
        self._bounds = bounds

    def take_configuration(self, found: models.Configuration) -> bool:
        """Puts a configuration in force unless it is older; says if new."""
        now = self.configuration
        if now is not None and found.version <= now.version:
            return False
        self.configuration = found
        return True

    def edition(self, kind: source.Kind) -> Edition:
        """Returns how far the knowledge of a kind reaches."""
        return self._editions[kind]

    def restart(self, kind: source.Kind, revision: int) -> None:
        """Notes that all of a kind was read, up to a revision."""
        at = self._editions[kind].at
        self._editions[kind] = Edition(revision, revision, at)

    def advance(self, kind: source.Kind, revision: int, changed: bool) -> None:
        """Notes that changes up to a revision are known."""
        known = self._editions[kind]
        new = max(known.revision, revision)
        self._editions[kind] = dataclasses.replace(
            known, revision=new, changed=new if changed else known.changed
        )

    def confirm(self, kind: source.Kind, at: float) -> None:
        """Notes that the store held nothing newer of a kind at a time."""
        known = self._editions[kind]
        self._editions[kind] = dataclasses.replace(known, at=max(known.at, at))

    def age(self, kind: source.Kind, now: float) -> float:
        """Returns the age of what is known of a kind, in seconds."""
        return now - self._editions[kind].at

    def wait_s(self, kind: source.Kind) -> float:
        """Returns the longest wait of a watch on a kind, in seconds."""
        if kind is source.Kind.CONFIGURATION:
            part = const.CONFIGURATION_WAIT_PART
            return part * self._bounds.configuration_s
        return const.REGISTRATION_WAIT_S

    def configuration_age(self, now: float) -> float:
        """Returns the age of the configuration, in seconds."""
        return self.age(source.Kind.CONFIGURATION, now)

    def servers_age(self, now: float) -> float:
        """Returns the age of the registrations, in seconds."""
        return self.age(source.Kind.SERVERS, now)

    def may_honour_keys(self, now: float) -> bool:
        """Whether no key can have been revoked longer ago than is allowed.

        A request that arrives now was sent no later than now, so its key was
        valid within the bound before its sending however long it waits here.
        """
        limit = self._bounds.revocation_s - const.REVOCATION_MARGIN_S
        return self.configuration_age(now) < limit

    def may_deny(self, now: float) -> bool:
        """Whether a route or key that isn't known here isn't in force."""
        limit = self._bounds.configuration_s - const.APPLY_MARGIN_S
        return self.configuration_age(now) < limit

    def complete(self) -> bool:
        """Whether every kind was read at least once."""
        read = min(it.at for it in self._editions.values())
        return read > -math.inf and self.configuration is not None

    def register(self, server: models.BackendServer, now: float) -> bool:
        """Takes a registration; says whether a new life of the server began."""
        known = self.servers.get(server.name)
        self.servers[server.name] = Registered(server, now + server.cold_s)
        self.changes += 1
        return known is not None and known.server.life != server.life

    def unregister(self, name: str, now: float, grace_s: float) -> None:
        """Takes the end of a registration; it counts after `grace_s`.

        Not later than a leaving server has to be left alone: the store may
        have been away for this router alone, and the server has left.
        """
        known = self.servers.get(name)
        if known is None:
            return
        self.changes += 1
        most_s = self._bounds.server_leave_s - const.LEAVE_MARGIN_S
        grace_s = min(grace_s, most_s)
        if grace_s <= 0:
            del self.servers[name]
            return
        lapses_at = min(known.lapses_at, now + grace_s)
        self.servers[name] = dataclasses.replace(known, lapses_at=lapses_at)

    def drop_lapsed(self, now: float) -> tuple[str, ...]:
        """Drops servers that were not registered again in time."""
        gone = tuple(
            name for name, it in self.servers.items() if it.lapses_at <= now
        )
        for name in gone:
            del self.servers[name]
        self.changes += len(gone)
        return gone

    def usable(self, service: str, now: float) -> list[Registered]:
        """Returns the servers of a service that may get new work."""
        return [
            it
            for it in self.servers.values()
            if it.server.service == service
            and not it.server.draining
            and it.lapses_at > now
            and it.server.zone not in self.zones_out
        ]
