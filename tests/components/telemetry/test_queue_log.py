import io
import json
import logging as std_logging
import threading

import pytest

from tamarackbridge.components.telemetry import events, queue_log


class BlockedStream(io.StringIO):
    """A pipe that nobody reads until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.free = threading.Event()

    def write(self, text: str) -> int:
        self.free.wait()
        return super().write(text)


def _record(event: events.Event) -> std_logging.LogRecord:
    return std_logging.makeLogRecord(
        {"levelname": "INFO", "levelno": 20, "msg": events.to_fields(event)}
    )


def test_lines_are_objects_with_the_event_and_its_fields() -> None:
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


def test_blocked_output_holds_nobody_up_and_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(queue_log, "MAX_QUEUED", 10)
    stream = BlockedStream()
    log = queue_log.QueuedLog("vm-1", stream)
    log._listener.start()
    for number in range(100):
        log.handler.handle(_record(events.ServerGone(f"i-{number}", 0.0)))
    assert log.handler.dropped_total >= 80
    stream.free.set()
    log.handler.lines.join()
    log.handler.handle(_record(events.ServerGone("last", 0.0)))
    log.handler.lines.join()
    log._listener.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    told = [it["count"] for it in lines if it["event"] == "LinesDropped"]
    assert sum(told) == log.handler.dropped_total
    assert lines[-1]["server"] == "last"
