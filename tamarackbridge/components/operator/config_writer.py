"""Reads records from the object API and submits changes of records.

A change is written by this router's configuration decider, which gets it as a
local `ChangeAsk` and answers with a `ChangeReport`.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import ClassVar, Final

import result

from tamarackbridge import core
from tamarackbridge.components import object_api
from tamarackbridge.components.configuration import applier, messages, stored
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.operator import protocols
from tamarackbridge.components.records import changes, codec, schemas

ACCEPT_WAIT_S: Final = 8.0
"""Time that the configuration decider waits for a change to be accepted."""

REPORT_MARGIN_S: Final = 4.0
"""Time beyond `ACCEPT_WAIT_S` to wait for the decider's report.

Without a report by then, whether the change was written counts as unknown.
"""

_TAG: Final = "operator:read"

_ReadResult = result.Result[protocols.Configuration, protocols.ChangeError]
_WriteResult = result.Result[protocols.Acceptance, protocols.ChangeError]
_Reason = protocols.ChangeReason

_REASONS: Final[Mapping[messages.ChangeState, _Reason]] = {
    messages.ChangeState.WRITTEN: _Reason.NOT_CONFIRMED,
    messages.ChangeState.UNKNOWN: _Reason.UNKNOWN,
    messages.ChangeState.CONFLICT: _Reason.CONFLICT,
    messages.ChangeState.INVALID: _Reason.INVALID,
    messages.ChangeState.NOT_WRITTEN: _Reason.STORE_UNAVAILABLE,
}

_DETAILS: Final[Mapping[messages.ChangeState, str]] = {
    messages.ChangeState.WRITTEN: (
        "the change is written, but a majority of routers has not confirmed it"
    ),
    messages.ChangeState.UNKNOWN: (
        "the change may be written; the object API gave no answer"
    ),
    messages.ChangeState.NOT_WRITTEN: (
        "the object API gave no answer; nothing was written"
    ),
}


class ChangeReportReceiver:
    """Decider that passes each `ChangeReport` to the calls waiting for it."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (messages.ChangeReport,)

    def __init__(self) -> None:
        self._waiting: dict[str, list[asyncio.Future[messages.ChangeReport]]]
        self._waiting = {}

    def expect(self, change_id: str) -> asyncio.Future[messages.ChangeReport]:
        """Returns a future that gets the report of a change."""
        future: asyncio.Future[messages.ChangeReport]
        future = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(change_id, []).append(future)
        return future

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Resolves the futures of the change that was reported."""
        del now
        report = delivery.msg
        if isinstance(report, messages.ChangeReport):
            for future in self._waiting.pop(report.change_id, ()):
                if not future.done():
                    future.set_result(report)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Drops changes whose futures are all done or cancelled."""
        del now
        for change_id, futures in list(self._waiting.items()):
            if all(future.done() for future in futures):
                del self._waiting[change_id]
        return ()


class ConfigWriter:
    """Implements `protocols.ConfigWriter` for one router.

    `lagging_routers` returns the live routers that have not confirmed the
    generation in force on this router.
    """

    def __init__(
        self,
        reports: ChangeReportReceiver,
        applied: applier.Applier,
        api: object_api.ObjectApi,
        inject: Callable[[core.Message], None],
        lagging_routers: Callable[[], tuple[str, ...]],
    ) -> None:
        self._reports = reports
        self._applier = applied
        self._api = api
        self._inject = inject
        self._lagging_routers = lagging_routers

    async def async_read(self) -> _ReadResult:
        """Reads all records from the object API of the platform."""
        key = membership_const.KEY_CONFIG
        head = await self._api.async_call(store.StoreGet(key, _TAG))
        if head.status is store.StoreStatus.NOT_FOUND:
            return result.Ok(protocols.Configuration(0, {}, True))
        if not head.objects:
            return _unavailable()
        try:
            return await self._async_read_data(head.objects[0].value)
        except stored.ConfigurationError as exc:
            return _error(_Reason.INVALID, str(exc))

    async def _async_read_data(self, value: bytes) -> _ReadResult:
        head = stored.decode_head(value)
        call = store.StoreGet(head.data_key, _TAG)
        data = await self._api.async_call(call)
        if not data.objects:
            return _unavailable()
        records = stored.decode_records(data.objects[0].value)
        return _configuration(head.generation, records, True)

    def in_force(self) -> protocols.Configuration:
        """Returns the records that are in force on this router."""
        applied = self._applier
        current = _configuration(applied.generation, applied.records, False)
        return current.unwrap_or(protocols.Configuration(0, {}, False))

    async def async_write(
        self,
        base: changes.Stored,
        wanted: changes.ChangeSet,
        origin: protocols.Origin,
    ) -> _WriteResult:
        """Submits a change and waits until it is accepted.

        The outcome counts as unknown when no report comes within
        `ACCEPT_WAIT_S` plus `REPORT_MARGIN_S`.
        """
        puts = (_put(base, record) for record in wanted.puts)
        deletes = (_delete(base, key) for key in wanted.deletes)
        ask = messages.ChangeAsk(
            change_id=origin.change_id,
            author=origin.author,
            edits=(*puts, *deletes),
            wait_s=ACCEPT_WAIT_S,
        )
        future = self._reports.expect(origin.change_id)
        self._inject(ask)
        try:
            async with asyncio.timeout(ACCEPT_WAIT_S + REPORT_MARGIN_S):
                return self._to_result(await future)
        except TimeoutError:
            detail = _DETAILS[messages.ChangeState.UNKNOWN]
            return _error(_Reason.UNKNOWN, detail)

    def _to_result(self, report: messages.ChangeReport) -> _WriteResult:
        lagging = report.lagging
        # The report names only some of the lagging routers. The status view
        # names all, but only for the generation in force here.
        if self._applier.generation == report.generation:
            lagging = self._lagging_routers()
        if report.state is messages.ChangeState.ACCEPTED:
            accepted = protocols.Acceptance(report.generation, lagging)
            return result.Ok(accepted)
        detail = _DETAILS.get(report.state, report.detail)
        if report.state is messages.ChangeState.WRITTEN and lagging:
            detail = f"{detail}: {', '.join(lagging)}"
        return _error(_REASONS[report.state], detail)


def _put(base: changes.Stored, record: schemas.Record) -> messages.RecordEdit:
    key = changes.id_of(record)
    base_record = base.get(key)
    expect = base_record.generation if base_record else 0
    return messages.RecordEdit(str(key), codec.encode(record), expect)


def _delete(base: changes.Stored, key: changes.RecordId) -> messages.RecordEdit:
    return messages.RecordEdit(str(key), b"", base[key].generation)


def _configuration(
    generation: int,
    records: Mapping[str, stored.StoredRecord],
    from_store: bool,
) -> _ReadResult:
    by_id: dict[changes.RecordId, changes.StoredRecord] = {}
    for key, raw in records.items():
        decoded = codec.decode(raw.body, key)
        if isinstance(decoded, result.Err):
            return _error(_Reason.INVALID, str(decoded.err_value))
        record = decoded.ok_value
        stored_record = changes.StoredRecord(record, raw.generation)
        by_id[changes.id_of(record)] = stored_record
    return result.Ok(protocols.Configuration(generation, by_id, from_store))


def _unavailable() -> result.Err[protocols.ChangeError]:
    detail = _DETAILS[messages.ChangeState.NOT_WRITTEN]
    return _error(_Reason.STORE_UNAVAILABLE, detail)


def _error(reason: _Reason, detail: str) -> result.Err[protocols.ChangeError]:
    return result.Err(protocols.ChangeError(reason, detail))
