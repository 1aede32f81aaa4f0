"""Constants of idempotency claims, with their units."""

from typing import Final

RANGES: Final = 8
"""Number of key ranges; each has one journal in the object API."""

KEY_PREFIX: Final = "claim"
"""Kind of the journal's objects in the object API."""

TAG_PREFIX: Final = "claims"
"""First part of the tag of each store call of a keeper."""

COMMIT_INTERVAL_S: Final = 0.1
"""Mean time between the starts of two writes of one busy range, at least."""

COMMIT_BURST: Final = 4.0
"""Writes that a range may start at once after a calm time."""

SEGMENT_BYTES: Final = 32_768
"""A segment of at least this size is sealed."""

BATCH_BYTES: Final = 524_288
"""Largest sum of records that one write adds."""

STORE_WAIT_S: Final = 4.0
"""A store call without an answer for this time counts as unanswered."""

STORE_PROBE_S: Final = 1.0
"""Time between two reads while the store does not answer."""

ASK_RESEND_S: Final = 0.5
"""Time after which a client repeats a message without an answer."""

ASK_LIFE_S: Final = 5.0
"""A keeper forgets an ask that was not repeated for this time."""

RUN_USE_S: Final = 30.0
"""Time from the sending of a `RUN` within which the work must start."""

IDLE_RANGE_S: Final = 30.0
"""A keeper unloads another's range that was not used for this time."""

SEALS_PER_RETENTION: Final = 8
"""A segment is sealed at this fraction of the retention time."""

CLOCK_SAVES_PER_RETENTION: Final = 32
"""How often a journal's clock is written within the retention time."""

WAIT_REFRESH_S: Final = 1.0
"""While asks wait for another attempt, the range is read this often."""

GONE_WAIT_S: Final = 3.0
"""An ask waits this long for an attempt whose router has ended."""

SENDS_PER_KEEPER: Final = 2
"""A client turns to the next keeper after so many unanswered messages."""

DOWN_WAIT_S: Final = 5.0
"""An ask is refused when it has waited this long for a store that is down."""

UNSETTLED_KEEP_S: Final = 3600.0
"""A claim without an end is kept this long beyond the retention time."""
