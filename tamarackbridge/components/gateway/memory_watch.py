"""Compares the memory account with the process's resident memory."""

from tamarackbridge.components.gateway import (
    body_budget,
    memory_account,
    request_log,
)
from tamarackbridge.helpers import resident_memory

CHECK_S = 0.1
"""Interval at which the resident memory is read, in seconds."""


class MemoryWatch:
    """Lowers the account's limit, and returns free memory to the system."""

    def __init__(
        self,
        account: memory_account.MemoryAccount,
        bodies: body_budget.BodyBudget,
        log: request_log.RequestLog,
    ) -> None:
        self._account = account
        self._bodies = bodies
        self._log = log
        self._checked_at = 0.0

    def update(self, now: float) -> None:
        """Checks the resident memory, unless it has just been checked.

        Args:
            now: The present time.
        """
        if now - self._checked_at < CHECK_S:
            return
        self._checked_at = now
        resident = resident_memory.read_bytes()
        received = self._bodies.received
        self._account.update_resident(resident, received)
        if not self._account.should_reclaim(resident, received, now):
            return
        resident_memory.return_free_bytes()
        left = resident_memory.read_bytes()
        self._account.record_reclaimed(left, received)
        self._log.write_memory_reclaimed(resident, left, self._account)
