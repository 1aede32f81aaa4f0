"""Sets up logging as JSON objects, one a line, on standard error."""

import logging as std_logging
import sys
from typing import TextIO

from absl import logging
from pythonjsonlogger import json as json_formatter

from tamarackbridge.components.settings import models as settings

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

_FORMAT = "{asctime}{levelname}{name}{message}"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def set_up(
    cfg: settings.TelemetrySettings, node: str, stream: TextIO = sys.stderr
) -> None:
    """Sends all log records, those of libraries too, to `stream` as JSON.

    Args:
        cfg: Settings with the lowest level that is logged.
        node: Identifier of this router, added to each line.
        stream: Stream that the lines are written to.
    """
    formatter = json_formatter.JsonFormatter(
        _FORMAT,
        style="{",
        rename_fields=_RENAMED,
        static_fields={"node": node},
    )
    handler = std_logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = std_logging.getLogger()
    root.handlers[:] = [handler]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = []
    absl_logger.propagate = True
    logging.set_verbosity(_LEVELS[cfg.log_level])
    root.setLevel(absl_logger.level)
