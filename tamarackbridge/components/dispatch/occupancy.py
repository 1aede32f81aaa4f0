"""How much of one backend server's limit may be in use.

Combines the permits that are out with the server's lagging load report.
"""

import collections

from tamarackbridge import const
from tamarackbridge.components.dispatch import const as dispatch_const
from tamarackbridge.components.dispatch import messages, permits

START_WINDOW_S = const.GRANT_USE_S + dispatch_const.NETWORK_S
"""Work of a permit arrives at its server within this time of its issue."""

MAX_FINISHES = 4096
"""Ends that are remembered to explain a lagging report."""


class Occupancy:
    """Requests that may be running on one backend server.

    Attributes:
        unknown: Permits of earlier epochs that no entry has reported.
        unknown_until: Monotonic time at which the last of them has ended.
    """

    def __init__(self) -> None:
        self.unknown = 0
        self.unknown_until = 0.0
        self._excess = 0
        self._measured_from = float("-inf")
        self._finishes: collections.deque[float] = collections.deque(
            maxlen=MAX_FINISHES
        )

    def finished(self, now: float) -> None:
        """Notes the end of one permit."""
        self._finishes.append(now)

    def adopted(self) -> None:
        """Notes that an entry reported one permit of an earlier epoch."""
        self.unknown = max(self.unknown - 1, 0)

    def in_use(self, held: int, now: float) -> int:
        """Returns how many requests may run, with `held` permits out."""
        if now >= self.unknown_until:
            self.unknown = 0
        return held + self.unknown + self._unexplained(now)

    def reported(
        self,
        report: messages.LoadReport,
        held: list[permits.Permit],
        now: float,
    ) -> int:
        """Takes the server's own report in.

        Returns:
            How many permits of silent entries may still be running.
        """
        measured_from = now - report.lag_s
        while self._finishes and self._finishes[0] < measured_from:
            self._finishes.popleft()
        explained = len(held) + self.unknown + len(self._finishes)
        self._excess = max(report.in_flight - explained, 0)
        self._measured_from = measured_from
        silent = [item for item in held if is_silent(item, now)]
        started = sum(
            item.granted_at + START_WINDOW_S > measured_from for item in held
        )
        live = len(held) - len(silent)
        left = max(report.in_flight + started - live, 0)
        silent_left = min(left, len(silent))
        self.unknown = min(self.unknown, left - silent_left)
        return silent_left

    def _unexplained(self, now: float) -> int:
        return self._excess


def is_silent(permit: permits.Permit, now: float) -> bool:
    """Tells whether a permit's entry has not been heard for long."""
    return now - permit.heard_at > dispatch_const.SILENCE_S
