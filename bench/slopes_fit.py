"""Straight lines through measured points, and sizes of object graphs."""

from collections.abc import Callable, Sequence
import dataclasses
import gc
import math
import statistics
import sys
import time
import types

from tamarackbridge import core, messages

BOOT = 2**31 - 1
"""Largest identifier of a process life."""

EMPTY_BATCH = messages.Batch(
    "router-000", BOOT, 12345.5, BOOT, 12345.5, 0.5, ()
)
"""What goes over the wire beside the messages."""

_SHARED = (type, types.ModuleType, types.FunctionType, types.MethodType)


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line by least squares.

    Attributes:
        slope: Growth for each unit of size.
        base: Value at size 0.
        slope_error: Standard error of the slope.
        residual: Standard deviation around the line.
        r2: Part of the variance that the line explains.
    """

    slope: float
    base: float
    slope_error: float
    residual: float
    r2: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line through at least four points."""
    line = statistics.linear_regression(sizes, values)
    errors = [
        value - line.slope * size - line.intercept
        for size, value in zip(sizes, values, strict=True)
    ]
    squares = sum(error * error for error in errors)
    residual = math.sqrt(squares / (len(sizes) - 2))
    mean = statistics.fmean(sizes)
    spread = math.sqrt(sum((size - mean) ** 2 for size in sizes))
    total = sum((value - statistics.fmean(values)) ** 2 for value in values)
    return Fit(
        line.slope,
        line.intercept,
        residual / spread,
        residual,
        1 - squares / total if total else 1.0,
    )


def deep_bytes(*roots: object) -> int:
    """Returns the bytes of all objects that are reached from `roots`.

    Classes, modules and functions are shared by all and are not counted.
    """
    seen: set[int] = set()
    pending = list(roots)
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, _SHARED):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total


def cpu_us(action: Callable[[], object], times: int) -> float:
    """Returns the processor time of one call, in microseconds."""
    gc.collect()
    began = time.thread_time()
    for _ in range(times):
        action()
    return (time.thread_time() - began) / times * 1e6


class MeteredGroup(core.DeciderGroup):
    """Counts the processor time that the deciders of one router take."""

    def __init__(self, node: str, deciders: Sequence[core.Decider]) -> None:
        super().__init__(node, deciders)
        self.cpu_s = 0.0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        """Delivers one message."""
        began = time.thread_time()
        out = super().handle(delivery, now)
        self.cpu_s += time.thread_time() - began
        return out

    def tick(self, now: float) -> list[core.Envelope]:
        """Lets time pass."""
        began = time.thread_time()
        out = super().tick(now)
        self.cpu_s += time.thread_time() - began
        return out
