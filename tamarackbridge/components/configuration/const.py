"""Constants of configuration, with their units."""

from typing import Final

DATA_PREFIX: Final = "config/"
"""Prefix of the objects that hold the records of one generation each."""

FETCH_TIMEOUT_S: Final = 0.5
"""A fetch without an answer for this time is tried again elsewhere."""

BACKOFF_MAX_S: Final = 3.0

KEPT_CHANGES: Final = 128
"""Changes that the head remembers, to recognise and to name them."""

KEPT_GENERATIONS: Final = 8
"""Generations whose records stay in the store besides the newest."""

MAX_DATA_BYTES: Final = 900_000
"""Largest stored value of one generation; the platform takes a megabyte."""

MAX_PLAIN_BYTES: Final = 16 * 1024 * 1024
"""Largest value of one generation before compression."""

REASON_STARTING: Final = "starting"
REASON_NO_EVIDENCE: Final = "no fresh evidence from store or majority"
REASON_NO_CONFIG: Final = "no configuration in force"
REASON_UNREADABLE: Final = "configuration of a newer version is unreadable"
