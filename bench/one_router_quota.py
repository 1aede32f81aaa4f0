"""Holds a process to a part of a processor, as a quota of a VM does."""

import contextlib
import os
import signal
import sys
import time

PERIOD_S = 0.02


def cpu_clock(pid: int) -> int:
    """Returns the clock of a process's processor time (Linux)."""
    return (~pid << 3) | 2


def _hold(pid: int, part: float) -> None:
    clock = cpu_clock(pid)
    quota_s = PERIOD_S * part
    allowed_s = time.clock_gettime(clock)
    while True:
        ends = time.monotonic() + PERIOD_S
        # What was not used is gone; what was used too much is owed.
        allowed_s = min(allowed_s, time.clock_gettime(clock)) + quota_s
        while (left_s := ends - time.monotonic()) > 0:
            unused_s = allowed_s - time.clock_gettime(clock)
            if unused_s <= 0:
                os.kill(pid, signal.SIGSTOP)
                time.sleep(max(ends - time.monotonic(), 0.0))
                os.kill(pid, signal.SIGCONT)
                break
            time.sleep(min(max(unused_s, 0.0005), left_s))


if __name__ == "__main__":
    # The clock of a process that has ended can't be read.
    with contextlib.suppress(OSError):
        _hold(int(sys.argv[1]), float(sys.argv[2]))
