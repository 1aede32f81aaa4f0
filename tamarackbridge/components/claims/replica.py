"""Copy of the journal of one range, held by a keeper."""

import dataclasses

import msgspec

from tamarackbridge.components.claims import const, messages, segment
from tamarackbridge.components.object_api import messages as store

_STATE = messages.ClaimState


@dataclasses.dataclass(slots=True)
class Entry:
    """Stored state of one key.

    Attributes:
        segment: Number of the segment with the newest record of the key.
        record_index: Index of that record in its segment.
    """

    body_hash: str
    attempt: str
    state: messages.ClaimState
    segment: int
    record_index: int


class Replica:
    """The records of one range up to a known position in its journal.

    The journal only grows at its tail, so the replica is a prefix of it and
    is brought up to date by applying the records after that prefix.

    Attributes:
        version: Version of the tail in the store; `CREATE` before the first
            write.
        tail: The tail as last read or written.
        entries: Stored state of each key.
    """

    def __init__(self, retention_s: float) -> None:
        self.version = store.CREATE
        self.tail = segment.Segment()
        self.entries: dict[str, Entry] = {}
        self._retention_s = retention_s
        self._first_segment = 0
        self._next_segment = 0
        self._applied_records = 0
        self._tail_updated_at = 0.0
        self._archive_clocks: dict[int, float] = {}

    def clock_s(self, now: float) -> float:
        """Returns the current clock of the range, in seconds."""
        return self.tail.clock_s + max(now - self._tail_updated_at, 0.0)

    def next_missing_segment(self, tail: segment.Segment) -> int | None:
        """Returns the sealed segment to read before `tail` can be applied."""
        if self._next_segment < tail.first:
            self._drop_expired(tail.first)
            self._next_segment = tail.first
            self._applied_records = 0
        return self._next_segment if self._next_segment < tail.number else None

    def add_archive(self, archive: segment.Segment) -> None:
        """Applies the records of a sealed segment."""
        self._apply_segment(archive)
        self._archive_clocks[archive.number] = archive.clock_s
        self._next_segment = archive.number + 1
        self._applied_records = 0

    def apply_tail(
        self, tail: segment.Segment, version: int, now: float
    ) -> None:
        """Applies a tail that was read or whose write was acknowledged."""
        if (
            tail.number > self.tail.number
            and self._next_segment == tail.number - 1
        ):
            self.add_archive(self.tail)
        self._apply_segment(tail)
        self._applied_records = len(tail.records)
        if version != self.version:
            self._tail_updated_at = now
        self.tail = tail
        self.version = version
        self._drop_expired(tail.first)

    def build_next_tail(
        self, records: tuple[msgspec.Raw, ...], now: float
    ) -> segment.Segment:
        """Returns the tail with `records` appended.

        Starts the next segment if the tail is sealed.
        """
        clock_s = self.clock_s(now)
        kept, number, opened_s = self.tail.records, self.tail.number, clock_s
        if self.tail.sealed:
            kept, number = (), number + 1
        elif kept:
            opened_s = self.tail.opened_s
        new_tail = segment.Segment(
            number=number,
            first=self._first_kept(clock_s, number),
            opened_s=opened_s,
            clock_s=clock_s,
            records=kept + records,
        )
        return msgspec.structs.replace(new_tail, sealed=self._is_full(new_tail))

    def is_maintenance_due(self, now: float) -> bool:
        """Returns whether a write is due even without new records."""
        if not self.tail.records and not self._archive_clocks:
            return False
        elapsed_s = self.clock_s(now) - self.tail.clock_s
        interval_s = self._retention_s / const.CLOCK_WRITES_PER_RETENTION
        return self.tail.sealed or elapsed_s > interval_s

    def _is_full(self, new_tail: segment.Segment) -> bool:
        if not new_tail.records:
            return False
        age_s = new_tail.clock_s - new_tail.opened_s
        is_old = age_s > self._retention_s / const.SEALS_PER_RETENTION
        return is_old or new_tail.size() >= const.SEGMENT_BYTES

    def _first_kept(self, clock_s: float, number: int) -> int:
        first = self.tail.first
        while first < number:
            written_s = self._archive_clocks.get(first)
            if first == self.tail.number:
                written_s = self.tail.clock_s
            if written_s is None or not self._is_expired(
                first, clock_s - written_s
            ):
                break
            first += 1
        return first

    def _is_expired(self, number: int, age_s: float) -> bool:
        """Returns whether a segment is past its retention time.

        A segment with a claim whose attempt may still be running is kept
        longer.
        """
        if age_s <= self._retention_s:
            return False
        if age_s > self._retention_s + const.UNSETTLED_KEEP_S:
            return True
        return not any(
            entry.segment == number and entry.state is _STATE.CLAIMED
            for entry in self.entries.values()
        )

    def _drop_expired(self, first: int) -> None:
        if first <= self._first_segment:
            return
        self._first_segment = first
        for number in [n for n in self._archive_clocks if n < first]:
            del self._archive_clocks[number]
        expired = [
            key for key, entry in self.entries.items() if entry.segment < first
        ]
        for key in expired:
            del self.entries[key]

    def _apply_segment(self, incoming: segment.Segment) -> None:
        if incoming.number != self._next_segment:
            raise segment.SegmentError(
                f"expected segment {self._next_segment}, got {incoming.number}"
            )
        new_records = segment.decode_records(
            incoming.records[self._applied_records :]
        )
        for record_index, record in enumerate(
            new_records, self._applied_records
        ):
            self._apply_record(record, incoming.number, record_index)

    def _apply_record(
        self, record: segment.Record, number: int, record_index: int
    ) -> None:
        entry = self.entries.get(record.key)
        if entry is not None and not _is_valid_transition(record, entry):
            return
        self.entries[record.key] = Entry(
            body_hash=record.body_hash,
            attempt=record.attempt,
            state=record.state,
            segment=number,
            record_index=record_index,
        )


def _is_valid_transition(record: segment.Record, entry: Entry) -> bool:
    if entry.state is _STATE.ABANDONED:
        return True
    if entry.state is not _STATE.CLAIMED:
        return False
    return record.state is not _STATE.CLAIMED and (
        record.attempt == entry.attempt
    )
