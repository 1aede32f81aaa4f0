"""Reads and writes records in the object API, one conditional write each."""

from collections.abc import Awaitable, Callable

import result

from tamarackbridge import core
from tamarackbridge.components.object_api import messages
from tamarackbridge.components.operator import protocols
from tamarackbridge.components.records import changes, codec, const, schemas

_TAG = "operator"

Call = Callable[[core.Message], Awaitable[messages.StoreReply]]
"""Executes one `Store...` message."""


class DirectWriter:
    """A `ConfigWriter` that doesn't wait for routers to confirm."""

    def __init__(self, call: Call) -> None:
        self._call = call

    async def async_read(
        self,
    ) -> result.Result[changes.Stored, protocols.ChangeError]:
        """Reads all records with their versions."""
        reply = await self._call(messages.StoreList(const.STORE_PREFIX, _TAG))
        if reply.status is not messages.StoreStatus.OK:
            return _error(
                protocols.ChangeReason.STORE_UNAVAILABLE,
                "the object API gave no answer; nothing was written",
            )
        found: dict[changes.RecordId, changes.StoredRecord] = {}
        for obj in reply.objects:
            read = codec.decode(obj.value, obj.key)
            if isinstance(read, result.Err):
                reason = protocols.ChangeReason.INVALID
                return _error(reason, str(read.err_value))
            stored = changes.StoredRecord(read.ok_value, obj.version)
            found[changes.id_of(read.ok_value)] = stored
        return result.Ok(found)

    async def async_write(
        self, base: changes.Stored, wanted: changes.ChangeSet
    ) -> result.Result[protocols.Acceptance, protocols.ChangeError]:
        """Writes each record of a change; the first failure ends it."""
        version = 0
        for record in wanted.puts:
            reply = await self._async_put(base, record)
            err = _check(reply, changes.id_of(record))
            if err is not None:
                return err
            version = reply.version
        for key in wanted.deletes:
            reply = await self._async_delete(base, key)
            err = _check(reply, key)
            if err is not None:
                return err
            version = reply.version
        return result.Ok(protocols.Acceptance(version))

    async def _async_put(
        self, base: changes.Stored, record: schemas.Record
    ) -> messages.StoreReply:
        stored = base.get(changes.id_of(record))
        expect = stored.version if stored else messages.CREATE
        key = codec.object_key(record.kind, record.name)
        value = codec.encode(record)
        return await self._call(messages.StorePut(key, value, expect, _TAG))

    async def _async_delete(
        self, base: changes.Stored, key: changes.RecordId
    ) -> messages.StoreReply:
        path = codec.object_key(key.kind, key.name)
        expect = base[key].version
        return await self._call(messages.StoreDelete(path, expect, _TAG))


def _check(
    reply: messages.StoreReply, key: changes.RecordId
) -> result.Err[protocols.ChangeError] | None:
    match reply.status:
        case messages.StoreStatus.OK:
            return None
        case messages.StoreStatus.UNKNOWN:
            detail = f"{key} may have been written; read it before retrying"
            return _error(protocols.ChangeReason.UNKNOWN, detail)
        case _:
            reason = protocols.ChangeReason.CONFLICT
            return _error(reason, f"{key}: {_other_change(reply)}")


def _other_change(reply: messages.StoreReply) -> str:
    if not reply.objects:
        return "another operator deleted it meanwhile"
    obj = reply.objects[0]
    text = obj.value.decode("utf-8", "replace")[:200]
    return f"another operator wrote version {obj.version} meanwhile: {text}"


def _error(
    reason: protocols.ChangeReason, detail: str
) -> result.Err[protocols.ChangeError]:
    return result.Err(protocols.ChangeError(reason, detail))
