"""Decayed sums of observations of one server's speed.

The sums of different routers can be added, and a sum that is not sent again
decays at its receiver exactly as at its sender.

Load pattern: many routers see few responses of each server, and only their
observations together show a change within a second.
"""

import math
from typing import Self

import msgspec

FAST_S = 0.35
"""Time constant of the fast sums: half as long as neighbours slow a server
down."""

SLOW_S = 4.0
"""Time constant of the slow sums: several slowdowns by neighbours, and short
enough that a lasting change is known within some seconds."""

IDLE_S = 30.0
"""Time constant of the sums of what was observed at low load, the reference for
the time at high load, which may last."""

MIN_WEIGHT = 0.01
"""Sums with less weight than this count as none."""


class SpeedSums(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Sums over the observations of a server, weighted by their age.

    y is log(time / nominal time), x the occupancy.

    Attributes:
        fast_w: Fast sum of weights.
        fast_x: Fast sum of x.
        fast_y: Fast sum of y.
        slow_w: Slow sum of weights.
        slow_x: Slow sum of x.
        slow_y: Slow sum of y.
        slope_xx: Slow sum of the squared deviations of x.
        slope_xy: Slow sum of the products of the deviations of x and y.
        figure_w: Slow number of work factors that the server stated.
        figure_y: Slow sum of their logarithms.
        idle_w: Sum of weights of observations at low load.
        idle_x: Sum of x at low load.
        idle_y: Sum of y at low load.
    """

    fast_w: float = 0.0
    fast_x: float = 0.0
    fast_y: float = 0.0
    slow_w: float = 0.0
    slow_x: float = 0.0
    slow_y: float = 0.0
    slope_xx: float = 0.0
    slope_xy: float = 0.0
    figure_w: float = 0.0
    figure_y: float = 0.0
    idle_w: float = 0.0
    idle_x: float = 0.0
    idle_y: float = 0.0

    def decayed(self, age_s: float) -> "SpeedSums":
        """Returns the sums when they are older by a time."""
        if age_s <= 0.0:
            return self
        fast = math.exp(-age_s / FAST_S)
        slow = math.exp(-age_s / SLOW_S)
        idle = math.exp(-age_s / IDLE_S)
        return SpeedSums(
            self.fast_w * fast,
            self.fast_x * fast,
            self.fast_y * fast,
            self.slow_w * slow,
            self.slow_x * slow,
            self.slow_y * slow,
            self.slope_xx * slow,
            self.slope_xy * slow,
            self.figure_w * slow,
            self.figure_y * slow,
            self.idle_w * idle,
            self.idle_x * idle,
            self.idle_y * idle,
        )

    def plus(self, other: "SpeedSums") -> "SpeedSums":
        """Returns the sum of both, which must be equally old."""
        return SpeedSums(
            self.fast_w + other.fast_w,
            self.fast_x + other.fast_x,
            self.fast_y + other.fast_y,
            self.slow_w + other.slow_w,
            self.slow_x + other.slow_x,
            self.slow_y + other.slow_y,
            self.slope_xx + other.slope_xx,
            self.slope_xy + other.slope_xy,
            self.figure_w + other.figure_w,
            self.figure_y + other.figure_y,
            self.idle_w + other.idle_w,
            self.idle_x + other.idle_x,
            self.idle_y + other.idle_y,
        )

    def minus(self, other: "SpeedSums") -> "SpeedSums":
        """Returns the sums without a part of them, which is equally old."""
        return SpeedSums(
            max(self.fast_w - other.fast_w, 0.0),
            self.fast_x - other.fast_x,
            self.fast_y - other.fast_y,
            max(self.slow_w - other.slow_w, 0.0),
            self.slow_x - other.slow_x,
            self.slow_y - other.slow_y,
            max(self.slope_xx - other.slope_xx, 0.0),
            self.slope_xy - other.slope_xy,
            max(self.figure_w - other.figure_w, 0.0),
            self.figure_y - other.figure_y,
            max(self.idle_w - other.idle_w, 0.0),
            self.idle_x - other.idle_x,
            self.idle_y - other.idle_y,
        )

    @property
    def is_empty(self) -> bool:
        """Returns whether hardly any weight is left."""
        return max(self.slow_w, self.figure_w, self.idle_w) < MIN_WEIGHT


NO_SUMS = SpeedSums()


class TimedSums(msgspec.Struct, frozen=True, gc=False):
    """Sums as of a time.

    Attributes:
        sums: The sums.
        at: The time as of which they are decayed.
        observed_at: Time of the newest observation.
    """

    sums: SpeedSums = NO_SUMS
    at: float = -math.inf
    observed_at: float = -math.inf

    def now(self, now: float) -> SpeedSums:
        """Returns the sums as of a later time."""
        if self.sums is NO_SUMS:
            return NO_SUMS
        return self.sums.decayed(now - self.at)

    def plus(self, other: Self, now: float) -> "TimedSums":
        """Returns the sum of both as of a time."""
        return TimedSums(
            self.now(now).plus(other.now(now)),
            now,
            max(self.observed_at, other.observed_at),
        )


NO_TIMED_SUMS = TimedSums()
