"""Reads lists of stored objects of which single ones may be odd.

Other writers share the store. An entry that can't be read must not hide those
beside it, however deeply it is nested and whatever its numbers are.
"""

import re
from typing import Any

import msgspec

MAX_DEPTH = 64
"""Nested lists and objects that are read; the platform's own have a few."""

_UNREADABLE = b"1e999"
"""A number that no decoder takes, in the place of what is nested deeper."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = frozenset((b"[", b"{"))
_CLOSING = frozenset((b"]", b"}"))


class Metadata(msgspec.Struct):
    """Names an object."""

    name: str
    revision: int = 0


class Entry(msgspec.Struct):
    """An object whose content is read apart from the others."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


_ENTRY = msgspec.json.Decoder(Entry)


def page(data: bytes, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Returns what a decoder reads, whatever single entries hold.

    Raises:
        MsgspecError: The whole is not what the decoder reads.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        return decoder.decode(_flattened(data))


def _flattened(data: bytes) -> bytes:
    """Returns JSON in which what is nested too deeply is not readable."""
    found = []
    depth = begin = kept = 0
    for token in _TOKENS.finditer(data):
        if token[0] in _OPENING:
            depth += 1
            if depth == MAX_DEPTH:
                begin = token.start()
        elif token[0] in _CLOSING:
            if depth == MAX_DEPTH:
                found += [data[kept:begin], _UNREADABLE]
                kept = token.end()
            depth -= 1
    return b"".join((*found, data[kept:]))


def entry(data: msgspec.Raw) -> Entry | None:
    """Returns an object; None if it has no name."""
    try:
        return _ENTRY.decode(data)
    except msgspec.MsgspecError:
        return None


def content(data: msgspec.Raw) -> Any:
    """Returns what an object holds; None if that is not readable."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
