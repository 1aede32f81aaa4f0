"""Decodes lists of stored objects, some of which may be malformed.

Other writers share the store. An entry that can't be decoded must not prevent
the others from being decoded, however deeply it is nested and whatever numbers
and strings it holds.
"""

import re
from typing import Any

import msgspec

MAX_DEPTH = 64
"""Nesting depth that is decoded; the platform's objects have a few levels."""

_INVALID_NUMBER = b"1e999"
"""A number that every decoder rejects; replaces values nested deeper, and
strings that can't be decoded."""

_INVALID_KEY = b'"":' + _INVALID_NUMBER + b',""'
"""Replaces the key of an object that can't be decoded."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_PLAIN_STRING = re.compile(rb'"[ !#-\[\]-~]*"')
"""A string that every decoder accepts."""

_COLON = re.compile(rb"\s*:")

_OPENING = frozenset((b"[", b"{"))
_CLOSING = frozenset((b"]", b"}"))


class Metadata(msgspec.Struct):
    """Identifies a stored object."""

    name: str
    revision: int = 0
    created: msgspec.Raw = msgspec.Raw(b"0")


class Entry(msgspec.Struct):
    """A stored object whose content is decoded separately."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


_ENTRY = msgspec.json.Decoder(Entry)


def page(data: bytes, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Decodes a list of entries, even if some can't be decoded.

    Raises:
        MsgspecError: The list as a whole does not match the decoder's type.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        pass
    try:
        return decoder.decode(
            _without_deep_values(_without_invalid_strings(data))
        )
    except RecursionError as exc:
        # A list that is cut within a deep value has no end to replace it by.
        raise msgspec.DecodeError("nested too deeply") from exc


def _without_invalid_strings(data: bytes) -> bytes:
    """Returns JSON in which strings that can't be decoded are invalid numbers.

    The decoder checks escapes, such as those of half a surrogate pair, also
    where it leaves a value undecoded.
    """
    kept = []
    position = 0
    for token in _TOKENS.finditer(data):
        if token[0] in _OPENING or token[0] in _CLOSING:
            continue
        if _PLAIN_STRING.fullmatch(token[0]) or _is_decodable(token[0]):
            continue
        is_key = _COLON.match(data, token.end()) is not None
        replacement = _INVALID_KEY if is_key else _INVALID_NUMBER
        kept += [data[position : token.start()], replacement]
        position = token.end()
    return b"".join((*kept, data[position:]))


def _is_decodable(string: bytes) -> bool:
    try:
        msgspec.json.decode(string)
    except msgspec.MsgspecError:
        return False
    return True


def _without_deep_values(data: bytes) -> bytes:
    """Returns JSON in which values nested too deeply are invalid numbers."""
    kept = []
    depth = begin = position = 0
    for token in _TOKENS.finditer(data):
        if token[0] in _OPENING:
            depth += 1
            if depth == MAX_DEPTH:
                begin = token.start()
        elif token[0] in _CLOSING:
            if depth == MAX_DEPTH:
                kept += [data[position:begin], _INVALID_NUMBER]
                position = token.end()
            depth -= 1
    return b"".join((*kept, data[position:]))


def entry(data: msgspec.Raw) -> Entry | None:
    """Decodes name and revision; returns None if the object has no name."""
    try:
        return _ENTRY.decode(data)
    except msgspec.MsgspecError:
        return None


def content(data: msgspec.Raw) -> Any:
    """Decodes the content of an object; returns None if it is malformed."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
