"""A router's local copy of the store's data, and its age.

The age of a copy is the time since a moment at which the store certainly held
nothing newer. Ages are taken on a clock that counts suspension, so that a copy
is old after the process was frozen.
"""

import dataclasses
import math

from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.knowledge import const, models, source


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredServer:
    """A registered backend server with times on the local clock.

    Attributes:
        server: Its registration.
        warm_at: Time at which its warm-up ends.
        expires_at: Time at which it counts as removed unless it is registered
            again; infinite while it is registered.
    """

    server: models.BackendServer
    warm_at: float
    expires_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CopyVersion:
    """Version and age of the local copy of one kind of data.

    Attributes:
        revision: Position of the store up to which the copy is complete; 0
            before the first read.
        changed: Position at which the data last changed, as far as is known.
        confirmed_at: A time at which the store held nothing newer.
    """

    revision: int = 0
    changed: int = 0
    confirmed_at: float = -math.inf


class LocalCopy:
    """Local copy of configuration, registered servers, zones and rollouts.

    Attributes:
        configuration: The newest configuration; None before the first read.
        servers: Registered servers by name.
        zones_out: Evacuated availability zones; they get no new work.
        zones_in_doubt: Evacuated zones that the store no longer lists since it
            came back from an older copy, each with the time at which it is used
            again unless it is listed by then.
        rollouts: Rollout orders by the name of their object.
        rollouts_in_doubt: Those that the store lacks since it came back from
            an older copy, each with the time at which it counts as deleted.
        kinds: Kinds of data that are read.
        changes: Number of changes of the registered servers.
        unreachable: Kinds of data for which the last call to the store failed.
    """

    def __init__(self, bounds: fleet.Bounds) -> None:
        self._bounds = bounds
        self.changes = 0
        self.configuration: models.Configuration | None = None
        self.servers: dict[str, RegisteredServer] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.zones_in_doubt: dict[str, float] = {}
        self.rollouts: dict[str, models.RolloutOrder] = {}
        self.rollouts_in_doubt: dict[str, float] = {}
        self.kinds = tuple(
            kind
            for kind in source.Kind
            if kind is not source.Kind.ROLLOUTS or bounds.exposure_share > 0
        )
        self.unreachable: set[source.Kind] = set()
        self._versions = {kind: CopyVersion() for kind in source.Kind}

    def use_bounds(self, bounds: fleet.Bounds) -> None:
        """Replaces the limits, after a reload of the settings."""
        self._bounds = bounds

    def apply_configuration(self, found: models.Configuration) -> bool:
        """Puts a configuration in force; returns whether it was newer."""
        current = self.configuration
        if current is not None and found.version <= current.version:
            return False
        self.configuration = found
        return True

    def version(self, kind: source.Kind) -> CopyVersion:
        """Returns version and age of the copy of a kind."""
        return self._versions[kind]

    def has(self, kind: source.Kind) -> bool:
        """Returns whether the data of a kind was read at least once."""
        return self._versions[kind].revision > 0

    def record_full_read(self, kind: source.Kind, revision: int) -> None:
        """Records that all data of a kind was read, up to a position."""
        at = self._versions[kind].confirmed_at
        self._versions[kind] = CopyVersion(revision, revision, at)

    def record_revision(
        self, kind: source.Kind, revision: int, changed: bool
    ) -> None:
        """Records that the copy is complete up to a position.

        Args:
            kind: The kind of data.
            revision: Position of the store.
            changed: Whether the data changed up to this position.
        """
        current = self._versions[kind]
        newest = max(current.revision, revision)
        self._versions[kind] = dataclasses.replace(
            current,
            revision=newest,
            changed=newest if changed else current.changed,
        )

    def confirm(self, kind: source.Kind, at: float) -> None:
        """Records that the store held nothing newer of a kind at a time."""
        current = self._versions[kind]
        self._versions[kind] = dataclasses.replace(
            current, confirmed_at=max(current.confirmed_at, at)
        )

    def age(self, kind: source.Kind, now: float) -> float:
        """Returns the age of the copy of a kind, in seconds."""
        return now - self._versions[kind].confirmed_at

    def watch_wait_s(self, kind: source.Kind) -> float:
        """Returns the longest wait of a watch on a kind, in seconds."""
        if kind is source.Kind.CONFIGURATION:
            fraction = const.CONFIGURATION_WAIT_FRACTION
            return fraction * self._bounds.configuration_s
        return const.REGISTRATION_WAIT_S

    def watch_pause_s(self) -> float:
        """Returns the longest pause before a watch on a kind, in seconds."""
        return const.WATCH_PAUSE_FRACTION * self._bounds.server_leave_s

    def configuration_age(self, now: float) -> float:
        """Returns the age of the configuration, in seconds."""
        return self.age(source.Kind.CONFIGURATION, now)

    def servers_age(self, now: float) -> float:
        """Returns the age of the registrations, in seconds."""
        return self.age(source.Kind.SERVERS, now)

    def may_accept_keys(self, now: float) -> bool:
        """Returns whether the copy is recent enough to accept API keys.

        A key in an older copy may have been revoked for longer than is
        allowed. A request that arrives now was sent no later than now, so its
        key was valid within the time limit before the request was sent,
        however long the request waits here.
        """
        limit = self._bounds.revocation_s - const.REVOCATION_MARGIN_S
        return self.configuration_age(now) < limit

    def may_reject_unknown(self, now: float) -> bool:
        """Returns whether unknown routes and keys may be rejected.

        In an older copy, they may be missing though they are in force.
        """
        limit = self._bounds.configuration_s - const.APPLY_MARGIN_S
        return self.configuration_age(now) < limit

    def is_complete(self) -> bool:
        """Returns whether every kind of data was read at least once."""
        oldest = min(self._versions[kind].confirmed_at for kind in self.kinds)
        return oldest > -math.inf and self.configuration is not None

    def register(self, server: models.BackendServer, now: float) -> bool:
        """Records a registration.

        Returns:
            Whether it replaces that of another process of the server.
        """
        before = self.servers.get(server.name)
        self.servers[server.name] = RegisteredServer(
            server, now + server.cold_s
        )
        self.changes += 1
        return (
            before is not None
            and before.server.incarnation != server.incarnation
        )

    def unregister(self, name: str, now: float, grace_s: float) -> None:
        """Records the end of a registration; the server is removed later.

        Args:
            name: Name of the server.
            now: The time.
            grace_s: Seconds until the removal. They are cut to the time limit
                on leaving servers: the outage may have been between the store
                and this router alone, and the server has left.
        """
        registered = self.servers.get(name)
        if registered is None:
            return
        self.changes += 1
        max_grace_s = self._bounds.server_leave_s - const.LEAVE_MARGIN_S
        grace_s = min(grace_s, max_grace_s)
        if grace_s <= 0:
            del self.servers[name]
            return
        expires_at = min(registered.expires_at, now + grace_s)
        self.servers[name] = dataclasses.replace(
            registered, expires_at=expires_at
        )

    def remove_expired(self, now: float) -> tuple[str, ...]:
        """Removes servers that were not registered again in time.

        Returns:
            Their names.
        """
        expired = tuple(
            name
            for name, registered in self.servers.items()
            if registered.expires_at <= now
        )
        for name in expired:
            del self.servers[name]
        self.changes += len(expired)
        return expired

    def usable(self, service: str, now: float) -> list[RegisteredServer]:
        """Returns the servers of a service that may get new work."""
        return [
            registered
            for registered in self.servers.values()
            if registered.server.service == service
            and not registered.server.draining
            and registered.expires_at > now
            and registered.server.zone not in self.zones_out
        ]
