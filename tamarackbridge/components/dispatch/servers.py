"""The backend servers of one shard: limits, occupancy, free capacity."""

from collections.abc import Callable

from tamarackbridge.components.dispatch import (
    limits,
    messages,
    occupancy,
    permits,
)
from tamarackbridge.components.records import models


class ServerTable:
    """Limit and occupancy of each backend server of a shard."""

    def __init__(self, table: permits.PermitTable) -> None:
        self._permits = table
        self._usable: set[str] = set()
        self._limits: dict[str, limits.ServerLimit] = {}
        self._occupancy: dict[str, occupancy.Occupancy] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._limits

    def update(self, snapshot: models.Snapshot, shard: str) -> None:
        """Applies a newer configuration snapshot."""
        servers = snapshot.shard_servers(shard)
        self._usable = {srv.name for srv in servers if snapshot.is_usable(srv)}
        for server in servers:
            if server.name in self._limits:
                self._limits[server.name].update(server)
            else:
                self._limits[server.name] = limits.ServerLimit(server)
                self._occupancy[server.name] = occupancy.Occupancy()

    def usable(self) -> set[str]:
        """Returns the servers that accept new work."""
        return self._usable

    def limit(self, name: str, now: float) -> int:
        """Returns the present concurrency limit of one server."""
        return self._limits[name].allowed(now)

    def limits_by_server(self, now: float) -> dict[str, int]:
        """Returns the present concurrency limit of each server."""
        return {name: item.allowed(now) for name, item in self._limits.items()}

    def free_capacity(
        self, may_issue: Callable[[str], bool], now: float
    ) -> dict[str, int]:
        """Returns the free capacity in requests of each server that has any.

        Args:
            may_issue: Returns whether permits may be issued for a server.
            now: Monotonic time in seconds.
        """
        capacities: dict[str, int] = {}
        for name in sorted(self._usable):
            server_occupancy = self._occupancy[name]
            if server_occupancy.paused or not may_issue(name):
                continue
            in_use = server_occupancy.in_use(
                self._permits.count_server(name), now
            )
            capacity = self._limits[name].allowed(now) - in_use
            if capacity > 0:
                capacities[name] = capacity
        return capacities

    def record_earlier_limit(
        self, observed: messages.ServerLimit, fence: float, now: float
    ) -> None:
        """Records the limit that an entry saw under an earlier dispatcher."""
        if observed.server in self._limits:
            limit = self._limits[observed.server]
            limit.record_earlier_limit(
                observed.limit, now - observed.age_s, fence
            )

    def record_outcome(
        self, permit: permits.Permit, outcome: messages.Outcome, now: float
    ) -> None:
        """Adjusts a server's limit to the outcome of one permit."""
        if permit.server in self._limits:
            limit = self._limits[permit.server]
            limit.record_outcome(outcome, permit.granted_at, now)

    def record_end(self, permit: permits.Permit, now: float) -> None:
        """Records that a permit has ended."""
        if permit.server in self._occupancy:
            self._occupancy[permit.server].record_end(now)

    def has_unknown_work(self, now: float) -> bool:
        """Returns whether servers may run work without a known permit."""
        return any(
            server_occupancy.in_use(0, now)
            for server_occupancy in self._occupancy.values()
        )

    def set_unknown(self, name: str, count: int, until: float) -> None:
        """Sets how many unreported permits of earlier epochs may run."""
        self._occupancy[name].unknown = count
        self._occupancy[name].unknown_until = until

    def handle_load_report(
        self, report: messages.LoadReport, known_since: float, now: float
    ) -> None:
        """Handles a load report.

        Args:
            report: The report of a server in the table.
            known_since: Monotonic time since which every end of a permit was
                recorded.
            now: Monotonic time in seconds.
        """
        self._limits[report.server].handle_load_report(report, now)
        held = self._permits.count_server(report.server)
        server_occupancy = self._occupancy[report.server]
        server_occupancy.handle_load_report(report, held, known_since, now)

    def find_ended(self, all_known: bool, now: float) -> list[permits.Permit]:
        """Returns permits whose unreported end follows from load reports.

        Args:
            all_known: True if all permits of earlier epochs are known.
            now: Monotonic time in seconds.
        """
        ended_permits: list[permits.Permit] = []
        for name, server_occupancy in self._occupancy.items():
            if all_known:
                server_occupancy.unknown = 0
            ended_permits.extend(
                server_occupancy.find_ended(self._permits.on_server(name), now)
            )
        return ended_permits

    def pause_doubtful(self, now: float) -> None:
        """Pauses one server at a time whose permits may have ended unreported.

        While the server gets no new work, a load report shows which of its
        permits still run.
        """
        for name, server_occupancy in self._occupancy.items():
            doubtful = self._doubtful(name, now)
            server_occupancy.resume(doubtful, now)
        if any(
            server_occupancy.paused
            for server_occupancy in self._occupancy.values()
        ):
            return
        for name, server_occupancy in self._occupancy.items():
            if self._doubtful(name, now):
                server_occupancy.pause(now)
            if server_occupancy.paused:
                return

    def _doubtful(self, name: str, now: float) -> bool:
        held = self._permits.on_server(name)
        return self._occupancy[name].has_doubtful(held, now)
