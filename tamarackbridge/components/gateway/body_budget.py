"""Budget of the memory for request bodies of one process.

Load pattern: many clients send large bodies at once, and most stop before the
end. A short burst of legal bodies is over within the time that one body takes,
so it waits unread, which is backpressure. A longer queue would only delay
refusals, so what doesn't fit into one turn of the memory is refused at once.
Bodies that stand still would keep their memory until their deadline, so they
are cut off first, and small bodies have memory that large ones can't take.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum

from absl import logging

from tamarackbridge.components.gateway import memory_account

SMALL_BYTES = 65_536
"""Largest body that may use the memory for small bodies."""

TRANSIT_BYTES = 131_072
"""Memory for a large body beside itself: one piece of it that is written to a
server, and the transport's write buffer."""

STEP_BYTES = 65_536
"""Bytes by which a body without a stated length is charged in advance."""

SMALL_FRACTION = 0.25
"""Part of the budget that large bodies can't use."""

WAIT_S = 1.0
"""Longest wait for memory: a body at the ordinary rate, 4 MB in 5 s, frees the
memory of a quarter of the bodies that are read in this time."""

PROGRESS_BYTES = 32_768
"""Bytes that count as progress. A body at the ordinary rate makes this progress
in 40 ms."""

PROGRESS_S = 2.0
"""Time after which an unfinished body without progress is cut off."""

EVICTION_S = 0.5
"""The same while other bodies wait for memory."""

TICK_S = 0.1
"""Interval at which progress is checked."""

MAX_TICK_S = 0.2
"""Longest time that one tick counts: a frozen router has read nothing."""


class Verdict(enum.Enum):
    """Decision on a charge.

    Attributes:
        GRANTED: The bytes are charged.
        WAIT: They are charged later, or the wait ends by `abandon`.
        REFUSED: There is no room, and too much waits already.
    """

    GRANTED = "granted"
    WAIT = "wait"
    REFUSED = "refused"


class Use(enum.Enum):
    """What memory is used for."""

    READING = "reading"
    HELD = "held"
    OFFLOADED = "offloaded"


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """The memory of one body.

    Attributes:
        address: Address of its caller.
        use: What it is used for.
        received: Returns the bytes received so far.
        cut: Called once if the body is to be cut off.
        grant: Called if a wait ends with the charge.
        free: Frees the memory itself when the charge is released.
        size: Bytes of the body that are charged.
        wanted: Bytes that it waits for; 0 if it does not wait.
        is_cut: Whether it was told to end.
        mark_bytes: Bytes received at the last progress.
        mark_at: Time of the last progress, on the budget's clock.
    """

    address: str
    use: Use = Use.READING
    received: Callable[[], int] = lambda: 0
    cut: Callable[[], None] = lambda: None
    grant: Callable[[], None] = lambda: None
    free: Callable[[], None] = lambda: None
    size: int = 0
    wanted: int = 0
    is_cut: bool = False
    mark_bytes: int = 0
    mark_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Counts:
    """Totals since the start.

    Attributes:
        waited: Charges that had to wait.
        refused: Bodies that were refused, at once or after their wait.
        evicted: Bodies that were cut off to make room.
        stalled: Bodies that were cut off because they made no progress.
        failed_callbacks: Callbacks to the owners of bodies that failed.
    """

    waited: int = 0
    refused: int = 0
    evicted: int = 0
    stalled: int = 0
    failed_callbacks: int = 0


def _cost(size: int) -> int:
    return size + TRANSIT_BYTES if size > SMALL_BYTES else size


