"""Lines of the values in a JSON text.

The decoders of the standard library and of msgspec don't tell where a value
stands, and messages to operators must name a line.
"""

import bisect
import json
import re
from typing import TypeAlias

Path: TypeAlias = tuple[str | int, ...]
"""Keys and indices from the root to a value."""

_DECODER = json.JSONDecoder()
_BLANKS = re.compile(r"[ \t\r\n]*")


def find(text: str) -> dict[Path, int]:
    """Returns the line of each value, counted from 1; of a member, its key's.

    Args:
        text: JSON that can be decoded.
    """
    return _Scan(text).lines


class _Scan:
    """One pass over a text."""

    def __init__(self, text: str) -> None:
        self.lines: dict[Path, int] = {}
        self._text = text
        self._newlines = [match.start() for match in re.finditer(r"\n", text)]
        self._value(self._skip(0), ())

    def _skip(self, position: int) -> int:
        """Returns the position after blanks."""
        found = _BLANKS.match(self._text, position)
        return found.end() if found else position

    def _mark(self, path: Path, position: int) -> None:
        line = bisect.bisect_left(self._newlines, position) + 1
        self.lines.setdefault(path, line)

    def _value(self, position: int, path: Path) -> int:
        """Scans the value at a position; returns the position after it."""
        self._mark(path, position)
        opening = self._text[position]
        if opening not in "[{":
            _, end = _DECODER.raw_decode(self._text, position)
            return end
        index = 0
        position = self._skip(position + 1)
        while self._text[position] not in "]}":
            key: str | int = index
            if opening == "{":
                key, end = _DECODER.raw_decode(self._text, position)
                self._mark((*path, key), position)
                position = self._skip(self._skip(end) + 1)
            position = self._skip(self._value(position, (*path, key)))
            if self._text[position] == ",":
                position = self._skip(position + 1)
            index += 1
        return position + 1
