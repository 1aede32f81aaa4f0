"""Which servers of a service may get requests at all, and how busy they are.

Load pattern: many requests are looked at in each turn while hardly anything
about the servers has changed.
"""

from collections.abc import Collection
import dataclasses
import heapq
import math
import statistics
from typing import TypeAlias

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

LOADS_S = 0.02
"""Time for which it is kept which servers are open and which engines have the
least to read: they read a sixth of a common prompt in it, and the margins of
lapsed registrations are twenty times as long."""

Changes: TypeAlias = tuple[int, int, int, frozenset[str]]
"""Tells whether what decides who may take requests has changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The servers of a service at a time.

    Attributes:
        at: The time.
        changes: Of what it was made.
        staying: Those that do not leave.
        open: Of those, the ones that are not closed to this router.
        sound: Of those, the ones that do not fail.
        names: Names of the sound ones.
        mean_s: Mean time that the staying ones need for what they have to
            read; None if there are none.
        least: Names of the open ones that need the least time for it.
    """

    at: float
    changes: Changes
    staying: tuple[state.Registered, ...]
    open: tuple[state.Registered, ...]
    sound: tuple[state.Registered, ...]
    names: tuple[str, ...]
    mean_s: float | None
    least: frozenset[str]


class Pools:
    """Keeps the servers of each service for a moment."""

    def __init__(
        self,
        known: state.Knowledge,
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

    def reading_s(self, service: str, now: float) -> float | None:
        """Returns the mean time that engines need for what they have to read.

        None while the service has no engine.
        """
        return self.of(service, now).mean_s

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
        left_s = {}
        for it in staying:
            name = it.server.name
            speed = self._estimator.read_per_s(name)
            left_s[name] = self._work.at(name, now, speed).unread / speed
        names = tuple(it.server.name for it in sound)
        return Pool(
            at=now,
            changes=changes,
            staying=staying,
            open=opened,
            sound=sound,
            names=names,
            mean_s=statistics.fmean(left_s.values()) if left_s else None,
            least=frozenset(
                heapq.nsmallest(FEW, names, key=left_s.__getitem__)
            ),
        )
