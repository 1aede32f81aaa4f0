"""Log lines that never hold the event loop up.

A thread writes what a bounded queue holds. While standard output is not read
the queue fills, and further lines are dropped and counted.
"""

import logging as std_logging
from logging import handlers
import queue
import sys
from typing import TextIO

from absl import logging
from pythonjsonlogger import json as json_formatter

from tamarackbridge.components.telemetry import events

MAX_QUEUED = 4_000
"""Lines that wait to be written: some seconds of a router at full load, at
about a kilobyte of memory each."""

LAST_LINES_S = 0.2
"""Time for the last lines at a shutdown: a full queue takes that long where
somebody reads."""

_FORMAT = "{asctime}{levelname}"
_RENAMED = {"asctime": "time", "levelname": "level"}


class BoundedQueueHandler(handlers.QueueHandler):
    """Queues records as they are, and counts those that find no room.

    Attributes:
        lines: Records that wait to be written.
        dropped: Lines dropped since the last line that said so.
        dropped_total: Lines dropped since the start.
    """

    def __init__(self) -> None:
        self.lines: queue.Queue[std_logging.LogRecord]
        self.lines = queue.Queue(MAX_QUEUED)
        super().__init__(self.lines)
        self.dropped = 0
        self.dropped_total = 0

    def prepare(self, record: std_logging.LogRecord) -> std_logging.LogRecord:
        """Leaves the formatting to the writing thread."""
        return record

    def enqueue(self, record: std_logging.LogRecord) -> None:
        """Queues a record, or counts it."""
        if self.dropped:
            record = self._with_count(record)
        try:
            self.lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            self.dropped_total += 1

    def _with_count(
        self, record: std_logging.LogRecord
    ) -> std_logging.LogRecord:
        told = events.LinesDropped(self.dropped)
        line = std_logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": std_logging.WARNING,
                "msg": events.to_fields(told),
            }
        )
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            return record
        self.dropped = 0
        return record


class _Listener(handlers.QueueListener):
    """Writes queued records in a thread of its own."""

    def stop_within(self, seconds: float) -> bool:
        """Ends the thread; says whether it has written everything."""
        thread = self._thread
        if thread is None:
            return True
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return False
        thread.join(seconds)
        return not thread.is_alive()


class QueuedLog:
    """The log of one process: a handler, and the thread that writes."""

    def __init__(self, node: str, stream: TextIO = sys.stdout) -> None:
        self.handler = BoundedQueueHandler()
        writer = std_logging.StreamHandler(stream)
        writer.setFormatter(
            json_formatter.JsonFormatter(
                _FORMAT,
                style="{",
                rename_fields=_RENAMED,
                static_fields={"node": node},
            )
        )
        self._listener = _Listener(self.handler.lines, writer)

    def start(self) -> None:
        """Sends all log lines of the process through the queue."""
        root = std_logging.getLogger()
        root.handlers[:] = [self.handler]
        absl_logger = logging.get_absl_logger()
        absl_logger.handlers[:] = []
        absl_logger.propagate = True
        logging.set_verbosity(logging.INFO)
        root.setLevel(absl_logger.level)
        self._listener.start()

    def stop(self) -> bool:
        """Writes what is queued; says whether somebody read all of it."""
        return self._listener.stop_within(LAST_LINES_S)
