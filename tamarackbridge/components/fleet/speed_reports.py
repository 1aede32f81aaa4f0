"""Converts learned server speeds to and from the form in reports.

Load pattern: hubs pass on the observations of dozens of routers about hundreds
of servers. Sums are replaced by source and added by hubs, as for use, so that
no observation counts twice.
"""

from collections.abc import Collection
import math

import msgspec

from tamarackbridge.components.admission import service_demand
from tamarackbridge.components.fleet import messages, report_builder
from tamarackbridge.components.placement import speed_store, speed_sums

INTERVAL_S = 0.25
"""Shortest interval between reports with speeds: what is learned of a slowdown
of 0.6 s reaches all routers in time, at 3 KB a report at most."""

MAX_SERVERS = 64
"""Servers in one report. With 140 servers that all have news, each is reported
every 0.75 s."""

MAX_FIRST_SERVERS = 1_024
"""Servers in a report to a router that has got none yet."""

FIRST_ROUNDS = 4
"""Rounds in which a router gets all servers once it has been heard: it may have
dropped what it knew, and the first report may be lost."""

SWEEP_S = 10.0
"""Interval at which sums of servers that are gone are dropped."""

_MS_PER_S = 1_000
_CENTIS = 100
_MILLIS = 1_000
_NO_AGE = -1
_MAX_AGE_S = 60.0
_SUMS = len(speed_sums.SpeedSums.__struct_fields__)


