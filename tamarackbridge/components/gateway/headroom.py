"""How much processor time a router has to spare for its peers' requests."""

import asyncio
from collections.abc import Callable
import math
import selectors

from tamarackbridge import core

SMOOTHING_S = 0.3
"""Time over which the busy part is averaged: a few intervals of the lag's
probes, and shorter than the time between two reports to other routers."""

RESERVE = 0.25
"""Part of the processor that is not offered: a burst of the router's own
callers finds room, and late reports of several routers that offload to it."""


class IdleSelector(selectors.DefaultSelector):
    """Counts the time that an event loop waits in it.

    Processor time as the kernel counts it depends on the speed of the VM; the
    part of the time in which a loop has nothing to do does not.

    Attributes:
        idle_s: Sum of all waits, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self.idle_s = 0.0
        self._now = now

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits as the base class does."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        began = self._now()
        found = super().select(timeout)
        self.idle_s += self._now() - began
        return found


class IdleLoop(asyncio.SelectorEventLoop):
    """An event loop that knows how long it had nothing to do."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._counting = IdleSelector(now)
        super().__init__(self._counting)

    @property
    def idle_s(self) -> float:
        """Time that the loop has waited so far, in seconds."""
        return self._counting.idle_s


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns a loop that counts its waits on the routers' clock."""
    return IdleLoop(core.SystemClock().monotonic)


def loop_idle_s() -> float:
    """Returns for how long the running loop had nothing to do, in seconds."""
    loop = asyncio.get_running_loop()
    return loop.idle_s if isinstance(loop, IdleLoop) else 0.0


class Headroom:
    """Averages which part of a processor is idle.

    Attributes:
        cores: The VM's processor, in cores.
    """

    def __init__(self, cores: float, idle_s: Callable[[], float]) -> None:
        self.cores = cores
        self._idle_s = idle_s
        self._idle_before_s = 0.0
        self._at = math.nan
        self._idle_part = 0.0

    def note(self, now: float) -> None:
        """Takes how long the loop has waited so far."""
        idle_s = self._idle_s()
        seconds = now - self._at
        if seconds > 0:
            weight = 1.0 - math.exp(-seconds / SMOOTHING_S)
            part = min((idle_s - self._idle_before_s) / seconds, 1.0)
            self._idle_part += weight * (part - self._idle_part)
        self._at = now
        self._idle_before_s = idle_s

    @property
    def used(self) -> float:
        """What the router uses itself, in cores."""
        return (1.0 - self._idle_part) * self.cores

    @property
    def spare(self) -> float:
        """What may be offered to peers, in cores."""
        return max(self._idle_part - RESERVE, 0.0) * self.cores
