"""Converts records from and to documents, stored bytes and store keys."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

import result

from tamarackbridge.components.records import const, exceptions, schemas
from tamarackbridge.helpers import validation

Document = Mapping[str, Any]
"""A record as parsed from TOML or JSON."""


def object_key(kind: str, name: str) -> str:
    """Returns the object API key of a record."""
    return f"{const.STORE_PREFIX}{kind}/{name}"


def from_document(
    doc: object, where: str = "record"
) -> result.Result[schemas.Record, exceptions.RecordError]:
    """Parses one record of any known schema version.

    Args:
        doc: A parsed TOML or JSON document.
        where: Place of the document that an error names.
    """
    head = _read_head(doc, where)
    if isinstance(head, result.Err):
        return head
    schema, version, fields = head.ok_value
    checked = validation.validate(schema, fields)
    if isinstance(checked, result.Err):
        err = checked.err_value
        return result.Err(exceptions.RecordError(where, err.key, err.allowed))
    return result.Ok(schemas.Record(version, checked.ok_value.to_model()))


def to_document(
    record: schemas.Record, schema_version: int | None = None
) -> dict[str, Any]:
    """Returns a record as a document, by default in its writer's version.

    Raises:
        KeyError: The kind has no such schema version.
    """
    version = schema_version or record.schema_version
    schema = schemas.SCHEMAS[record.kind][version]
    head = {
        const.CONF_KIND: record.kind,
        const.CONF_SCHEMA_VERSION: version,
    }
    return head | dataclasses.asdict(schema.from_model(record.model))


def encode(record: schemas.Record) -> bytes:
    """Serializes a record for the object API, in its writer's version."""
    doc = to_document(record)
    return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()


def decode(
    data: bytes, where: str = "stored record"
) -> result.Result[schemas.Record, exceptions.RecordError]:
    """Parses a stored record."""
    if len(data) > const.MAX_RECORD_BYTES:
        return _error(where, "", f"at most {const.MAX_RECORD_BYTES} bytes")
    try:
        doc = json.loads(data)
    except (ValueError, RecursionError) as exc:
        return _error(where, "", f"JSON is required ({exc})")
    return from_document(doc, where)


def _read_head(
    doc: object, where: str
) -> result.Result[
    tuple[type[Any], int, dict[str, Any]], exceptions.RecordError
]:
    if not isinstance(doc, Mapping):
        return _error(where, "", "a record is a table of keys")
    kind = doc.get(const.CONF_KIND)
    if not isinstance(kind, str) or kind not in schemas.SCHEMAS:
        known = ", ".join(const.KINDS)
        return _error(where, const.CONF_KIND, f"one of {known}")
    versions = schemas.SCHEMAS[kind]
    version = doc.get(const.CONF_SCHEMA_VERSION)
    if type(version) is not int or version not in versions:
        known = ", ".join(str(item) for item in versions)
        allowed = f"{kind} has schema version {known}"
        return _error(where, const.CONF_SCHEMA_VERSION, allowed)
    head = (const.CONF_KIND, const.CONF_SCHEMA_VERSION)
    fields = {key: doc[key] for key in doc if key not in head}
    return result.Ok((versions[version], version, fields))


def _error(
    where: str, key: str, allowed: str
) -> result.Err[exceptions.RecordError]:
    return result.Err(exceptions.RecordError(where, key, allowed))
