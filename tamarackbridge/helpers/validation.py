"""Validation of external documents, with errors that name the key."""

from collections.abc import Mapping
import dataclasses
import functools
import json
import types
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import pydantic
import result

_T = TypeVar("_T")

_UNKNOWN_KEY = ("unexpected_keyword_argument", "extra_forbidden")
_MISSING_KEY = ("missing", "missing_argument")
_MAX_KEY_CHARS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class FieldError:
    """An invalid or missing value.

    Attributes:
        key: Dotted path of the key; empty for the whole document.
        allowed: Description of what is allowed there.
    """

    key: str
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.key}: {self.allowed}" if self.key else self.allowed


def validate(
    kind: type[_T], doc: Mapping[str, Any]
) -> result.Result[_T, FieldError]:
    """Converts a parsed TOML or JSON document to a data class."""
    hashable: Any = kind
    adapter: pydantic.TypeAdapter[_T] = _adapter(hashable)
    try:
        data = json.dumps(doc, default=_reject_value)
        return result.Ok(adapter.validate_json(data))
    except pydantic.ValidationError as exc:
        return result.Err(_describe(kind, exc))
    except (TypeError, ValueError, RecursionError) as exc:
        return result.Err(FieldError("", _one_line(str(exc))))


def field_names(kind: type[Any]) -> tuple[str, ...]:
    """Returns the field names of a data class, which are the allowed keys."""
    return tuple(field.name for field in dataclasses.fields(kind))


@functools.cache
def _adapter(kind: Any) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(kind)


def _reject_value(value: object) -> object:
    raise TypeError(f"a {type(value).__name__} is not allowed here")


def _describe(kind: type[Any], exc: pydantic.ValidationError) -> FieldError:
    errors = exc.errors(include_url=False, include_input=False)
    error = min(errors, key=lambda item: item["type"] in _MISSING_KEY)
    loc = error["loc"]
    key = _one_line(".".join(str(part) for part in loc))
    if error["type"] in _UNKNOWN_KEY:
        names = field_names(_class_at(kind, loc[:-1]))
        return FieldError(key, f"unknown key, allowed: {', '.join(names)}")
    if error["type"] in _MISSING_KEY:
        return FieldError(key, "this key is required")
    return FieldError(key, _one_line(error["msg"], limit=400))


def _class_at(kind: Any, loc: tuple[int | str, ...]) -> Any:
    for part in loc:
        if isinstance(part, int):
            kind = get_args(kind)[0]
            continue
        kind = _without_none(get_type_hints(kind).get(part, kind))
    return kind


def _without_none(hint: Any) -> Any:
    if get_origin(hint) is types.UnionType:
        return next(arg for arg in get_args(hint) if arg is not types.NoneType)
    return hint


def _one_line(text: str, limit: int = _MAX_KEY_CHARS) -> str:
    line = " ".join(text.split())
    printable = "".join(char if char.isprintable() else "?" for char in line)
    return printable[:limit]
