"""Messages about configuration."""

import enum

import msgspec

from tamarackbridge import core
from tamarackbridge.components.records import models


class SnapshotInForce(core.Message, frozen=True, tag=True):
    """Local news: a newer snapshot is in force on this router."""

    snapshot: models.Snapshot


class ServingChanged(core.Message, frozen=True, tag=True):
    """Local news: whether this router may start new work.

    Attributes:
        serving: False while this router can't know that its configuration
            is the accepted one.
        reason: Why not; empty while serving.
    """

    serving: bool
    reason: str


class DataAsk(core.Message, frozen=True, tag=True):
    """Asks a peer for the stored records of one generation."""

    key: str


class DataReply(core.Message, frozen=True, tag=True):
    """Answers a `DataAsk`; the value is empty when the peer lacks it."""

    key: str
    value: bytes


ANY = -1
"""Value of `expect` that makes a change fit any state of the record."""


class RecordEdit(msgspec.Struct, frozen=True):
    """One record that a change writes or deletes.

    Attributes:
        name: Key of the record, `kind/name`.
        body: The record as its writer serialized it; empty to delete it.
        expect: Generation in which the writer saw the record last changed; 0
            for a record that must not exist, `ANY` for no expectation.
    """

    name: str
    body: bytes
    expect: int = ANY


class ChangeAsk(core.Message, frozen=True, tag=True):
    """Local, operators' interface to configuration: make a change.

    Attributes:
        change_id: Identifier that the operator's client chose; asking again
            with the same one never makes the change twice.
        author: Who makes the change.
        edits: What it writes; without any, the newest generation is waited
            for.
        wait_s: Time to wait for acceptance before telling the state.
    """

    change_id: str
    author: str
    edits: tuple[RecordEdit, ...]
    wait_s: float = 8.0


class ChangeState(enum.Enum):
    """How far a change has come."""

    ACCEPTED = "accepted"
    """No router that goes on serving can miss it any more."""
    WRITTEN = "written"
    """Stored, and in force where it was read; a majority has not confirmed."""
    UNKNOWN = "unknown"
    """It may or may not be stored; ask again with the same identifier."""
    CONFLICT = "conflict"
    """Another change came first; nothing was stored."""
    INVALID = "invalid"
    """The records are not valid together; nothing was stored."""
    NOT_WRITTEN = "not_written"
    """Nothing was stored."""


class ChangeReport(core.Message, frozen=True, tag=True):
    """Local answer to a `ChangeAsk`.

    Attributes:
        generation: Generation that the change made; 0 while not stored.
        detail: What is wrong, or the conflicting change's identifier, author
            and generation.
        lagging: Live members that have not confirmed, a few of them.
    """

    change_id: str
    state: ChangeState
    generation: int = 0
    detail: str = ""
    lagging: tuple[str, ...] = ()
