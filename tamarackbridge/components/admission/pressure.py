"""Whether engines have capacity to spare.

Load pattern: a clump of arrivals on a calm day looks like overload for a
moment; shares must not bind for it.
"""

import math

CALM_S = 0.06
"""Usual wait for an engine's reading below which engines have capacity to
spare, and no workspace is held to its share: a tenth of the longest target
and the time to read one common prompt."""

PRESSURE_S = 1.0
"""Time over which that wait is averaged: longer than a clump of arrivals,
shorter than the window of shares."""


class Pressure:
    """How long engines usually read before they begin with a new request.

    Attributes:
        wait_s: The average over `PRESSURE_S`, in seconds.
    """

    def __init__(self) -> None:
        self.wait_s = 0.0
        self._at = 0.0

    @property
    def calm(self) -> bool:
        """Whether engines have capacity to spare."""
        return self.wait_s < CALM_S

    def note(self, seen_s: float | None, now: float) -> None:
        """Takes how long engines read now; None while there are none."""
        if seen_s is None:
            return
        weight = 1.0 - math.exp(-max(now - self._at, 0.0) / PRESSURE_S)
        self.wait_s += weight * (seen_s - self.wait_s)
        self._at = now
