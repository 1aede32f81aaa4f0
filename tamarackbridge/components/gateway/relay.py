"""Follows one stream of events, over all servers that it comes from.

An event is passed on only when it is whole and numbered higher than the one
before, so that the caller never gets an event twice or half of one.
"""

import re

MAX_EVENT_BYTES = 1024 * 1024
"""What is taken from one backend server without a whole event that is new:
more than the whole of a stream that it repeats from its begin."""

MAX_DIGITS = 18
"""Longest number of an event: it fits into 64 bits, as a count of events."""

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
"""Longest boundary."""

_DATA = re.compile(rb"(?:^|\n)data[:\r\n]")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([0-9]+)[ ]*(?=\r?\n|$)")


class EventRelay:
    """The state of one request's stream.

    Attributes:
        last: Number of the last event that was passed on; -1 for none.
        passed: Events that were passed on.
        broken: Why the current server's stream can't be used further; empty
            if it can.
        resumable: Whether the place of the last event is known by its number.
    """

    def __init__(self, resume_after: str) -> None:
        self.last = _number(resume_after)
        self.passed = 0
        self.broken = ""
        self.resumable = True
        self._rest = b""
        self._seen = -1
        self._begun = False
        self._goes_on = False
        self._stale_bytes = 0

    def begin(self) -> None:
        """Begins with another server; half an event is dropped."""
        self._rest = b""
        self._seen = -1
        self._goes_on = self._begun
        self._stale_bytes = 0
        self.broken = ""

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    @property
    def ends_here(self) -> bool:
        """Whether the current server's end can be the end of the whole.

        A server that begins anew and ends before the last event has run
        something else.
        """
        behind = self._goes_on and 0 <= self._seen < self.last
        return not self.partial and not behind

    @property
    def resume_after(self) -> str:
        """The last event that the caller has; empty if none."""
        return str(self.last) if self.last >= 0 else ""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes of the current server; returns what to pass on."""
        rest = self._rest + data
        passed = []
        begin = 0
        # No boundary ends in what was looked through before.
        looked = max(len(self._rest) - _BOUNDARY_BYTES + 1, 0)
        for found in _BOUNDARY.finditer(rest, looked):
            if self.broken:
                break
            event = rest[begin : found.end()]
            begin = found.end()
            if self._accept(event) and not self.broken:
                self._begun = True
                passed.append(event)
        self._rest = rest[begin:]
        if len(self._rest) > MAX_EVENT_BYTES:
            self.broken = "an event is too large"
        return b"".join(passed)

    def _accept(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            self._note_stale(event)
            return self._accept_unnumbered(event)
        number = _number(found.group(1).decode())
        if number < 0:
            self.broken = "an event's number is too long"
            return False
        self._seen = number
        if number <= self.last:
            self._note_stale(event)
            return False
        self._stale_bytes = 0
        self.last = number
        self.resumable = True
        self.passed += 1
        return True

    def _accept_unnumbered(self, event: bytes) -> bool:
        if _DATA.search(event) is None:
            return True
        # The caller may have it from the server before.
        if self._goes_on and self._seen < self.last:
            self.broken = "an event without a number could be a repeated one"
            return False
        self.resumable = False
        return True

    def _note_stale(self, event: bytes) -> None:
        self._stale_bytes += len(event)
        if self._stale_bytes > MAX_EVENT_BYTES:
            self.broken = "events come, but no new one"


def _number(text: str) -> int:
    """Returns the number of an event; -1 if it is none."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return -1
    return int(text)
