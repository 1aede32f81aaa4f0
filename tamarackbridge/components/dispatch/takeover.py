"""Tracks what a new dispatcher must learn before it may issue permits."""

from collections.abc import Iterable
import math

from tamarackbridge.components.dispatch import const, messages, permits


class TakeOver:
    """Progress of the take-over at the start of one epoch.

    No work starts under a permit of an earlier epoch after `fence`. Permits
    for a backend server may be issued once its load is known. That is the case
    once the previous dispatcher handed over all permits, once every member has
    sent a report that covers all its permits, once the server measured its own
    load after the fence, or once the longest permit has ended.

    Attributes:
        fence: Monotonic time after which nothing starts under earlier epochs.
        life_s: Longest time that a permit of an earlier epoch can run.
        counters: Highest reported counter of each workspace.
    """

    def __init__(self, fence: float, life_s: float, first: bool) -> None:
        self.fence = fence
        self.life_s = life_s
        self._first_epoch = first
        self._members: set[str] = set()
        self._reported: set[str] = set()
        self._fully_reported: set[str] = set()
        self._measured: set[str] = set()
        self._move_fences: dict[str, float] = {}
        self._last_asked_at = float("-inf")
        self._handed_over = False
        self._earliest_grants: dict[permits.PermitKey, float] = {}
        self.counters: dict[str, float] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Adds routers that may hold permits of earlier epochs."""
        self._members |= set(members)

    def missing_members(self) -> set[str]:
        """Returns the members that have not reported."""
        return self._members - self._reported

    def begin_resync_if_due(self, now: float) -> bool:
        """Returns whether to ask missing members now, and records the time."""
        if not self.missing_members():
            return False
        if now < self._last_asked_at + const.RESYNC_RESEND_S:
            return False
        if now > self.fence + self.life_s:
            return False
        self._last_asked_at = now
        return True

    def record_report(self, node: str, up_s: float, now: float) -> None:
        """Records that a member has reported.

        The report covers all permits of earlier epochs only if the member has
        been running since before the oldest of them.

        Args:
            node: Identifier of the member.
            up_s: How long the member has been running.
            now: Monotonic time in seconds.
        """
        self._reported.add(node)
        if up_s >= now - self.fence + self.life_s:
            self._fully_reported.add(node)

    def record_hand_over(
        self, earliest_grants: dict[permits.PermitKey, float]
    ) -> None:
        """Records that the previous dispatcher handed over all permits.

        Args:
            earliest_grants: Earliest monotonic time at which each permit can
                have been issued.
        """
        self._handed_over = True
        self._earliest_grants.update(earliest_grants)

    def granted_after(self, key: permits.PermitKey, moment: float) -> bool:
        """Returns whether a handed permit was surely issued after `moment`."""
        return self._earliest_grants.get(key, float("-inf")) > moment

    def merge_counters(
        self, counters: Iterable[messages.WorkspaceCounter]
    ) -> None:
        """Merges reported counters; the highest of each workspace counts."""
        for item in counters:
            known = self.counters.get(item.workspace, item.counter)
            self.counters[item.workspace] = max(known, item.counter)

    def is_complete(self, now: float) -> bool:
        """Returns whether all permits of earlier epochs are known or ended."""
        if (
            self._first_epoch
            or self._handed_over
            or now >= self.fence + self.life_s
        ):
            return True
        return bool(self._members) and self._members <= self._fully_reported

    def record_measurement(
        self, server: str, measured_from: float, now: float
    ) -> bool:
        """Records a load measurement; returns whether the load became known.

        All members are then asked again: the permits that they report after
        the measurement account for part of the load.

        Args:
            server: Name of the backend server.
            measured_from: Earliest monotonic time of the measurement.
            now: Monotonic time in seconds.
        """
        known = self.is_known(server, now)
        if measured_from < self.fence or known:
            return False
        self._measured.add(server)
        self._reported.clear()
        return True

    def record_move(self, server: str, now: float) -> None:
        """Records that a server came from another shard, whose work may run."""
        self._move_fences[server] = now + const.MOVE_FENCE_S

    def record_idle(self, server: str, measured_from: float) -> None:
        """Records that a server was measured without any work."""
        if measured_from >= self._move_fences.get(server, math.inf):
            del self._move_fences[server]

    def may_run_former_work(self, server: str, now: float) -> bool:
        """Returns whether a server may still run work of its former shard."""
        fence = self._move_fences.get(server)
        return fence is not None and now < fence + self.life_s

    def may_any_run_former_work(self, now: float) -> bool:
        """Returns whether any server may still run work of its former shard."""
        return any(
            self.may_run_former_work(server, now)
            for server in self._move_fences
        )

    def is_known(self, server: str, now: float) -> bool:
        """Returns whether the load of a backend server is known."""
        return server in self._measured or self.is_complete(now)
