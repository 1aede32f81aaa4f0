"""Constants of idempotency claims."""

from typing import Final

RANGE_COUNT: Final = 8
"""Number of key ranges; each has its own journal in the object API."""

KEY_PREFIX: Final = "claim"
"""First part of the object keys of the journals in the object API."""

TAG_PREFIX: Final = "claims"
"""First part of the tag on each store call that a keeper sends."""

WRITE_INTERVAL_S: Final = 0.1
"""Minimum mean time between the starts of two writes of one busy range."""

WRITE_BURST: Final = 4.0
"""Writes that a range may start at once after an idle period."""

SEGMENT_BYTES: Final = 32_768
"""Total size of records from which a segment is sealed."""

MAX_WRITE_BYTES: Final = 524_288
"""Largest total size of the records that one write appends."""

STORE_TIMEOUT_S: Final = 4.0
"""Time after which a store call without an answer counts as unanswered."""

STORE_RETRY_INTERVAL_S: Final = 1.0
"""Minimum time between two reads while the store does not answer."""

RESEND_INTERVAL_S: Final = 0.5
"""Time after which a claim client resends an unanswered message."""

ASK_EXPIRY_S: Final = 5.0
"""Time without a resend after which a keeper drops a `ClaimAsk`."""

RUN_VALIDITY_S: Final = 30.0
"""Time after a `RUN` was sent within which the work must start."""

RANGE_IDLE_TIMEOUT_S: Final = 30.0
"""Time without use after which a keeper unloads a range it does not own."""

SEALS_PER_RETENTION: Final = 8
"""A segment older than the retention time divided by this is sealed."""

CLOCK_WRITES_PER_RETENTION: Final = 32
"""Minimum number of writes of a journal's clock in the retention time."""

WAITING_REFRESH_INTERVAL_S: Final = 1.0
"""Time between two reads of a range while asks wait for another attempt.

The other attempt may have been settled through another keeper."""

ENDED_ROUTER_GRACE_S: Final = 3.0
"""Time for which an ask waits for an attempt whose router has ended.

After it the outcome of the attempt counts as unknown."""

SENDS_PER_KEEPER: Final = 2
"""Unanswered messages after which a claim client tries the next keeper."""

STORE_DOWN_REJECT_S: Final = 5.0
"""Time after which an ask is rejected while the store does not answer."""

UNSETTLED_KEEP_S: Final = 3600.0
"""Time beyond retention for which a claim without an outcome is kept."""
