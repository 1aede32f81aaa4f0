"""Counts of the responses that one router got during one order.

Load pattern: responses that take seconds, or never come, must count as slow as
soon as they are, and each response once whatever happens to it afterwards.
"""

from collections.abc import Hashable, Mapping

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.rollout import const, models

_FAILURES = frozenset(
    (jobs.Outcome.FAILED, jobs.Outcome.LOST, jobs.Outcome.TIMED_OUT)
)
"""Outcomes by which a response counts as bad."""

_NO_RESPONSE = frozenset(
    (
        jobs.Outcome.REJECTED,
        jobs.Outcome.MISDIRECTED,
        jobs.Outcome.UNREACHABLE,
        jobs.Outcome.UNSENT,
        jobs.Outcome.CANCELLED,
    )
)
"""Outcomes that say nothing about the version."""

MS_PER_S = 1000


class _Attempt(msgspec.Struct):
    """An attempt in flight."""

    key: models.CellKey
    sent_at: float
    server: str
    is_first: bool
    is_cold: bool
    is_counted: bool = False
    is_bad: bool = False


class Evidence:
    """Counts of responses by route, zone and version.

    Attributes:
        cells: The counts.
    """

    def __init__(self) -> None:
        self.cells: dict[models.CellKey, models.Counts] = {}
        self._attempts: dict[Hashable, _Attempt] = {}
        self._means_s: Mapping[str, float] = {}
        self._responded: set[str] = set()

    def use_cells(self, fleet: Mapping[models.CellKey, models.Counts]) -> None:
        """Works out from the fleet's counts what counts as slow."""
        old: dict[str, models.Counts] = {}
        for key, counts in fleet.items():
            if not key.is_new:
                known = old.get(key.route, models.NO_COUNTS)
                old[key.route] = known.plus(counts)
        self._means_s = {
            route: counts.first_event_ms / counts.responses / MS_PER_S
            for route, counts in old.items()
            if counts.responses >= const.MIN_OLD_RESPONSES
        }

    def record_sent(
        self,
        attempt: Hashable,
        key: models.CellKey,
        now: float,
        server: str = "",
        is_cold: bool = False,
    ) -> None:
        """Records that an attempt was sent.

        Args:
            attempt: The attempt.
            key: What it is counted by.
            now: The time.
            server: Name of the server.
            is_cold: Whether the server is warming up, and so may be slow.
        """
        is_first = server not in self._responded
        self._attempts[attempt] = _Attempt(key, now, server, is_first, is_cold)

    def record_head(self, attempt: Hashable, now: float) -> None:
        """Records the head of a response, unless it is a refusal."""
        found = self._attempts.get(attempt)
        if found is None:
            return
        self._responded.add(found.server)
        first_event_s = now - found.sent_at
        first_event_ms = round(first_event_s * MS_PER_S)
        self._count(found, self._is_slow(found, now), first_event_ms)

    def record_end(
        self, attempt: Hashable, outcome: jobs.Outcome, now: float
    ) -> models.CellKey | None:
        """Records the end of an attempt.

        Returns:
            What it is counted by; None if it was sent before the order.
        """
        found = self._attempts.pop(attempt, None)
        if found is None:
            return None
        if outcome is jobs.Outcome.CRASHED:
            if not found.is_bad:
                added = models.Counts(int(not found.is_counted), crashed=1)
                self._add(found.key, added)
        elif outcome in _FAILURES:
            self._count(found, True)
        elif outcome not in _NO_RESPONSE:
            self._count(found, False)
        elif outcome is jobs.Outcome.CANCELLED and self._is_late(found, now):
            self._count(found, True)
        return found.key

    def count_late(self, now: float) -> None:
        """Counts the attempts as slow that should have responded by now."""
        for found in self._attempts.values():
            if self._is_late(found, now):
                self._count(found, True)

    def _is_late(self, found: _Attempt, now: float) -> bool:
        return not found.is_counted and self._is_slow(found, now)

    def _is_slow(self, found: _Attempt, now: float) -> bool:
        mean_s = self._means_s.get(found.key.route)
        if mean_s is None or found.is_cold:
            return False
        margin_s = (
            const.FIRST_MARGIN_S if found.is_first else const.MIN_SLOW_MARGIN_S
        )
        slow_s = max(const.SLOW_FACTOR * mean_s, mean_s + margin_s)
        return now - found.sent_at > slow_s

    def _count(
        self, found: _Attempt, is_bad: bool, first_event_ms: int = 0
    ) -> None:
        """Counts a response once, and once as bad."""
        responses = int(not found.is_counted)
        bad = int(is_bad and not found.is_bad)
        found.is_counted = True
        found.is_bad = found.is_bad or is_bad
        if responses or bad or first_event_ms:
            added = models.Counts(responses, bad, 0, first_event_ms)
            self._add(found.key, added)

    def _add(self, key: models.CellKey, added: models.Counts) -> None:
        self.cells[key] = self.cells.get(key, models.NO_COUNTS).plus(added)
