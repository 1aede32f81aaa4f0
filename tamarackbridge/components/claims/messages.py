"""Messages between entries and the keepers of idempotency claims."""

import enum

from tamarackbridge import core


class ClaimState(enum.Enum):
    """What is known of one idempotency key."""

    CLAIMED = "claimed"
    """An attempt may be running."""
    FINISHED = "finished"
    ABANDONED = "abandoned"
    """The attempt never sent anything; the work may run."""
    UNKNOWN = "unknown"
    """The attempt's end is not known; the work never runs again."""


class ClaimAnswer(enum.Enum):
    """What the keeper says to an attempt."""

    RUN = "run"
    """The claim is stored in this attempt's name: it may send."""
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    WAITING = "waiting"
    """The keeper lives and waits for the store; the client keeps asking."""
    MISMATCH = "mismatch"
    """The key was used with another body."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    OUTCOME_NOT_KEPT = "outcome_not_kept"
    """The work ran; its answer was too large to be kept."""
    UNAVAILABLE = "unavailable"
    """The store did not answer; the attempt must close without running."""


class ClaimAsk(core.Message, frozen=True, tag=True):
    """Asks to run the work of one idempotency key.

    Attributes:
        key: Workspace, route and the caller's key, joined and hashed.
        body_hash: Hash of method, path and body.
        attempt: Identifier of this attempt, unique in the fleet.
    """

    key: str
    body_hash: str
    attempt: str


class ClaimReply(core.Message, frozen=True, tag=True):
    """Answers a `ClaimAsk`.

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
    """Stores how an attempt ended."""

    key: str
    body_hash: str
    attempt: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimSettled(core.Message, frozen=True, tag=True):
    """Confirms that a settlement is stored."""

    key: str
    attempt: str


class ClaimWant(core.Message, frozen=True, tag=True):
    """Local, entry to claim client: a non-idempotent request wants to run.

    Attributes:
        request_id: Identifier of the request, unique in the fleet.
        wait_s: Longest time to wait for the answer.
    """

    request_id: str
    key: str
    body_hash: str
    wait_s: float


class ClaimResult(core.Message, frozen=True, tag=True):
    """Local, claim client to entry: what became of a `ClaimWant`.

    After `RUN` the entry owes a `ClaimClose`; after any other answer the
    request must not run and nothing is owed.

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
    """Local, entry to claim client: how the request ended.

    `ABANDONED` says that nothing was sent to a backend server, or that the
    backend server proved that it did not start. It also takes back a
    `ClaimWant` that has no result yet.
    """

    request_id: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimClosed(core.Message, frozen=True, tag=True):
    """Local, claim client to entry: the end of the request is stored."""

    request_id: str
