"""Decides on claims of idempotency keys and stores them.

Any router can keep any range at any time: what may run is decided by the
conditional writes of the range's journal alone. That one router keeps a
range is for efficiency.
"""

from collections.abc import Sequence
import dataclasses
import random
from typing import ClassVar

import msgspec

from tamarackbridge import core
from tamarackbridge.components.claims import (
    const,
    journal,
    messages,
    ranges,
    segment,
)
from tamarackbridge.components.claims import replica as replica_lib
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store

_ANSWER = messages.ClaimAnswer
_STATE = messages.ClaimState


@dataclasses.dataclass(slots=True)
class _Ask:
    src: str
    ask: messages.ClaimAsk
    since: float
    repeated: float


@dataclasses.dataclass(slots=True)
class _Settle:
    src: str
    settle: messages.ClaimSettle


@dataclasses.dataclass(slots=True)
class _Range:
    """What waits for the journal of one range."""

    journal: journal.Journal
    used: float
    asks: dict[str, _Ask] = dataclasses.field(default_factory=dict)
    settles: dict[str, _Settle] = dataclasses.field(default_factory=dict)
    stale: bool = False


class Keeper:
    """Keeps the claims of the ranges that this router is asked about."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.ClaimAsk,
        messages.ClaimSettle,
        store.StoreReply,
        membership.RosterChanged,
    )

    def __init__(
        self,
        node: str,
        rng: random.Random,
        retention_s: float,
        max_outcome_bytes: int,
    ) -> None:
        self._node = node
        self._retention_s = retention_s
        self._max_outcome_bytes = max_outcome_bytes
        self._tag_base = f"{const.TAG_PREFIX}/{rng.getrandbits(48):x}"
        self._tags = 0
        self._ranges: dict[int, _Range] = {}
        self._owned: frozenset[int] = frozenset()
        self._out: list[core.Envelope] = []

    @property
    def claims_held(self) -> int:
        """Number of keys in memory."""
        return sum(len(r.journal.copy.entries) for r in self._ranges.values())

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one message in."""
        match delivery.msg:
            case messages.ClaimAsk() as ask:
                self._take_ask(delivery.src, ask, now)
            case messages.ClaimSettle() as settle:
                self._take_settle(delivery.src, settle, now)
            case store.StoreReply() as reply:
                self._take_reply(reply, now)
            case membership.RosterChanged() as roster:
                self._take_roster(roster, now)
        return self._flush()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Writes what has gathered and unloads what is not used."""
        for number, held in list(self._ranges.items()):
            if self._is_idle(number, held, now):
                del self._ranges[number]
                continue
            held.journal.tick(now)
            self._pump(held, now)
        return self._flush()

    def _flush(self) -> list[core.Envelope]:
        out, self._out = self._out, []
        for held in self._ranges.values():
            out.extend(held.journal.take())
        return out

    def _is_idle(self, number: int, held: _Range, now: float) -> bool:
        if number in self._owned or held.asks or held.settles:
            return False
        return now - held.used >= const.IDLE_RANGE_S

    def _range(self, number: int, now: float) -> _Range:
        held = self._ranges.get(number)
        if held is None:
            log = journal.Journal(number, self._retention_s, self._new_tag)
            held = _Range(log, now)
            self._ranges[number] = held
            log.refresh(now)
        held.used = now
        return held

    def _new_tag(self) -> str:
        self._tags += 1
        return f"{self._tag_base}/{self._tags}"

    def _take_roster(
        self, roster: membership.RosterChanged, now: float
    ) -> None:
        owners = {
            number: ranges.keeper_of(number, roster.live)
            for number in range(const.RANGES)
        }
        self._owned = frozenset(
            number for number, node in owners.items() if node == self._node
        )
        for number in self._owned:
            self._range(number, now)

    def _take_ask(self, src: str, ask: messages.ClaimAsk, now: float) -> None:
        held = self._range(ranges.range_of(ask.key), now)
        since = now
        if ask.attempt in held.asks:
            since = held.asks[ask.attempt].since
        held.asks[ask.attempt] = _Ask(src, ask, since, now)
        self._pump(held, now)

    def _take_settle(
        self, src: str, settle: messages.ClaimSettle, now: float
    ) -> None:
        held = self._range(ranges.range_of(settle.key), now)
        held.settles[settle.attempt] = _Settle(src, settle)
        if settle.state is _STATE.ABANDONED:
            held.asks.pop(settle.attempt, None)
        self._pump(held, now)

    def _take_reply(self, reply: store.StoreReply, now: float) -> None:
        if not reply.tag.startswith(self._tag_base):
            return
        for held in self._ranges.values():
            if held.journal.reply(reply, now):
                self._pump(held, now)
                return

    def _pump(self, held: _Range, now: float) -> None:
        """Answers what can be answered and writes what must be stored."""
        self._expire(held, now)
        if held.journal.phase is journal.Phase.DOWN:
            for ask in held.asks.values():
                self._answer(ask, _ANSWER.UNAVAILABLE)
            held.asks.clear()
        if held.journal.phase is not journal.Phase.READY:
            return
        held.stale = False
        records = self._settle_all(held)
        records.extend(self._claim_all(held))
        if records or held.journal.copy.upkeep_due(now):
            if held.journal.may_write(now):
                held.journal.write(_fitting(records), now)
        elif held.stale:
            held.journal.refresh(now)

    def _expire(self, held: _Range, now: float) -> None:
        gone = [
            attempt
            for attempt, ask in held.asks.items()
            if now - ask.repeated >= const.ASK_LIFE_S
        ]
        for attempt in gone:
            del held.asks[attempt]

    def _settle_all(self, held: _Range) -> list[msgspec.Raw]:
        """Returns the records of ends that are not stored yet."""
        records = []
        for attempt, waiting in list(held.settles.items()):
            settle = waiting.settle
            entry = held.journal.copy.entries.get(settle.key)
            if entry is not None and entry.attempt == attempt:
                if entry.state is not _STATE.CLAIMED:
                    del held.settles[attempt]
                    done = messages.ClaimSettled(settle.key, attempt)
                    self._out.append(core.Envelope(waiting.src, done))
                    continue
            elif entry is not None and _is_final(entry):
                del held.settles[attempt]
                done = messages.ClaimSettled(settle.key, attempt)
                self._out.append(core.Envelope(waiting.src, done))
                continue
            records.append(self._end_record(settle))
        return records

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

    def _claim_all(self, held: _Range) -> list[msgspec.Raw]:
        """Answers asks; returns the records of claims to store."""
        ending = {waiting.settle.key for waiting in held.settles.values()}
        records = []
        for attempt, waiting in list(held.asks.items()):
            ask = waiting.ask
            if ask.key in ending:
                continue
            entry = held.journal.copy.entries.get(ask.key)
            if _is_open(entry, attempt):
                ending.add(ask.key)
                records.append(_claim_record(ask))
                continue
            assert entry is not None
            if self._reply(held, waiting, entry):
                del held.asks[attempt]
        return records

    def _reply(
        self, held: _Range, waiting: _Ask, entry: replica_lib.Entry
    ) -> bool:
        """Answers an ask whose key is taken; False while it must wait."""
        ask = waiting.ask
        if entry.attempt == ask.attempt:
            mine = entry.state is _STATE.CLAIMED
            self._answer(waiting, _ANSWER.RUN if mine else _ANSWER.UNAVAILABLE)
            return True
        if entry.body_hash != ask.body_hash:
            if not _is_final(entry) and held.journal.current_at < waiting.since:
                held.stale = True
                return False
            self._answer(waiting, _ANSWER.MISMATCH)
            return True
        if entry.state is _STATE.CLAIMED:
            return False
        if entry.state is _STATE.UNKNOWN:
            self._answer(waiting, _ANSWER.OUTCOME_UNKNOWN)
            return True
        self._replay(held, waiting, entry)
        return True

    def _replay(
        self, held: _Range, waiting: _Ask, entry: replica_lib.Entry
    ) -> None:
        tail = held.journal.copy.tail
        assert entry.segment == tail.number
        (record,) = segment.decode_records([tail.records[entry.place]])
        if not record.kept:
            self._answer(waiting, _ANSWER.OUTCOME_NOT_KEPT)
            return
        ask = waiting.ask
        reply = messages.ClaimReply(
            key=ask.key,
            attempt=ask.attempt,
            answer=_ANSWER.REPLAY,
            status=record.status,
            content_type=record.content_type,
            body=record.body,
        )
        self._out.append(core.Envelope(waiting.src, reply))

    def _answer(self, waiting: _Ask, answer: messages.ClaimAnswer) -> None:
        ask = waiting.ask
        reply = messages.ClaimReply(ask.key, ask.attempt, answer)
        self._out.append(core.Envelope(waiting.src, reply))


def _is_final(entry: replica_lib.Entry) -> bool:
    return entry.state in (_STATE.FINISHED, _STATE.UNKNOWN)


def _is_open(entry: replica_lib.Entry | None, attempt: str) -> bool:
    if entry is None:
        return True
    return entry.state is _STATE.ABANDONED and entry.attempt != attempt


def _claim_record(ask: messages.ClaimAsk) -> msgspec.Raw:
    return segment.encode_record(
        segment.Record(ask.key, ask.body_hash, ask.attempt, _STATE.CLAIMED)
    )


def _fitting(records: list[msgspec.Raw]) -> tuple[msgspec.Raw, ...]:
    """Returns the records that one write may add."""
    size = 0
    for count, raw in enumerate(records):
        size += len(bytes(raw))
        if size > const.BATCH_BYTES:
            return tuple(records[:count])
    return tuple(records)
