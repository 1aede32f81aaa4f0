"""Whether a router has more to do than its processor can.

Load pattern: the balancer spreads callers by a hash, so that one small VM can
get several times the share of the others. Then everything is late there:
requests are read after their callers have left, and sent on in vain.
"""

import asyncio
from collections.abc import Callable
import statistics

from tamarackbridge import core

STEP_S = 0.1
"""Interval at which the event loop's lag is averaged."""

PROBE_S = 0.025
"""Interval at which it is taken: several times in a shedder's interval."""

SMOOTHING = 0.3
"""Weight of one lag in the average: a single slow step is no strain, and a
second of it is."""

STRAINED_S = 0.1
"""Lag from which callers are asked to go elsewhere: a quarter of the shortest
target of a stream."""

RELIEVED_S = 0.03
"""Lag below which callers are welcome again."""

OVERLOADED_S = 0.3
"""Lag from which requests are refused at once, where it stands for two steps: a
caller counts as kept waiting half a second after it left."""


class LagMeter:
    """Averages the event loop's lag.

    Attributes:
        lag_s: The average lag, in seconds.
        strained: Whether callers should go elsewhere.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.strained = False
        self._before_s = 0.0
        self._last_s = 0.0

    def note(self, lag_s: float) -> None:
        """Takes one lag."""
        self._before_s, self._last_s = self._last_s, lag_s
        self.lag_s += SMOOTHING * (max(lag_s, 0.0) - self.lag_s)
        if self.lag_s > STRAINED_S:
            self.strained = True
        elif self.lag_s < RELIEVED_S:
            self.strained = False

    @property
    def overloaded(self) -> bool:
        """Whether requests should be refused at once.

        One long step is over when its lag is known.
        """
        standing_s = min(self._before_s, self._last_s, self.lag_s)
        return standing_s > OVERLOADED_S


class LagService(core.Service):
    """Takes the lag of the event loop that it runs in.

    Args:
        meter: Averages the lag.
        clock: Measures it.
        probed: Told each lag, with the time.
    """

    def __init__(
        self,
        meter: LagMeter,
        clock: core.Clock,
        probed: Callable[[float, float], None],
    ) -> None:
        super().__init__()
        self._meter = meter
        self._clock = clock
        self._probed = probed
        self._taking: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Begins to take the lag."""
        self._taking = asyncio.create_task(self._async_take())

    async def on_stop(self) -> None:
        """Ends taking it."""
        if self._taking is not None:
            self._taking.cancel()

    async def _async_take(self) -> None:
        noted_at = self._clock.monotonic()
        lags_s: list[float] = []
        while True:
            began = self._clock.monotonic()
            await asyncio.sleep(PROBE_S)
            now = self._clock.monotonic()
            lag_s = max(now - began - PROBE_S, 0.0)
            self._probed(lag_s, now)
            lags_s.append(lag_s)
            if now - noted_at >= STEP_S:
                self._meter.note(statistics.fmean(lags_s))
                noted_at = now
                lags_s.clear()
