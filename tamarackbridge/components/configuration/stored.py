"""The stored form of configuration.

One object contains all records of a generation, compressed. A small fleet
object, the head, refers to it and lists the last changes; every router watches
the head. A change first writes the records and then replaces the head by a
conditional write, so a change of several records is atomic.
"""

from collections.abc import Mapping
from typing import Protocol
import zlib

import msgspec

from tamarackbridge import exceptions
from tamarackbridge.components.configuration import const
from tamarackbridge.components.records import models


class ConfigurationError(exceptions.TamarackbridgeError):
    """Stored configuration can't be read, or is not valid."""


class Change(msgspec.Struct, frozen=True):
    """One change as listed in the head."""

    change_id: str
    author: str
    generation: int
    records: tuple[str, ...]


class Head(msgspec.Struct, frozen=True):
    """Refers to the newest generation.

    Attributes:
        data_key: Key of the object that contains its records.
        changes: The last changes, oldest first.
    """

    generation: int
    data_key: str
    changes: tuple[Change, ...]

    def find_change(self, change_id: str) -> Change | None:
        """Returns the change with an identifier, or `None` if not listed."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None


NO_HEAD = Head(0, "", ())


class StoredRecord(msgspec.Struct, frozen=True):
    """One record and the change that last wrote it.

    Attributes:
        body: The record as its writer serialized it.
    """

    body: bytes
    generation: int
    change_id: str
    author: str


class RecordCodec(Protocol):
    """Decodes the records of one generation into their internal form."""

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Decodes all records of a generation, by their keys `kind/name`.

        Raises:
            ValueError: A record is not readable, or the records are not
                consistent.
        """
        ...


def data_key(generation: int, change_id: str) -> str:
    """Returns the key of the records that a change wrote."""
    return f"{const.DATA_PREFIX}{generation}.{change_id}"


def decode_head(value: bytes) -> Head:
    """Decodes a head.

    Raises:
        ConfigurationError: The value is not a head.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as exc:
        raise ConfigurationError(str(exc)) from exc


def encode_head(head: Head) -> bytes:
    """Serializes a head with its last `KEPT_CHANGES` changes only."""
    kept = head.changes[-const.KEPT_CHANGES :]
    return msgspec.json.encode(msgspec.structs.replace(head, changes=kept))


def decode_records(value: bytes) -> dict[str, StoredRecord]:
    """Decodes the records of one generation.

    Raises:
        ConfigurationError: The value does not contain records.
    """
    try:
        data = _decompress(value)
        return msgspec.json.decode(data, type=dict[str, StoredRecord])
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ConfigurationError(str(exc)) from exc


def _decompress(value: bytes) -> bytes:
    """Decompresses a value of at most `MAX_PLAIN_BYTES`."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(value, const.MAX_PLAIN_BYTES + 1)
    _check_plain_size(data)
    if not decompressor.eof:
        raise ConfigurationError("the compressed records are truncated")
    return data


def _check_plain_size(data: bytes) -> None:
    if len(data) > const.MAX_PLAIN_BYTES:
        raise ConfigurationError(
            f"records of more than {const.MAX_PLAIN_BYTES} uncompressed bytes"
        )


def encode_records(records: Mapping[str, StoredRecord]) -> bytes:
    """Serializes the records of one generation.

    Raises:
        ConfigurationError: The records are too large for `decode_records`.
    """
    data = msgspec.json.encode(dict(records))
    _check_plain_size(data)
    return zlib.compress(data)


def decode_snapshot(
    codec: RecordCodec, generation: int, records: Mapping[str, StoredRecord]
) -> models.Snapshot:
    """Returns the internal form of the records of one generation.

    Raises:
        ConfigurationError: The records are not readable or not valid.
    """
    bodies = {name: record.body for name, record in records.items()}
    try:
        return codec.decode(generation, bodies)
    except ValueError as exc:
        raise ConfigurationError(str(exc)) from exc
