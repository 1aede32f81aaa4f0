"""Reads the structured lines of log files."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

MAX_LINE = 64 * 1024
"""Longest line that is looked at; events have a few hundred characters."""


def read(path: pathlib.Path, containing: str = "") -> Iterator[dict[str, Any]]:
    """Yields the objects in a log file; other lines are left out.

    Args:
        path: The file.
        containing: Text that a line must contain to be looked at.

    Raises:
        OSError: The file can't be read.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if containing not in text or len(text) > MAX_LINE:
                continue
            line = _object(text)
            if line is not None:
                yield line


def _object(text: str) -> dict[str, Any] | None:
    # A collector may put its own columns before the line.
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        found = json.loads(text[begin:])
    except ValueError:
        return None
    return found if isinstance(found, dict) else None
