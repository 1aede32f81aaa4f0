"""Claims of one key range: answers asks and stores outcomes."""

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
    """An unanswered `ClaimAsk`.

    Attributes:
        src: Router whose claim client sent it.
        first_received_at: Time at which it first arrived.
        last_received_at: Time at which it last arrived.
    """

    src: str
    ask: messages.ClaimAsk
    first_received_at: float
    last_received_at: float


@dataclasses.dataclass(slots=True)
class _Settlement:
    src: str
    settle: messages.ClaimSettle


@dataclasses.dataclass(frozen=True, slots=True)
class _ArchiveRead:
    """A read in flight of an outcome in a sealed segment.

    Attributes:
        record_index: Index of the outcome's record in its segment.
    """

    src: str
    ask: messages.ClaimAsk
    record_index: int


class ClaimRange:
    """Asks and settlements that wait for the journal of one range.

    Attributes:
        journal: Journal of the range.
        last_used_at: Time at which the last ask or settlement arrived.
    """

    def __init__(
        self,
        number: int,
        retention_s: float,
        max_outcome_bytes: int,
        new_tag: Callable[[], str],
        has_router_ended: Callable[[str], bool],
        now: float,
    ) -> None:
        """Starts to read the journal of the range.

        Args:
            number: Number of the range.
            retention_s: Time for which a key's outcome is kept.
            max_outcome_bytes: Size of the largest body that is kept for replay.
            new_tag: Returns a new tag for each store call.
            has_router_ended: Returns whether the router of an attempt is
                known to have ended.
            now: Monotonic time in seconds.
        """
        self.journal = journal.Journal(number, retention_s, new_tag)
        self.last_used_at = now
        self._max_outcome_bytes = max_outcome_bytes
        self._new_tag = new_tag
        self._has_router_ended = has_router_ended
        self._asks: dict[str, _Ask] = {}
        self._due_asks: dict[str, None] = {}
        self._waiting_by_key: dict[str, dict[str, None]] = {}
        self._settlements: dict[str, _Settlement] = {}
        self._settlements_in_write: tuple[str, ...] = ()
        self._handled_commits = 0
        self._archive_reads: dict[str, _ArchiveRead] = {}
        self._needs_refresh = False
        self._outbox: list[core.Envelope] = []
        self.journal.refresh(now)

    @property
    def is_busy(self) -> bool:
        """Whether an ask or a settlement waits for the journal."""
        return bool(self._asks or self._settlements)

    def drain_outbox(self) -> list[core.Envelope]:
        """Returns and clears the messages to send."""
        out, self._outbox = self._outbox, []
        out.extend(self.journal.drain_outbox())
        return out

    def handle_ask(self, src: str, ask: messages.ClaimAsk, now: float) -> None:
        """Handles an ask or a resend of it."""
        self.last_used_at = now
        pending = self._asks.get(ask.attempt)
        first_received_at = pending.first_received_at if pending else now
        self._asks[ask.attempt] = _Ask(src, ask, first_received_at, now)
        self._due_asks[ask.attempt] = None
        if self.journal.phase in _ANSWERING:
            self._decide(ask.attempt)
            self._write(now)
        if pending is not None and ask.attempt in self._due_asks:
            self._send_waiting(src, ask.key, ask.attempt)

    def handle_settle(
        self, src: str, settle: messages.ClaimSettle, now: float
    ) -> None:
        """Handles the outcome of an attempt or a resend of it."""
        self.last_used_at = now
        pending = self._settlements.get(settle.attempt)
        self._settlements[settle.attempt] = _Settlement(src, settle)
        if settle.state is _STATE.ABANDONED:
            self._drop_ask(settle.attempt)
        self._write(now)
        if pending is not None and settle.attempt in self._settlements:
            self._send_waiting(src, settle.key, settle.attempt)

    def handle_store_reply(self, reply: store.StoreReply, now: float) -> bool:
        """Handles an answer of the store; False if not awaited."""
        archive_read = self._archive_reads.pop(reply.tag, None)
        if archive_read is not None:
            self._handle_archive_read(archive_read, reply)
            return True
        if not self.journal.handle_store_reply(reply, now):
            return False
        self._process(now)
        return True

    def tick(self, now: float) -> None:
        """Starts due reads and writes; drops asks that are not resent."""
        self.journal.tick(now)
        expired = [
            attempt
            for attempt, pending in self._asks.items()
            if now - pending.last_received_at >= const.ASK_EXPIRY_S
        ]
        for attempt in expired:
            self._drop_ask(attempt)
        if self._waiting_by_key:
            age_s = now - self.journal.up_to_date_at
            self._needs_refresh |= age_s >= const.WAITING_REFRESH_INTERVAL_S
        self._process(now)

    def handle_roster_change(self) -> None:
        """Decides every waiting ask anew at the next write."""
        self._due_asks.update(dict.fromkeys(self._asks))

    def _process(self, now: float) -> None:
        if self.journal.phase is journal.Phase.DOWN:
            self._reject_overdue(now)
        if self.journal.phase is not journal.Phase.READY:
            return
        if self.journal.commits > self._handled_commits:
            self._on_commit()
        elif self.journal.consume_read_flag():
            self._due_asks.update(dict.fromkeys(self._asks))
        self._claim_records(set())  # Answers the asks that the write decided.
        self._write(now)

    def _on_commit(self) -> None:
        self._handled_commits = self.journal.commits
        for attempt in self._settlements_in_write:
            settlement = self._settlements.pop(attempt, None)
            if settlement is not None:
                self._confirm_settlement(settlement)
        self._settlements_in_write = ()

    def _confirm_settlement(self, settlement: _Settlement) -> None:
        key = settlement.settle.key
        reply = messages.ClaimSettled(key, settlement.settle.attempt)
        self._send(settlement.src, reply)
        self._due_asks.update(self._waiting_by_key.pop(key, {}))

    def _reject_overdue(self, now: float) -> None:
        """Rejects asks that waited too long for a store that is down."""
        for attempt, pending in list(self._asks.items()):
            if now - pending.first_received_at >= const.STORE_DOWN_REJECT_S:
                self._answer(pending, _ANSWER.UNAVAILABLE)
                self._drop_ask(attempt)

    def _drop_ask(self, attempt: str) -> None:
        self._due_asks.pop(attempt, None)
        pending = self._asks.pop(attempt, None)
        if pending is None:
            return
        waiting = self._waiting_by_key.get(pending.ask.key, {})
        waiting.pop(attempt, None)
        if not waiting:
            self._waiting_by_key.pop(pending.ask.key, None)

    def _write(self, now: float) -> None:
        """Answers due asks; writes the records of claims and settlements."""
        if not self.journal.may_write(now):
            return
        settlements = self._settlement_records()
        keys = {
            self._settlements[attempt].settle.key for attempt in settlements
        }
        claims = self._claim_records(keys)
        records = _first_fitting({**settlements, **claims})
        if records or self.journal.replica.is_maintenance_due(now):
            self._settlements_in_write = tuple(set(records) & set(settlements))
            self.journal.write(tuple(records.values()), now)
        elif self._needs_refresh:
            self._needs_refresh = False
            self.journal.refresh(now)

    def _settlement_records(self) -> dict[str, msgspec.Raw]:
        """Returns the records of settlements to be stored, by attempt.

        Confirms those that are stored already.
        """
        records = {}
        for attempt, pending in list(self._settlements.items()):
            if self._is_stored(pending.settle):
                del self._settlements[attempt]
                self._confirm_settlement(pending)
            else:
                records[attempt] = self._settlement_record(pending.settle)
        return records

    def _is_stored(self, settle: messages.ClaimSettle) -> bool:
        entry = self.journal.replica.entries.get(settle.key)
        if entry is None:
            return False
        if entry.attempt == settle.attempt:
            return entry.state is not _STATE.CLAIMED
        return _is_final(entry)

    def _settlement_record(self, settle: messages.ClaimSettle) -> msgspec.Raw:
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
        """Answers due asks; returns the records of new claims, by attempt.

        Args:
            taken: Keys that the same write already changes.
        """
        records = {}
        for attempt in list(self._due_asks):
            pending = self._asks.get(attempt)
            if pending is None:
                del self._due_asks[attempt]
                continue
            if pending.ask.key in taken:
                continue
            raw = self._decide(attempt)
            if raw is not None:
                taken.add(pending.ask.key)
                records[attempt] = raw
        return records

    def _decide(self, attempt: str) -> msgspec.Raw | None:
        """Answers a due ask, or returns the record that claims its key.

        Returns None without an answer if the journal must be read first.
        """
        pending = self._asks[attempt]
        ask = pending.ask
        entry = self.journal.replica.entries.get(ask.key)
        if _is_claimable(entry, attempt):
            return segment.encode_record(
                segment.Record(ask.key, ask.body_hash, attempt, _STATE.CLAIMED)
            )
        assert entry is not None
        answer = self._answer_for(pending, entry)
        if answer is None:
            return None
        del self._due_asks[attempt]
        if answer is _ANSWER.IN_PROGRESS:
            self._waiting_by_key.setdefault(ask.key, {})[attempt] = None
        else:
            del self._asks[attempt]
        if answer is _ANSWER.REPLAY:
            self._replay(pending, entry)
        else:
            self._answer(pending, answer)
        return None

    def _answer_for(
        self, pending: _Ask, entry: replica.Entry
    ) -> messages.ClaimAnswer | None:
        """Returns the answer for a claimed key.

        Returns None if the journal must be read first.
        """
        if entry.attempt == pending.ask.attempt:
            is_own = entry.state is _STATE.CLAIMED
            return _ANSWER.RUN if is_own else _ANSWER.UNAVAILABLE
        if entry.body_hash != pending.ask.body_hash:
            if (
                not _is_final(entry)
                and self.journal.up_to_date_at < pending.first_received_at
            ):
                self._needs_refresh = True
                return None
            return _ANSWER.MISMATCH
        if entry.state is _STATE.FINISHED:
            return _ANSWER.REPLAY
        if entry.state is _STATE.UNKNOWN:
            return _ANSWER.OUTCOME_UNKNOWN
        waited_s = pending.last_received_at - pending.first_received_at
        if waited_s >= const.ENDED_ROUTER_GRACE_S and self._has_router_ended(
            entry.attempt
        ):
            return _ANSWER.OUTCOME_UNKNOWN
        return _ANSWER.IN_PROGRESS

    def _replay(self, pending: _Ask, entry: replica.Entry) -> None:
        tail = self.journal.replica.tail
        if entry.segment == tail.number:
            (record,) = segment.decode_records(
                [tail.records[entry.record_index]]
            )
            self._send_outcome(pending.src, pending.ask, record)
            return
        tag = self._new_tag()
        self._archive_reads[tag] = _ArchiveRead(
            pending.src, pending.ask, entry.record_index
        )
        key = ranges.archive_key(self.journal.number, entry.segment)
        self._send(core_const.STORE_NODE, store.StoreGet(key, tag))

    def _handle_archive_read(
        self, archive_read: _ArchiveRead, reply: store.StoreReply
    ) -> None:
        """Sends an archived outcome; if it is missing, the client resends."""
        if not reply.objects:
            return
        raw_records = segment.decode(reply.objects[0].value).records
        (record,) = segment.decode_records(
            [raw_records[archive_read.record_index]]
        )
        self._send_outcome(archive_read.src, archive_read.ask, record)

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

    def _answer(self, pending: _Ask, answer: messages.ClaimAnswer) -> None:
        ask = pending.ask
        self._send(
            pending.src, messages.ClaimReply(ask.key, ask.attempt, answer)
        )

    def _send_waiting(self, to: str, key: str, attempt: str) -> None:
        """Answers a resend so that the client doesn't try another keeper.

        Sends nothing while this router can't reach the store, because another
        keeper may reach it.
        """
        if not self.journal.store_reachable:
            return
        self._send(to, messages.ClaimReply(key, attempt, _ANSWER.WAITING))

    def _send(self, to: str, msg: core.Message) -> None:
        self._outbox.append(core.Envelope(to, msg))


def _is_final(entry: replica.Entry) -> bool:
    return entry.state in (_STATE.FINISHED, _STATE.UNKNOWN)


def _is_claimable(entry: replica.Entry | None, attempt: str) -> bool:
    if entry is None:
        return True
    return entry.state is _STATE.ABANDONED and entry.attempt != attempt


def _first_fitting(records: dict[str, msgspec.Raw]) -> dict[str, msgspec.Raw]:
    """Returns the first records that fit into one write."""
    size = 0
    fitting = {}
    for attempt, raw in records.items():
        size += len(bytes(raw))
        if size > const.MAX_WRITE_BYTES:
            break
        fitting[attempt] = raw
    return fitting
