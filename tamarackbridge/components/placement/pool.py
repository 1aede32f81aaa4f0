"""Which servers of a service may get requests at all, and how busy they are.

Load pattern: many requests are looked at in each turn while hardly anything
about the servers has changed.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
import dataclasses
import functools
import heapq
import math
import statistics
from typing import TypeAlias

import msgspec

from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
)

FEW = 8
"""Engines that are weighed because they come first for a request's parts, and
as many because they have the least to read: beyond these, shared parts would
be read again on an engine that is no less busy."""

MEMORY_SHARE = 0.92
"""Part of an engine's memory that is planned; beyond it, engines begin to
interrupt requests that they run."""

LOADS_S = 0.02
"""Time for which it is kept which servers are open and which engines have the
least to read: they read a sixth of a common prompt in it, and the margins of
lapsed registrations are twenty times as long."""

Candidates: TypeAlias = Sequence[tuple[state.RegisteredServer, int]]
"""Servers with their places in the order of engines, the first ones first."""

Changes: TypeAlias = tuple[int, int, int, frozenset[str]]
"""Tells whether what decides who may take requests has changed."""


class Load(msgspec.Struct, frozen=True, gc=False):
    """What model engines have to do on average.

    Attributes:
        engines: How many they are.
        reading_s: Time that they need for what they have to read.
        fill: Part of their slots, or of their memory if that is more, that is
            taken.
    """

    engines: int
    reading_s: float
    fill: float


@dataclasses.dataclass(frozen=True)
class Pool:
    """The servers of a service at a time.

    Attributes:
        at: The time.
        changes: Of what it was made.
        staying: Those that do not leave.
        open: Of those, the ones that are not closed to this router.
        sound: Of those, the ones that do not fail.
        is_warm: Whether none of them is held to the rate of a cold one.
        load_of: Returns what one of them has to do.
        candidates: Servers to weigh, by what requests agree on; kept here
            while none is limited.
    """

    at: float
    changes: Changes
    staying: tuple[state.RegisteredServer, ...]
    open: tuple[state.RegisteredServer, ...]
    sound: tuple[state.RegisteredServer, ...]
    is_warm: bool
    load_of: Callable[[state.RegisteredServer], Load]
    candidates: dict[str, Candidates] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def names(self) -> tuple[str, ...]:
        """Names of the sound ones."""
        return tuple(self._by_name)

    @functools.cached_property
    def load(self) -> Load | None:
        """What the sound ones have to do, or the open ones if none is sound.

        None if there are none.
        """
        found = self._loads if self.sound else map(self.load_of, self.open)
        return _mean(list(found))

    @functools.cached_property
    def least(self) -> tuple[str, ...]:
        """Names of the sound ones that need the least time for their work."""
        loads = zip(self._loads, self.names, strict=True)
        found = heapq.nsmallest(FEW, loads, key=_reading_s)
        return tuple(name for _, name in found)

    @functools.cached_property
    def _by_name(self) -> Mapping[str, state.RegisteredServer]:
        return {it.server.name: it for it in self.sound}

    @functools.cached_property
    def _loads(self) -> list[Load]:
        return [self.load_of(it) for it in self.sound]

    def few(self, order: Collection[str]) -> Iterable[state.RegisteredServer]:
        """Returns the sound ones of some names and those with least to read."""
        return (
            self._by_name[name] for name in dict.fromkeys((*order, *self.least))
        )


class Pools:
    """Keeps the servers of each service for a moment."""

    def __init__(
        self,
        known: state.LocalCopy,
        work: ledger.Ledger,
        breakers: health.Health,
        estimator: estimate.Estimator,
        told: notices.Notices,
    ) -> None:
        self._known = known
        self._work = work
        self._breakers = breakers
        self._estimator = estimator
        self._notices = told
        self._pools: dict[str, Pool] = {}

    def opens_in_s(
        self, service: str, avoid: Collection[str], now: float
    ) -> float:
        """Returns when some server may take a request of a service.

        0 if one is open, whatever it has to do; infinite if there is none.
        """
        found = self.of(service, now)
        if any(it.server.name not in avoid for it in found.open):
            return 0.0
        return min(
            (
                self._notices.closed_s(it.server, now)
                for it in found.staying
                if it.server.name not in avoid
            ),
            default=math.inf,
        )

    def load(self, now: float) -> Load | None:
        """Returns what all model engines have to do; None if there are none."""
        cfg = self._known.configuration
        services = cfg.services.values() if cfg is not None else ()
        found = (self.of(it.name, now).load for it in services if it.is_model)
        return _mean([it for it in found if it is not None])

    def of(self, service: str, now: float) -> Pool:
        """Returns the servers of a service."""
        changes = (
            self._known.changes,
            self._notices.changes,
            self._breakers.changes,
            self._known.zones_out,
        )
        known = self._pools.get(service)
        if (
            known is not None
            and now - known.at < LOADS_S
            and known.changes == changes
        ):
            return known
        found = self._make_pool(service, changes, now)
        self._pools[service] = found
        return found

    def _make_pool(self, service: str, changes: Changes, now: float) -> Pool:
        notes = self._notices
        staying = tuple(
            it
            for it in self._known.usable(service, now)
            if not notes.is_leaving(it.server)
        )
        opened = tuple(
            it for it in staying if not notes.closed_s(it.server, now)
        )
        sound = tuple(
            it
            for it in opened
            if not self._breakers.avoided(it.server.name, now)
        )
        return Pool(
            at=now,
            changes=changes,
            staying=staying,
            open=opened,
            sound=sound,
            is_warm=not any(
                now < it.warm_at or notes.is_reopening(it.server, now)
                for it in opened
            ),
            load_of=lambda it: self._load(it, service, now),
        )

    def _load(
        self, it: state.RegisteredServer, service: str, now: float
    ) -> Load:
        """Returns what one engine has to do."""
        name = it.server.name
        speed = self._estimator.read_per_s(name)
        work = self._work.at(name, now, speed)
        cfg = self._known.configuration
        model = cfg.services.get(service) if cfg is not None else None
        if model is None or not model.is_model:
            return Load(1, work.unread / speed, 0.0)
        fill = work.requests / max(model.slots, 1)
        if model.memory_tokens:
            room = model.memory_tokens * MEMORY_SHARE
            fill = max(fill, work.memory / room)
        return Load(1, work.unread / speed, min(fill, 1.0))


def _reading_s(found: tuple[Load, str]) -> float:
    return found[0].reading_s


def _mean(loads: Collection[Load]) -> Load | None:
    engines = [it.engines for it in loads]
    if not engines:
        return None
    return Load(
        sum(engines),
        statistics.fmean((it.reading_s for it in loads), engines),
        statistics.fmean((it.fill for it in loads), engines),
    )
