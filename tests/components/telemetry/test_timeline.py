"""Tests of the timeline of requests, from log files.

They guard against requests counted twice, because a rejection is written as two
events or a caller leaves after the decision, and against counts in the wrong
second or group.
"""

import datetime
import json
import pathlib
from typing import Any

import pytest

from tamarackbridge.components.client import app
from tamarackbridge.components.telemetry import timeline


def _line(second: float, event: str, request: str, **more: Any) -> Any:
    at = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
    at += datetime.timedelta(seconds=second)
    time = f"{at:%Y-%m-%d %H:%M:%S},{at.microsecond // 1000:03}"
    return {
        "time": time,
        "node": "vm1",
        "event": event,
        "request": request,
        **more,
    }


def _placed(second: float, request: str, waited_s: float, **more: Any) -> Any:
    fields = {"workspace": "w", "share": 0.5, "spare": 0.25, **more}
    return _line(second, "Placed", request, waited_s=waited_s, **fields)


def _not_admitted(
    second: float, request: str, within: bool, **more: Any
) -> Any:
    fields = {"workspace": "w", "reason": "overloaded", "waited_s": 0.1, **more}
    return _line(second, "NotAdmitted", request, within=within, **fields)


def test_request_counts_as_waiting_until_it_is_placed() -> None:
    steps = timeline.count([_placed(2.5, "q1", 2.0), _placed(2.6, "q2", 0.1)])
    assert [
        (step.second, step.came, step.placed, step.waiting) for step in steps
    ] == [
        (0, 1, 0, 1),
        (1, 0, 0, 1),
        (2, 1, 2, 0),
    ]
    assert steps[2].wait_s == pytest.approx(1.05)
    assert steps[2].share == 0.5
    assert steps[2].spare == 0.25


def test_rejections_are_counted_by_cause() -> None:
    """`Refused` after `NotAdmitted` is the same rejection, counted once."""
    steps = timeline.count(
        [
            _not_admitted(0.1, "q1", within=False),
            _line(0.1, "Refused", "q1", reason="overloaded", seconds=0.1),
            _not_admitted(0.2, "q2", within=True),
            _not_admitted(0.3, "q3", within=True, reason="no_server"),
            _line(0.4, "Refused", "q4", reason="router_overloaded", seconds=0),
            _line(0.5, "CallerLeft", "q5", seconds=0.2),
        ],
        by="node",
    )
    assert len(steps) == 1
    step = steps[0]
    assert (step.over_share, step.in_share) == (1, 1)
    assert (step.router_busy, step.other, step.left) == (1, 1, 1)
    assert step.came == 5


def test_caller_that_leaves_after_placement_is_not_counted_as_left() -> None:
    steps = timeline.count(
        [
            _placed(0.2, "q1", 0.1),
            _line(0.5, "CallerLeft", "q1", seconds=0.4),
        ]
    )
    assert [(step.group, step.left) for step in steps] == [("w", 0)]


def test_requests_are_grouped_by_workspace_or_router() -> None:
    lines = [
        _placed(0.1, "q1", 0.0),
        _placed(0.2, "q2", 0.0, node="vm2"),
        _placed(0.3, "q3", 0.0, workspace="v", node="vm2"),
    ]
    by_workspace = timeline.count(lines)
    assert [(step.group, step.routers) for step in by_workspace] == [
        ("v", {"vm2": 1}),
        ("w", {"vm1": 1, "vm2": 1}),
    ]
    assert timeline.routers(by_workspace) == {"vm1": 1, "vm2": 2}
    by_node = timeline.count(lines, by="node")
    assert [(step.group, step.came) for step in by_node] == [
        ("vm1", 1),
        ("vm2", 2),
    ]


def test_seconds_are_counted_from_the_given_start() -> None:
    start = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
    steps = timeline.count([_placed(7.5, "q1", 0.1)], start=start.timestamp())
    assert [step.second for step in steps] == [7]


def test_lines_without_a_valid_time_are_skipped() -> None:
    assert timeline.count([{**_placed(0.0, "q1", 0.0), "time": "?"}]) == []


def test_command_prints_a_table(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    lines = [_placed(0.1, "q1", 0.0), _placed(0.1, "q2", 0.0, workspace="v")]
    log.write_text("".join(f"1.5 vm1 {json.dumps(line)}\n" for line in lines))
    command = ["timeline", str(log), "--only", "w"]
    assert app.run([*command, "--start", "2026-01-02T00:00:00"]) == 0
    heading, row, through = capsys.readouterr().out.splitlines()
    assert heading.split()[:5] == [
        "second",
        "group",
        "routers",
        "came",
        "placed",
    ]
    assert row.split()[:5] == ["0", "w", "1", "1", "1"]
    assert through == "through vm1: 1 requests"
    assert app.run(["timeline", str(log), "--only", "x"]) == 1
    assert app.run(["timeline", str(tmp_path / "missing")]) == 2
