"""Speed sums of all servers, by the router that reported them.

Load pattern: dozens of routers observe the same servers, and each observation
must count once, however many hubs pass it on.
"""

from collections.abc import Collection, Iterable
import dataclasses
import hashlib

import msgspec

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import speed_sums

OWN = ""
"""Stands for this router among the sources of sums."""

UNREGISTERED_S = 30.0
"""Age from which sums of a server that is not registered are dropped; a router
reads all registrations within some seconds of its start."""

_ID_BYTES = 5
"""Bytes of an incarnation's identifier: two incarnations of one server have the
same one once in 10^12."""


class ReportedSums(msgspec.Struct, frozen=True, gc=False):
    """One router's sums for a server.

    Attributes:
        incarnation: Identifier of the server's incarnation.
        timed: The sums.
    """

    incarnation: int
    timed: speed_sums.TimedSums


@dataclasses.dataclass(slots=True)
class _Others:
    """The other routers' sums for one incarnation of a server."""

    incarnation: int
    timed: speed_sums.TimedSums


def incarnation_id(server: knowledge.BackendServer) -> int:
    """Returns the identifier of a server's incarnation."""
    text = "\0".join(map(str, server.incarnation))
    digest = hashlib.blake2b(text.encode(), digest_size=_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


class SpeedStore:
    """Sums of this router and of those that report to it."""

    def __init__(self, local_copy: state.LocalCopy) -> None:
        self._local_copy = local_copy
        self._sources: dict[str, dict[str, ReportedSums]] = {OWN: {}}
        self._others: dict[str, _Others] = {}
        self._news: dict[str, set[str]] = {}
        self._ids: dict[str, tuple[knowledge.BackendServer, int]] = {}

    def names(self) -> Collection[str]:
        """Returns the servers with sums of any router."""
        return self._others.keys() | self._sources[OWN].keys()

    def _id(self, server: knowledge.BackendServer) -> int:
        """Returns the identifier of a registered server's incarnation."""
        kept = self._ids.get(server.name)
        if kept is None or kept[0] is not server:
            kept = self._ids[server.name] = (server, incarnation_id(server))
        return kept[1]

    def own(self, server: knowledge.BackendServer) -> speed_sums.TimedSums:
        """Returns this router's sums for a server."""
        found = self._sources[OWN].get(server.name)
        if found is None or found.incarnation != self._id(server):
            return speed_sums.NO_TIMED_SUMS
        return found.timed

    def update_own(
        self, server: knowledge.BackendServer, timed: speed_sums.TimedSums
    ) -> None:
        """Replaces this router's sums for a server."""
        self._sources[OWN][server.name] = ReportedSums(self._id(server), timed)
        self._news.setdefault(server.name, set()).add(OWN)

    def merged(
        self, server: knowledge.BackendServer, now: float
    ) -> speed_sums.TimedSums:
        """Returns the sums of all routers for a server."""
        name = server.name
        found = self._sources[OWN].get(name)
        others = self._others.get(name)
        if found is None and others is None:
            return speed_sums.NO_TIMED_SUMS
        incarnation = self._id(server)
        if found is None or found.incarnation != incarnation:
            own = speed_sums.NO_TIMED_SUMS
        else:
            own = found.timed
        if others is None or others.incarnation != incarnation:
            return own
        if own is speed_sums.NO_TIMED_SUMS:
            return others.timed
        return own.plus(others.timed, now)

    def apply(self, src: str, name: str, reported: ReportedSums) -> None:
        """Replaces another router's sums for a server by newer ones.

        Sums of an incarnation other than the registered one are ignored.
        """
        registered = self._local_copy.servers.get(name)
        if (
            registered is not None
            and self._id(registered.server) != reported.incarnation
        ):
            return
        entries = self._sources.setdefault(src, {})
        before = entries.get(name)
        entries[name] = reported
        self._news.setdefault(name, set()).add(src)
        others = self._others.get(name)
        if (
            others is None
            or others.incarnation != reported.incarnation
            or (before and before.incarnation != reported.incarnation)
        ):
            self._rebuild(name, reported.incarnation)
            return
        at = max(others.timed.at, reported.timed.at)
        sums = others.timed.now(at)
        if before is not None:
            sums = sums.minus(before.timed.now(at))
        others.timed = speed_sums.TimedSums(
            sums.plus(reported.timed.now(at)),
            at,
            max(others.timed.observed_at, reported.timed.observed_at),
        )

    def drop_source(self, src: str) -> None:
        """Drops the sums of a router that is gone."""
        for name, reported in self._sources.pop(src, {}).items():
            others = self._others.get(name)
            if others and others.incarnation == reported.incarnation:
                self._rebuild(name, reported.incarnation)

    def forget(self, name: str) -> None:
        """Drops the sums of a server that was removed or has restarted."""
        for entries in self._sources.values():
            entries.pop(name, None)
        self._others.pop(name, None)
        self._news.pop(name, None)
        self._ids.pop(name, None)

    def sweep(self, now: float) -> None:
        """Drops old sums of servers that are not registered.

        Another router may report a server after this one has forgotten it.
        """
        registered = self._local_copy.servers
        gone = {
            name
            for entries in self._sources.values()
            for name, reported in entries.items()
            if name not in registered
            and now - reported.timed.at > UNREGISTERED_S
        }
        for name in gone:
            self.forget(name)

    def take_news(self, limit: int) -> dict[str, set[str]]:
        """Takes the servers with new sums, those that waited longest first.

        Args:
            limit: Servers that are taken at most.

        Returns:
            By server, the sources whose sums are new.
        """
        names = list(self._news)[:limit]
        return {name: self._news.pop(name) for name in names}

    def sum_of(
        self, name: str, sources: Iterable[str], now: float
    ) -> ReportedSums | None:
        """Returns the sum of what some sources know of a server.

        None if they know nothing. Sources that know another incarnation than
        the first one are left out.
        """
        incarnation: int | None = None
        total = speed_sums.NO_TIMED_SUMS
        for src in sources:
            reported = self._sources.get(src, {}).get(name)
            if reported is None:
                continue
            if incarnation is None:
                incarnation = reported.incarnation
            if reported.incarnation == incarnation:
                total = total.plus(reported.timed, now)
        if incarnation is None or total.sums.is_empty:
            return None
        return ReportedSums(incarnation, total)

    def reported(self, src: str, name: str) -> ReportedSums | None:
        """Returns the sums that a source has reported for a server, if any."""
        return self._sources.get(src, {}).get(name)

    def whole(self, name: str, now: float) -> ReportedSums:
        """Returns the sum of what all routers know of a server."""
        own = self._sources[OWN].get(name)
        others = self._others.get(name)
        if others is None:
            timed = own.timed if own is not None else speed_sums.NO_TIMED_SUMS
            incarnation = own.incarnation if own is not None else 0
        else:
            timed, incarnation = others.timed, others.incarnation
            if own is not None and own.incarnation == incarnation:
                timed = timed.plus(own.timed, now)
        aged = speed_sums.TimedSums(timed.now(now), now, timed.observed_at)
        return ReportedSums(incarnation, aged)

    def sources(self) -> Collection[str]:
        """Returns this router (`OWN`) and those that have reported sums."""
        return self._sources.keys()

    def _rebuild(self, name: str, incarnation: int) -> None:
        found = self.sum_of(
            name,
            (
                src
                for src, entries in self._sources.items()
                if src != OWN
                and name in entries
                and entries[name].incarnation == incarnation
            ),
            max(
                entries[name].timed.at
                for src, entries in self._sources.items()
                if name in entries
            )
            if any(name in entries for entries in self._sources.values())
            else 0.0,
        )
        if found is None:
            self._others.pop(name, None)
        else:
            self._others[name] = _Others(incarnation, found.timed)
