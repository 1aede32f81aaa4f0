"""Estimates a server's speed from the sums of its observations.

Load pattern: few and scattered observations of each server, of which some
servers are lastingly and others momentarily slow, and figures that a server
states about itself and that may be old, absurd or false.
"""

import dataclasses
import math

import msgspec

from tamarackbridge.components.placement import speed_sums

MAX_LOG = math.log(8.0)
"""Bounds the deviation of one observation or figure from the typical value; a
server that is slower than this misses every target anyway."""

FIGURE_S = 0.1
"""Time constant of a work factor, which changes many times a second."""

SILENT_S = 2.0
"""Time constant with which an estimate returns to the typical one without
observations."""

MAX_SLOW_WEIGHT = 20.0
"""Weight up to which slow sums count, so that an estimate that rests on
hundreds of observations returns to the typical one as soon as any other."""

LEVEL_VARIANCE = 0.08
"""Variance of the levels of one service's servers: nominal speeds of 0.55 to
1.3 times have a standard deviation of 0.28."""

DEVIATION_VARIANCE = 0.12
"""Variance of the momentary deviations: a slowdown of 2.5 times for 15 % of the
time."""

FIRST_NOISE = 0.1
"""Variance of single observations, assumed until it is known."""

MIN_PRIOR = 0.5
MAX_PRIOR = 20.0
"""Bounds of the number of observations that the prior counts for."""

SLOPE_PRIOR = 1.0
"""Weight of the service's slope in that of a server, and of 0 in that of the
service, as a sum of squared occupancies: some 30 requests at usual load."""

MIN_ANCHOR_X = 0.2
"""Difference of the mean occupancy to that at low load from which on the times
at both are compared."""

ANCHOR_WEIGHT = 100.0
"""Observations that this comparison counts for once both times are known."""

TRUSTED_LOG = 0.7
"""Difference between stated and observed slowness up to which figures are
trusted: a factor of two. Trust ends at a difference `TRUST_SPREAD` further."""

TRUST_SPREAD = 0.9

EQUAL_LOG = 0.1
"""Relative slowness that counts as none, so that equal servers are used as if
nothing had been learned."""

PROBE_LOG = math.log(1.5)
PROBE_AFTER_S = 1.5
PROBE_UNTIL_S = 10.0
"""A server whose mean time was one and a half times the typical one, and which
has shown no speed for `PROBE_AFTER_S`, is probed by single requests; after
`PROBE_UNTIL_S` nothing is known of it any more."""


class Estimate(msgspec.Struct, frozen=True, gc=False):
    """What is known of one server.

    Attributes:
        at: Time of the estimate.
        level: Logarithm of its time, without load, over the nominal one.
        base: Level without momentary deviations.
        slowness: Its time without load, over the nominal one.
        relative_slowness: Its time over that of its service's typical server;
            1 if the difference is small.
        slope: Growth of log(time) from an idle to a full server.
        limit: Requests that it handles well at once, as a fraction of slots.
        weight: Number of recent observations.
        age_s: Time since the newest observation; infinite without any.
        figure_weight: Number of recent work factors.
        needs_probe: Whether the server was slow when it was last observed, and
            that is some time ago.
        has_typical: Whether a typical level of its service is known.
    """

    at: float
    level: float = 0.0
    base: float = 0.0
    slowness: float = 1.0
    relative_slowness: float = 1.0
    slope: float = 0.0
    limit: float = 1.0
    weight: float = 0.0
    age_s: float = math.inf
    figure_weight: float = 0.0
    needs_probe: bool = False
    has_typical: bool = False

    @property
    def source(self) -> str:
        """Returns what the estimate mainly rests on."""
        if self.weight * math.exp(-self.age_s / SILENT_S) >= 1.0:
            return "observed"
        return "figures" if self.figure_weight >= 1.0 else "typical"


@dataclasses.dataclass(slots=True)
class ServiceSpeed:
    """Typical values of a service.

    Attributes:
        level: Typical level of its servers.
        figure: Typical logarithm of their work factors.
        slope: Typical slope.
        noise: Variance of single observations.
        is_known: Whether anything was observed.
        is_idle: Whether nothing was known of any server when typical values
            were computed last.
    """

    level: float = 0.0
    figure: float = 0.0
    slope: float = 0.0
    noise: float = FIRST_NOISE
    is_known: bool = False
    is_idle: bool = False


@dataclasses.dataclass(slots=True)
class Figure:
    """A server's last work factor, and whether following it helps.

    Attributes:
        log_factor: Its logarithm.
        at: Time at which it was received.
        error_with: Mean squared error of predictions that follow it.
        error_without: Mean squared error of those that don't.
    """

    log_factor: float
    at: float
    error_with: float = 0.0
    error_without: float = 0.0


