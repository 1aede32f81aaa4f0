"""How much of one backend server's limit may be in use.

Combines the outstanding permits with the server's load reports, which lag.
"""

import collections
import dataclasses

from tamarackbridge import const
from tamarackbridge.components.dispatch import const as dispatch_const
from tamarackbridge.components.dispatch import messages, permits

START_WINDOW_S = const.GRANT_USE_S + dispatch_const.MAX_NETWORK_DELAY_S
"""The work of a permit reaches its server within this time after the issue."""

PAUSE_INTERVAL_S = 10.0
"""Shortest time between the starts of two pauses of one backend server."""

MAX_PAUSE_S = 3.0
"""Longest pause if no load report arrives."""

ALL_REPORTED_S = 2 * dispatch_const.PROGRESS_INTERVAL_S
"""Every entry reports its permits within this time after a load report."""

FOREIGN_LOAD_S = 3.0
"""For how long capacity is kept free for load without a permit of ours."""

MAX_ENDED = 4096
"""Ended permits that are remembered to account for lagging load reports."""


class Occupancy:
    """The number of requests that may be running on one backend server.

    Attributes:
        unknown: Permits of earlier epochs that no entry has reported.
        unknown_until: Monotonic time by which all of them have ended.
    """

    def __init__(self) -> None:
        self.unknown = 0
        self.unknown_until = 0.0
        self._foreign_load: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._measurement: _Measurement | None = None
        self._paused_at: float | None = None
        self._next_pause_at = float("-inf")
        self._ended_at: collections.deque[float] = collections.deque(
            maxlen=MAX_ENDED
        )

    def record_end(self, now: float) -> None:
        """Records the end of one permit."""
        self._ended_at.append(now)

    def in_use(self, held: int, now: float) -> int:
        """Returns how many requests may be running.

        Args:
            held: Outstanding permits for the server.
            now: Monotonic time in seconds.
        """
        if now >= self.unknown_until:
            self.unknown = 0
        while (
            self._foreign_load
            and self._foreign_load[0][0] < now - FOREIGN_LOAD_S
        ):
            self._foreign_load.popleft()
        foreign = max((count for _, count in self._foreign_load), default=0)
        return held + self.unknown + foreign

    def handle_load_report(
        self,
        report: messages.LoadReport,
        held: int,
        known_since: float,
        now: float,
    ) -> None:
        """Handles a load report of the server.

        Args:
            report: The load report.
            held: Outstanding permits for the server.
            known_since: Monotonic time since which every end of a permit was
                recorded. An earlier measurement may count work that has ended.
            now: Monotonic time in seconds.
        """
        measured_from = now - report.lag_s
        while self._ended_at and self._ended_at[0] < measured_from:
            self._ended_at.popleft()
        explained = held + self.unknown + len(self._ended_at)
        foreign = max(report.in_flight - explained, 0)
        if measured_from >= known_since:
            self._foreign_load.append((now, foreign))
        if (
            self._measurement is None
            or now >= self._measurement.received_at + ALL_REPORTED_S
        ):
            self._measurement = _Measurement(
                report.in_flight, measured_from, now
            )

    def find_ended(
        self, held: list[permits.Permit], now: float
    ) -> list[permits.Permit]:
        """Returns the silent permits that must have ended, by the last report.

        A silent permit is one whose entry has not reported it lately. Some of
        the requests in the load report belong to permits that entries still
        reported after the measurement. Only the remaining requests can belong
        to silent and unknown permits; the oldest silent permits beyond that
        number have ended.
        """
        measurement = self._measurement
        if measurement is None:
            return []
        started = [
            permit
            for permit in held
            if _started_before(permit, measurement.earliest_at)
        ]
        reported_count = sum(
            permit.reported_at >= measurement.received_at for permit in started
        )
        unreported_count = max(measurement.in_flight - reported_count, 0)
        self.unknown = min(self.unknown, unreported_count)
        silent = [permit for permit in started if is_silent(permit, now)]
        silent.sort(key=lambda permit: permit.granted_at)
        surplus = self.unknown + len(silent) - unreported_count
        return silent[: max(surplus, 0)]

    @property
    def paused(self) -> bool:
        """True while the server gets no permits, until it was measured."""
        return self._paused_at is not None

    def has_doubtful(self, held: list[permits.Permit], now: float) -> bool:
        """Returns whether permits are counted that may have ended."""
        return self.unknown > 0 or any(
            is_silent(permit, now) for permit in held
        )

    def pause(self, now: float) -> None:
        """Starts a pause, after which a measurement shows what still runs."""
        if now >= self._next_pause_at:
            self._paused_at = now
            self._next_pause_at = now + PAUSE_INTERVAL_S

    def resume(self, doubtful: bool, now: float) -> None:
        """Ends the pause after a measurement or once no permit is in doubt."""
        measurement = self._measurement
        if self._paused_at is None:
            return
        all_started_at = self._paused_at + START_WINDOW_S
        measured = (
            measurement is not None
            and measurement.earliest_at >= all_started_at
        )
        all_reported = (
            measurement is not None
            and now >= measurement.received_at + ALL_REPORTED_S
        )
        if not doubtful or (measured and all_reported) or self._overdue(now):
            self._paused_at = None

    def _overdue(self, now: float) -> bool:
        return now >= self._next_pause_at - PAUSE_INTERVAL_S + MAX_PAUSE_S


@dataclasses.dataclass(frozen=True, slots=True)
class _Measurement:
    in_flight: int
    earliest_at: float
    received_at: float


def _started_before(permit: permits.Permit, moment: float) -> bool:
    return permit.granted_at + START_WINDOW_S <= moment


def is_silent(permit: permits.Permit, now: float) -> bool:
    """Returns whether a permit's entry has not reported it lately."""
    return now - permit.reported_at > dispatch_const.ENTRY_SILENCE_S
