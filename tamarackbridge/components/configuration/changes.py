"""Writes operators' changes to the store and waits until they are accepted.

A change is *accepted* when a majority of the roster has it in force and the
store has been read since. A router needs evidence from the store or from a
majority to continue serving, and either shows it the change within one lease.
"""

from collections.abc import Mapping, Sequence
import dataclasses
import enum
import random
from typing import ClassVar

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.configuration import (
    const,
    json_codec,
    messages,
    old_data,
    stored,
)
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store

TAG = "configuration:change:"

STEP_TIMEOUT_S = 1.0
"""Shortest wait for the answer to a store call before the change is retried."""


class _Step(enum.Enum):
    READ_HEAD = "read_head"
    READ_DATA = "read_data"
    WRITE_DATA = "write_data"
    WRITE_HEAD = "write_head"
    CONFIRM = "confirm"


@dataclasses.dataclass(slots=True)
class _PendingChange:
    """One change that has not been reported yet.

    Attributes:
        call: Number of the open store call; 0 for none.
        maybe_written: Whether a write of the head was sent whose outcome is
            unknown.
        version: Store version of the head, once it is written.
    """

    ask: messages.ChangeAsk
    deadline: float
    step: _Step = _Step.READ_HEAD
    call: int = 0
    retry_at: float = 0.0
    failures: int = 0
    maybe_written: bool = False
    head: stored.Head = stored.NO_HEAD
    head_version: int = store.CREATE
    data: bytes = b""
    generation: int = 0
    version: int = 0


class ConflictError(stored.ConfigurationError):
    """A record has changed since the writer of a change read it."""


