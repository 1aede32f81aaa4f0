"""Resident memory of this process, and its return to the system."""

import ctypes
import gc
import os
import pathlib

from absl import logging

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_bytes() -> int:
    """Returns the resident memory in bytes; 0 where the system doesn't tell.

    Source: `/proc/self/statm`.
    """
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_free_bytes() -> None:
    """Frees garbage, and returns free memory of the heap to the system.

    Connections leave cycles that the collector looks for only when many more
    have come, and the heap keeps free memory below its last block in use.
    """
    gc.collect()
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError) as exc:  # Another C library has none.
        logging.log_first_n(logging.INFO, "no malloc_trim: %s", 1, exc)
        return
    trim(0)
