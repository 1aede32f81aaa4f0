"""What a new dispatcher must learn before it may issue permits."""

from collections.abc import Iterable
import math

from tamarackbridge.components.dispatch import const, messages, permits


class TakeOver:
    """Progress of one epoch's take-over.

    No permit of an earlier epoch starts work after `fence`. A backend server
    is known once every member has vouched for its report, or once the server's
    own load was measured after the fence, or once the longest permit has ended.

    Attributes:
        fence: Monotonic time after which nothing starts under older epochs.
        life_s: Longest time that a permit of an earlier epoch runs.
    """

    def __init__(self, fence: float, life_s: float, first: bool) -> None:
        self.fence = fence
        self.life_s = life_s
        self._first = first
        self._members: set[str] = set()
        self._answered: set[str] = set()
        self._vouched: set[str] = set()
        self._known: set[str] = set()
        self._moved: dict[str, float] = {}
        self._asked_at = float("-inf")
        self._handed = False
        self._granted_from: dict[permits.PermitKey, float] = {}
        self.counters: dict[str, float] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Sets which routers may hold permits of earlier epochs."""
        self._members |= set(members)

    def missing(self) -> set[str]:
        """Returns the members that have not answered."""
        return self._members - self._answered

    def due(self, now: float) -> bool:
        """Tells whether to ask the missing members again."""
        if not self.missing():
            return False
        if now < self._asked_at + const.RESYNC_RETRY_S:
            return False
        if now > self.fence + self.life_s:
            return False
        self._asked_at = now
        return True

    def reported(self, node: str, up_s: float, now: float) -> None:
        """Notes a member's report, if the member can vouch for it.

        Args:
            node: The member.
            up_s: How long it has been running.
            now: Monotonic time in seconds.
        """
        self._answered.add(node)
        if up_s >= now - self.fence + self.life_s:
            self._vouched.add(node)

    def handed(self, granted_from: dict[permits.PermitKey, float]) -> None:
        """Notes that the dispatcher before handed over all permits.

        Args:
            granted_from: The earliest that each can have been issued.
        """
        self._handed = True
        self._granted_from.update(granted_from)

    def granted_after(self, key: permits.PermitKey, moment: float) -> bool:
        """Tells whether a handed permit was surely issued after `moment`."""
        return self._granted_from.get(key, float("-inf")) > moment

    def learn_counters(
        self, counters: Iterable[messages.WorkspaceCounter]
    ) -> None:
        """Takes the counters in that an entry saw granted."""
        for item in counters:
            known = self.counters.get(item.workspace, item.counter)
            self.counters[item.workspace] = max(known, item.counter)

    def complete(self, now: float) -> bool:
        """Tells whether nothing of an earlier epoch is unknown."""
        if self._first or self._handed or now >= self.fence + self.life_s:
            return True
        return bool(self._members) and self._members <= self._vouched

    def measured(self, server: str, measured_from: float, now: float) -> bool:
        """Notes a load report; returns whether it made the server known.

        The members are asked once more then, as the permits that they name
        after the measurement explain part of the load.
        """
        known = self.known(server, now)
        if measured_from < self.fence or known:
            return False
        self._known.add(server)
        self._answered.clear()
        return True

    def moved(self, server: str, now: float) -> None:
        """Notes that a server came from another shard, whose work may run."""
        self._moved[server] = now + const.MOVE_FENCE_S

    def idle(self, server: str, measured_from: float) -> None:
        """Notes that a server was measured to run nothing."""
        if measured_from >= self._moved.get(server, math.inf):
            del self._moved[server]

    def waits(self, server: str, now: float) -> bool:
        """Tells whether a moved server may still run the old shard's work."""
        fence = self._moved.get(server)
        return fence is not None and now < fence + self.life_s

    def any_waits(self, now: float) -> bool:
        """Tells whether some moved server may run the old shard's work."""
        return any(self.waits(server, now) for server in self._moved)

    def known(self, server: str, now: float) -> bool:
        """Tells whether permits may be issued for a backend server."""
        return server in self._known or self.complete(now)
