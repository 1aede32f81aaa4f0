"""Tests of finding the log lines of one request.

They guard against lines that are left out of order, and against foreign or
broken lines in the files that end the search.
"""

import json
import pathlib

from tamarackbridge.components.client import app
from tamarackbridge.components.telemetry import request_trace

LINES = (
    {"time": "10:00:02", "node": "r2", "event": "Refused", "request": "q1"},
    {"time": "10:00:01", "node": "r1", "event": "Placed", "request": "q1"},
    {"time": "10:00:01", "node": "r1", "event": "Placed", "request": "q2"},
)


def _write(path: pathlib.Path) -> pathlib.Path:
    text = "\n".join(f"  1.5 r1 {json.dumps(line)}" for line in LINES)
    path.write_text(f"not a line of ours q1\n{{broken q1\n{text}\n")
    return path


def test_lines_of_a_request_are_in_order_of_time(
    tmp_path: pathlib.Path,
) -> None:
    lines = request_trace.find([_write(tmp_path / "log")], "q1")
    assert [line["event"] for line in lines] == ["Placed", "Refused"]
    assert next(request_trace.format_lines(lines)).startswith(
        "10:00:01 r1 Placed"
    )


def test_exit_code_shows_whether_the_request_was_found(
    tmp_path: pathlib.Path,
) -> None:
    log = str(_write(tmp_path / "log"))
    assert app.run(["trace", "q1", log]) == 0
    assert app.run(["trace", "none", log]) == 1
    assert app.run(["trace", "q1", str(tmp_path / "missing")]) == 2
