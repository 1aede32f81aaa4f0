"""Messages about configuration."""

import enum

import msgspec

from tamarackbridge import core
from tamarackbridge.components.records import models


class SnapshotInForce(core.Message, frozen=True, tag=True):
    """Local notification: a newer snapshot is in force on this router."""

    snapshot: models.Snapshot


class ServingChanged(core.Message, frozen=True, tag=True):
    """Local notification: whether this router may start new work.

    Attributes:
        serving: False while this router can't be sure that its configuration
            is the accepted one.
        reason: Why new work may not start; empty while serving.
    """

    serving: bool
    reason: str


class DataAsk(core.Message, frozen=True, tag=True):
    """Requests the stored records of one generation from a peer."""

    key: str


class DataReply(core.Message, frozen=True, tag=True):
    """Answers a `DataAsk`; the value is empty if the peer lacks the records."""

    key: str
    value: bytes


ANY = -1
"""Value of `expect` that accepts any state of the record."""


class RecordEdit(msgspec.Struct, frozen=True):
    """One record that a change writes or deletes.

    Attributes:
        name: Key of the record, `kind/name`.
        body: The record as its writer serialized it; empty to delete it.
        expect: Generation of the record's last change as the writer read it;
            0 for a record that must not exist, `ANY` for no condition.
    """

    name: str
    body: bytes
    expect: int = ANY


class ChangeAsk(core.Message, frozen=True, tag=True):
    """Local request of the operator interface to change the configuration.

    Attributes:
        change_id: Identifier that the operator's client chose; a retry with
            the same one never makes the change twice.
        author: Who makes the change.
        edits: Records to write or delete; if empty, the request only waits
            until the newest generation is accepted.
        wait_s: Time to wait for acceptance before the state is reported.
    """

    change_id: str
    author: str
    edits: tuple[RecordEdit, ...]
    wait_s: float = 8.0


class ChangeState(enum.Enum):
    """State of a change when it is reported."""

    ACCEPTED = "accepted"
    """No router can continue to serve without it."""
    WRITTEN = "written"
    """Stored, and in force where it was read; not confirmed by a majority."""
    UNKNOWN = "unknown"
    """It may or may not be stored; retry with the same identifier."""
    CONFLICT = "conflict"
    """Another change was stored first; nothing of this one was stored."""
    INVALID = "invalid"
    """The records are not valid together; nothing was stored."""
    NOT_WRITTEN = "not_written"
    """Nothing was stored."""


class ChangeReport(core.Message, frozen=True, tag=True):
    """Local reply to a `ChangeAsk`.

    Attributes:
        generation: Generation that the change created; 0 if not stored.
        detail: What is wrong, or the conflicting change's identifier, author
            and generation.
        lagging: Some of the live members that have not confirmed.
    """

    change_id: str
    state: ChangeState
    generation: int = 0
    detail: str = ""
    lagging: tuple[str, ...] = ()
