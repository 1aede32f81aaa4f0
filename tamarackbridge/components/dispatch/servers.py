"""The backend servers of one shard: limits, occupancy and free room."""

from collections.abc import Callable

from tamarackbridge.components.dispatch import (
    limits,
    messages,
    occupancy,
    permits,
)
from tamarackbridge.components.records import models


class ServerTable:
    """What each backend server of a shard bears and may be running."""

    def __init__(self, table: permits.PermitTable) -> None:
        self._permits = table
        self._usable: set[str] = set()
        self._limits: dict[str, limits.ServerLimit] = {}
        self._occupancy: dict[str, occupancy.Occupancy] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._limits

    def update(self, snapshot: models.Snapshot, shard: str) -> None:
        """Takes a newer snapshot in force."""
        servers = snapshot.shard_servers(shard)
        self._usable = {srv.name for srv in servers if snapshot.usable(srv)}
        for server in servers:
            if server.name in self._limits:
                self._limits[server.name].update(server)
            else:
                self._limits[server.name] = limits.ServerLimit(server)
                self._occupancy[server.name] = occupancy.Occupancy()

    def usable(self) -> set[str]:
        """Returns the servers that new work may go to."""
        return self._usable

    def limit(self, name: str, now: float) -> int:
        """Returns how many requests one server may run now."""
        return self._limits[name].allowed(now)

    def allowed(self, now: float) -> dict[str, int]:
        """Returns how many requests each server may run now."""
        return {name: item.allowed(now) for name, item in self._limits.items()}

    def free(self, known: Callable[[str], bool], now: float) -> dict[str, int]:
        """Returns the servers with room, and how much.

        Args:
            known: Tells whether permits may be issued for a server.
            now: Monotonic time in seconds.
        """
        found: dict[str, int] = {}
        for name in sorted(self._usable):
            place = self._occupancy[name]
            if place.paused or not known(name):
                continue
            in_use = place.in_use(self._permits.count_server(name), now)
            room = self._limits[name].allowed(now) - in_use
            if room > 0:
                found[name] = room
        return found

    def trust(
        self, seen: messages.ServerLimit, fence: float, now: float
    ) -> None:
        """Notes the limit that an entry saw under an earlier dispatcher."""
        if seen.server in self._limits:
            limit = self._limits[seen.server]
            limit.trust(seen.limit, now - seen.age_s, fence)

    def finished(
        self, permit: permits.Permit, outcome: messages.Outcome, now: float
    ) -> None:
        """Learns from the end of one permit."""
        if permit.server in self._limits:
            limit = self._limits[permit.server]
            limit.finished(outcome, permit.granted_at, now)

    def released(self, permit: permits.Permit, now: float) -> None:
        """Notes that one permit no longer counts."""
        if permit.server in self._occupancy:
            self._occupancy[permit.server].finished(now)

    def unknown(self, now: float) -> bool:
        """Tells whether permits may run that no entry has reported."""
        return any(place.in_use(0, now) for place in self._occupancy.values())

    def begin_unknown(self, name: str, count: int, until: float) -> None:
        """Counts permits of earlier epochs that no entry has reported."""
        self._occupancy[name].unknown = count
        self._occupancy[name].unknown_until = until

    def reported(
        self, report: messages.LoadReport, known_since: float, now: float
    ) -> None:
        """Takes a server's own report in."""
        self._limits[report.server].reported(report, now)
        held = self._permits.count_server(report.server)
        place = self._occupancy[report.server]
        place.reported(report, held, known_since, now)

    def ended(self, vouched: bool, now: float) -> list[permits.Permit]:
        """Returns permits that reports show to have ended unseen.

        Args:
            vouched: Whether nothing of an earlier epoch is unknown.
            now: Monotonic time in seconds.
        """
        found: list[permits.Permit] = []
        for name, place in self._occupancy.items():
            if vouched:
                place.unknown = 0
            found.extend(place.ended(self._permits.on_server(name), now))
        return found

    def pause_doubtful(self, now: float) -> None:
        """Lets one server with doubtful permits run empty at a time."""
        for name, place in self._occupancy.items():
            doubtful = self._doubtful(name, now)
            place.resume(doubtful, now)
        if any(place.paused for place in self._occupancy.values()):
            return
        for name, place in self._occupancy.items():
            if self._doubtful(name, now):
                place.pause(now)
            if place.paused:
                return

    def _doubtful(self, name: str, now: float) -> bool:
        held = self._permits.on_server(name)
        return self._occupancy[name].doubtful(held, now)
