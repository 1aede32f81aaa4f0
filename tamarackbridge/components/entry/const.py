"""Headers, limits and problem reasons of the entry."""

import enum
from typing import Final

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_COST_HINT: Final = "X-Cost-Hint"
HEADER_API_KEY: Final = "X-Api-Key"
HEADER_RESUME_OFFSET: Final = "X-Resume-Offset"
HEADER_NOT_STARTED: Final = "X-Not-Started"
HEADER_FENCING: Final = "X-Fencing-Token"

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"

MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024
"""Largest answer that is buffered in full: one that is not a stream, or a
stream for a caller that can't receive one."""

MAX_ALL_BUFFERED_BYTES: Final = 2 * MAX_BUFFERED_BYTES
"""Memory budget of all such answers until they are sent, and of incomplete
events of streams. It admits one of the largest size while all others have half
of that size together."""

COST_REPORT_INTERVAL_S: Final = 0.2
"""Seconds between two cost reports of a running stream to the dispatcher."""


class Reason(enum.StrEnum):
    """Why a request was rejected or failed."""

    UNAUTHORIZED = "unauthorized"
    UNKNOWN_ROUTE = "unknown_route"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEADER_TOO_LARGE = "header_too_large"
    TIMEOUT = "timeout"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_CAPACITY = "no_capacity"
    NOT_SERVING = "not_serving"
    NO_HOLDER = "no_holder"
    DRAINING = "draining"
    KEY_REQUIRED = "key_required"
    KEY_MISMATCH = "key_mismatch"
    IN_PROGRESS = "in_progress"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OUTCOME_NOT_KEPT = "outcome_not_kept"
    BACKEND_FAILED = "backend_failed"
    TRUNCATED = "truncated"
