"""Signals of a router that serves, until its process has ended.

`loop.add_signal_handler` gives a signal its default action back when the loop
is closed. Load pattern: a VM is told to end more than once, and the last time
comes as its router ends.
"""

import asyncio
from collections.abc import Callable
import signal
import types


def call(
    loop: asyncio.AbstractEventLoop,
    number: signal.Signals,
    callback: Callable[[], object],
) -> None:
    """Lets a signal call back in a loop, and do nothing once it is closed."""

    def on_signal(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    signal.signal(number, on_signal)


def ignore(*numbers: signal.Signals) -> None:
    """Lets signals do nothing until the process ends.

    The interpreter gives all others their default action back as it ends.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
