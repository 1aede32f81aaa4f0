"""Messages between entries, claim clients and claim keepers.

An entry, the `entry` component of a router, asks the claim client of the same
router, which exchanges messages with the keeper of the key's range.
"""

import enum

from tamarackbridge import core


class ClaimState(enum.Enum):
    """Stored state of one idempotency key."""

    CLAIMED = "claimed"
    """An attempt has claimed the key and may be running."""
    FINISHED = "finished"
    ABANDONED = "abandoned"
    """The work did not start; another attempt may run it."""
    UNKNOWN = "unknown"
    """The attempt's outcome is not known; the work never runs again."""


class ClaimAnswer(enum.Enum):
    """Answer of a keeper to an attempt."""

    RUN = "run"
    """The claim is stored for this attempt, which may send the request."""
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    WAITING = "waiting"
    """The keeper is waiting for the store; the client resends to it."""
    MISMATCH = "mismatch"
    """The key was used with a different body."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    OUTCOME_NOT_KEPT = "outcome_not_kept"
    """The work ran; its answer was too large to be stored."""
    UNAVAILABLE = "unavailable"
    """The store did not answer; the attempt ends without running."""


class ClaimAsk(core.Message, frozen=True, tag=True):
    """Claim client to keeper: requests the claim of one idempotency key.

    Attributes:
        key: Hash of workspace, route and the caller's idempotency key.
        body_hash: Hash of method, path and body.
        attempt: Identifier of the attempt, unique in the fleet.
    """

    key: str
    body_hash: str
    attempt: str


class ClaimReply(core.Message, frozen=True, tag=True):
    """Keeper to claim client: answers a `ClaimAsk`.

    Attributes:
        status: HTTP status of the stored outcome, for `REPLAY`.
        content_type: Content type of the stored outcome.
        body: Body of the stored outcome.
    """

    key: str
    attempt: str
    answer: ClaimAnswer
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimSettle(core.Message, frozen=True, tag=True):
    """Claim client to keeper: outcome of an attempt, to be stored."""

    key: str
    body_hash: str
    attempt: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimSettled(core.Message, frozen=True, tag=True):
    """Keeper to claim client: the outcome in a `ClaimSettle` is stored."""

    key: str
    attempt: str


class ClaimWant(core.Message, frozen=True, tag=True):
    """Local, entry to claim client: requests the claim of a key.

    Sent for a non-idempotent request before it goes to a backend server.

    Attributes:
        request_id: Identifier of the request, unique in the fleet.
        wait_s: Longest time to wait for the answer.
    """

    request_id: str
    key: str
    body_hash: str
    wait_s: float


class ClaimResult(core.Message, frozen=True, tag=True):
    """Local, claim client to entry: answers a `ClaimWant`.

    After `RUN` the entry must send a `ClaimClose`. After any other answer
    the request must not run and no `ClaimClose` is needed.

    Attributes:
        start_by: Monotonic time before which the work must start, for `RUN`.
    """

    request_id: str
    answer: ClaimAnswer
    start_by: float = 0.0
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimClose(core.Message, frozen=True, tag=True):
    """Local, entry to claim client: outcome of a request.

    `ABANDONED` means that nothing was sent to a backend server, or that the
    backend server proved that the work did not start. It also cancels a
    `ClaimWant` that has no result yet.
    """

    request_id: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimClosed(core.Message, frozen=True, tag=True):
    """Local, claim client to entry: the outcome of the request is stored."""

    request_id: str
