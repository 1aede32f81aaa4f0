"""Finds the log events of one request in the log files of several routers."""

from collections.abc import Iterable, Iterator
import pathlib
from typing import Any

from tamarackbridge.components.telemetry import log_files

_OMITTED_FIELDS = ("time", "node", "event", "level", "request")


def find(paths: Iterable[pathlib.Path], request: str) -> list[dict[str, Any]]:
    """Returns the log lines of a request, ordered by time.

    Raises:
        OSError: A file can't be read.
    """
    lines = [
        line
        for path in paths
        for line in log_files.read(path, request)
        if line.get("request") == request
    ]
    return sorted(lines, key=lambda line: str(line.get("time", "")))


def format_lines(lines: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yields one line of text for each log line of a request."""
    for line in lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in _OMITTED_FIELDS
        )
        time, node = line.get("time", "?"), line.get("node", "?")
        yield f"{time} {node} {line.get('event', '?')} {fields}"
