"""Declared changes of records and their effect."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from tamarackbridge.components.records import codec, const, schemas


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RecordId:
    """Kind and name of one record."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Returns `kind/name`."""
        return f"{self.kind}/{self.name}"


def id_of(record: schemas.Record) -> RecordId:
    """Returns the identifier of a record."""
    return RecordId(record.kind, record.name)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as it was read from the configuration.

    Attributes:
        record: The decoded record.
        generation: Generation in which it was last changed.
    """

    record: schemas.Record
    generation: int


Stored = Mapping[RecordId, StoredRecord]
"""All records of one reading of the configuration, by identifier."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSet:
    """Records to write and to delete together."""

    puts: tuple[schemas.Record, ...] = ()
    deletes: tuple[RecordId, ...] = ()


class Action(enum.Enum):
    """What a change does to one record."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    UNCHANGED = "unchanged"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One key whose value changes; `None` stands for no value."""

    key: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class RecordChange:
    """What a change does to one record."""

    record: RecordId
    action: Action
    fields: tuple[FieldChange, ...]


def diff(stored: Stored, wanted: ChangeSet) -> tuple[RecordChange, ...]:
    """Returns what a change set would do to the stored records.

    A record that has the same content in another schema version is reported
    as an update of `schema_version` alone.
    """
    found = [_diff_put(stored, record) for record in wanted.puts]
    found.extend(_diff_delete(stored, item) for item in wanted.deletes)
    return tuple(found)


def merge(stored: Stored, wanted: ChangeSet) -> dict[RecordId, schemas.Record]:
    """Returns all records as they would be after a change set."""
    after = {key: item.record for key, item in stored.items()}
    after.update({id_of(record): record for record in wanted.puts})
    for item in wanted.deletes:
        after.pop(item, None)
    return after


def first_in_new_version(
    stored: Stored, wanted: ChangeSet
) -> schemas.Record | None:
    """Returns the first record in a schema version that is new to its kind.

    A version is new if it is newer than that of every stored record of the
    kind. Routers of an older release can't read such a record. Version 1 is
    never new, because all releases read it; nor is any version while the
    configuration is empty.
    """
    if not stored:
        return None
    newest = dict.fromkeys(const.KINDS, 1)
    for key, item in stored.items():
        version = item.record.schema_version
        newest[key.kind] = max(newest[key.kind], version)
    for record in wanted.puts:
        if record.schema_version > newest[record.kind]:
            return record
    return None


def without_unchanged(stored: Stored, wanted: ChangeSet) -> ChangeSet:
    """Returns a change set without the entries that change nothing."""
    puts = tuple(
        record
        for record in wanted.puts
        if _diff_put(stored, record).action is not Action.UNCHANGED
    )
    deletes = tuple(item for item in wanted.deletes if item in stored)
    return ChangeSet(puts, deletes)


def _diff_put(stored: Stored, record: schemas.Record) -> RecordChange:
    key = id_of(record)
    after = codec.to_document(record)
    if key not in stored:
        fields = _compare({}, after)
        return RecordChange(key, Action.CREATE, fields)
    before = stored[key].record
    if before == record:
        return RecordChange(key, Action.UNCHANGED, ())
    old = codec.to_document(before, record.schema_version)
    old[const.CONF_SCHEMA_VERSION] = before.schema_version
    return RecordChange(key, Action.UPDATE, _compare(old, after))


def _diff_delete(stored: Stored, key: RecordId) -> RecordChange:
    if key not in stored:
        return RecordChange(key, Action.UNCHANGED, ())
    before = codec.to_document(stored[key].record)
    return RecordChange(key, Action.DELETE, _compare(before, {}))


def _compare(
    before: Mapping[str, Any], after: Mapping[str, Any], prefix: str = ""
) -> tuple[FieldChange, ...]:
    found: list[FieldChange] = []
    for key in (*after, *(key for key in before if key not in after)):
        old, new = before.get(key), after.get(key)
        if isinstance(old, Mapping) and isinstance(new, Mapping):
            found.extend(_compare(old, new, f"{prefix}{key}."))
        elif old != new:
            found.append(FieldChange(f"{prefix}{key}", old, new))
    return tuple(found)
