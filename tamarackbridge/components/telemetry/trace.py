"""Finds one request's story in the log files of several routers."""

from collections.abc import Iterable, Iterator
import pathlib
from typing import Any

from tamarackbridge.components.telemetry import log_files

_HIDDEN = ("time", "node", "event", "level", "request")


def find(paths: Iterable[pathlib.Path], request: str) -> list[dict[str, Any]]:
    """Returns the lines of a request, in the order of their times.

    Raises:
        OSError: A file can't be read.
    """
    found = [
        line
        for path in paths
        for line in log_files.read(path, request)
        if line.get("request") == request
    ]
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
