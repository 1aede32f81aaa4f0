"""Finds one request's story in the log files of several routers."""

from collections.abc import Iterable, Iterator
import json
import pathlib
from typing import Any

MAX_LINE = 64 * 1024
"""Longest line that is looked at; events have a few hundred characters."""

_HIDDEN = ("time", "node", "event", "level", "request")


def find(paths: Iterable[pathlib.Path], request: str) -> list[dict[str, Any]]:
    """Returns the lines of a request, in the order of their times.

    Raises:
        OSError: A file can't be read.
    """
    found = [line for path in paths for line in _lines(path, request)]
    return sorted(found, key=lambda it: str(it.get("time", "")))


def story(lines: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yields one line of text for each event."""
    for line in lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in _HIDDEN
        )
        time, node = line.get("time", "?"), line.get("node", "?")
        yield f"{time} {node} {line.get('event', '?')} {fields}"


def _lines(path: pathlib.Path, request: str) -> Iterator[dict[str, Any]]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if request not in text or len(text) > MAX_LINE:
                continue
            line = _object(text)
            if line is not None and line.get("request") == request:
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