class ChangeWriter:
    """Executes the changes that operators request from this router."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.ChangeAsk,
        membership.FleetEvidence,
        store.StoreReply,
    )

    def __init__(
        self,
        node: str,
        rng: random.Random,
        codec: stored.RecordCodec | None = None,
    ) -> None:
        self._node = node
        self._rng = rng
        self._codec = codec or json_codec.JsonCodec()
        self._cleaner = old_data.Cleaner()
        self._pending: dict[str, _PendingChange] = {}
        self._calls = 0

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case messages.ChangeAsk():
                return self._handle_ask(delivery.msg, now)
            case membership.FleetEvidence():
                return self._handle_evidence(delivery.msg, now)
            case store.StoreReply():
                return self._handle_store_reply(delivery.msg, now)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Retries unanswered store calls and ends changes at their deadline."""
        out: list[core.Envelope] = []
        for pending in list(self._pending.values()):
            if now >= pending.deadline:
                out.append(self._time_out(pending))
            elif pending.step is not _Step.CONFIRM and now >= pending.retry_at:
                out.extend(self._start_step(pending, _Step.READ_HEAD, now))
        return out

    def _handle_ask(
        self, ask: messages.ChangeAsk, now: float
    ) -> Sequence[core.Envelope]:
        if ask.change_id in self._pending:
            return ()
        pending = _PendingChange(ask, now + ask.wait_s)
        self._pending[ask.change_id] = pending
        return self._start_step(pending, _Step.READ_HEAD, now)

    def _start_step(
        self, pending: _PendingChange, step: _Step, now: float
    ) -> Sequence[core.Envelope]:
        self._calls += 1
        pending.step = step
        pending.call = self._calls
        wait_s = STEP_TIMEOUT_S * 2.0 ** min(max(pending.failures - 1, 0), 2)
        pending.retry_at = now + wait_s * self._rng.uniform(1.0, 1.5)
        pending.failures += step is _Step.READ_HEAD
        call = self._build_call(pending, f"{TAG}{pending.call}")
        return (core.Envelope(core_const.STORE_NODE, call),)

    def _build_call(self, pending: _PendingChange, tag: str) -> core.Message:
        match pending.step:
            case _Step.READ_HEAD:
                return store.StoreGet(membership_const.KEY_CONFIG, tag)
            case _Step.READ_DATA:
                return store.StoreGet(pending.head.data_key, tag)
            case _Step.WRITE_DATA:
                key = _data_key(pending)
                return store.StorePut(key, pending.data, store.CREATE, tag)
            case _:
                pending.maybe_written = True
                value = stored.encode_head(_next_head(pending))
                key = membership_const.KEY_CONFIG
                return store.StorePut(key, value, pending.head_version, tag)

    def _handle_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        for pending in self._pending.values():
            if reply.tag == f"{TAG}{pending.call}":
                return self._handle_step_reply(pending, reply, now)
        return self._cleaner.handle_store_reply(reply)

    def _handle_step_reply(
        self, pending: _PendingChange, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        pending.call = 0
        if reply.status is store.StoreStatus.UNKNOWN:
            return ()
        match pending.step:
            case _Step.READ_HEAD:
                return self._handle_head(pending, reply, now)
            case _Step.READ_DATA:
                return self._handle_data(pending, reply, now)
            case _Step.WRITE_DATA:
                return self._start_step(pending, _Step.WRITE_HEAD, now)
            case _Step.WRITE_HEAD:
                return self._handle_head_written(pending, reply, now)
        return ()

    def _handle_head(
        self, pending: _PendingChange, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        former_version = pending.head_version
        pending.head = stored.NO_HEAD
        pending.head_version = store.CREATE
        if reply.objects:
            try:
                pending.head = stored.decode_head(reply.objects[0].value)
            except stored.ConfigurationError as exc:
                state = messages.ChangeState.INVALID
                return self._finish(pending, state, str(exc))
            pending.head_version = reply.objects[0].version
        found = pending.head.find_change(pending.ask.change_id)
        if found is not None:
            return self._await_confirmation(
                pending, found.generation, pending.head_version
            )
        if not pending.ask.edits:
            return self._await_confirmation(
                pending, pending.head.generation, pending.head_version
            )
        if pending.head_version != former_version:
            # A write conditional on the former version can no longer succeed.
            pending.maybe_written = False
        if pending.head.data_key:
            return self._start_step(pending, _Step.READ_DATA, now)
        return self._edit(pending, {}, now)

    def _handle_data(
        self, pending: _PendingChange, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if not reply.objects:
            return ()
        try:
            records = stored.decode_records(reply.objects[0].value)
        except stored.ConfigurationError as exc:
            state = messages.ChangeState.INVALID
            return self._finish(pending, state, str(exc))
        return self._edit(pending, records, now)

    def _edit(
        self,
        pending: _PendingChange,
        records: dict[str, stored.StoredRecord],
        now: float,
    ) -> Sequence[core.Envelope]:
        pending.generation = pending.head.generation + 1
        try:
            edited = apply_edits(records, pending.ask, pending.generation)
            stored.decode_snapshot(self._codec, pending.generation, edited)
            pending.data = stored.encode_records(edited)
            _check_size(pending.data)
        except ConflictError as exc:
            state = messages.ChangeState.CONFLICT
            return self._finish(pending, state, str(exc))
        except stored.ConfigurationError as exc:
            state = messages.ChangeState.INVALID
            return self._finish(pending, state, str(exc))
        return self._start_step(pending, _Step.WRITE_DATA, now)

    def _handle_head_written(
        self, pending: _PendingChange, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if reply.status is store.StoreStatus.OK and reply.objects:
            version = reply.objects[0].version
            return self._await_confirmation(
                pending, pending.generation, version
            )
        pending.failures = 0
        return self._start_step(pending, _Step.READ_HEAD, now)

    def _await_confirmation(
        self, pending: _PendingChange, generation: int, version: int
    ) -> Sequence[core.Envelope]:
        pending.step = _Step.CONFIRM
        pending.generation = generation
        pending.version = version
        return ()

    def _handle_evidence(
        self, evidence: membership.FleetEvidence, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for pending in list(self._pending.values()):
            if pending.step is not _Step.CONFIRM:
                continue
            if evidence.accepted >= pending.version:
                state = messages.ChangeState.ACCEPTED
                out.extend(self._cleaner.clean(pending.head))
                out.extend(self._finish(pending, state, "", evidence.lagging))
            elif now >= pending.deadline:
                state = messages.ChangeState.WRITTEN
                out.extend(self._finish(pending, state, "", evidence.lagging))
        return out

    def _time_out(self, pending: _PendingChange) -> core.Envelope:
        state = messages.ChangeState.NOT_WRITTEN
        if pending.step is _Step.CONFIRM:
            state = messages.ChangeState.WRITTEN
        elif pending.maybe_written:
            state = messages.ChangeState.UNKNOWN
        return self._finish(pending, state, "the wait time has passed")[0]

    def _finish(
        self,
        pending: _PendingChange,
        state: messages.ChangeState,
        detail: str,
        lagging: tuple[str, ...] = (),
    ) -> list[core.Envelope]:
        del self._pending[pending.ask.change_id]
        report = messages.ChangeReport(
            pending.ask.change_id,
            state,
            pending.generation if pending.version else 0,
            detail,
            lagging,
        )
        return [core.Envelope(core_const.LOCAL_NODE, report)]


def apply_edits(
    records: Mapping[str, stored.StoredRecord],
    ask: messages.ChangeAsk,
    generation: int,
) -> dict[str, stored.StoredRecord]:
    """Returns the records after a change.

    Raises:
        ConflictError: A record has changed since the writer read it.
    """
    edited = dict(records)
    for edit in ask.edits:
        existing = records.get(edit.name)
        _check_expected(edit, existing)
        if not edit.body:
            edited.pop(edit.name, None)
            continue
        edited[edit.name] = stored.StoredRecord(
            edit.body, generation, ask.change_id, ask.author
        )
    return edited


def _check_expected(
    edit: messages.RecordEdit, existing: stored.StoredRecord | None
) -> None:
    current = existing.generation if existing else 0
    if edit.expect in (messages.ANY, current):
        return
    if existing is None:
        raise ConflictError(f"{edit.name} does not exist any more")
    raise ConflictError(
        f"{edit.name} was changed by {existing.change_id} of {existing.author}"
        f" in generation {existing.generation}"
    )


def _check_size(data: bytes) -> None:
    if len(data) > const.MAX_DATA_BYTES:
        raise stored.ConfigurationError(
            f"{len(data)} bytes of records are more than a generation holds"
        )


def _data_key(pending: _PendingChange) -> str:
    return stored.data_key(pending.generation, pending.ask.change_id)


def _next_head(pending: _PendingChange) -> stored.Head:
    change = stored.Change(
        pending.ask.change_id,
        pending.ask.author,
        pending.generation,
        tuple(edit.name for edit in pending.ask.edits),
    )
    changes = (*pending.head.changes, change)
    return stored.Head(pending.generation, _data_key(pending), changes)
