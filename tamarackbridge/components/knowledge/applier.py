"""Applies updates to the local copy and notifies the services that use it."""

from collections.abc import Callable, Iterable, Mapping
import dataclasses

from tamarackbridge import core
from tamarackbridge.components.knowledge import const, models, source, state
from tamarackbridge.components.telemetry import events


class Applier:
    """Applies updates from the store or from another router.

    Attributes:
        on_change: Called after a change.
    """

    def __init__(
        self,
        local_copy: state.LocalCopy,
        clock: core.Clock,
        on_change: Callable[[], None],
        forget: Callable[[str], None],
    ) -> None:
        """Initializes the applier.

        Args:
            local_copy: The local copy.
            clock: Clock for warm-up and expiry times.
            on_change: Called after a change.
            forget: Called with the name of a server that was removed or
                replaced by another process.
        """
        self.on_change = on_change
        self._local_copy = local_copy
        self._clock = clock
        self._forget = forget

    def replace(
        self,
        kind: source.Kind,
        updates: Iterable[source.Update],
        grace_s: float,
        is_restored: bool = False,
    ) -> None:
        """Replaces all data of a kind; whatever `updates` lacks is removed.

        Args:
            kind: The kind.
            updates: The data.
            grace_s: Seconds for which a server is still used after the end of
                its registration.
            is_restored: Whether the data is from an older copy, which may lack
                what was known already.
        """
        updates = tuple(updates)
        if kind is source.Kind.ZONES:
            doubt_s = const.ZONE_DOUBT_S if is_restored else 0.0
            self._replace_zones(updates, doubt_s)
            return
        for update in updates:
            if is_restored and isinstance(update, source.ServerUpdate):
                update = self._with_known_drain(update)
            self.apply(update, grace_s)
        if kind is source.Kind.ROLLOUTS:
            ordered = {
                update.order.name
                for update in updates
                if isinstance(update, source.RolloutUpdate)
            }
            for name in self._local_copy.rollouts.keys() - ordered:
                if is_restored:
                    until = self._clock.monotonic() + const.ZONE_DOUBT_S
                    self._local_copy.rollouts_in_doubt[name] = until
                else:
                    self.apply(source.RolloutRemoval(name), 0.0)
        if kind is source.Kind.SERVERS:
            registered = {
                listed.server.name
                for listed in updates
                if isinstance(listed, source.ServerUpdate)
            }
            removed = [
                server
                for server in self._local_copy.servers
                if server not in registered
            ]
            for name in removed:
                self.apply(source.ServerRemoval(name), grace_s)

    def apply(self, update: source.Update, grace_s: float) -> None:
        """Applies one update.

        Args:
            update: The update.
            grace_s: Seconds for which a server is still used after the end of
                its registration.
        """
        now = self._clock.monotonic()
        local_copy = self._local_copy
        match update:
            case source.ConfigurationUpdate(configuration=configuration):
                if local_copy.apply_configuration(configuration):
                    _log_configuration(configuration)
            case source.ServerUpdate(server=server):
                self._register(server, now)
            case source.ServerRemoval(name=name):
                local_copy.unregister(name, now, grace_s)
                if grace_s <= 0:
                    self._forget(name)
                events.write(events.ServerGone(name, round(grace_s, 3)))
            case source.ZoneEvacuation(zone=zone):
                local_copy.zones_in_doubt.pop(zone, None)
                local_copy.zones_out |= {zone}
                events.write(events.ZoneChanged(zone, out=True))
            case source.ZoneReturn(zone=zone):
                local_copy.zones_in_doubt.pop(zone, None)
                local_copy.zones_out -= {zone}
                events.write(events.ZoneChanged(zone, out=False))
            case source.RolloutUpdate(order=order):
                local_copy.rollouts_in_doubt.pop(order.name, None)
                local_copy.rollouts[order.name] = order
            case source.RolloutRemoval(name=name):
                local_copy.rollouts_in_doubt.pop(name, None)
                local_copy.rollouts.pop(name, None)

    def _register(self, server: models.BackendServer, now: float) -> None:
        before = self._local_copy.servers.get(server.name)
        if self._local_copy.register(server, now):
            self._forget(server.name)
        if before is None or _comparable(before.server) != _comparable(server):
            _log_server(server)

    def remove_expired(self) -> None:
        """Ends what was kept though the store lacks it, if its time is over."""
        now = self._clock.monotonic()
        for name in self._local_copy.remove_expired(now):
            self._forget(name)
        for zone, until in list(self._local_copy.zones_in_doubt.items()):
            if now >= until:
                self.apply(source.ZoneReturn(zone), 0.0)
        for name, until in list(self._local_copy.rollouts_in_doubt.items()):
            if now >= until:
                self.apply(source.RolloutRemoval(name), 0.0)

    def keep_zones_in_doubt(self, left_s: Mapping[str, float]) -> None:
        """Applies another router's doubts about evacuated zones.

        Args:
            left_s: Time after which each zone is used again, in seconds.
        """
        now = self._clock.monotonic()
        for zone, seconds in left_s.items():
            if zone in self._local_copy.zones_out:
                limit_s = min(seconds, const.ZONE_DOUBT_S)
                self._local_copy.zones_in_doubt[zone] = now + limit_s

    def _with_known_drain(
        self, update: source.ServerUpdate
    ) -> source.ServerUpdate:
        """Keeps that a server drains, which it never takes back."""
        known = self._local_copy.servers.get(update.server.name)
        if known is None or not known.server.draining:
            return update
        if known.server.incarnation != update.server.incarnation:
            return update
        draining = dataclasses.replace(update.server, draining=True)
        return source.ServerUpdate(draining)

    def _replace_zones(
        self, updates: tuple[source.Update, ...], doubt_s: float
    ) -> None:
        out = {
            update.zone
            for update in updates
            if isinstance(update, source.ZoneEvacuation)
        }
        before = self._local_copy.zones_out
        for zone in sorted(out - before):
            self.apply(source.ZoneEvacuation(zone), 0.0)
        for zone in sorted(before - out):
            if doubt_s > 0:
                until = self._clock.monotonic() + doubt_s
                self._local_copy.zones_in_doubt[zone] = until
                events.write(events.ZoneInDoubt(zone, doubt_s))
            else:
                self.apply(source.ZoneReturn(zone), 0.0)
        for zone in out & self._local_copy.zones_in_doubt.keys():
            del self._local_copy.zones_in_doubt[zone]


def _comparable(server: models.BackendServer) -> models.BackendServer:
    """Returns a registration without the warm-up time that is left.

    That time differs at each renewal; only whether any is left is compared.
    """
    return dataclasses.replace(server, cold_s=float(server.cold_s > 0))


def _log_configuration(configuration: models.Configuration) -> None:
    workspaces = len(set((configuration.workspaces or {}).values()))
    events.write(
        events.ConfigurationInForce(
            configuration.version, len(configuration.routes), workspaces
        )
    )


def _log_server(server: models.BackendServer) -> None:
    events.write(
        events.ServerRegistered(
            server=server.name,
            service=server.service,
            zone=server.zone,
            address=server.address,
            draining=server.draining,
            cold_s=server.cold_s,
        )
    )
