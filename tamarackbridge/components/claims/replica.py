"""A keeper's copy of the journal of one range."""

import dataclasses

import msgspec

from tamarackbridge.components.claims import const, messages, segment
from tamarackbridge.components.object_api import messages as store

_STATE = messages.ClaimState


@dataclasses.dataclass(slots=True)
class Entry:
    """What is stored of one key.

    Attributes:
        segment: Number of the segment with the newest record of the key.
        place: Place of that record in its segment.
    """

    body_hash: str
    attempt: str
    state: messages.ClaimState
    segment: int
    place: int


class Replica:
    """The records of one range up to a known place of its journal.

    The journal only grows at its tail, so a copy is a prefix of it and is
    brought up to date by the records after that prefix.

    Attributes:
        version: Store's version of the tail; `CREATE` before the first write.
        tail: The tail as last read or written.
        entries: What is stored of each key.
    """

    def __init__(self, retention_s: float) -> None:
        self.version = store.CREATE
        self.tail = segment.Segment()
        self.entries: dict[str, Entry] = {}
        self._retention_s = retention_s
        self._first = 0
        self._segment = 0
        self._count = 0
        self._clock_at = 0.0
        self._archive_clocks: dict[int, float] = {}

    def clock(self, now: float) -> float:
        """Returns the clock of the range, in seconds."""
        return self.tail.clock_s + max(now - self._clock_at, 0.0)

    def next_archive(self, tail: segment.Segment) -> int | None:
        """Returns the full segment to read before `tail` can be adopted."""
        if self._segment < tail.first:
            self._forget(tail.first)
            self._segment = tail.first
            self._count = 0
        return self._segment if self._segment < tail.number else None

    def add_archive(self, archive: segment.Segment) -> None:
        """Takes the records of one full segment."""
        self._apply(archive)
        self._archive_clocks[archive.number] = archive.clock_s
        self._segment = archive.number + 1
        self._count = 0

    def adopt(self, tail: segment.Segment, version: int, now: float) -> None:
        """Takes a tail that was read or whose write was acknowledged."""
        if tail.number > self.tail.number and self._segment == tail.number - 1:
            self.add_archive(self.tail)
        self._apply(tail)
        self._count = len(tail.records)
        if version != self.version:
            self._clock_at = now
        self.tail = tail
        self.version = version
        self._forget(tail.first)

    def appended(
        self, records: tuple[msgspec.Raw, ...], now: float
    ) -> segment.Segment:
        """Returns the tail with `records` added, or the next one."""
        clock = self.clock(now)
        held, number, opened = self.tail.records, self.tail.number, clock
        if self.tail.sealed:
            held, number = (), number + 1
        elif held:
            opened = self.tail.opened_s
        grown = segment.Segment(
            number=number,
            first=self._first_kept(clock, number),
            opened_s=opened,
            clock_s=clock,
            records=held + records,
        )
        return msgspec.structs.replace(grown, sealed=self._is_full(grown))

    def upkeep_due(self, now: float) -> bool:
        """Tells whether time alone calls for a write."""
        if not self.tail.records and not self._archive_clocks:
            return False
        passed = self.clock(now) - self.tail.clock_s
        every = self._retention_s / const.CLOCK_SAVES_PER_RETENTION
        return self.tail.sealed or passed > every

    def _is_full(self, grown: segment.Segment) -> bool:
        if not grown.records:
            return False
        age = grown.clock_s - grown.opened_s
        old = age > self._retention_s / const.SEALS_PER_RETENTION
        return old or grown.size() >= const.SEGMENT_BYTES

    def _first_kept(self, clock: float, number: int) -> int:
        first = self.tail.first
        while first < number:
            written = self._archive_clocks.get(first)
            if first == self.tail.number:
                written = self.tail.clock_s
            if written is None or not self._has_ended(first, clock - written):
                break
            first += 1
        return first

    def _has_ended(self, number: int, age_s: float) -> bool:
        """Tells whether a segment is past its retention.

        One with a claim whose attempt may still be running is kept longer.
        """
        if age_s <= self._retention_s:
            return False
        if age_s > self._retention_s + const.UNSETTLED_KEEP_S:
            return True
        return not any(
            entry.segment == number and entry.state is _STATE.CLAIMED
            for entry in self.entries.values()
        )

    def _forget(self, first: int) -> None:
        if first <= self._first:
            return
        self._first = first
        for number in [old for old in self._archive_clocks if old < first]:
            del self._archive_clocks[number]
        gone = [
            key for key, entry in self.entries.items() if entry.segment < first
        ]
        for key in gone:
            del self.entries[key]

    def _apply(self, held: segment.Segment) -> None:
        if held.number != self._segment:
            raise segment.SegmentError(
                f"segment {held.number} came in place of {self._segment}"
            )
        fresh = segment.decode_records(held.records[self._count :])
        for place, record in enumerate(fresh, self._count):
            self._change(record, held.number, place)

    def _change(self, record: segment.Record, number: int, place: int) -> None:
        entry = self.entries.get(record.key)
        if entry is not None and not _follows(record, entry):
            return
        self.entries[record.key] = Entry(
            body_hash=record.body_hash,
            attempt=record.attempt,
            state=record.state,
            segment=number,
            place=place,
        )


def _follows(record: segment.Record, entry: Entry) -> bool:
    if entry.state is _STATE.ABANDONED:
        return True
    if entry.state is not _STATE.CLAIMED:
        return False
    return record.state is not _STATE.CLAIMED and (
        record.attempt == entry.attempt
    )
