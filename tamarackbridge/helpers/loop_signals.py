"""Signal handlers of a serving router that last until its process has exited.

`loop.add_signal_handler` restores a signal's default action when the loop is
closed. Load pattern: a VM is stopped more than once, and the last signal
arrives while its router exits.
"""

import asyncio
from collections.abc import Callable
import signal
import types


def set_handler(
    loop: asyncio.AbstractEventLoop,
    number: signal.Signals,
    callback: Callable[[], object],
    on_arrival: Callable[[], object] | None = None,
) -> None:
    """Calls back in a loop on a signal; ignores it once the loop is closed.

    Args:
        loop: The loop.
        number: The signal.
        callback: Called by the loop, which may be late.
        on_arrival: Called at once, wherever the main thread is; it must only
            record something.
    """

    def on_signal(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        if not loop.is_closed():
            if on_arrival is not None:
                on_arrival()
            loop.call_soon_threadsafe(callback)

    signal.signal(number, on_signal)


def ignore(*numbers: signal.Signals) -> None:
    """Ignores signals until the process has exited.

    The interpreter restores the default action of signals with a handler when
    it exits, but not of ignored ones.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
