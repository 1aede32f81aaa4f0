"""Relays the store's data between routers.

Load pattern: in a large fleet, a watch of every router on the store costs more
than a few routers that watch and relay to the others. It also serves a router
whose calls the store rejects while it answers the other routers.
"""

import dataclasses
import math

from tamarackbridge import core
from tamarackbridge.components.knowledge import (
    applier,
    const,
    messages,
    positions,
    source,
    state,
)
from tamarackbridge.components.telemetry import events

MS_PER_S = 1000

FOLLOWS_S = 3.0
"""Time for which a router that was sent a snapshot is sent later changes, too,
as one that relies on this router is. It may have just started."""


@dataclasses.dataclass(frozen=True, slots=True)
class _MissingChange:
    """A change that the local copy lacks.

    Attributes:
        revision: Position of the store with the change.
        since: Time from which the copy has lacked some reported change.
    """

    revision: int
    since: float


class Relay:
    """Sends the local copy to routers that lack it, and applies theirs."""

    def __init__(
        self,
        local_copy: state.LocalCopy,
        update_applier: applier.Applier,
        clock: core.Clock,
    ) -> None:
        self._local_copy = local_copy
        self._applier = update_applier
        self._clock = clock
        self._sent_at: dict[tuple[str, source.Kind], float] = {}
        self._lacking_since: dict[tuple[str, source.Kind], float] = {}
        self._missing: dict[source.Kind, _MissingChange] = {}
        self._senders: dict[source.Kind, str] = {}

    def versions(self) -> tuple[messages.Edition, ...]:
        """Returns version and age of the local copy of each kind."""
        now = self._clock.monotonic()
        return tuple(
            self._version(kind, now) for kind in self._local_copy.kinds
        )

    def era(self) -> int | None:
        """Returns the era of the store; None before the first read."""
        known = [
            self._local_copy.version(kind).revision
            for kind in self._local_copy.kinds
        ]
        return positions.era(max(known)) if max(known) else None

    def sender(self, kind: source.Kind) -> str | None:
        """Returns the router that sent the data of a kind last, if any did."""
        return self._senders.get(kind)

    def is_complete(self) -> bool:
        """Returns whether the local copy has data of all kinds."""
        return self._local_copy.is_complete()

    def handle_versions(
        self, versions: tuple[messages.Edition, ...], age_s: float
    ) -> None:
        """Confirms the local copy where another router's is no newer.

        Args:
            versions: Version and age of the other router's copy of each kind.
            age_s: Time since they were sent.
        """
        now = self._clock.monotonic()
        for reported in versions:
            own = self._local_copy.version(reported.kind)
            if reported.age_ms < 0:
                continue
            changed = self._position(reported, reported.changed)
            if own.revision < max(changed, 1):
                self._record_missing(reported.kind, changed, now)
                continue
            position = self._position(reported, reported.revision)
            if positions.era(position) < positions.era(own.revision):
                # It was confirmed by what the store has lost since.
                continue
            at = now - age_s - reported.age_ms / MS_PER_S
            self._local_copy.record_revision(
                reported.kind, position, changed=False
            )
            self._local_copy.confirm(reported.kind, at)

    def is_behind(self, kind: source.Kind) -> bool:
        """Returns whether the copy has lacked a change for too long."""
        missing = self._missing.get(kind)
        if missing is None:
            return False
        if self._local_copy.version(kind).revision >= missing.revision:
            del self._missing[kind]
            return False
        return self._clock.monotonic() - missing.since > const.BEHIND_TIMEOUT_S

    def snapshots_to_send(
        self, router: str, versions: tuple[messages.Edition, ...], follows: bool
    ) -> list[messages.Snapshot]:
        """Returns the snapshots that another router should be sent now.

        Args:
            router: The other router.
            versions: Version and age of its copy of each kind.
            follows: Whether it relies on this router for the store's data. Any
                other router is sent a snapshot only if its own watch on the
                store should have returned the change already.
        """
        now = self._clock.monotonic()
        return [
            self._snapshot(reported.kind, now)
            for reported in versions
            if self._lacks(router, reported, follows, now)
            and self._is_due(router, reported, now)
        ]

    def handle_snapshot(
        self, router: str, snapshot: messages.Snapshot, age_s: float
    ) -> None:
        """Applies a snapshot, unless the local copy is as new.

        Args:
            router: The router that sent it.
            snapshot: The snapshot.
            age_s: Time since it was sent.
        """
        kind = snapshot.edition.kind
        own = self._local_copy.version(kind)
        position = self._position(snapshot.edition, snapshot.edition.revision)
        if position <= own.revision or snapshot.edition.age_ms < 0:
            return
        is_restored = own.revision > 0 and (
            positions.era(position) > positions.era(own.revision)
        )
        if kind is source.Kind.SERVERS:
            self._replace_servers(snapshot, is_restored)
        elif kind is source.Kind.ZONES:
            updates = [
                source.ZoneEvacuation(zone) for zone in snapshot.zones_out
            ]
            self._applier.replace(kind, updates, 0.0, is_restored)
            self._applier.keep_zones_in_doubt(
                {
                    zone: max(left_ms, 0) / MS_PER_S
                    for zone, left_ms in snapshot.zones_in_doubt
                }
            )
        elif kind is source.Kind.ROLLOUTS:
            orders = [source.RolloutUpdate(item) for item in snapshot.rollouts]
            self._applier.replace(kind, orders, 0.0, is_restored)
        elif snapshot.configuration is not None:
            update = source.ConfigurationUpdate(snapshot.configuration)
            self._applier.replace(kind, (update,), 0.0)
        self._senders[kind] = router
        changed = self._position(snapshot.edition, snapshot.edition.changed)
        self._local_copy.record_revision(kind, changed, changed=True)
        self._local_copy.record_revision(kind, position, changed=False)
        self.handle_versions((snapshot.edition,), age_s)
        self._log(router, snapshot.edition)
        self._applier.on_change()

    def forget_router(self, router: str) -> None:
        """Drops the records of a router that has left the fleet."""
        for records in (self._sent_at, self._lacking_since):
            for key in [old for old in records if old[0] == router]:
                del records[key]

    def _position(self, reported: messages.Edition, revision: int) -> int:
        """Returns the position of a revision that another router reported.

        One that does not know of eras is taken to follow the same one.
        """
        era = reported.era
        if era < 0:
            own = self._local_copy.version(reported.kind)
            era = positions.era(own.revision)
        return positions.make(era, revision)

    def _replace_servers(
        self, snapshot: messages.Snapshot, is_restored: bool
    ) -> None:
        updates = []
        for known in snapshot.servers:
            cold_s = max(known.cold_ms, 0) / MS_PER_S
            server = dataclasses.replace(known.server, cold_s=cold_s)
            updates.append(source.ServerUpdate(server))
        grace_s = const.EXPIRY_GRACE_S if is_restored else 0.0
        self._applier.replace(
            source.Kind.SERVERS, updates, grace_s, is_restored
        )
        for known in snapshot.servers:
            if known.lapses_ms >= 0:
                gone = source.ServerRemoval(known.server.name)
                self._applier.apply(gone, known.lapses_ms / MS_PER_S)

    def _log(self, router: str, received: messages.Edition) -> None:
        age_s = self._local_copy.age(received.kind, self._clock.monotonic())
        events.write(
            events.KnowledgeTold(
                kind=received.kind.value,
                router=router,
                revision=received.revision,
                age_s=round(age_s, 3) if math.isfinite(age_s) else -1.0,
            )
        )

    def _record_missing(
        self, kind: source.Kind, changed: int, now: float
    ) -> None:
        """Records a reported change that the local copy lacks."""
        before = self._missing.get(kind)
        revision = self._local_copy.version(kind).revision
        if before is None or before.revision <= revision:
            self._missing[kind] = _MissingChange(changed, now)
            return
        newest = max(changed, before.revision)
        self._missing[kind] = _MissingChange(newest, before.since)

    def _lacks(
        self, router: str, reported: messages.Edition, follows: bool, now: float
    ) -> bool:
        """Returns whether another router needs the local copy."""
        key = (router, reported.kind)
        own = self._local_copy.version(reported.kind)
        if self._position(reported, reported.revision) >= own.changed:
            self._lacking_since.pop(key, None)
            return False
        since = self._lacking_since.setdefault(key, now)
        limit_s = (
            self._local_copy.watch_wait_s(reported.kind)
            + const.RELAY_AGE_MARGIN_S
        )
        is_old = not 0 <= reported.age_ms / MS_PER_S < limit_s
        # It may have no other source in the first seconds after its start.
        was_sent = now - self._sent_at.get(key, -math.inf) < FOLLOWS_S
        return (
            follows
            or was_sent
            or is_old
            or now - since >= const.BEHIND_TIMEOUT_S
        )

    def _is_due(
        self, router: str, reported: messages.Edition, now: float
    ) -> bool:
        key = (router, reported.kind)
        if now - self._sent_at.get(key, -math.inf) < const.PUSH_INTERVAL_S:
            return False
        self._sent_at[key] = now
        return True

    def _version(self, kind: source.Kind, now: float) -> messages.Edition:
        own = self._local_copy.version(kind)
        age_s = now - own.confirmed_at
        age_ms = int(age_s * MS_PER_S) + 1 if math.isfinite(age_s) else -1
        is_unreachable = kind in self._local_copy.unreachable
        return messages.Edition(
            kind,
            positions.revision(own.revision),
            positions.revision(own.changed),
            age_ms,
            is_unreachable,
            positions.era(own.revision),
        )

    def _snapshot(self, kind: source.Kind, now: float) -> messages.Snapshot:
        local_copy = self._local_copy
        edition = self._version(kind, now)
        if kind is source.Kind.CONFIGURATION:
            return messages.Snapshot(edition, local_copy.configuration)
        if kind is source.Kind.ZONES:
            zones = tuple(sorted(local_copy.zones_out))
            in_doubt = tuple(
                (zone, int(max(until - now, 0.0) * MS_PER_S))
                for zone, until in local_copy.zones_in_doubt.items()
            )
            return messages.Snapshot(
                edition, zones_out=zones, zones_in_doubt=in_doubt
            )
        if kind is source.Kind.ROLLOUTS:
            orders = tuple(
                order
                for name, order in local_copy.rollouts.items()
                if name not in local_copy.rollouts_in_doubt
            )
            return messages.Snapshot(edition, rollouts=orders)
        servers = tuple(
            _known_server(registered, now)
            for registered in local_copy.servers.values()
        )
        return messages.Snapshot(edition, servers=servers)


def _known_server(
    registered: state.RegisteredServer, now: float
) -> messages.KnownServer:
    """Converts times on the local clock to times that are left."""
    lapses_ms = -1
    if math.isfinite(registered.expires_at):
        lapses_ms = int(max(registered.expires_at - now, 0.0) * MS_PER_S)
    cold_ms = int(max(registered.warm_at - now, 0.0) * MS_PER_S)
    return messages.KnownServer(registered.server, cold_ms, lapses_ms)
