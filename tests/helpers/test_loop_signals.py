"""Signals to an open and a closed event loop."""

import asyncio
import os
import signal

from tamarackbridge.helpers import loop_signals


def test_signal_calls_back_and_is_ignored_once_the_loop_is_closed() -> None:
    """The signal's default action would kill the test process."""
    callbacks = []
    arrivals = []

    async def async_main() -> None:
        loop = asyncio.get_running_loop()
        called = asyncio.Event()

        def on_signal() -> None:
            callbacks.append(asyncio.get_running_loop() is loop)
            called.set()

        loop_signals.set_handler(
            loop, signal.SIGUSR1, on_signal, lambda: arrivals.append(1)
        )
        os.kill(os.getpid(), signal.SIGUSR1)
        assert arrivals == [1]
        assert callbacks == []
        await called.wait()

    before = signal.getsignal(signal.SIGUSR1)
    try:
        asyncio.run(async_main())
        os.kill(os.getpid(), signal.SIGUSR1)
        assert signal.getsignal(signal.SIGUSR1) is not signal.SIG_DFL
        loop_signals.ignore(signal.SIGUSR1)
        os.kill(os.getpid(), signal.SIGUSR1)
    finally:
        signal.signal(signal.SIGUSR1, before)
    assert callbacks == [True]
    assert arrivals == [1]
