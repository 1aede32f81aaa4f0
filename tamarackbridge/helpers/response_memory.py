"""Memory budget that the responses of all requests share.

Load pattern: responses that grow without end, and callers that read slowly,
while ordinary responses still need room.
"""

from collections.abc import Iterator
import contextlib
from typing import Final

import aiohttp

UNCOUNTED_BYTES: Final = 4 * 1024
"""Bytes of each response that do not count against the shared memory budget:
more than an event has, so that usual streams cost no accounting."""

MAX_PART_OF_LEFT: Final = 2
"""Largest reservation of one response, as a multiple of what it leaves for
others (Choudhury and Hahne, Dynamic Queue Length Thresholds, 1998). One
response may take two thirds of the budget, and however many grow without end,
each leaves room for an ordinary one."""


class ResponseLimitError(aiohttp.ClientPayloadError):
    """A response, or what was received for one, exceeds a limit."""


class NoRoomError(ResponseLimitError):
    """The shared memory budget has no room for a response.

    Attributes:
        is_held_by_callers: Whether there would be room if callers had taken the
            responses that wait for them, so that the server is not to blame.
    """

    def __init__(self, reason: str, is_held_by_callers: bool) -> None:
        super().__init__(reason)
        self.is_held_by_callers = is_held_by_callers


class MemoryBudget:
    """Memory budget that responses share while they are held.

    Attributes:
        left: Bytes that are still available.
        held_by_callers: Bytes of responses that wait for their callers.
    """

    def __init__(self, max_bytes: int) -> None:
        self.left = max_bytes
        self.held_by_callers = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator["Reservation"]:
        """Yields a reservation, which is released at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.resize(0)


class Reservation:
    """Part of a memory budget that one response uses.

    Attributes:
        size: Bytes that are reserved.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.size = 0
        self._budget = budget
        self._is_held_by_caller = False

    def begin_sending(self) -> None:
        """Counts the response as one that waits for its caller."""
        self._is_held_by_caller = True
        self._budget.held_by_callers += self.size

    def resize(self, held: int) -> None:
        """Adjusts the reservation to the bytes that are held now.

        Raises:
            NoRoomError: Too little of the budget would be left.
        """
        wanted = max(held - UNCOUNTED_BYTES, 0)
        if wanted == self.size:
            return
        left = self._budget.left - (wanted - self.size)
        if wanted > self.size and wanted > MAX_PART_OF_LEFT * left:
            left_without_callers = left + self._budget.held_by_callers
            raise NoRoomError(
                f"no room in memory for {held} bytes of a response",
                wanted <= MAX_PART_OF_LEFT * left_without_callers,
            )
        if self._is_held_by_caller:
            self._budget.held_by_callers += wanted - self.size
        self._budget.left = left
        self.size = wanted
