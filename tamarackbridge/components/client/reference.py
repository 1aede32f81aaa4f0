"""The reference of settings and records, as Markdown, from their models."""

from collections.abc import Iterable, Mapping
import dataclasses
import inspect
import json
from typing import Any, get_args, get_type_hints

import docstring_parser
import pydantic

from tamarackbridge.components.records import const, schemas
from tamarackbridge.components.settings import models

_HEAD = "| key | allowed | default | meaning |\n|---|---|---|---|"
_REQUIRED = "required"


def page() -> str:
    """Returns the whole reference."""
    parts = ["### Settings of a router\n", _table(models.Settings)]
    for kind in const.KINDS:
        for version, schema in schemas.SCHEMAS[kind].items():
            parts.append(f"\n### Record `{kind}`, schema version {version}\n")
            parts.append(_table(schema))
    return "\n".join(parts) + "\n"


def _table(kind: type[Any]) -> str:
    return "\n".join([_HEAD, *_rows(kind, "")])


def _rows(kind: type[Any], prefix: str) -> Iterable[str]:
    schema = pydantic.TypeAdapter(kind).json_schema()
    meanings = _meanings(kind)
    for name, hint in get_type_hints(kind).items():
        inner, mark = _nested(hint)
        if inner is not None:
            yield from _rows(inner, f"{prefix}{name}{mark}.")
            continue
        prop = schema["properties"][name]
        default = _REQUIRED
        if name not in schema.get("required", ()):
            default = f"`{json.dumps(prop.get('default'))}`"
        allowed = _allowed(prop).replace("|", "\\|")
        key = f"`{prefix}{name}`"
        yield f"| {key} | {allowed} | {default} | {meanings[name]} |"


def _nested(hint: Any) -> tuple[type[Any] | None, str]:
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return hint, ""
    for arg in get_args(hint):
        if dataclasses.is_dataclass(arg) and isinstance(arg, type):
            return arg, "[]"
    return None, ""


def _meanings(kind: type[Any]) -> dict[str, str]:
    found: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        doc = docstring_parser.parse(inspect.cleandoc(base.__doc__ or ""))
        for param in doc.params:
            found[param.arg_name] = " ".join((param.description or "").split())
    return found


def _allowed(prop: Mapping[str, Any]) -> str:
    if "enum" in prop:
        return "one of " + ", ".join(f"`{item}`" for item in prop["enum"])
    match prop.get("type"):
        case "array":
            return f"list of: {_allowed(prop['items'])}{_items(prop)}"
        case "string":
            return f"string{_pattern(prop)}"
        case "boolean":
            return "`true` or `false`"
        case kind:
            return f"{kind}{_range(prop)}"


def _items(prop: Mapping[str, Any]) -> str:
    if "maxItems" not in prop:
        return ""
    return f"; {prop.get('minItems', 0)} to {prop['maxItems']} of them"


def _pattern(prop: Mapping[str, Any]) -> str:
    found = f" matching `{prop['pattern']}`" if "pattern" in prop else ""
    if "maxLength" in prop:
        found += f", at most {prop['maxLength']} characters"
    return found


def _range(prop: Mapping[str, Any]) -> str:
    words = {
        "minimum": "at least",
        "exclusiveMinimum": "greater than",
        "maximum": "at most",
    }
    found = [
        f", {word} {_plain(prop[key])}"
        for key, word in words.items()
        if key in prop
    ]
    return "".join(found)


def _plain(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)
