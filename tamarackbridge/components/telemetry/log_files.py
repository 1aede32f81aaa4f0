"""Reads the JSON lines of log files."""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

MAX_LINE_CHARS = 64 * 1024
"""Longest line that is parsed; events have a few hundred characters."""


def read(path: pathlib.Path, containing: str = "") -> Iterator[dict[str, Any]]:
    """Yields the JSON objects in a log file; other lines are skipped.

    Args:
        path: The file.
        containing: Text that a line must contain; other lines are skipped.

    Raises:
        OSError: The file can't be read.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if containing not in text or len(text) > MAX_LINE_CHARS:
                continue
            line = _parse_object(text)
            if line is not None:
                yield line


def _parse_object(text: str) -> dict[str, Any] | None:
    # A log collector may put columns of its own before the JSON object.
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        value = json.loads(text[begin:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
