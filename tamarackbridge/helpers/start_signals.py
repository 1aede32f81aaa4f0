"""What signals do to a process that has not begun to serve.

Entry points call this before they import what costs time, so this module
imports nothing of the kind. Load pattern: a VM is told to end, or its settings
change, while its router starts, among many others on a busy machine.
"""

import os
import signal
import types


def end_in_good_order() -> None:
    """Lets SIGTERM end a process that holds nothing, with exit code 0."""
    signal.signal(signal.SIGTERM, _end)


def ignore_reload() -> None:
    """Lets SIGHUP do nothing: the settings are read later anyway."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _end(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    os._exit(0)
