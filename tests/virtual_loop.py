"""An event loop on virtual time, with simulated processors."""

import asyncio
import collections
from collections.abc import Callable
import contextvars
import dataclasses
import selectors
from typing import Any

RESOLUTION_S = 2e-9
"""Time added to each wait. The loop treats timers as due that are no further
away than the resolution of the machine's clock."""


class _Selector(selectors.SelectSelector):
    """Selector that ends each wait at once and adds it to the virtual time.

    Attributes:
        passed_s: Sum of all waits, in seconds.
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
    """Simulated processor that runs one callback at a time.

    A callback takes the time with which it is charged.

    Attributes:
        cores: Speed; charges are in seconds of a whole core.
        context: Context whose tasks and callbacks run on the processor.
        used_s: Seconds for which the processor was busy, by purpose.
    """

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.context = contextvars.copy_context()
        self.context.run(_PROCESSOR.set, self)
        self.used_s: collections.Counter[str] = collections.Counter()
        self._ready: collections.deque[_Callback] = collections.deque()
        self._spent_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def spent_s(self) -> float:
        """Seconds charged to the running callback so far."""
        return self._spent_s

    def charge(self, purpose: str, core_s: float) -> None:
        """Charges the running callback with time of a whole core."""
        self._spent_s += core_s / self.cores
        self.used_s[purpose] += core_s / self.cores

    def queue(self, callback: _Callback, loop: "VirtualLoop") -> None:
        """Queues a callback behind those that wait already."""
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
            self._timer = loop.call_after(busy_s, self._run_next, loop)
        else:
            self._run_next(loop)

    def _run_next(self, loop: "VirtualLoop") -> None:
        self._timer = None
        if self._ready:
            self._timer = loop.call_at_once(self._run, loop)


_PROCESSOR: contextvars.ContextVar[Processor] = contextvars.ContextVar(
    "runs_on"
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without waiting for them.

    Virtual time advances only while no callback is left to run. A callback in
    the context of a processor waits until the processor is free.

    Attributes:
        running: Processor whose callback is running; None if there is none.
    """

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        self.running: Processor | None = None
        self._no_processor = contextvars.Context()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        spent_s = self.running.spent_s if self.running is not None else 0.0
        return self._virtual_selector.passed_s + spent_s

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        ctx = context if context is not None else contextvars.copy_context()
        processor = ctx.get(_PROCESSOR)
        if processor is None:
            return super().call_soon(callback, *args, context=ctx)
        handle = asyncio.Handle(callback, args, self, ctx)
        processor.queue(self._make_callback(handle, callback, args, ctx), self)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        ctx = context if context is not None else contextvars.copy_context()
        processor = ctx.get(_PROCESSOR)
        if processor is None:
            return super().call_at(when, callback, *args, context=ctx)

        def on_due() -> None:
            queued = self._make_callback(timer, callback, args, ctx)
            processor.queue(queued, self)

        timer = super().call_at(when, on_due, context=self._no_processor)
        return timer

    def call_at_once(
        self, callback: Callable[..., object], *args: Any
    ) -> asyncio.Handle:
        """Schedules a callback that runs on no processor."""
        return super().call_soon(callback, *args, context=self._no_processor)

    def call_after(
        self, seconds: float, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """Schedules a callback after a time that runs on no processor."""
        when = self._virtual_selector.passed_s + seconds
        return super().call_at(
            when, callback, *args, context=self._no_processor
        )

    def _make_callback(
        self,
        handle: asyncio.Handle,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> _Callback:
        def run() -> None:
            try:
                context.run(callback, *args)
            except Exception as exc:  # As in `asyncio.Handle`.
                self.call_exception_handler(
                    {"message": f"Exception in {callback!r}", "exception": exc}
                )

        return _Callback(run, handle)


class LoopClock:
    """Clock that reads the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Returns the time."""
        return self._loop.time()

    def wall(self) -> float:
        """Returns 0: no test depends on the date."""
        return 0.0
