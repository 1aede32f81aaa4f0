"""Keeps a router's knowledge current by following its source."""

import asyncio
from collections.abc import Callable
import math
import random

import result

from tamarackbridge import core
from tamarackbridge.components.knowledge import const, models, source, state
from tamarackbridge.components.telemetry import events

_WAITS = {
    source.Kind.CONFIGURATION: const.CONFIGURATION_WAIT_S,
    source.Kind.SERVERS: const.REGISTRATION_WAIT_S,
    source.Kind.ZONES: const.REGISTRATION_WAIT_S,
}


class Follower(core.Service):
    """Follows one kind: reads all of it, then each change."""

    def __init__(
        self,
        kind: source.Kind,
        origin: source.Source,
        known: state.Knowledge,
        clock: core.Clock,
        rng: random.Random,
        changed: Callable[[], None],
        forget: Callable[[str], None],
    ) -> None:
        super().__init__()
        self._kind = kind
        self._origin = origin
        self._known = known
        self._clock = clock
        self._rng = rng
        self._changed = changed
        self._forget = forget
        self._revision = 0
        self._pause_s = const.RETRY_MIN_S
        self._away_since: float | None = None
        self._grace_until = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def away(self) -> bool:
        """Whether the last call gave nothing."""
        return self._away_since is not None

    async def on_start(self) -> None:
        """Begins to follow."""
        self._task = asyncio.create_task(self._async_run())

    async def on_stop(self) -> None:
        """Ends following."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        while True:
            if self._revision == 0:
                await self._async_read()
            else:
                await self._async_follow()

    async def _async_read(self) -> None:
        began = self._clock.monotonic()
        answer = await self._origin.async_all(self._kind)
        if isinstance(answer, result.Err):
            await self._async_pause()
            return
        self._came_back()
        self._replace(answer.ok_value.facts)
        self._revision = answer.ok_value.revision
        self._confirm(began)
        self._changed()

    async def _async_follow(self) -> None:
        wait_s = _WAITS[self._kind]
        began = self._clock.monotonic()
        answer = await self._origin.async_changes(
            self._kind, self._revision, wait_s
        )
        if answer == result.Err(source.Trouble.HISTORY_LOST):
            events.write(events.HistoryLost(self._kind.value))
            self._revision = 0
            return
        if isinstance(answer, result.Err):
            await self._async_pause()
            return
        self._came_back()
        facts = answer.ok_value.facts
        for fact in facts:
            self._apply(fact)
        self._revision = max(self._revision, answer.ok_value.revision)
        waited = self._clock.monotonic() - began >= wait_s
        for name in self._known.drop_lapsed(self._clock.monotonic()):
            self._forget(name)
        # An empty answer after the whole wait speaks for the wait's end.
        self._confirm(began + wait_s if waited and not facts else began)
        if facts:
            self._changed()

    async def _async_pause(self) -> None:
        if self._away_since is None:
            self._away_since = self._clock.monotonic()
            events.write(events.StoreAway(self._kind.value, self._age()))
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, const.RETRY_MAX_S)

    def _came_back(self) -> None:
        self._pause_s = const.RETRY_MIN_S
        if self._away_since is None:
            return
        now = self._clock.monotonic()
        away_s = now - self._away_since
        self._away_since = None
        if away_s > const.OUTAGE_S:
            self._grace_until = now + const.LAPSE_GRACE_S
        events.write(events.StoreBack(self._kind.value, round(away_s, 3)))

    def _confirm(self, at: float) -> None:
        if self._kind is source.Kind.CONFIGURATION:
            self._known.confirm_configuration(at)
        elif self._kind is source.Kind.SERVERS:
            self._known.confirm_servers(at)
        else:
            self._known.confirm_zones(at)

    def _replace(self, facts: tuple[source.Fact, ...]) -> None:
        if self._kind is source.Kind.ZONES:
            self._known.zones_out = frozenset()
        for fact in facts:
            self._apply(fact)
        if self._kind is source.Kind.SERVERS:
            named = {
                it.server.name
                for it in facts
                if isinstance(it, source.ServerIs)
            }
            for name in [it for it in self._known.servers if it not in named]:
                self._apply(source.ServerGone(name))

    def _apply(self, fact: source.Fact) -> None:
        now = self._clock.monotonic()
        known = self._known
        match fact:
            case source.ConfigurationIs(configuration=found):
                if known.take_configuration(found):
                    _log_configuration(found)
            case source.ServerIs(server=server):
                if known.register(server, now):
                    self._forget(server.name)
                _log_server(server)
            case source.ServerGone(name=name):
                grace_s = max(self._grace_until - now, 0.0)
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

    def _age(self) -> float:
        """Returns the age of what is known of this kind; -1 for nothing."""
        now = self._clock.monotonic()
        ages = {
            source.Kind.CONFIGURATION: self._known.configuration_age,
            source.Kind.SERVERS: self._known.servers_age,
            source.Kind.ZONES: self._known.zones_age,
        }
        age_s = ages[self._kind](now)
        return round(age_s, 3) if math.isfinite(age_s) else -1.0


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
