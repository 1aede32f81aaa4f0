"""Generates the Markdown reference of settings and records from the models."""

from collections.abc import Iterable, Mapping
import dataclasses
import inspect
import json
from typing import Any, get_args, get_type_hints

import docstring_parser
import pydantic

from tamarackbridge.components.records import const, schemas
from tamarackbridge.components.settings import models

_TABLE_HEADER = "| key | allowed | default | meaning |\n|---|---|---|---|"
_REQUIRED = "required"


def page() -> str:
    """Returns the complete reference as Markdown."""
    parts = ["### Settings of a router\n", _table(models.Settings)]
    for kind in const.KINDS:
        for version, schema in schemas.SCHEMAS[kind].items():
            parts.append(f"\n### Record `{kind}`, schema version {version}\n")
            parts.append(_table(schema))
    return "\n".join(parts) + "\n"


def _table(model: type[Any]) -> str:
    return "\n".join([_TABLE_HEADER, *_rows(model, "")])


def _rows(model: type[Any], prefix: str) -> Iterable[str]:
    schema = pydantic.TypeAdapter(model).json_schema()
    attribute_docs = _attribute_docs(model)
    for name, hint in get_type_hints(model).items():
        inner, suffix = _nested_model(hint)
        if inner is not None:
            yield from _rows(inner, f"{prefix}{name}{suffix}.")
            continue
        prop = schema["properties"][name]
        default = _REQUIRED
        if name not in schema.get("required", ()):
            default = f"`{json.dumps(prop.get('default'))}`"
        allowed = _allowed(prop).replace("|", "\\|")
        key = f"`{prefix}{name}`"
        yield f"| {key} | {allowed} | {default} | {attribute_docs[name]} |"


def _nested_model(hint: Any) -> tuple[type[Any] | None, str]:
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return hint, ""
    for arg in get_args(hint):
        if dataclasses.is_dataclass(arg) and isinstance(arg, type):
            return arg, "[]"
    return None, ""


def _attribute_docs(model: type[Any]) -> dict[str, str]:
    docs: dict[str, str] = {}
    for cls in reversed(model.__mro__):
        doc = docstring_parser.parse(inspect.cleandoc(cls.__doc__ or ""))
        for param in doc.params:
            docs[param.arg_name] = " ".join((param.description or "").split())
    return docs


def _allowed(prop: Mapping[str, Any]) -> str:
    if "enum" in prop:
        return "one of " + ", ".join(f"`{item}`" for item in prop["enum"])
    match prop.get("type"):
        case "array":
            return f"list of: {_allowed(prop['items'])}{_item_count(prop)}"
        case "string":
            return f"string{_pattern(prop)}"
        case "boolean":
            return "`true` or `false`"
        case kind:
            return f"{kind}{_range(prop)}"


def _item_count(prop: Mapping[str, Any]) -> str:
    if "maxItems" not in prop:
        return ""
    return f"; {prop.get('minItems', 0)} to {prop['maxItems']} of them"


def _pattern(prop: Mapping[str, Any]) -> str:
    text = f" matching `{prop['pattern']}`" if "pattern" in prop else ""
    if "maxLength" in prop:
        text += f", at most {prop['maxLength']} characters"
    return text


def _range(prop: Mapping[str, Any]) -> str:
    phrases = {
        "minimum": "at least",
        "exclusiveMinimum": "greater than",
        "maximum": "at most",
    }
    bounds = [
        f", {phrase} {_number(prop[key])}"
        for key, phrase in phrases.items()
        if key in prop
    ]
    return "".join(bounds)


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)
