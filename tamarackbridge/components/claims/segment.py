"""Storage format of claims: records in the segments of a journal."""

from collections.abc import Iterable

import msgspec

from tamarackbridge import exceptions
from tamarackbridge.components.claims import messages


class SegmentError(exceptions.TamarackbridgeError):
    """A stored segment cannot be decoded or is out of sequence."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A change of the state of a key.

    Attributes:
        attempt: Attempt that made the change.
        kept: Whether `body` is the whole answer. False if the answer exceeded
            the size limit and was not stored.
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
    """Consecutive records of a journal; its last segment is the tail.

    Attributes:
        number: Position in the journal, from 0.
        first: Number of the oldest segment that is still kept.
        sealed: Whether the segment is closed to further records.
        opened_s: Clock of the range when the segment was started.
        clock_s: Clock of the range at the last write. It counts the seconds
            that keepers observed, so it never runs faster than real time.
        records: Serialized records, oldest first.
    """

    number: int = 0
    first: int = 0
    sealed: bool = False
    opened_s: float = 0.0
    clock_s: float = 0.0
    records: tuple[msgspec.Raw, ...] = ()

    def size(self) -> int:
        """Returns the total size of the records in bytes."""
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
    """Deserializes a segment.

    Raises:
        SegmentError: The data is not a valid segment.
    """
    try:
        return _SEGMENT_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise SegmentError(str(exc)) from exc


def decode_records(raws: Iterable[msgspec.Raw]) -> list[Record]:
    """Deserializes records.

    Raises:
        SegmentError: The data is not a valid record.
    """
    try:
        return [_RECORD_DECODER.decode(raw) for raw in raws]
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise SegmentError(str(exc)) from exc
