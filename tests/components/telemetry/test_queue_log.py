"""Tests of the log queue.

They guard against an event loop that blocks in a log call because nobody reads
the output, and against dropped lines that no line reports.
"""

import io
import json
import logging as std_logging
import threading

import pytest

from tamarackbridge.components.telemetry import events, queue_log


class BlockedStream(io.StringIO):
    """Stream whose writes block until `unblocked` is set, as an unread pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text: str) -> int:
        self.unblocked.wait()
        return super().write(text)


def _record(event: events.Event) -> std_logging.LogRecord:
    return std_logging.makeLogRecord(
        {"levelname": "INFO", "levelno": 20, "msg": events.to_fields(event)}
    )


def test_line_is_a_json_object_of_the_event() -> None:
    stream = io.StringIO()
    log = queue_log.QueuedLog("vm-1", stream)
    log._listener.start()
    log.handler.handle(_record(events.ServerGone("i-1", 2.0)))
    log.stop()
    line = json.loads(stream.getvalue())
    assert line["event"] == "ServerGone"
    assert line["server"] == "i-1"
    assert line["grace_s"] == 2.0
    assert line["node"] == "vm-1"


def test_blocked_output_does_not_block_and_dropped_lines_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """100 lines come while the output is blocked, and the queue holds 10."""
    monkeypatch.setattr(queue_log, "MAX_QUEUED", 10)
    stream = BlockedStream()
    log = queue_log.QueuedLog("vm-1", stream)
    log._listener.start()
    for number in range(100):
        log.handler.handle(_record(events.ServerGone(f"i-{number}", 0.0)))
    assert log.handler.dropped_total >= 80
    stream.unblocked.set()
    log.handler.lines.join()
    log.handler.handle(_record(events.ServerGone("last", 0.0)))
    log.handler.lines.join()
    log._listener.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    reported = [
        entry["count"] for entry in lines if entry["event"] == "LinesDropped"
    ]
    assert sum(reported) == log.handler.dropped_total
    assert lines[-1]["server"] == "last"