class BodyBudget:
    """Decides which bodies get memory.

    Attributes:
        total: Size of the budget in bytes.
        counts: Totals since the start.

    Args:
        total: Size of the budget in bytes.
        account: Account of the process that bodies share with connections;
            None for none.
    """

    def __init__(
        self, total: int, account: memory_account.MemoryAccount | None = None
    ) -> None:
        self.total = total
        self._account = account
        self.counts = Counts()
        self._large_total = total - int(total * SMALL_FRACTION)
        self._held = 0
        self._held_large = 0
        self._held_by_use: collections.Counter[Use] = collections.Counter()
        self._reading: dict[Holding, None] = {}
        self._waiting: dict[Holding, None] = {}
        self._waiting_bytes = 0
        self._last_tick: float | None = None
        self._clock_s = 0.0

    def held(self, use: Use) -> int:
        """Returns the bytes that are charged for a use."""
        return self._held_by_use[use]

    @property
    def total_held(self) -> int:
        """Returns the bytes that are charged for all uses."""
        return self._held

    @property
    def waiting(self) -> int:
        """Returns how many bodies wait for memory."""
        return len(self._waiting)

    def charge_complete(self, holding: Holding, size: int) -> bool:
        """Charges bytes that are in memory already; returns whether they fit.

        Bytes that have arrived don't wait.
        """
        if not self._fits(holding, size):
            return False
        self._set_size(holding, size)
        return True

    def charge(self, holding: Holding, size: int) -> Verdict:
        """Charges an unfinished body before it is read.

        Args:
            holding: Memory of the body.
            size: Bytes of the body that it needs in all.
        """
        if holding not in self._reading:
            self._reading[holding] = None
            holding.mark_at = self._clock_s
        is_new = holding.size == 0
        is_queued_behind = is_new and size > SMALL_BYTES and self._waiting
        if not is_queued_behind and self._fits(holding, size):
            self._set_size(holding, size)
            return Verdict.GRANTED
        extra = _cost(size) - _cost(holding.size)
        if self._waiting_bytes + extra > self._large_total:
            return Verdict.REFUSED
        self.counts.waited += 1
        holding.wanted = size
        self._waiting_bytes += extra
        self._waiting[holding] = None
        self._evict()
        return Verdict.WAIT

    def abandon(self, holding: Holding) -> None:
        """Ends the wait of a body without the charge."""
        if holding.wanted:
            self._end_wait(holding)

    def finish_reading(self, holding: Holding, size: int) -> None:
        """Records that a body is complete, and charges its final size."""
        self._reading.pop(holding, None)
        self._set_use(holding, Use.HELD)
        self._set_size(holding, size)
        self._grant_waiting()

    def release(self, holding: Holding) -> None:
        """Frees the memory of a body and its charge."""
        self.abandon(holding)
        self._reading.pop(holding, None)
        self._notify(holding.free)
        self._set_size(holding, 0)
        if self._waiting:
            self._grant_waiting()

    def tick(self, now: float) -> None:
        """Checks the progress of bodies, at most once per `TICK_S`.

        Args:
            now: The present time.
        """
        if self._last_tick is None:
            self._last_tick = now
        elapsed_s = now - self._last_tick
        if elapsed_s < TICK_S:
            return
        self._last_tick = now
        self._clock_s += min(elapsed_s, MAX_TICK_S)
        for holding in list(self._reading):
            received = holding.received()
            has_progress = received - holding.mark_bytes >= PROGRESS_BYTES
            if has_progress or holding.wanted:
                holding.mark_bytes, holding.mark_at = received, self._clock_s
            elif self._idle_s(holding) >= PROGRESS_S and not holding.is_cut:
                self.counts.stalled += 1
                self._cut(holding)
        if self._waiting:
            # Connections may have freed memory.
            self._grant_waiting()
        if self._waiting:
            self._evict()

    @property
    def received(self) -> int:
        """Returns the bytes of all bodies that are in memory."""
        reading = self._reading
        missing = sum(
            each.size - min(each.received(), each.size) for each in reading
        )
        return self._held - missing

    def _cut(self, holding: Holding) -> None:
        holding.is_cut = True
        self._notify(holding.cut)

    def _notify(self, callback: Callable[[], None]) -> None:
        """Calls back the owner of one body.

        Its failure must not reach whoever changes the budget: another request,
        or the task that measures the lag of the event loop.
        """
        try:
            callback()
        except Exception:
            self.counts.failed_callbacks += 1
            logging.exception("callback of a request body failed")

    def _idle_s(self, holding: Holding) -> float:
        return self._clock_s - holding.mark_at

    def _evict(self) -> None:
        """Cuts off one body, unless one that was cut off is still held."""
        if any(holding.is_cut for holding in self._reading):
            return
        by_address: collections.Counter[str] = collections.Counter()
        for holding in self._reading:
            by_address[holding.address] += _cost(holding.size)
        if not by_address:
            return
        address = by_address.most_common(1)[0][0]
        candidates = [
            holding
            for holding in self._reading
            if holding.address == address
            and holding.size
            and not holding.wanted
            and self._idle_s(holding) >= EVICTION_S
        ]
        if candidates:
            self.counts.evicted += 1
            self._cut(
                max(
                    candidates,
                    key=lambda each: (self._idle_s(each), -each.received()),
                )
            )

    def _grant_waiting(self) -> None:
        """Grants waiting charges, those of bodies in progress first."""
        order = sorted(self._waiting, key=lambda holding: holding.size == 0)
        is_blocked = False
        for holding in order:
            is_large = holding.wanted > SMALL_BYTES
            if is_blocked and is_large:
                continue
            if not self._fits(holding, holding.wanted):
                is_blocked |= is_large
                continue
            size = holding.wanted
            self._end_wait(holding)
            self._set_size(holding, size)
            self._notify(holding.grant)

    def _end_wait(self, holding: Holding) -> None:
        del self._waiting[holding]
        self._waiting_bytes -= _cost(holding.wanted) - _cost(holding.size)
        holding.wanted = 0
        holding.mark_at = self._clock_s

    def _fits(self, holding: Holding, size: int) -> bool:
        before, after = _cost(holding.size), _cost(size)
        extra = after - before
        if self._held + extra > self.total:
            return False
        if self._account is not None and not self._account.fits_body(extra):
            return False
        if size <= SMALL_BYTES:
            return True
        large_before = before if holding.size > SMALL_BYTES else 0
        return self._held_large + after - large_before <= self._large_total

    def _set_size(self, holding: Holding, size: int) -> None:
        before, after = _cost(holding.size), _cost(size)
        if holding.size > SMALL_BYTES:
            self._held_large -= before
        if size > SMALL_BYTES:
            self._held_large += after
        self._held += after - before
        if self._account is not None:
            self._account.bodies = self._held
        self._held_by_use[holding.use] += after - before
        holding.size = size

    def _set_use(self, holding: Holding, use: Use) -> None:
        cost = _cost(holding.size)
        self._held_by_use[holding.use] -= cost
        self._held_by_use[use] += cost
        holding.use = use
