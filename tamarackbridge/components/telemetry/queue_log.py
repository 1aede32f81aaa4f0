"""Logging that never blocks the event loop.

A thread of its own writes the records of a bounded queue to standard output.
While standard output is not read, the queue fills, and further records are
dropped and counted.
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
"""Records that the queue holds: those of some seconds of a router at full load,
at about a kilobyte of memory each."""

FLUSH_TIMEOUT_S = 0.2
"""Time for which a shutdown waits for the last records to be written. A full
queue takes this long if the output is read."""

_FORMAT = "{asctime}{levelname}"
_RENAMED = {"asctime": "time", "levelname": "level"}


class BoundedQueueHandler(handlers.QueueHandler):
    """Queues records unformatted, and drops and counts those that don't fit.

    Attributes:
        lines: Records that wait to be written.
        dropped: Records dropped since the last `LinesDropped` event.
        dropped_total: Records dropped since the start.
    """

    def __init__(self) -> None:
        self.lines: queue.Queue[std_logging.LogRecord]
        self.lines = queue.Queue(MAX_QUEUED)
        super().__init__(self.lines)
        self.dropped = 0
        self.dropped_total = 0

    def prepare(self, record: std_logging.LogRecord) -> std_logging.LogRecord:
        """Returns the record unchanged; the writing thread formats it."""
        return record

    def enqueue(self, record: std_logging.LogRecord) -> None:
        """Queues a record, or drops and counts it if the queue is full.

        After dropped records, an event with their number is queued before it.
        """
        if self.dropped:
            record = self._report_dropped(record)
        try:
            self.lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            self.dropped_total += 1

    def _report_dropped(
        self, record: std_logging.LogRecord
    ) -> std_logging.LogRecord:
        event = events.LinesDropped(self.dropped)
        line = std_logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": std_logging.WARNING,
                "msg": events.to_fields(event),
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
        """Ends the thread; returns whether it has written all records."""
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
    """The log of one process: the queue and the thread that writes it."""

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
        """Sends all log records of the process through the queue."""
        root = std_logging.getLogger()
        root.handlers[:] = [self.handler]
        absl_logger = logging.get_absl_logger()
        absl_logger.handlers[:] = []
        absl_logger.propagate = True
        logging.set_verbosity(logging.INFO)
        root.setLevel(absl_logger.level)
        self._listener.start()

    def stop(self) -> bool:
        """Writes the queued records; returns whether all were written."""
        return self._listener.stop_within(FLUSH_TIMEOUT_S)
