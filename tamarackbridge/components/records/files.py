"""Record files: several records in one TOML or JSON file."""

import json
import pathlib
import tomllib
from typing import Any

import result

from tamarackbridge.components.records import (
    codec,
    const,
    exceptions,
    schemas,
)

_Records = result.Result[tuple[schemas.Record, ...], exceptions.RecordError]


def load(path: pathlib.Path) -> _Records:
    """Reads a record file; its suffix must be `.toml` or `.json`."""
    try:
        with path.open("rb") as file:
            data = file.read(const.MAX_FILE_BYTES + 1)
    except OSError as exc:
        return _error(str(path), "", exc.strerror or "the file can't be read")
    if path.suffix == ".json":
        return parse_json(data, str(path))
    if path.suffix == ".toml":
        return parse_toml(data, str(path))
    return _error(str(path), "", "the file name must end with .toml or .json")


def parse_toml(data: bytes, where: str) -> _Records:
    """Parses records from TOML, each a `[[records]]` table."""
    if len(data) > const.MAX_FILE_BYTES:
        return _too_large(where)
    try:
        return from_documents(tomllib.loads(data.decode()), where)
    except (ValueError, RecursionError) as exc:
        return _error(where, "", f"TOML is required ({_first_line(exc)})")


def parse_json(data: bytes, where: str) -> _Records:
    """Parses records from JSON, an object with the array `records`."""
    if len(data) > const.MAX_FILE_BYTES:
        return _too_large(where)
    try:
        return from_documents(json.loads(data), where)
    except (ValueError, RecursionError) as exc:
        return _error(where, "", f"JSON is required ({_first_line(exc)})")


def from_documents(doc: Any, where: str) -> _Records:
    """Parses the records of a decoded file, up to the first error."""
    if not isinstance(doc, dict) or set(doc) != {const.CONF_RECORDS}:
        return _error(where, "", "the file must have exactly one key, records")
    items = doc[const.CONF_RECORDS]
    if not isinstance(items, list) or len(items) > const.MAX_FILE_RECORDS:
        allowed = f"an array of at most {const.MAX_FILE_RECORDS} records"
        return _error(where, const.CONF_RECORDS, allowed)
    return _parse_all(items, where)


def _parse_all(items: list[Any], where: str) -> _Records:
    found: dict[tuple[str, str], schemas.Record] = {}
    for index, item in enumerate(items):
        place = f"{where}: {const.CONF_RECORDS}[{index}]{_label(item)}"
        parsed = codec.from_document(item, place)
        if isinstance(parsed, result.Err):
            return parsed
        record = parsed.ok_value
        if (record.kind, record.name) in found:
            return _error(
                place, const.CONF_NAME, "a record may appear only once"
            )
        found[record.kind, record.name] = record
    return result.Ok(tuple(found.values()))


def _label(item: Any) -> str:
    name = item.get(const.CONF_NAME) if isinstance(item, dict) else None
    if isinstance(name, str) and name.isprintable() and len(name) < 64:
        return f" ({name})"
    return ""


def _too_large(where: str) -> result.Err[exceptions.RecordError]:
    return _error(where, "", f"at most {const.MAX_FILE_BYTES} bytes")


def _first_line(exc: Exception) -> str:
    return str(exc).partition("\n")[0][:200]


def _error(
    where: str, key: str, allowed: str
) -> result.Err[exceptions.RecordError]:
    return result.Err(exceptions.RecordError(where, key, allowed))
