"""Puts facts into a router's knowledge and tells those who depend on them."""

from collections.abc import Callable, Iterable
import dataclasses

from tamarackbridge import core
from tamarackbridge.components.knowledge import models, source, state
from tamarackbridge.components.telemetry import events


class Applier:
    """Applies facts, whoever brings them.

    Attributes:
        changed: Called after a change.
    """

    def __init__(
        self,
        known: state.Knowledge,
        clock: core.Clock,
        changed: Callable[[], None],
        forget: Callable[[str], None],
    ) -> None:
        self.changed = changed
        self._known = known
        self._clock = clock
        self._forget = forget

    def replace(
        self, kind: source.Kind, facts: Iterable[source.Fact], grace_s: float
    ) -> None:
        """Takes all facts of a kind; what is not among them is gone."""
        facts = tuple(facts)
        if kind is source.Kind.ZONES:
            self._replace_zones(facts)
            return
        for fact in facts:
            self.apply(fact, grace_s)
        if kind is source.Kind.SERVERS:
            named = {
                it.server.name
                for it in facts
                if isinstance(it, source.ServerIs)
            }
            gone = [it for it in self._known.servers if it not in named]
            for name in gone:
                self.apply(source.ServerGone(name), grace_s)

    def apply(self, fact: source.Fact, grace_s: float) -> None:
        """Takes one fact; an ended registration is used for `grace_s`."""
        now = self._clock.monotonic()
        known = self._known
        match fact:
            case source.ConfigurationIs(configuration=found):
                if known.take_configuration(found):
                    _log_configuration(found)
            case source.ServerIs(server=server):
                self._register(server, now)
            case source.ServerGone(name=name):
                known.unregister(name, now, grace_s)
                if grace_s <= 0:
                    self._forget(name)
                events.write(events.ServerGone(name, round(grace_s, 3)))
            case source.ZoneOut(zone=zone):
                known.zones_out |= {zone}
                events.write(events.ZoneChanged(zone, out=True))
            case source.ZoneBack(zone=zone):
                known.zones_out -= {zone}
                events.write(events.ZoneChanged(zone, out=False))

    def _register(self, server: models.BackendServer, now: float) -> None:
        before = self._known.servers.get(server.name)
        if self._known.register(server, now):
            self._forget(server.name)
        if before is None or _settled(before.server) != _settled(server):
            _log_server(server)

    def drop_lapsed(self) -> None:
        """Drops servers that were not registered again in time."""
        for name in self._known.drop_lapsed(self._clock.monotonic()):
            self._forget(name)

    def _replace_zones(self, facts: tuple[source.Fact, ...]) -> None:
        out = {it.zone for it in facts if isinstance(it, source.ZoneOut)}
        before = self._known.zones_out
        for zone in sorted(out - before):
            self.apply(source.ZoneOut(zone), 0.0)
        for zone in sorted(before - out):
            self.apply(source.ZoneBack(zone), 0.0)


def _settled(server: models.BackendServer) -> models.BackendServer:
    """Returns a registration without the time that is left of being cold."""
    return dataclasses.replace(server, cold_s=float(server.cold_s > 0))


def _log_configuration(found: models.Configuration) -> None:
    workspaces = len(set((found.workspaces or {}).values()))
    events.write(
        events.ConfigurationInForce(
            found.version, len(found.routes), workspaces
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
