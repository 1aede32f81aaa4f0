"""Helpers of the slopes measurement: line fits, memory and processor time."""

from collections.abc import Callable, Sequence
import dataclasses
import gc
import math
import statistics
import sys
import time
import types

from tamarackbridge import core, messages

MAX_BOOT_ID = 2**31 - 1
"""Largest boot ID of a process."""

EMPTY_BATCH = messages.Batch(
    "router-000", MAX_BOOT_ID, 12345.5, MAX_BOOT_ID, 12345.5, 0.5, ()
)
"""Batch without messages: the overhead of a batch on the wire."""

_UNCOUNTED_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.MethodType,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Line fitted by least squares.

    Attributes:
        slope: Growth per unit of size.
        base: Value of the line at size 0.
        slope_error: Standard error of the slope.
        residual: Standard deviation of the points around the line.
        r2: Fraction of the variance that the line explains.
    """

    slope: float
    base: float
    slope_error: float
    residual: float
    r2: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line through the points; at least four are expected."""
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
    """Returns the bytes of all objects that are reachable from `roots`.

    Classes, modules and functions are not counted, as everything shares them.
    """
    seen: set[int] = set()
    pending = list(roots)
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, _UNCOUNTED_TYPES):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total


def cpu_us(action: Callable[[], object], times: int) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    gc.collect()
    began = time.thread_time()
    for _ in range(times):
        action()
    return (time.thread_time() - began) / times * 1e6


class MeteredGroup(core.DeciderGroup):
    """Decider group of one router that measures its processor time."""

    def __init__(self, node: str, deciders: Sequence[core.Decider]) -> None:
        super().__init__(node, deciders)
        self.cpu_s = 0.0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        """Delivers one message to the deciders."""
        began = time.thread_time()
        out = super().handle(delivery, now)
        self.cpu_s += time.thread_time() - began
        return out

    def tick(self, now: float) -> list[core.Envelope]:
        """Advances the deciders to `now`."""
        began = time.thread_time()
        out = super().tick(now)
        self.cpu_s += time.thread_time() - began
        return out
