"""Constants of the configuration component."""

from typing import Final

DATA_PREFIX: Final = "config/"
"""Key prefix of the objects that each contain the records of a generation."""

FETCH_TIMEOUT_S: Final = 0.5
"""Time after which an unanswered fetch is retried from another source.

It doubles with each attempt, up to `MAX_BACKOFF_S`.
"""

MAX_BACKOFF_S: Final = 3.0

KEPT_CHANGES: Final = 128
"""Latest changes listed in the head, to recognise retries and name changes."""

KEPT_GENERATIONS: Final = 8
"""Older generations whose records stay in the store besides the newest."""

MAX_DATA_BYTES: Final = 900_000
"""Largest compressed value of a generation; the platform accepts 1 MB."""

MAX_PLAIN_BYTES: Final = 16 * 1024 * 1024
"""Largest value of a generation before compression; bounds decompression."""

REASON_STARTING: Final = "starting"
REASON_NO_EVIDENCE: Final = "no fresh evidence from store or majority"
REASON_NO_CONFIG: Final = "no configuration in force"
REASON_UNREADABLE: Final = "configuration of a newer version is unreadable"
