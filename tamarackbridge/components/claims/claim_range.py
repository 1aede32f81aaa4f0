"""Decides on the claims of one key range."""

from collections.abc import Callable
import dataclasses

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.claims import (
    const,
    journal,
    messages,
    ranges,
    replica,
    segment,
)
from tamarackbridge.components.object_api import messages as store

_ANSWER = messages.ClaimAnswer
_STATE = messages.ClaimState
_ANSWERING = (journal.Phase.READY, journal.Phase.WRITING)


@dataclasses.dataclass(slots=True)
class _Ask:
    """One unanswered ask.

    Attributes:
        since: Time at which it first arrived.
        repeated: Time at which it last arrived.
    """

    src: str
    ask: messages.ClaimAsk
    since: float
    repeated: float


@dataclasses.dataclass(slots=True)
class _Settle:
    src: str
    settle: messages.ClaimSettle


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    """A read of an archived outcome.

    Attributes:
        place: Place of the outcome's record in its segment.
    """

    src: str
    ask: messages.ClaimAsk
    place: int


class ClaimRange:
    """Asks and ends of attempts that wait for the journal of one range.

    Attributes:
        journal: The journal.
        used: Time at which it was last asked for.
    """

    def __init__(
        self,
        number: int,
        retention_s: float,
        max_outcome_bytes: int,
        new_tag: Callable[[], str],
        is_gone: Callable[[str], bool],
        now: float,
    ) -> None:
        """Starts to read the range.

        Args:
            number: Number of the range.
            retention_s: Time for which a key's outcome is kept.
            max_outcome_bytes: Largest body that is kept for replay.
            new_tag: Gives a tag for each store call.
            is_gone: Tells whether the router of an attempt is known to have
                ended.
            now: Monotonic time in seconds.
        """
        self.journal = journal.Journal(number, retention_s, new_tag)
        self.used = now
        self._max_outcome_bytes = max_outcome_bytes
        self._new_tag = new_tag
        self._is_gone = is_gone
        self._asks: dict[str, _Ask] = {}
        self._due: dict[str, None] = {}
        self._waiting: dict[str, dict[str, None]] = {}
        self._settles: dict[str, _Settle] = {}
        self._ends_in_write: tuple[str, ...] = ()
        self._commits = 0
        self._fetches: dict[str, _Fetch] = {}
        self._needs_read = False
        self._out: list[core.Envelope] = []
        self.journal.refresh(now)

    @property
    def is_busy(self) -> bool:
        """Whether anything waits for the journal."""
        return bool(self._asks or self._settles)

    def take(self) -> list[core.Envelope]:
        """Returns the messages to send since the last `take`."""
        out, self._out = self._out, []
        out.extend(self.journal.take())
        return out

    def ask(self, src: str, ask: messages.ClaimAsk, now: float) -> None:
        """Takes an ask, or its repetition."""
        self.used = now
        held = self._asks.get(ask.attempt)
        since = held.since if held else now
        self._asks[ask.attempt] = _Ask(src, ask, since, now)
        self._due[ask.attempt] = None
        if self.journal.phase in _ANSWERING:
            self._record_for(ask.attempt)
            self._write(now)
        if held is not None and ask.attempt in self._due:
            self._tell_waiting(src, ask.key, ask.attempt)

    def settle(
        self, src: str, settle: messages.ClaimSettle, now: float
    ) -> None:
        """Takes the end of an attempt."""
        self.used = now
        held = self._settles.get(settle.attempt)
        self._settles[settle.attempt] = _Settle(src, settle)
        if settle.state is _STATE.ABANDONED:
            self._drop(settle.attempt)
        self._write(now)
        if held is not None and settle.attempt in self._settles:
            self._tell_waiting(src, settle.key, settle.attempt)

    def reply(self, reply: store.StoreReply, now: float) -> bool:
        """Takes an answer of the store; False if it is not awaited."""
        fetch = self._fetches.pop(reply.tag, None)
        if fetch is not None:
            self._fetched(fetch, reply)
            return True
        if not self.journal.reply(reply, now):
            return False
        self._after_call(now)
        return True

    def tick(self, now: float) -> None:
        """Writes what has gathered and forgets what is not repeated."""
        self.journal.tick(now)
        gone = [
            attempt
            for attempt, held in self._asks.items()
            if now - held.repeated >= const.ASK_LIFE_S
        ]
        for attempt in gone:
            self._drop(attempt)
        if self._waiting:
            age_s = now - self.journal.current_at
            self._needs_read |= age_s >= const.WAIT_REFRESH_S
        self._after_call(now)

    def roster_changed(self) -> None:
        """Considers again every ask that waits for another attempt."""
        self._due.update(dict.fromkeys(self._asks))

    def _after_call(self, now: float) -> None:
        if self.journal.phase is journal.Phase.DOWN:
            self._refuse_old(now)
        if self.journal.phase is not journal.Phase.READY:
            return
        if self.journal.commits > self._commits:
            self._committed()
        elif self.journal.take_changed():
            self._due.update(dict.fromkeys(self._asks))
        self._claim_records(set())  # Answers what the write has decided.
        self._write(now)

    def _committed(self) -> None:
        self._commits = self.journal.commits
        for attempt in self._ends_in_write:
            done = self._settles.pop(attempt, None)
            if done is not None:
                self._settled(done)
        self._ends_in_write = ()

    def _settled(self, done: _Settle) -> None:
        key = done.settle.key
        reply = messages.ClaimSettled(key, done.settle.attempt)
        self._send(done.src, reply)
        self._due.update(self._waiting.pop(key, {}))

    def _refuse_old(self, now: float) -> None:
        """Refuses asks that have waited long for a store that is down."""
        for attempt, held in list(self._asks.items()):
            if now - held.since >= const.DOWN_WAIT_S:
                self._answer(held, _ANSWER.UNAVAILABLE)
                self._drop(attempt)

    def _drop(self, attempt: str) -> None:
        self._due.pop(attempt, None)
        held = self._asks.pop(attempt, None)
        if held is None:
            return
        waiting = self._waiting.get(held.ask.key, {})
        waiting.pop(attempt, None)
        if not waiting:
            self._waiting.pop(held.ask.key, None)

    def _write(self, now: float) -> None:
        """Answers what is due and writes what must be stored."""
        if not self.journal.may_write(now):
            return
        ends = self._end_records()
        keys = {self._settles[attempt].settle.key for attempt in ends}
        claims = self._claim_records(keys)
        records = _fitting({**ends, **claims})
        if records or self.journal.copy.upkeep_due(now):
            self._ends_in_write = tuple(set(records) & set(ends))
            self.journal.write(tuple(records.values()), now)
        elif self._needs_read:
            self._needs_read = False
            self.journal.refresh(now)

    def _end_records(self) -> dict[str, msgspec.Raw]:
        """Returns the records of ends that are not stored yet, by attempt."""
        records = {}
        for attempt, held in list(self._settles.items()):
            if self._is_stored(held.settle):
                del self._settles[attempt]
                self._settled(held)
            else:
                records[attempt] = self._end_record(held.settle)
        return records

    def _is_stored(self, settle: messages.ClaimSettle) -> bool:
        entry = self.journal.copy.entries.get(settle.key)
        if entry is None:
            return False
        if entry.attempt == settle.attempt:
            return entry.state is not _STATE.CLAIMED
        return _is_final(entry)

    def _end_record(self, settle: messages.ClaimSettle) -> msgspec.Raw:
        kept = len(settle.body) <= self._max_outcome_bytes
        return segment.encode_record(
            segment.Record(
                key=settle.key,
                body_hash=settle.body_hash,
                attempt=settle.attempt,
                state=settle.state,
                status=settle.status,
                content_type=settle.content_type,
                body=settle.body if kept else b"",
                kept=kept,
            )
        )

    def _claim_records(self, taken: set[str]) -> dict[str, msgspec.Raw]:
        """Answers asks; returns the records of claims, by attempt.

        Args:
            taken: Keys that the same write changes already.
        """
        records = {}
        for attempt in list(self._due):
            held = self._asks.get(attempt)
            if held is None:
                del self._due[attempt]
                continue
            if held.ask.key in taken:
                continue
            raw = self._record_for(attempt)
            if raw is not None:
                taken.add(held.ask.key)
                records[attempt] = raw
        return records

    def _record_for(self, attempt: str) -> msgspec.Raw | None:
        """Answers a due ask, or returns the record that it needs."""
        held = self._asks[attempt]
        ask = held.ask
        entry = self.journal.copy.entries.get(ask.key)
        if _is_open(entry, attempt):
            return segment.encode_record(
                segment.Record(ask.key, ask.body_hash, attempt, _STATE.CLAIMED)
            )
        assert entry is not None
        answer = self._answer_for(held, entry)
        if answer is None:
            return None
        del self._due[attempt]
        if answer is _ANSWER.IN_PROGRESS:
            self._waiting.setdefault(ask.key, {})[attempt] = None
        else:
            del self._asks[attempt]
        if answer is _ANSWER.REPLAY:
            self._replay(held, entry)
        else:
            self._answer(held, answer)
        return None

    def _answer_for(
        self, held: _Ask, entry: replica.Entry
    ) -> messages.ClaimAnswer | None:
        """Returns the answer for a key that is taken; None if not known."""
        if entry.attempt == held.ask.attempt:
            mine = entry.state is _STATE.CLAIMED
            return _ANSWER.RUN if mine else _ANSWER.UNAVAILABLE
        if entry.body_hash != held.ask.body_hash:
            if not _is_final(entry) and self.journal.current_at < held.since:
                self._needs_read = True
                return None
            return _ANSWER.MISMATCH
        if entry.state is _STATE.FINISHED:
            return _ANSWER.REPLAY
        if entry.state is _STATE.UNKNOWN:
            return _ANSWER.OUTCOME_UNKNOWN
        waited_s = held.repeated - held.since
        if waited_s >= const.GONE_WAIT_S and self._is_gone(entry.attempt):
            return _ANSWER.OUTCOME_UNKNOWN
        return _ANSWER.IN_PROGRESS

    def _replay(self, held: _Ask, entry: replica.Entry) -> None:
        tail = self.journal.copy.tail
        if entry.segment == tail.number:
            (record,) = segment.decode_records([tail.records[entry.place]])
            self._send_outcome(held.src, held.ask, record)
            return
        tag = self._new_tag()
        self._fetches[tag] = _Fetch(held.src, held.ask, entry.place)
        key = ranges.archive_key(self.journal.number, entry.segment)
        self._send(core_const.STORE_NODE, store.StoreGet(key, tag))

    def _fetched(self, fetch: _Fetch, reply: store.StoreReply) -> None:
        """Sends an archived outcome; without one the client asks again."""
        if not reply.objects:
            return
        raws = segment.decode(reply.objects[0].value).records
        (record,) = segment.decode_records([raws[fetch.place]])
        self._send_outcome(fetch.src, fetch.ask, record)

    def _send_outcome(
        self, to: str, ask: messages.ClaimAsk, record: segment.Record
    ) -> None:
        answer = _ANSWER.REPLAY if record.kept else _ANSWER.OUTCOME_NOT_KEPT
        reply = messages.ClaimReply(
            key=ask.key,
            attempt=ask.attempt,
            answer=answer,
            status=record.status,
            content_type=record.content_type,
            body=record.body,
        )
        self._send(to, reply)

    def _answer(self, held: _Ask, answer: messages.ClaimAnswer) -> None:
        ask = held.ask
        self._send(held.src, messages.ClaimReply(ask.key, ask.attempt, answer))

    def _tell_waiting(self, to: str, key: str, attempt: str) -> None:
        """Tells a client that repeats itself not to turn elsewhere.

        With the store out of reach from here, it had better do so.
        """
        if not self.journal.in_touch:
            return
        self._send(to, messages.ClaimReply(key, attempt, _ANSWER.WAITING))

    def _send(self, to: str, msg: core.Message) -> None:
        self._out.append(core.Envelope(to, msg))


def _is_final(entry: replica.Entry) -> bool:
    return entry.state in (_STATE.FINISHED, _STATE.UNKNOWN)


def _is_open(entry: replica.Entry | None, attempt: str) -> bool:
    if entry is None:
        return True
    return entry.state is _STATE.ABANDONED and entry.attempt != attempt


def _fitting(records: dict[str, msgspec.Raw]) -> dict[str, msgspec.Raw]:
    """Returns the records that one write may add."""
    size = 0
    fitting = {}
    for attempt, raw in records.items():
        size += len(bytes(raw))
        if size > const.BATCH_BYTES:
            break
        fitting[attempt] = raw
    return fitting
