"""Signal handlers of a process that does not serve yet.

Entry points install them before imports that take long, so this module must not
import anything large. Load pattern: a VM is stopped, or its settings change,
while its router starts together with many others on a busy machine.
"""

import os
import signal
import types


def exit_successfully_on_sigterm() -> None:
    """Makes SIGTERM exit the process with code 0: nothing is in flight yet."""
    signal.signal(signal.SIGTERM, _exit_successfully)


def ignore_sighup() -> None:
    """Ignores SIGHUP: the settings are still to be loaded."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _exit_successfully(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    os._exit(0)
