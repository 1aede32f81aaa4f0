"""Measures the lag of the event loop to detect an overloaded router.

Load pattern: the load balancer distributes callers by a hash, so that one small
VM can get several times the load of the others. Then everything is late there:
requests are parsed after their callers have left, and are forwarded in vain.
"""

import asyncio
from collections.abc import Callable
import math
import statistics

from absl import logging

from tamarackbridge import background_task, core

AVERAGING_INTERVAL_S = 0.1
"""Averaging interval: the lags measured in it are added to the average."""

PROBE_INTERVAL_S = 0.025
"""Interval at which the lag is measured: several times within the interval of
the load shedder."""

SMOOTHING = 0.3
"""Weight of a new lag in the average: a single slow step of the event loop does
not count as overload, a second of slow steps does."""

LAGGING_S = 0.1
"""Average lag above which new callers are sent to other routers: a quarter of
the shortest latency target of a stream."""

RECOVERED_S = 0.03
"""Average lag below which new callers are accepted again."""

FAILURE_LOG_S = 1.0
"""Minimum interval of log lines about a callback that fails."""

OVERLOADED_S = 0.3
"""Lag above which requests are rejected at once if two averaging intervals in a
row exceed it. A caller counts as kept waiting if its request is still in flight
half a second after it left."""


class LagMeter:
    """Averages the lag of the event loop.

    Attributes:
        lag_s: The average lag, in seconds.
        lagging: Whether the average is so high that new callers should go to
            other routers.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.lagging = False
        self._previous_s = 0.0
        self._latest_s = 0.0
        self._probe_s = 0.0
        self._probed_at = math.inf

    def add_lag(self, lag_s: float) -> None:
        """Adds a measured lag to the average."""
        self._previous_s, self._latest_s = self._latest_s, lag_s
        self.lag_s += SMOOTHING * (max(lag_s, 0.0) - self.lag_s)
        if self.lag_s > LAGGING_S:
            self.lagging = True
        elif self.lag_s < RECOVERED_S:
            self.lagging = False

    def record_probe(self, lag_s: float, now: float) -> None:
        """Records a measured lag before it is part of an average."""
        self._probe_s, self._probed_at = lag_s, now

    def recent_s(self, now: float) -> float:
        """Returns the average lag, or a lag of this moment if that is more.

        A probe that is overdue counts: after a standstill, data that came
        meanwhile is read before the lag is measured.
        """
        overdue_s = now - self._probed_at - PROBE_INTERVAL_S
        return max(self.lag_s, self._latest_s, self._probe_s, overdue_s)

    @property
    def overloaded(self) -> bool:
        """Returns whether requests should be rejected at once.

        A single long step does not count: it is over once its lag is measured.
        """
        lasting_s = min(self._previous_s, self._latest_s, self.lag_s)
        return lasting_s > OVERLOADED_S


class LagService(core.Service):
    """Measures the lag of the event loop that it runs in.

    Args:
        meter: Averages the lag.
        clock: Clock for the measurement.
        on_probe: Called with each measured lag, in seconds, and the time.
    """

    def __init__(
        self,
        meter: LagMeter,
        clock: core.Clock,
        on_probe: Callable[[float, float], None],
    ) -> None:
        super().__init__()
        self._meter = meter
        self._clock = clock
        self._on_probe = on_probe
        self._probe_task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts the measurement."""
        self._probe_task = background_task.start("lag", self._async_probe)

    async def on_stop(self) -> None:
        """Stops the measurement."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    async def _async_probe(self) -> None:
        averaged_at = self._clock.monotonic()
        lags_s: list[float] = []
        while True:
            started = self._clock.monotonic()
            await asyncio.sleep(PROBE_INTERVAL_S)
            now = self._clock.monotonic()
            lag_s = max(now - started - PROBE_INTERVAL_S, 0.0)
            self._meter.record_probe(lag_s, now)
            lags_s.append(lag_s)
            if now - averaged_at >= AVERAGING_INTERVAL_S:
                self._meter.add_lag(statistics.fmean(lags_s))
                averaged_at = now
                lags_s.clear()
            self._report(lag_s, now)

    def _report(self, lag_s: float, now: float) -> None:
        """Calls back; a failure there must not end the measurement."""
        try:
            self._on_probe(lag_s, now)
        except Exception:
            logging.log_every_n_seconds(
                logging.ERROR,
                "callback of the lag measurement failed",
                FAILURE_LOG_S,
                exc_info=True,
            )