class SpeedReports:
    """The learned speeds in this router's reports, and in those it receives."""

    def __init__(
        self,
        store: speed_store.SpeedStore | None,
        demand: service_demand.ServiceDemand,
    ) -> None:
        """Creates the reports.

        Args:
            store: Sums of all routers; None if no speeds are learned.
            demand: Demand for services at all routers.
        """
        self._store = store
        self._demand = demand
        self._sent_at = -math.inf
        self._swept_at = -math.inf
        self._news: dict[str, set[str]] = {}
        self._whole: dict[str, speed_store.ReportedSums] = {}
        self._encoded: dict[str, messages.ServerSpeed | None] = {}
        self._of_group_encoded: dict[str, messages.ServerSpeed | None] = {}
        self._rounds: dict[str, int] = {}

    def apply(self, src: str, report: messages.Report, sent_at: float) -> None:
        """Replaces what a router reported before by its new sums."""
        if self._store is None:
            return
        for entry in report.server_speeds:
            reported = _decode(entry, sent_at)
            if reported is not None:
                self._store.apply(src, entry.server, reported)
        if report.service_demand is not None:
            self._demand.reported[src] = {
                entry.service: service_demand.Demand(
                    entry.centi_per_s / _CENTIS,
                    entry.once_centi_per_s / _CENTIS,
                )
                for entry in report.service_demand
            }

    def drop(self, src: str) -> None:
        """Drops the sums of a router that is gone."""
        self._rounds.pop(src, None)
        self._demand.drop_source(src)
        if self._store is not None:
            self._store.drop_source(src)

    def add(
        self,
        found: list[report_builder.Outgoing],
        members: Collection[str],
        heard: Collection[str],
        now: float,
    ) -> list[report_builder.Outgoing]:
        """Returns the reports of one round with the speeds that are due.

        Args:
            found: The reports.
            members: The routers that report to this one.
            heard: The routers that this one has received reports from.
            now: The time.
        """
        if self._store is None or now - self._sent_at < INTERVAL_S:
            return found
        self._sent_at = now
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            self._store.sweep(now)
        self._news = self._store.take_news(MAX_SERVERS)
        for cache in (self._whole, self._encoded, self._of_group_encoded):
            cache.clear()
        for out in found:
            if out.to in heard:
                self._rounds[out.to] = self._rounds.get(out.to, 0) + 1
        return [self._with_speeds(out, members, now) for out in found]

    def _with_speeds(
        self,
        out: report_builder.Outgoing,
        members: Collection[str],
        now: float,
    ) -> report_builder.Outgoing:
        store = self._store
        assert store is not None
        is_down = out.report.direction is messages.Direction.DOWN
        sources = (
            {*store.sources(), *self._demand.reported}
            if is_down
            else {*members}
        )
        sources.add(speed_store.OWN)
        sources.discard(out.to)
        names = self._due_names(store, out.to, sources)
        if is_down:
            found = [self._without(store, out.to, name, now) for name in names]
        else:
            found = [
                self._of_group(store, name, sources, now) for name in names
            ]
        speeds = tuple(entry for entry in found if entry is not None)
        demand = self._demand_of(sources, now)
        if not speeds and not demand:
            return out
        report = msgspec.structs.replace(
            out.report, server_speeds=speeds, service_demand=demand
        )
        return report_builder.Outgoing(out.to, report)

    def _demand_of(
        self, sources: Collection[str], now: float
    ) -> tuple[messages.ServiceDemand, ...]:
        """Returns the demand at this router and at other sources."""
        reported = self._demand.reported
        whole = service_demand.total(
            (
                self._demand.own(now),
                *(reported[src] for src in sources if src in reported),
            )
        )
        return tuple(
            messages.ServiceDemand(
                service,
                round(demand.per_s * _CENTIS),
                round(demand.once_per_s * _CENTIS),
            )
            for service, demand in whole.items()
        )

    def _due_names(
        self,
        store: speed_store.SpeedStore,
        to: str,
        sources: Collection[str],
    ) -> list[str]:
        """Returns the servers that a report to a router should contain."""
        if 1 <= self._rounds.get(to, 0) <= FIRST_ROUNDS:
            return list(store.names())[:MAX_FIRST_SERVERS]
        return [
            name
            for name, changed in self._news.items()
            if not changed.isdisjoint(sources)
        ]

    def _without(
        self, store: speed_store.SpeedStore, to: str, name: str, now: float
    ) -> messages.ServerSpeed | None:
        """Returns what all routers but one and its members know of a server."""
        whole = self._whole.get(name)
        if whole is None:
            whole = self._whole[name] = store.whole(name, now)
        part = store.reported(to, name)
        if part is not None and whole.incarnation == part.incarnation:
            rest = whole.timed.sums.minus(part.timed.now(now))
            timed = speed_sums.TimedSums(rest, now, whole.timed.observed_at)
            return _encode(
                name, speed_store.ReportedSums(whole.incarnation, timed), now
            )
        if name not in self._encoded:
            self._encoded[name] = _encode(name, whole, now)
        return self._encoded[name]

    def _of_group(
        self,
        store: speed_store.SpeedStore,
        name: str,
        sources: Collection[str],
        now: float,
    ) -> messages.ServerSpeed | None:
        """Returns what this router and its members know of a server."""
        if name not in self._of_group_encoded:
            self._of_group_encoded[name] = _encode(
                name, store.sum_of(name, sources, now), now
            )
        return self._of_group_encoded[name]


def _encode(
    name: str, reported: speed_store.ReportedSums | None, now: float
) -> messages.ServerSpeed | None:
    if reported is None or reported.timed.sums.is_empty:
        return None
    age_s = now - reported.timed.observed_at
    return messages.ServerSpeed(
        name,
        reported.incarnation,
        round(min(age_s, _MAX_AGE_S) * _MS_PER_S)
        if math.isfinite(age_s)
        else _NO_AGE,
        tuple(
            round(value * _MILLIS)
            for value in msgspec.structs.astuple(reported.timed.sums)
        ),
    )


def _decode(
    entry: messages.ServerSpeed, sent_at: float
) -> speed_store.ReportedSums | None:
    """Returns the sums of an entry; None if their number is another one."""
    if len(entry.sums) != _SUMS:
        return None
    observed_at = -math.inf
    if entry.age_ms >= 0:
        observed_at = sent_at - entry.age_ms / _MS_PER_S
    sums = speed_sums.SpeedSums(*(value / _MILLIS for value in entry.sums))
    return speed_store.ReportedSums(
        entry.incarnation, speed_sums.TimedSums(sums, sent_at, observed_at)
    )
