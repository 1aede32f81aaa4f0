"""Measures the processor headroom that a router can offer to its peers."""

import asyncio
from collections.abc import Callable
import math
import selectors

from tamarackbridge import core

SMOOTHING_S = 0.3
"""Time constant of the average of the idle fraction: a few intervals of the lag
probe, and shorter than the time between two reports to other routers."""

RESERVE = 0.25
"""Fraction of the processor that is not offered to peers. It absorbs bursts of
the router's own callers, and requests of several routers that offload here at
once because the reports they decide on are late."""


class IdleSelector(selectors.DefaultSelector):
    """Selector that measures how long the event loop is idle.

    Processor time as the kernel counts it depends on the speed of the VM; the
    fraction of time in which the event loop is idle does not.

    Attributes:
        idle_s: Total time spent waiting for events, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self.idle_s = 0.0
        self._now = now

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events and adds the time spent waiting to `idle_s`."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        started = self._now()
        events = super().select(timeout)
        self.idle_s += self._now() - started
        return events


class IdleLoop(asyncio.SelectorEventLoop):
    """Event loop that measures its idle time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._idle_selector = IdleSelector(now)
        super().__init__(self._idle_selector)

    @property
    def idle_s(self) -> float:
        """Total idle time of the loop, in seconds."""
        return self._idle_selector.idle_s


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop that measures its idle time on the system clock."""
    return IdleLoop(core.SystemClock().monotonic)


def loop_idle_s() -> float:
    """Returns the total idle time of the running loop, in seconds.

    Returns 0 if the loop does not measure it.
    """
    loop = asyncio.get_running_loop()
    return loop.idle_s if isinstance(loop, IdleLoop) else 0.0


class Headroom:
    """Averages the idle fraction of the VM's processor.

    Attributes:
        cores: Processor capacity of the VM, in cores.
    """

    def __init__(self, cores: float, idle_s: Callable[[], float]) -> None:
        self.cores = cores
        self._idle_s = idle_s
        self._last_idle_s = 0.0
        self._updated_at = math.nan
        self._idle_fraction = 0.0

    def update(self, now: float) -> None:
        """Updates the average from the idle time since the last call."""
        idle_s = self._idle_s()
        seconds = now - self._updated_at
        if seconds > 0:
            weight = 1.0 - math.exp(-seconds / SMOOTHING_S)
            fraction = min((idle_s - self._last_idle_s) / seconds, 1.0)
            self._idle_fraction += weight * (fraction - self._idle_fraction)
        self._updated_at = now
        self._last_idle_s = idle_s

    @property
    def used_cores(self) -> float:
        """Processor use of this router, in cores."""
        return (1.0 - self._idle_fraction) * self.cores

    @property
    def offered_cores(self) -> float:
        """Processor headroom that may be offered to peers, in cores."""
        return max(self._idle_fraction - RESERVE, 0.0) * self.cores
