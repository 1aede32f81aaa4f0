"""Makes operators' changes through the configuration decider."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import ClassVar
import uuid

import result

from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.configuration import stored as config_stored
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.operator import protocols
from tamarackbridge.components.records import changes, codec

ANSWER_MARGIN_S = 2.0
"""Time beyond the wait for acceptance until no answer is expected."""

_State = configuration.ChangeState
_Reason = protocols.ChangeReason

_REASONS: Mapping[_State, _Reason] = {
    _State.WRITTEN: _Reason.NOT_CONFIRMED,
    _State.UNKNOWN: _Reason.UNKNOWN,
    _State.CONFLICT: _Reason.CONFLICT,
    _State.INVALID: _Reason.INVALID,
    _State.NOT_WRITTEN: _Reason.STORE_UNAVAILABLE,
}


class ChangePort:
    """A decider that hands reports on changes to waiting coroutines.

    Attributes:
        live: Routers that this router hears from.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.ChangeReport,
        membership.RosterChanged,
    )

    def __init__(self) -> None:
        self.live: tuple[str, ...] = ()
        self._waiting: dict[
            str, asyncio.Future[configuration.ChangeReport]
        ] = {}

    def expect(
        self, change_id: str
    ) -> asyncio.Future[configuration.ChangeReport]:
        """Returns a future for the report on a change."""
        fut: asyncio.Future[configuration.ChangeReport]
        fut = asyncio.get_running_loop().create_future()
        self._waiting[change_id] = fut
        return fut

    def forget(self, change_id: str) -> None:
        """Stops waiting for a report."""
        self._waiting.pop(change_id, None)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Hands one local message on."""
        del now
        match delivery.msg:
            case configuration.ChangeReport() as report:
                fut = self._waiting.pop(report.change_id, None)
                if fut is not None and not fut.done():
                    fut.set_result(report)
            case membership.RosterChanged(live=live):
                self.live = live
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()


class FleetWriter:
    """A `ConfigWriter` whose changes wait until they are accepted.

    The version of a record is the generation that changed it last.
    """

    def __init__(
        self,
        node: str,
        port: ChangePort,
        records: Callable[[], Mapping[str, config_stored.StoredRecord]],
        inject: Callable[[core.Message], None],
    ) -> None:
        self._node = node
        self._port = port
        self._records = records
        self._inject = inject

    async def async_read(
        self,
    ) -> result.Result[changes.Stored, protocols.ChangeError]:
        """Returns the records in force on this router."""
        found: dict[changes.RecordId, changes.StoredRecord] = {}
        for key, item in self._records().items():
            read = codec.decode(item.body, key)
            if isinstance(read, result.Err):
                detail = str(read.err_value)
                return result.Err(
                    protocols.ChangeError(_Reason.INVALID, detail)
                )
            record = read.ok_value
            stored = changes.StoredRecord(record, item.generation)
            found[changes.id_of(record)] = stored
        return result.Ok(found)

    async def async_write(
        self, base: changes.Stored, wanted: changes.ChangeSet
    ) -> result.Result[protocols.Acceptance, protocols.ChangeError]:
        """Writes a change and waits for its acceptance."""
        ask = configuration.ChangeAsk(
            uuid.uuid4().hex, self._node, _edits(base, wanted)
        )
        fut = self._port.expect(ask.change_id)
        self._inject(ask)
        try:
            async with asyncio.timeout(ask.wait_s + ANSWER_MARGIN_S):
                report = await fut
        except TimeoutError:
            detail = "no answer in time; read the records again"
            return result.Err(protocols.ChangeError(_Reason.UNKNOWN, detail))
        finally:
            self._port.forget(ask.change_id)
        if report.state is not _State.ACCEPTED:
            reason = _REASONS[report.state]
            return result.Err(protocols.ChangeError(reason, _detail(report)))
        confirmed = tuple(
            node for node in self._port.live if node not in report.lagging
        )
        return result.Ok(
            protocols.Acceptance(report.generation, confirmed, report.lagging)
        )


def _edits(
    base: changes.Stored, wanted: changes.ChangeSet
) -> tuple[configuration.RecordEdit, ...]:
    puts = [
        configuration.RecordEdit(
            str(changes.id_of(record)),
            codec.encode(record),
            _expect(base, changes.id_of(record)),
        )
        for record in wanted.puts
    ]
    deletes = [
        configuration.RecordEdit(str(key), b"", _expect(base, key))
        for key in wanted.deletes
    ]
    return (*puts, *deletes)


def _expect(base: changes.Stored, key: changes.RecordId) -> int:
    return base[key].version if key in base else 0


def _detail(report: configuration.ChangeReport) -> str:
    missing = ", ".join(report.lagging)
    behind = f"; not confirmed by {missing}" if missing else ""
    return f"{report.state.value}: {report.detail}{behind}"
