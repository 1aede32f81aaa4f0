"""Tests of counting how requests ended, from log files.

They guard against requests that are counted twice, counted under a wrong kind
of end, or left without their group because the group is on another line.
"""

import json
import pathlib
from typing import Any

import pytest

from tamarackbridge.components.client import app
from tamarackbridge.components.telemetry import request_outcomes

ANSWERED = {
    "event": "Answered",
    "route": "draft",
    "status": 200,
    "first_event_s": 0.4,
    "target_s": 0.6,
    "longest_pause_s": 0.1,
    "allowed_pause_s": 0.3,
    "seconds": 2.0,
}
PLACED = {"event": "Placed", "workspace": "w"}
REFUSED = {
    "event": "Refused",
    "route": "draft",
    "reason": "overloaded",
    "status": 503,
    "seconds": 0.5,
}


@pytest.mark.parametrize(
    ("line", "end"),
    [
        (ANSWERED, request_outcomes.IN_TIME),
        ({**ANSWERED, "first_event_s": 0.7}, request_outcomes.LATE),
        ({**ANSWERED, "longest_pause_s": 0.4}, request_outcomes.PAUSED),
        (
            {**ANSWERED, "longest_pause_s": 0.4, "allowed_pause_s": 0.0},
            request_outcomes.IN_TIME,
        ),
        ({**ANSWERED, "status": 500}, "failed by server"),
        (REFUSED, "answered 503, overloaded"),
        ({"event": "Cut", "by": "lost"}, "cut, lost"),
        ({"event": "CallerLeft"}, "caller left"),
        (PLACED, ""),
    ],
)
def test_line_records_at_most_one_end(line: dict[str, Any], end: str) -> None:
    """A pause allowance of 0 means no limit, so no pause is too long."""
    assert request_outcomes.end_of(line) == end


def test_ends_are_counted_by_group() -> None:
    """The group may be on another line of the request than its end."""
    lines = [
        {**PLACED, "request": "q1"},
        {**ANSWERED, "request": "q1"},
        {**REFUSED, "request": "q2"},
        {**REFUSED, "request": "q3", "seconds": 1.5},
    ]
    by_route = request_outcomes.count(lines)
    rejected = "answered 503, overloaded"
    assert by_route.ends == {
        "draft": {request_outcomes.IN_TIME: 1, rejected: 2}
    }
    assert by_route.mean_s["draft"][rejected] == 1.0
    by_workspace = request_outcomes.count(lines, by="workspace")
    assert by_workspace.ends["w"] == {request_outcomes.IN_TIME: 1}


def test_command_prints_a_table(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text(
        f"no line\n1.5 vm {json.dumps({**REFUSED, 'request': 'q'})}\n"
    )
    assert app.run(["account", str(log)]) == 0
    output = capsys.readouterr().out
    assert "draft: 1 requests" in output
    assert "answered 503, overloaded, after 0.500 s" in output
    empty = tmp_path / "empty"
    empty.touch()
    assert app.run(["account", str(empty)]) == 1
    assert app.run(["account", str(tmp_path / "missing")]) == 2
