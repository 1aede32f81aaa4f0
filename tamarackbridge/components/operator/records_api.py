"""Handlers of the operator calls that read and change records."""

from collections.abc import Callable, Mapping
import dataclasses
from typing import Any
import uuid

from aiohttp import web
import result

from tamarackbridge.components.operator import (
    const,
    messages,
    protocols,
    responses,
)
from tamarackbridge.components.records import (
    changes,
    codec,
    files,
    references,
    schemas,
    snapshot,
)
from tamarackbridge.components.records import const as records_const

MAX_NAME_CHARS = 64
"""Characters kept of a change's identifier and of its author's name."""

_Edit = Callable[[Any], Any]

_ZONE_EDITS: Mapping[str, _Edit] = {
    const.ACTION_TAKE_OUT: lambda zone: dataclasses.replace(zone, out=True),
    const.ACTION_BRING_BACK: lambda zone: dataclasses.replace(zone, out=False),
}

_SERVER_EDITS: Mapping[str, _Edit] = {
    const.ACTION_DRAIN: lambda srv: dataclasses.replace(srv, draining=True),
    const.ACTION_UNDRAIN: lambda srv: dataclasses.replace(srv, draining=False),
}


class RecordsApi:
    """Handlers of the calls for records, zones and servers."""

    def __init__(self, writer: protocols.ConfigWriter) -> None:
        self._writer = writer

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of these calls."""
        records = const.PATH_RECORDS
        record_path = f"{records}/{{kind}}/{{name}}"
        router.add_post(records, self.async_apply)
        router.add_get(f"{records}/{{kind}}", self.async_list)
        router.add_get(record_path, self.async_get)
        router.add_delete(record_path, self.async_delete)
        zones = f"{const.PATH_ZONES}/{{name}}/{{action}}"
        router.add_post(zones, self.async_zone)
        servers = f"{const.PATH_SERVERS}/{{name}}/{{action}}"
        router.add_post(servers, self.async_server)

    async def async_apply(self, req: web.Request) -> web.Response:
        """Writes the records of the request body."""
        parsed = files.parse_json(await req.read(), "request")
        if isinstance(parsed, result.Err):
            return responses.problem(400, "invalid", str(parsed.err_value))
        wanted = changes.ChangeSet(puts=parsed.ok_value)
        return await self._async_change(req, wanted)

    async def async_list(self, req: web.Request) -> web.Response:
        """Lists the records of one kind."""
        kind = req.match_info["kind"]
        if kind not in records_const.KINDS:
            return _unknown_kind(kind)
        configuration = await self._async_read_or_in_force()
        docs = [
            codec.to_document(configuration.records[key].record)
            for key in sorted(configuration.records)
            if key.kind == kind
        ]
        return _records_reply(configuration, docs)

    async def async_get(self, req: web.Request) -> web.Response:
        """Returns one record, in the schema version it has or the one asked."""
        key = _record_id(req)
        configuration = await self._async_read_or_in_force()
        found = configuration.records.get(key)
        if found is None:
            return _not_found(key)
        version = req.query.get(records_const.CONF_SCHEMA_VERSION, "")
        versions = schemas.SCHEMAS[key.kind]
        if version and version not in {str(item) for item in versions}:
            known = ", ".join(str(item) for item in versions)
            detail = f"{key.kind} has schema version {known}"
            return responses.problem(400, "invalid", detail)
        doc = codec.to_document(found.record, int(version or 0) or None)
        return _records_reply(configuration, [doc])

    async def async_delete(self, req: web.Request) -> web.Response:
        """Deletes one record."""
        key = _record_id(req)
        wanted = changes.ChangeSet(deletes=(key,))
        return await self._async_change(req, wanted)

    async def async_zone(self, req: web.Request) -> web.Response:
        """Takes an availability zone out or brings it back."""
        kind = records_const.KIND_ZONE
        return await self._async_edit(req, kind, _ZONE_EDITS)

    async def async_server(self, req: web.Request) -> web.Response:
        """Drains a backend server or ends its draining."""
        kind = records_const.KIND_SERVER
        return await self._async_edit(req, kind, _SERVER_EDITS)

    async def _async_edit(
        self, req: web.Request, kind: str, edits: Mapping[str, _Edit]
    ) -> web.Response:
        action = req.match_info["action"]
        if action not in edits:
            return responses.problem(404, "not_found", f"no action {action!r}")
        key = changes.RecordId(kind, req.match_info["name"])
        for _ in range(const.MAX_CHANGE_ATTEMPTS):
            read = await self._writer.async_read()
            if isinstance(read, result.Err):
                return responses.change_problem(read.err_value)
            stored = read.ok_value.records
            found = stored.get(key)
            if found is None:
                return _not_found(key)
            model = edits[action](found.record.model)
            record = dataclasses.replace(found.record, model=model)
            wanted = changes.ChangeSet(puts=(record,))
            written = await self._async_write(req, stored, wanted)
            if written.status != 409:
                return written
        return written

    async def _async_change(
        self, req: web.Request, wanted: changes.ChangeSet
    ) -> web.Response:
        read = await self._writer.async_read()
        if isinstance(read, result.Err):
            return responses.change_problem(read.err_value)
        stored = read.ok_value.records
        missing = [key for key in wanted.deletes if key not in stored]
        if missing:
            return _not_found(missing[0])
        return await self._async_write(req, stored, wanted)

    async def _async_read_or_in_force(self) -> protocols.Configuration:
        """Reads from the platform, or if that fails what is in force here."""
        read = await self._writer.async_read()
        if isinstance(read, result.Ok):
            return read.ok_value
        return self._writer.in_force()

    async def _async_write(
        self,
        req: web.Request,
        stored: changes.Stored,
        wanted: changes.ChangeSet,
    ) -> web.Response:
        merged = changes.merge(stored, wanted)
        violation = references.find_inconsistency(
            snapshot.build(0, merged.values())
        )
        if violation is not None:
            return responses.problem(400, "invalid", str(violation))
        first_of_version = changes.first_in_new_version(stored, wanted)
        if first_of_version is not None and not _has_flag(
            req, const.ATTR_NEW_SCHEMA_VERSION
        ):
            return _new_schema_version_problem(first_of_version)
        change_list = _to_messages(changes.diff(stored, wanted))
        if _has_flag(req, const.ATTR_DRY_RUN):
            return responses.reply(messages.ChangeReply(True, 0, change_list))
        effective = changes.without_unchanged(stored, wanted)
        origin = _origin(req)
        written = await self._writer.async_write(stored, effective, origin)
        if isinstance(written, result.Err):
            return responses.change_problem(written.err_value)
        accepted = written.ok_value
        body = messages.ChangeReply(
            dry_run=False,
            generation=accepted.generation,
            changes=change_list,
            lagging=accepted.lagging,
        )
        return responses.reply(body)


def _has_flag(req: web.Request, name: str) -> bool:
    return req.query.get(name, "").lower() in ("1", "true", "yes")


def _records_reply(
    configuration: protocols.Configuration, docs: list[dict[str, Any]]
) -> web.Response:
    body = messages.RecordsReply(
        generation=configuration.generation,
        from_store=configuration.from_store,
        records=tuple(docs),
    )
    return responses.reply(body)


def _origin(req: web.Request) -> protocols.Origin:
    change_id = req.headers.get(const.HEADER_CHANGE_ID, "")
    author = req.headers.get(const.HEADER_AUTHOR, "")
    return protocols.Origin(
        change_id=_sanitize(change_id) or uuid.uuid4().hex,
        author=_sanitize(author) or "an operator",
    )


def _sanitize(text: str) -> str:
    return "".join(char for char in text if char.isprintable())[:MAX_NAME_CHARS]


def _new_schema_version_problem(record: schemas.Record) -> web.Response:
    detail = (
        f"{changes.id_of(record)}: no {record.kind} of schema version"
        f" {record.schema_version} is stored yet; routers of an older version"
        " can't read it: upgrade all of them, then give --new-schema-version"
    )
    return responses.problem(400, "new_schema_version", detail)


def _record_id(req: web.Request) -> changes.RecordId:
    return changes.RecordId(req.match_info["kind"], req.match_info["name"])


def _unknown_kind(kind: str) -> web.Response:
    known = ", ".join(records_const.KINDS)
    detail = f"no kind {kind!r}; the kinds are {known}"
    return responses.problem(404, "not_found", detail)


def _not_found(key: changes.RecordId) -> web.Response:
    if key.kind not in records_const.KINDS:
        return _unknown_kind(key.kind)
    return responses.problem(404, "not_found", f"no record {key}")


def _to_messages(
    record_changes: tuple[changes.RecordChange, ...],
) -> tuple[messages.RecordChange, ...]:
    return tuple(
        messages.RecordChange(
            kind=change.record.kind,
            name=change.record.name,
            action=change.action.value,
            fields=tuple(
                messages.FieldChange(item.key, item.before, item.after)
                for item in change.fields
            ),
        )
        for change in record_changes
    )
