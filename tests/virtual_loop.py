"""An event loop whose time passes only while nothing is left to run."""

import asyncio
import collections
from collections.abc import Callable
import contextvars
import dataclasses
import selectors
from typing import Any

RESOLUTION_S = 2e-9
"""Time that passes beyond each wait: the loop takes timers for due that are no
further away than the resolution of the machine's clock."""


class _Selector(selectors.SelectSelector):
    """Takes each wait for over at once.

    Attributes:
        passed_s: Sum of all waits.
    """

    def __init__(self) -> None:
        super().__init__()
        self.passed_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.passed_s += timeout + RESOLUTION_S
        return super().select(0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Callback:
    run: Callable[[], object]
    handle: asyncio.Handle


class Processor:
    """Runs callbacks one after the other, each for as long as it is charged.

    Attributes:
        cores: Its speed; charges are seconds of a whole core.
        context: Tasks and callbacks of this context run on it.
        used_s: Time for which it was busy, by what was charged.
    """

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.context = contextvars.copy_context()
        self.context.run(_RUNS_ON.set, self)
        self.used_s: collections.Counter[str] = collections.Counter()
        self._ready: collections.deque[_Callback] = collections.deque()
        self._spent_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def spent_s(self) -> float:
        """Time that has passed in the callback that runs."""
        return self._spent_s

    def charge(self, purpose: str, core_s: float) -> None:
        """Lets time pass in the callback that runs."""
        self._spent_s += core_s / self.cores
        self.used_s[purpose] += core_s / self.cores

    def queue(self, callback: _Callback, loop: "VirtualLoop") -> None:
        """Takes a callback, to be run after those before it."""
        self._ready.append(callback)
        if self._timer is None:
            self._timer = loop.call_at_once(self._run, loop)

    def _run(self, loop: "VirtualLoop") -> None:
        callback = self._ready.popleft()
        if not callback.handle.cancelled():
            loop.running = self
            try:
                callback.run()
            finally:
                loop.running = None
        busy_s, self._spent_s = self._spent_s, 0.0
        self._timer = None
        if busy_s > 0:
            self._timer = loop.call_after(busy_s, self._go_on, loop)
        else:
            self._go_on(loop)

    def _go_on(self, loop: "VirtualLoop") -> None:
        self._timer = None
        if self._ready:
            self._timer = loop.call_at_once(self._run, loop)


_RUNS_ON: contextvars.ContextVar[Processor] = contextvars.ContextVar("runs_on")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Plays timers in their order, without waiting for them.

    What belongs to the context of a processor waits until that is free.

    Attributes:
        running: The processor whose callback runs; None if there is none.
    """

    def __init__(self) -> None:
        self._passing = _Selector()
        self.running: Processor | None = None
        self._outside = contextvars.Context()
        super().__init__(self._passing)

    def time(self) -> float:
        spent_s = self.running.spent_s if self.running is not None else 0.0
        return self._passing.passed_s + spent_s

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        ctx = context if context is not None else contextvars.copy_context()
        processor = ctx.get(_RUNS_ON)
        if processor is None:
            return super().call_soon(callback, *args, context=ctx)
        handle = asyncio.Handle(callback, args, self, ctx)
        processor.queue(self._callback(handle, callback, args, ctx), self)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        ctx = context if context is not None else contextvars.copy_context()
        processor = ctx.get(_RUNS_ON)
        if processor is None:
            return super().call_at(when, callback, *args, context=ctx)

        def on_due() -> None:
            queued = self._callback(timer, callback, args, ctx)
            processor.queue(queued, self)

        timer = super().call_at(when, on_due, context=self._outside)
        return timer

    def call_at_once(
        self, callback: Callable[..., object], *args: Any
    ) -> asyncio.Handle:
        """Calls outside of all processors."""
        return super().call_soon(callback, *args, context=self._outside)

    def call_after(
        self, seconds: float, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """Calls after a time, outside of all processors."""
        when = self._passing.passed_s + seconds
        return super().call_at(when, callback, *args, context=self._outside)

    def _callback(
        self,
        handle: asyncio.Handle,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> _Callback:
        def run() -> None:
            try:
                context.run(callback, *args)
            except Exception as exc:  # As the loop itself does.
                self.call_exception_handler(
                    {"message": f"Exception in {callback!r}", "exception": exc}
                )

        return _Callback(run, handle)


class LoopClock:
    """Tells the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Returns the time."""
        return self._loop.time()

    def wall(self) -> float:
        """Returns no date: no test depends on one."""
        return 0.0