def make_estimate(
    timed: speed_sums.TimedSums,
    service: ServiceSpeed,
    figure: Figure | None,
    now: float,
) -> Estimate:
    """Returns what is known of a server.

    Args:
        timed: Sums of all routers' observations of it.
        service: Typical values of its service.
        figure: Its last work factor; None if there is none.
        now: The time.
    """
    sums = timed.now(now)
    age_s = max(now - timed.observed_at, 0.0)
    slope = _slope(sums, service.slope)
    weight = slow_weight(sums, age_s)
    observed = service.level
    if sums.slow_w >= speed_sums.MIN_WEIGHT:
        observed = mean_level(sums, slope)
    confidence = weight / (weight + _prior(service.noise, LEVEL_VARIANCE))
    mean_figure = service.figure
    if sums.figure_w >= speed_sums.MIN_WEIGHT:
        mean_figure += (sums.figure_y / sums.figure_w - mean_figure) * (
            sums.figure_w / (sums.figure_w + 1.0)
        )
    stated = mean_figure - service.figure
    trust = _trust(confidence * (observed - service.level - stated))
    prior = service.level + trust * stated
    base = prior + confidence * (observed - prior)
    fast = 0.0
    if sums.fast_w >= speed_sums.MIN_WEIGHT:
        mean = (sums.fast_y - slope * sums.fast_x) / sums.fast_w
        prior_weight = _prior(service.noise, DEVIATION_VARIANCE)
        fast = (mean - base) * sums.fast_w / (sums.fast_w + prior_weight)
    follow = 0.0
    if figure is not None:
        follow = trust * math.exp(-(now - figure.at) / FIGURE_S)
        if figure.error_with > figure.error_without:
            follow *= figure.error_without / figure.error_with
    level = base + fast
    if follow > 0.0 and figure is not None:
        level += follow * (base + figure.log_factor - mean_figure - level)
    relative = bounded(level - service.level)
    return Estimate(
        now,
        service.level + relative,
        base,
        math.exp(service.level + relative),
        math.exp(_soft(relative)),
        slope,
        1.0 / max(slope, 1.0),
        sums.slow_w,
        age_s,
        sums.figure_w,
        observed - service.level > PROBE_LOG
        and PROBE_AFTER_S < age_s < PROBE_UNTIL_S,
        service.is_known,
    )


def _slope(sums: speed_sums.SpeedSums, typical: float) -> float:
    """Returns how log(time) grows from an idle to a full server.

    It follows from momentary changes, and at lasting load from the difference
    to the time at low load.
    """
    xx = sums.slope_xx + SLOPE_PRIOR
    xy = sums.slope_xy + SLOPE_PRIOR * typical
    if min(sums.slow_w, sums.idle_w) >= 1.0:
        dx = sums.slow_x / sums.slow_w - sums.idle_x / sums.idle_w
        dy = sums.slow_y / sums.slow_w - sums.idle_y / sums.idle_w
        if dx >= MIN_ANCHOR_X:
            weight = ANCHOR_WEIGHT * min(sums.slow_w, sums.idle_w, 20.0) / 20.0
            xx += weight * dx * dx
            xy += weight * dx * dy
    return max(bounded(xy / xx), 0.0)


def bounded(log_ratio: float) -> float:
    """Returns the logarithm of a ratio, bounded to the factor 8."""
    return min(max(log_ratio, -MAX_LOG), MAX_LOG)


def slow_weight(sums: speed_sums.SpeedSums, age_s: float) -> float:
    """Returns the weight of slow sums by their newest observation's age."""
    return min(sums.slow_w, MAX_SLOW_WEIGHT) * math.exp(-age_s / SILENT_S)


def mean_level(sums: speed_sums.SpeedSums, slope: float) -> float:
    """Returns the mean level in slow sums that are not empty."""
    return (sums.slow_y - slope * sums.slow_x) / sums.slow_w


def _prior(noise: float, variance: float) -> float:
    """Returns the number of observations that a prior counts for."""
    return min(max(noise / variance, MIN_PRIOR), MAX_PRIOR)


def _trust(difference: float) -> float:
    """Returns the trust in figures that differ so much from observations."""
    excess = (abs(difference) - TRUSTED_LOG) / TRUST_SPREAD
    return min(max(1.0 - excess, 0.0), 1.0)


def _soft(relative: float) -> float:
    """Returns a relative level; differences up to `EQUAL_LOG` are none."""
    return math.copysign(max(abs(relative) - EQUAL_LOG, 0.0), relative)
