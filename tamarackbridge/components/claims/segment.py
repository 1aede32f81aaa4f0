"""The stored form of claims: records in segments of a range's journal."""

from collections.abc import Iterable

import msgspec

from tamarackbridge import exceptions
from tamarackbridge.components.claims import messages


class SegmentError(exceptions.TamarackbridgeError):
    """A stored segment does not decode."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One change of the state of a key.

    Attributes:
        attempt: The attempt that the change belongs to.
        kept: Whether `body` is the whole answer; False when it was larger
            than a keeper stores.
    """

    key: str
    body_hash: str
    attempt: str
    state: messages.ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A run of records; the last segment of a range is its tail.

    Attributes:
        number: Place in the journal of the range, from 0.
        first: Number of the oldest segment that is still kept.
        sealed: Whether no more records may be added.
        opened_s: Clock of the range when the segment was begun.
        clock_s: Clock of the range at the last write. The clock counts the
            seconds that keepers saw pass, so it never runs ahead of time.
        records: Serialized records, oldest first.
    """

    number: int = 0
    first: int = 0
    sealed: bool = False
    opened_s: float = 0.0
    clock_s: float = 0.0
    records: tuple[msgspec.Raw, ...] = ()

    def size(self) -> int:
        """Returns the size of the records in bytes."""
        return sum(len(bytes(raw)) for raw in self.records)


_ENCODER = msgspec.msgpack.Encoder()
_SEGMENT_DECODER = msgspec.msgpack.Decoder(Segment)
_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


def encode(segment: Segment) -> bytes:
    """Serializes a segment."""
    return _ENCODER.encode(segment)


def encode_record(record: Record) -> msgspec.Raw:
    """Serializes a record."""
    return msgspec.Raw(_ENCODER.encode(record))


def decode(data: bytes) -> Segment:
    """Reads a segment.

    Raises:
        SegmentError: The bytes are no segment.
    """
    try:
        return _SEGMENT_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise SegmentError(str(exc)) from exc


def decode_records(raws: Iterable[msgspec.Raw]) -> list[Record]:
    """Reads records.

    Raises:
        SegmentError: The bytes are no record.
    """
    try:
        return [_RECORD_DECODER.decode(raw) for raw in raws]
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise SegmentError(str(exc)) from exc
