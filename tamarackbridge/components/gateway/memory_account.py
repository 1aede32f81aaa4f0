"""Account of the memory of callers' connections, requests and bodies.

Load pattern: many clients with little each. Each connection holds a few
kilobytes: its own objects, what was read ahead, a parsed head, a request in
progress. Thousands of them take more than all bodies. So connections and
bodies share one total, of which each has a part that the other can't take, and
what no part knows shows in the process's resident memory, which lowers the
total.
"""

import collections
from collections.abc import Callable
import dataclasses

CONNECTION_BYTES = 6_144
"""Memory of a connection that holds nothing: its objects, parser and task."""

REQUEST_BYTES = 24_576
"""Memory of a request in progress without its head and body: tasks, its place
in the queue, the connection to a server."""

HEAD_COPIES = 3
"""Copies of a parsed head: bytes, decoded fields, and the server's request."""

STALL_S = 0.5
"""Time without a byte after which a connection is closed for others. A caller
sends its head within a round trip."""

MAX_EXAMINED = 32
"""Connections of an address that are looked at to find one to close."""

RESIDENT_FRACTION = 0.9
"""Part of the memory of the VM that resident memory should not exceed."""

ORDINARY_DIVISOR = 16
"""The total divided by this is kept for connections also while resident memory
lowers the limit: a router must not be deaf until that falls."""

RECLAIM_INTERVAL_S = 1.0
"""Minimum time between two attempts to return free memory to the system, each
of which takes a few milliseconds of the event loop."""

RECLAIM_BYTES = 4 * 1024 * 1024
"""Growth of the memory that no part knows before it is tried again."""

RECLAIM_AGAIN_S = 20.0
"""Time after which it is tried again without that growth: a crowd may have left
less garbage than that."""


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One connection in the account.

    Attributes:
        address: Address of its caller.
        may_close: Returns whether it can be closed without the loss of a
            request that is being served.
        close: Closes it.
        held: Bytes that it is charged with.
        active_at: Time of its last activity.
    """

    address: str
    may_close: Callable[[], bool]
    close: Callable[[], None]
    held: int = 0
    active_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Address:
    """Connections of one address, the longest inactive first."""

    held: int = 0
    entries: dict[Entry, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Counts:
    """Totals since the start.

    Attributes:
        refused: Connections and requests for which there was no memory.
        closed: Inactive connections that were closed to make room.
        reclaimed: Attempts to return free memory to the system.
    """

    refused: int = 0
    closed: int = 0
    reclaimed: int = 0


class MemoryAccount:
    """Decides who gets memory, and whose connection is closed for it.

    Attributes:
        bodies: Bytes that are charged for bodies.
        connections: Bytes that are charged for connections and requests.
        counts: Totals since the start.

    Args:
        total: Bytes for bodies and connections together.
        body_reserve: Bytes that connections can't take.
        base: Resident bytes of a process without callers.
        max_resident: Resident bytes that the process may use.
    """

    def __init__(
        self, total: int, body_reserve: int, base: int, max_resident: int
    ) -> None:
        self.bodies = 0
        self.connections = 0
        self.counts = Counts()
        self._total = self._limit = total
        self._body_reserve = body_reserve
        self._base = base
        self._max_resident = int(max_resident * RESIDENT_FRACTION)
        self._addresses: dict[str, _Address] = collections.defaultdict(_Address)
        self._reclaimed_at = 0.0
        self._unknown_after_reclaim = 0

    @property
    def limit(self) -> int:
        """Returns the bytes that bodies and connections may use now."""
        return self._limit

    def fits_body(self, extra: int) -> bool:
        """Returns whether there is room for more bytes of bodies."""
        return self.bodies + self.connections + extra <= self._limit

    def fits_connection(self, extra: int) -> bool:
        """Returns whether there is room for more bytes of connections.

        Some ordinary requests are always served, whatever else has taken the
        memory.
        """
        if self.connections + extra <= self._total // ORDINARY_DIVISOR:
            return True
        bodies = max(self.bodies, min(self._body_reserve, self._limit // 2))
        return self.connections + bodies + extra <= self._limit

    def open(self, entry: Entry, now: float) -> bool:
        """Charges a new connection; returns whether there is room for it."""
        if not self._make_room(CONNECTION_BYTES, entry, now):
            self.counts.refused += 1
            return False
        self.set_held(entry, CONNECTION_BYTES, now)
        return True

    def set_held(self, entry: Entry, held: int, now: float) -> None:
        """Charges an active connection with what it holds."""
        address = self._addresses[entry.address]
        address.entries.pop(entry, None)
        address.entries[entry] = None
        entry.active_at = now
        address.held += held - entry.held
        self.connections += held - entry.held
        entry.held = held

    def has_room(self, entry: Entry, extra: int, now: float) -> bool:
        """Returns whether there is room for what a connection needs besides.

        Closes an inactive connection if there is none.

        Args:
            entry: The connection.
            extra: Bytes that it needs beyond those that it is charged with.
            now: The present time.
        """
        if self._make_room(extra, entry, now):
            return True
        self.counts.refused += 1
        return False

    def close(self, entry: Entry) -> None:
        """Ends the charge of a connection."""
        address = self._addresses.get(entry.address)
        if address is None or entry not in address.entries:
            return
        del address.entries[entry]
        address.held -= entry.held
        self.connections -= entry.held
        entry.held = 0
        if not address.entries:
            del self._addresses[entry.address]

    def update_resident(self, resident: int, received: int) -> None:
        """Lowers the limit if the process holds more than the account knows.

        Args:
            resident: Resident bytes of the process; 0 if unknown.
            received: Bytes of bodies that have been received.
        """
        if not resident:
            return
        known = self.connections + received
        room = self._max_resident - resident + known
        self._limit = max(min(room, self._total), self._body_reserve)

    def should_reclaim(self, resident: int, received: int, now: float) -> bool:
        """Returns whether free memory should be returned to the system.

        Not again until more has become unknown than was left the last time, or
        after a while.

        Args:
            resident: Resident bytes of the process; 0 if unknown.
            received: Bytes of bodies that have been received.
            now: The present time.
        """
        unknown = resident - self.connections - received
        self._unknown_after_reclaim = min(self._unknown_after_reclaim, unknown)
        elapsed_s = now - self._reclaimed_at
        if unknown <= self._base or elapsed_s < RECLAIM_INTERVAL_S:
            return False
        has_grown = unknown >= self._unknown_after_reclaim + RECLAIM_BYTES
        if not has_grown and elapsed_s < RECLAIM_AGAIN_S:
            return False
        self._reclaimed_at = now
        self.counts.reclaimed += 1
        return True

    def record_reclaimed(self, resident: int, received: int) -> None:
        """Records what was left after free memory was returned."""
        self._unknown_after_reclaim = resident - self.connections - received

    def _make_room(self, extra: int, entry: Entry, now: float) -> bool:
        """Closes one connection if there is no room; returns whether there is.

        It is the longest inactive one of the address that holds most. A caller
        of another address need not wait until it is inactive.
        """
        if self.fits_connection(extra):
            return True
        if not self._addresses:
            return False
        name = max(self._addresses, key=lambda each: self._addresses[each].held)
        own = self._addresses.get(entry.address)
        is_other = own is None or own is not self._addresses[name]
        stall_s = 0.0 if is_other else STALL_S
        for examined, other in enumerate(self._addresses[name].entries):
            if examined >= MAX_EXAMINED or now - other.active_at < stall_s:
                break
            if other is not entry and other.may_close():
                self.counts.closed += 1
                self.close(other)
                other.close()
                break
        return self.fits_connection(extra)
