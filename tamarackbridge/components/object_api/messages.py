"""Messages between deciders and the adapter of the platform's object API."""

import enum

import msgspec

from tamarackbridge import core

CREATE = 0
"""Value of `expect` that requires that the key does not exist yet."""


class StoreStatus(enum.Enum):
    """Result of a call to the object API."""

    OK = "ok"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNKNOWN = "unknown"
    """No answer arrived: a write may or may not have taken effect."""


class StoredObject(msgspec.Struct, frozen=True):
    """One object as the platform stores it.

    Attributes:
        key: Path of the object, `kind/name`.
        version: Version that the platform assigned to this value; increases
            with every write to the store.
        value: Serialized value, at most one megabyte.
    """

    key: str
    version: int
    value: bytes


class StoreGet(core.Message, frozen=True, tag=True):
    """Reads one object."""

    key: str
    tag: str


class StoreList(core.Message, frozen=True, tag=True):
    """Reads all objects whose key starts with `prefix`."""

    prefix: str
    tag: str


class StorePut(core.Message, frozen=True, tag=True):
    """Writes one object if its version is still `expect`.

    Attributes:
        expect: Version that must be current; `CREATE` for a new object.
    """

    key: str
    value: bytes
    expect: int
    tag: str


class StoreDelete(core.Message, frozen=True, tag=True):
    """Deletes one object if its version is still `expect`."""

    key: str
    expect: int
    tag: str


class StoreWatch(core.Message, frozen=True, tag=True):
    """Waits for the next change under `prefix` after version `since`.

    The reply lists every object under `prefix` whose version is greater than
    `since`. It is empty with status OK if nothing changed within the platform's
    wait time. A deleted object is listed with an empty value.
    """

    prefix: str
    since: int
    tag: str


class StoreReply(core.Message, frozen=True, tag=True):
    """Answers one store message.

    Attributes:
        tag: The tag of the call.
        status: Result of the call.
        objects: What was read; for a write, the object as written; for a
            conflict, the current object if the platform returned it.
        version: Store-wide version that the answer reflects.
    """

    tag: str
    status: StoreStatus
    objects: tuple[StoredObject, ...] = ()
    version: int = 0
