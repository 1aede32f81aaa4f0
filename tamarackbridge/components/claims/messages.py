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
    MISMATCH = "mismatch"
    """The key was used with another body."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNAVAILABLE = "unavailable"
    """Nothing was stored in this attempt's name: not run."""


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
    """Local, entry to claim client: a request wants to claim its key.

    The answer is a local `ClaimReply`. The fields are those of `ClaimAsk`.
    """

    key: str
    body_hash: str
    attempt: str


class ClaimClose(core.Message, frozen=True, tag=True):
    """Local, entry to claim client: an attempt has ended.

    The fields are those of `ClaimSettle`, which the claim client sends until
    it is confirmed.
    """

    key: str
    attempt: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
