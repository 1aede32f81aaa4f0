"""Processor time of the event loop's thread, by what it is spent on."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import enum
import functools
import resource
from typing import ParamSpec, TypeVar

import prometheus_client
from prometheus_client import metrics_core, registry

_Params = ParamSpec("_Params")
_Result = TypeVar("_Result")


class Purpose(enum.Enum):
    """What processor time is spent on."""

    ACCEPTING = "accepting"
    READING = "reading"
    DECIDING = "deciding"
    REFUSING = "refusing"
    RELAYING = "relaying"
    SHARING = "sharing"


def thread_s() -> float:
    """Returns the processor time of this thread, in seconds."""
    used = resource.getrusage(resource.RUSAGE_THREAD)
    return used.ru_utime + used.ru_stime


class ProcessorTime:
    """Sums processor time by purpose.

    A section that begins within another one counts for its own purpose only.
    Sections must not wait: what else the thread did meanwhile would count.

    Attributes:
        spent_s: Seconds by purpose.
    """

    def __init__(self, clock: Callable[[], float] = thread_s) -> None:
        self.spent_s = dict.fromkeys(Purpose, 0.0)
        self._clock = clock
        self._open: list[Purpose] = []
        self._at = 0.0

    @contextlib.contextmanager
    def section(self, purpose: Purpose) -> Iterator[None]:
        """Counts what is done within it."""
        self._charge()
        self._open.append(purpose)
        try:
            yield
        finally:
            self._charge()
            self._open.pop()

    def counted(
        self, purpose: Purpose, function: Callable[_Params, _Result]
    ) -> Callable[_Params, _Result]:
        """Returns a function whose calls are sections."""

        @functools.wraps(function)
        def call(*args: _Params.args, **kwargs: _Params.kwargs) -> _Result:
            with self.section(purpose):
                return function(*args, **kwargs)

        return call

    def _charge(self) -> None:
        now = self._clock()
        if self._open:
            self.spent_s[self._open[-1]] += now - self._at
        self._at = now


class ProcessorCollector(registry.Collector):
    """Exposes processor time as one counter with a label."""

    def __init__(self, name: str, spent: ProcessorTime) -> None:
        self._name = name
        self._spent = spent

    def collect(self) -> Iterable[prometheus_client.Metric]:
        """Returns the sums so far."""
        found = metrics_core.CounterMetricFamily(
            self._name,
            "Processor time of the event loop, by purpose.",
            labels=("purpose",),
        )
        for purpose, seconds in self._spent.spent_s.items():
            found.add_metric((purpose.value,), seconds)
        yield found
