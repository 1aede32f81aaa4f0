"""Reads and writes the journal of one range in the object API.

At most one store call is in flight. Each write of the tail is conditional on
the version that the replica has applied, so a write succeeds only if it was
decided with all earlier claims of the range known.
"""

from collections.abc import Callable
import enum

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.claims import (
    const,
    ranges,
    replica,
    segment,
    write_limiter,
)
from tamarackbridge.components.object_api import messages as store

_STATUS = store.StoreStatus


class Phase(enum.Enum):
    """Phase of a journal."""

    COLD = "cold"
    """No read was started yet."""
    READING = "reading"
    READY = "ready"
    WRITING = "writing"
    DOWN = "down"
    """A read was unanswered or an object did not decode; reads are retried."""


class Journal:
    """Keeps a replica of one range up to date and appends records to it.

    Attributes:
        number: Number of the range.
        replica: Copy of the journal.
        phase: Current phase.
        up_to_date_at: Time at which the newest call was sent whose answer
            showed that the replica was up to date.
        writes: Number of conditional writes of the tail that were started.
        commits: Number of writes of the tail that were acknowledged.
        corrupt: Number of store answers that did not decode.
        store_reachable: False if the last store call went unanswered.
    """

    def __init__(
        self, number: int, retention_s: float, new_tag: Callable[[], str]
    ) -> None:
        self.number = number
        self.replica = replica.Replica(retention_s)
        self.phase = Phase.COLD
        self.up_to_date_at = float("-inf")
        self.writes = 0
        self.commits = 0
        self.corrupt = 0
        self.store_reachable = True
        self._was_read = False
        self._new_tag = new_tag
        self._tag = ""
        self._sent_at = 0.0
        self._on_reply: Callable[[store.StoreReply, float], None] | None = None
        self._tail_read: tuple[segment.Segment, int] | None = None
        self._tail_in_write: segment.Segment | None = None
        self._write_limiter = write_limiter.WriteLimiter()
        self._expired_segments: list[int] = []
        self._outbox: list[core.Envelope] = []

    def drain_outbox(self) -> list[core.Envelope]:
        """Returns and clears the store calls to send."""
        out, self._outbox = self._outbox, []
        return out

    def may_write(self, now: float) -> bool:
        """Returns whether `write` may be called now."""
        return self.phase is Phase.READY and self._write_limiter.may_write(now)

    def refresh(self, now: float) -> None:
        """Reads the tail to bring the replica up to date."""
        self.phase = Phase.READING
        call = store.StoreGet(ranges.tail_key(self.number), self._next_tag())
        self._call(call, self._on_tail_read, now)

    def write(self, records: tuple[msgspec.Raw, ...], now: float) -> None:
        """Appends records.

        `phase` becomes `READY` when the write has succeeded or, after it
        failed or went unanswered, when the journal has been read again.
        `commits` grows only in the first case.
        """
        self._write_limiter.record_write(now)
        self.writes += 1
        self._start_write(records, now)

    def tick(self, now: float) -> None:
        """Starts due reads and times out the call in flight."""
        if self.phase is Phase.COLD:
            self.refresh(now)
        elif self.phase is Phase.DOWN:
            if now - self._sent_at >= const.STORE_RETRY_INTERVAL_S:
                self.refresh(now)
        elif self._tag and now - self._sent_at >= const.STORE_TIMEOUT_S:
            self._on_unanswered(now)

    def handle_store_reply(self, reply: store.StoreReply, now: float) -> bool:
        """Handles an answer of the store; False if not awaited."""
        if not self._tag or reply.tag != self._tag:
            return False
        on_reply, self._tag, self._on_reply = self._on_reply, "", None
        self.store_reachable = True
        if reply.status is _STATUS.UNKNOWN:
            self._on_unanswered(now)
        elif on_reply is not None:
            self._run_callback(on_reply, reply, now)
        return True

    def consume_read_flag(self) -> bool:
        """Returns whether the journal was read since the last call."""
        was_read, self._was_read = self._was_read, False
        return was_read

    def _run_callback(
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

    def _on_unanswered(self, now: float) -> None:
        self.store_reachable = False
        self._tag = ""
        self._tail_in_write = None
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
        self._outbox.append(core.Envelope(core_const.STORE_NODE, call))

    def _on_tail_read(self, reply: store.StoreReply, now: float) -> None:
        tail, version = segment.Segment(), store.CREATE
        if reply.objects:
            tail = segment.decode(reply.objects[0].value)
            version = reply.objects[0].version
        self._tail_read = (tail, version)
        self._tail_sent_at = self._sent_at
        self._continue_read(now)

    def _continue_read(self, now: float) -> None:
        assert self._tail_read is not None
        tail, version = self._tail_read
        missing = self.replica.next_missing_segment(tail)
        if missing is None:
            self.replica.apply_tail(tail, version, now)
            self._was_read = True
            self.phase = Phase.READY
            self.up_to_date_at = self._tail_sent_at
            return
        key = ranges.archive_key(self.number, missing)
        call = store.StoreGet(key, self._next_tag())
        self._call(call, self._on_archive_read, now)

    def _on_archive_read(self, reply: store.StoreReply, now: float) -> None:
        if not reply.objects:
            self.refresh(now)
            return
        self.replica.add_archive(segment.decode(reply.objects[0].value))
        self._continue_read(now)

    def _start_write(
        self, records: tuple[msgspec.Raw, ...], now: float
    ) -> None:
        self.phase = Phase.WRITING
        new_tail = self.replica.build_next_tail(records, now)
        if new_tail.number == self.replica.tail.number:
            self._put_tail(new_tail, now)
            return
        key = ranges.archive_key(self.number, self.replica.tail.number)
        value = segment.encode(self.replica.tail)
        call = store.StorePut(key, value, store.CREATE, self._next_tag())
        self._call(call, lambda _, at: self._put_tail(new_tail, at), now)

    def _put_tail(self, new_tail: segment.Segment, now: float) -> None:
        self._tail_in_write = new_tail
        call = store.StorePut(
            ranges.tail_key(self.number),
            segment.encode(new_tail),
            self.replica.version,
            self._next_tag(),
        )
        self._call(call, self._on_tail_written, now)

    def _on_tail_written(self, reply: store.StoreReply, now: float) -> None:
        written, self._tail_in_write = self._tail_in_write, None
        if reply.status is not _STATUS.OK or written is None:
            self.refresh(now)
            return
        self._expired_segments.extend(
            range(self.replica.tail.first, written.first)
        )
        self.replica.apply_tail(written, reply.objects[0].version, now)
        self.commits += 1
        self.up_to_date_at = self._sent_at
        self.phase = Phase.READY
        self._delete_next_expired(now)

    def _delete_next_expired(self, now: float) -> None:
        if not self._expired_segments:
            return
        self.phase = Phase.WRITING
        key = ranges.archive_key(self.number, self._expired_segments[-1])
        call = store.StoreGet(key, self._next_tag())
        self._call(call, self._on_expired_read, now)

    def _on_expired_read(self, reply: store.StoreReply, now: float) -> None:
        if not reply.objects:
            self._on_expired_deleted(reply, now)
            return
        stored = reply.objects[0]
        call = store.StoreDelete(stored.key, stored.version, self._next_tag())
        self._call(call, self._on_expired_deleted, now)

    def _on_expired_deleted(self, reply: store.StoreReply, now: float) -> None:
        del reply
        self._expired_segments.pop()
        self.phase = Phase.READY
        self._delete_next_expired(now)
