"""Processor time of the event loop's thread, measured by purpose."""

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
    """What processor time is spent on.

    Attributes:
        ACCEPTING: Accepting connections.
        READING: Reading the workspace, route and other data of a request.
        DECIDING: Scheduling passes over the waiting requests.
        REFUSING: Deciding on early rejections, and answering rejected requests.
        RELAYING: Processing the events of servers' answers.
        SHARING: Handling the messages of other routers.
    """

    ACCEPTING = "accepting"
    READING = "reading"
    DECIDING = "deciding"
    REFUSING = "refusing"
    RELAYING = "relaying"
    SHARING = "sharing"


def thread_processor_s() -> float:
    """Returns the processor time that this thread has used, in seconds."""
    used = resource.getrusage(resource.RUSAGE_THREAD)
    return used.ru_utime + used.ru_stime


class ProcessorTime:
    """Sums processor time by purpose.

    The time of a section within another one counts for the inner purpose only.
    A section must not contain an `await`: the time of other tasks that run
    meanwhile would be counted for it.

    Attributes:
        spent_s: Seconds by purpose.
    """

    def __init__(self, clock: Callable[[], float] = thread_processor_s) -> None:
        self.spent_s = dict.fromkeys(Purpose, 0.0)
        self._clock = clock
        self._open: list[Purpose] = []
        self._charged_until = 0.0

    @contextlib.contextmanager
    def section(self, purpose: Purpose) -> Iterator[None]:
        """Counts the time within the context for a purpose."""
        self._charge()
        self._open.append(purpose)
        try:
            yield
        finally:
            self._charge()
            self._open.pop()

    def wrap(
        self, purpose: Purpose, function: Callable[_Params, _Result]
    ) -> Callable[_Params, _Result]:
        """Returns the function, with each call counted for a purpose."""

        @functools.wraps(function)
        def call(*args: _Params.args, **kwargs: _Params.kwargs) -> _Result:
            with self.section(purpose):
                return function(*args, **kwargs)

        return call

    def _charge(self) -> None:
        now = self._clock()
        if self._open:
            self.spent_s[self._open[-1]] += now - self._charged_until
        self._charged_until = now


class ProcessorCollector(registry.Collector):
    """Exposes processor time as one counter, labelled by purpose."""

    def __init__(self, name: str, spent: ProcessorTime) -> None:
        self._name = name
        self._spent = spent

    def collect(self) -> Iterable[prometheus_client.Metric]:
        """Yields the counter for the registry."""
        counter = metrics_core.CounterMetricFamily(
            self._name,
            "Processor time of the event loop, by purpose.",
            labels=("purpose",),
        )
        for purpose, seconds in self._spent.spent_s.items():
            counter.add_metric((purpose.value,), seconds)
        yield counter
