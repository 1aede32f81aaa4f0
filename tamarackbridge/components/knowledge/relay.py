"""Passes knowledge on between routers.

Load pattern: a large fleet, in which a watch of each router on the store costs
more than a few routers that watch and tell the rest; and a router that the
store turns away while the others reach it.
"""

import dataclasses
import math

from tamarackbridge import core
from tamarackbridge.components.knowledge import (
    applier,
    const,
    messages,
    source,
    state,
)
from tamarackbridge.components.telemetry import events

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Missed:
    """A change that this router lacks.

    Attributes:
        revision: Revision of the store with the change.
        since: Time at which this router learned that it lacks some change.
    """

    revision: int
    since: float


class Relay:
    """Tells other routers what this one knows, and takes what they tell."""

    def __init__(
        self,
        known: state.Knowledge,
        taking: applier.Applier,
        clock: core.Clock,
    ) -> None:
        self._known = known
        self._taking = taking
        self._clock = clock
        self._pushed: dict[tuple[str, source.Kind], float] = {}
        self._lacking_since: dict[tuple[str, source.Kind], float] = {}
        self._missed: dict[source.Kind, _Missed] = {}

    def editions(self) -> tuple[messages.Edition, ...]:
        """Returns how far this router's knowledge reaches."""
        now = self._clock.monotonic()
        return tuple(self._edition(kind, now) for kind in source.Kind)

    def hear(
        self, editions: tuple[messages.Edition, ...], age_s: float
    ) -> None:
        """Takes how far another router's knowledge reached `age_s` ago."""
        now = self._clock.monotonic()
        for told in editions:
            known = self._known.edition(told.kind)
            if told.age_ms < 0:
                continue
            if known.revision < max(told.changed, 1):
                self._miss(told, now)
                continue
            at = now - age_s - told.age_ms / MS_PER_S
            self._known.advance(told.kind, told.revision, changed=False)
            self._known.confirm(told.kind, at)

    def is_behind(self, kind: source.Kind) -> bool:
        """Whether this router knows for a while that it lacks a change."""
        missed = self._missed.get(kind)
        if missed is None:
            return False
        if self._known.edition(kind).revision >= missed.revision:
            del self._missed[kind]
            return False
        return self._clock.monotonic() - missed.since > const.BEHIND_S

    def lacking(
        self, router: str, editions: tuple[messages.Edition, ...], follows: bool
    ) -> list[messages.Snapshot]:
        """Returns what another router lacks and should be sent now.

        Args:
            router: The other router.
            editions: How far its knowledge reaches.
            follows: Whether it relies on this router; another one is only
                helped once its own watch would have told it.
        """
        now = self._clock.monotonic()
        return [
            self._snapshot(told.kind, now)
            for told in editions
            if self._lacks(router, told, follows, now)
            and self._is_due(router, told, now)
        ]

    def take(self, router: str, told: messages.Snapshot, age_s: float) -> None:
        """Takes what another router sent, unless more is known here."""
        kind = told.edition.kind
        known = self._known.edition(kind)
        if told.edition.revision <= known.revision or told.edition.age_ms < 0:
            return
        if kind is source.Kind.SERVERS:
            self._take_servers(told)
        elif kind is source.Kind.ZONES:
            facts = [source.ZoneOut(zone) for zone in told.zones_out]
            self._taking.replace(kind, facts, 0.0)
        elif told.configuration is not None:
            fact = source.ConfigurationIs(told.configuration)
            self._taking.replace(kind, (fact,), 0.0)
        self._known.advance(kind, told.edition.changed, changed=True)
        self._known.advance(kind, told.edition.revision, changed=False)
        self.hear((told.edition,), age_s)
        self._log(router, told.edition)
        self._taking.changed()

    def forget(self, router: str) -> None:
        """Drops what was noted of a router that is gone."""
        for noted in (self._pushed, self._lacking_since):
            for key in [it for it in noted if it[0] == router]:
                del noted[key]

    def _take_servers(self, told: messages.Snapshot) -> None:
        facts = []
        for it in told.servers:
            cold_s = max(it.cold_ms, 0) / MS_PER_S
            server = dataclasses.replace(it.server, cold_s=cold_s)
            facts.append(source.ServerIs(server))
        self._taking.replace(source.Kind.SERVERS, facts, 0.0)
        for it in told.servers:
            if it.lapses_ms >= 0:
                gone = source.ServerGone(it.server.name)
                self._taking.apply(gone, it.lapses_ms / MS_PER_S)

    def _log(self, router: str, told: messages.Edition) -> None:
        age_s = self._known.age(told.kind, self._clock.monotonic())
        events.write(
            events.KnowledgeTold(
                kind=told.kind.value,
                router=router,
                revision=told.revision,
                age_s=round(age_s, 3) if math.isfinite(age_s) else -1.0,
            )
        )

    def _miss(self, told: messages.Edition, now: float) -> None:
        """Notes a change that another router knows of, and this one not."""
        before = self._missed.get(told.kind)
        known = self._known.edition(told.kind).revision
        if before is None or before.revision <= known:
            self._missed[told.kind] = _Missed(told.changed, now)
            return
        revision = max(told.changed, before.revision)
        self._missed[told.kind] = _Missed(revision, before.since)

    def _lacks(
        self, router: str, told: messages.Edition, follows: bool, now: float
    ) -> bool:
        """Whether another router needs what this one knows."""
        key = (router, told.kind)
        known = self._known.edition(told.kind)
        if told.revision >= known.changed:
            self._lacking_since.pop(key, None)
            return False
        since = self._lacking_since.setdefault(key, now)
        limit_s = self._known.wait_s(told.kind) + const.TOLD_MARGIN_S
        is_old = not 0 <= told.age_ms / MS_PER_S < limit_s
        return follows or is_old or now - since >= const.BEHIND_S

    def _is_due(self, router: str, told: messages.Edition, now: float) -> bool:
        key = (router, told.kind)
        if now - self._pushed.get(key, -math.inf) < const.PUSH_S:
            return False
        self._pushed[key] = now
        return True

    def _edition(self, kind: source.Kind, now: float) -> messages.Edition:
        known = self._known.edition(kind)
        age_s = now - known.at
        age_ms = int(age_s * MS_PER_S) + 1 if math.isfinite(age_s) else -1
        away = kind in self._known.away
        return messages.Edition(
            kind, known.revision, known.changed, age_ms, away
        )

    def _snapshot(self, kind: source.Kind, now: float) -> messages.Snapshot:
        known = self._known
        edition = self._edition(kind, now)
        if kind is source.Kind.CONFIGURATION:
            return messages.Snapshot(edition, known.configuration)
        if kind is source.Kind.ZONES:
            zones = tuple(sorted(known.zones_out))
            return messages.Snapshot(edition, zones_out=zones)
        servers = tuple(_told_server(it, now) for it in known.servers.values())
        return messages.Snapshot(edition, servers=servers)


def _told_server(it: state.Registered, now: float) -> messages.KnownServer:
    lapses_ms = -1
    if math.isfinite(it.lapses_at):
        lapses_ms = int(max(it.lapses_at - now, 0.0) * MS_PER_S)
    cold_ms = int(max(it.cold_until - now, 0.0) * MS_PER_S)
    return messages.KnownServer(it.server, cold_ms, lapses_ms)
