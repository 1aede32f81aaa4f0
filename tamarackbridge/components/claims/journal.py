"""Reads and writes the journal of one range in the object API.

At most one call is out at a time. Every write of the tail is conditional on
the version that the copy was brought up to, so a write that succeeds was
decided with all earlier claims of the range in view.
"""

from collections.abc import Callable
import enum

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.claims import (
    const,
    pace,
    ranges,
    replica,
    segment,
)
from tamarackbridge.components.object_api import messages as store

_STATUS = store.StoreStatus


class Phase(enum.Enum):
    """What a journal is doing."""

    COLD = "cold"
    """Nothing is known, or the last known tail may be out of date."""
    READING = "reading"
    READY = "ready"
    WRITING = "writing"
    DOWN = "down"
    """The store did not answer; reading is tried again later."""


class Journal:
    """Keeps a copy of one range up to date and adds records to it.

    Attributes:
        number: Number of the range.
        copy: The copy.
        phase: What the journal is doing.
        current_at: Time of sending of the newest call whose answer showed
            that the copy was up to date.
        writes: Conditional writes of the tail sent.
        commits: Writes of the tail that were acknowledged.
        corrupt: Objects that did not decode.
        in_touch: False while the last call went unanswered.
    """

    def __init__(
        self, number: int, retention_s: float, new_tag: Callable[[], str]
    ) -> None:
        self.number = number
        self.copy = replica.Replica(retention_s)
        self.phase = Phase.COLD
        self.current_at = float("-inf")
        self.writes = 0
        self.commits = 0
        self.corrupt = 0
        self.in_touch = True
        self._changed = False
        self._new_tag = new_tag
        self._tag = ""
        self._sent_at = 0.0
        self._on_reply: Callable[[store.StoreReply, float], None] | None = None
        self._tail_read: tuple[segment.Segment, int] | None = None
        self._writing: segment.Segment | None = None
        self._pace = pace.Pace()
        self._retire: list[int] = []
        self._out: list[core.Envelope] = []

    def take(self) -> list[core.Envelope]:
        """Returns the store calls to send since the last `take`."""
        out, self._out = self._out, []
        return out

    def may_write(self, now: float) -> bool:
        """Tells whether `write` may be called now."""
        return self.phase is Phase.READY and self._pace.may_write(now)

    def refresh(self, now: float) -> None:
        """Reads the tail, to learn whether the copy is up to date."""
        self.phase = Phase.READING
        call = store.StoreGet(ranges.tail_key(self.number), self._next_tag())
        self._call(call, self._tail_arrived, now)

    def write(self, records: tuple[msgspec.Raw, ...], now: float) -> None:
        """Adds records; `phase` is `READY` again when they are stored."""
        self._pace.wrote(now)
        self.writes += 1
        self._put(records, now)

    def tick(self, now: float) -> None:
        """Treats a call that was not answered in time as unanswered."""
        if self.phase is Phase.COLD:
            self.refresh(now)
        elif self.phase is Phase.DOWN:
            if now - self._sent_at >= const.STORE_PROBE_S:
                self.refresh(now)
        elif self._tag and now - self._sent_at >= const.STORE_WAIT_S:
            self._unanswered(now)

    def reply(self, reply: store.StoreReply, now: float) -> bool:
        """Takes an answer of the store; False if it is not awaited."""
        if not self._tag or reply.tag != self._tag:
            return False
        on_reply, self._tag, self._on_reply = self._on_reply, "", None
        self.in_touch = True
        if reply.status is _STATUS.UNKNOWN:
            self._unanswered(now)
        elif on_reply is not None:
            self._react(on_reply, reply, now)
        return True

    def take_changed(self) -> bool:
        """Tells whether the copy was read anew since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def _react(
        self,
        on_reply: Callable[[store.StoreReply, float], None],
        reply: store.StoreReply,
        now: float,
    ) -> None:
        try:
            on_reply(reply, now)
        except segment.SegmentError:
            self.corrupt += 1
            self._tag = ""
            self.phase = Phase.DOWN

    def _unanswered(self, now: float) -> None:
        self.in_touch = False
        self._tag = ""
        self._writing = None
        if self.phase is Phase.WRITING:
            self.refresh(now)
        else:
            self.phase = Phase.DOWN

    def _next_tag(self) -> str:
        self._tag = self._new_tag()
        return self._tag

    def _call(
        self,
        call: core.Message,
        on_reply: Callable[[store.StoreReply, float], None],
        now: float,
    ) -> None:
        self._sent_at = now
        self._on_reply = on_reply
        self._out.append(core.Envelope(core_const.STORE_NODE, call))

    def _tail_arrived(self, reply: store.StoreReply, now: float) -> None:
        tail, version = segment.Segment(), store.CREATE
        if reply.objects:
            tail = segment.decode(reply.objects[0].value)
            version = reply.objects[0].version
        self._tail_read = (tail, version)
        self._tail_sent_at = self._sent_at
        self._read_on(now)

    def _read_on(self, now: float) -> None:
        assert self._tail_read is not None
        tail, version = self._tail_read
        missing = self.copy.next_archive(tail)
        if missing is None:
            self.copy.adopt(tail, version, now)
            self._changed = True
            self.phase = Phase.READY
            self.current_at = self._tail_sent_at
            return
        key = ranges.archive_key(self.number, missing)
        call = store.StoreGet(key, self._next_tag())
        self._call(call, self._archive_arrived, now)

    def _archive_arrived(self, reply: store.StoreReply, now: float) -> None:
        if not reply.objects:
            self.refresh(now)
            return
        self.copy.add_archive(segment.decode(reply.objects[0].value))
        self._read_on(now)

    def _put(self, records: tuple[msgspec.Raw, ...], now: float) -> None:
        self.phase = Phase.WRITING
        grown = self.copy.appended(records, now)
        if grown.number == self.copy.tail.number:
            self._put_tail(grown, now)
            return
        key = ranges.archive_key(self.number, self.copy.tail.number)
        value = segment.encode(self.copy.tail)
        call = store.StorePut(key, value, store.CREATE, self._next_tag())
        self._call(call, lambda _, at: self._put_tail(grown, at), now)

    def _put_tail(self, grown: segment.Segment, now: float) -> None:
        self._writing = grown
        call = store.StorePut(
            ranges.tail_key(self.number),
            segment.encode(grown),
            self.copy.version,
            self._next_tag(),
        )
        self._call(call, self._tail_written, now)

    def _tail_written(self, reply: store.StoreReply, now: float) -> None:
        written, self._writing = self._writing, None
        if reply.status is not _STATUS.OK or written is None:
            self.refresh(now)
            return
        self._retire.extend(range(self.copy.tail.first, written.first))
        self.copy.adopt(written, reply.objects[0].version, now)
        self.commits += 1
        self.current_at = self._sent_at
        self.phase = Phase.READY
        self._retire_next(now)

    def _retire_next(self, now: float) -> None:
        if not self._retire:
            return
        self.phase = Phase.WRITING
        key = ranges.archive_key(self.number, self._retire[-1])
        call = store.StoreGet(key, self._next_tag())
        self._call(call, self._retire_found, now)

    def _retire_found(self, reply: store.StoreReply, now: float) -> None:
        if not reply.objects:
            self._retired(reply, now)
            return
        held = reply.objects[0]
        call = store.StoreDelete(held.key, held.version, self._next_tag())
        self._call(call, self._retired, now)

    def _retired(self, reply: store.StoreReply, now: float) -> None:
        del reply
        self._retire.pop()
        self.phase = Phase.READY
        self._retire_next(now)
