"""Limits a process to a fraction of a processor, as the quota of a VM does.

Stops the process with SIGSTOP once it has used its quota of a period.
"""

import contextlib
import os
import signal
import sys
import time

PERIOD_S = 0.02


def cpu_clock(pid: int) -> int:
    """Returns the ID of the clock that counts a process's CPU time (Linux)."""
    return (~pid << 3) | 2


def _limit(pid: int, fraction: float) -> None:
    clock_id = cpu_clock(pid)
    quota_s = PERIOD_S * fraction
    allowed_s = time.clock_gettime(clock_id)
    while True:
        period_end = time.monotonic() + PERIOD_S
        # Unused quota expires; overuse is deducted from the next period.
        allowed_s = min(allowed_s, time.clock_gettime(clock_id)) + quota_s
        while (remaining_s := period_end - time.monotonic()) > 0:
            unused_s = allowed_s - time.clock_gettime(clock_id)
            if unused_s <= 0:
                os.kill(pid, signal.SIGSTOP)
                time.sleep(max(period_end - time.monotonic(), 0.0))
                os.kill(pid, signal.SIGCONT)
                break
            time.sleep(min(max(unused_s, 0.0005), remaining_s))


if __name__ == "__main__":
    # Reading the clock of a process that has ended fails.
    with contextlib.suppress(OSError):
        _limit(int(sys.argv[1]), float(sys.argv[2]))
