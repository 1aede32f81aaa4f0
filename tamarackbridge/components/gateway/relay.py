"""Relays a stream of server-sent events across the servers that produce it.

An event is forwarded only when it is complete and its ID is higher than the
previous one, so that the caller never receives a duplicate or partial event.
A server that repeats events of its own must repeat their content.
"""

import array
import re

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum number of bytes accepted from one backend server without a complete
new event. It exceeds the size of a whole stream, which a server may repeat from
the start."""

MAX_DIGITS = 18
"""Maximum number of digits in an event ID, so that it fits into 64 bits."""

REMEMBERED_EVENTS = 64
"""Number of a server's last events that it may repeat, with the same content.
Their digests take 512 bytes for each stream."""

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
"""Length of the longest boundary between two events."""

_JOINED_BYTES = 256
"""Maximum number of buffered bytes that are joined with the data of each read:
most events. Longer events are joined once, when they are complete."""

_DATA = re.compile(rb"(?:^|\n)data[:\r\n]")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([0-9]+)[ ]*(?=\r?\n|$)")


class EventRelay:
    """State of the event stream of one request.

    Attributes:
        last_id: ID of the last event that was forwarded; -1 for none.
        forwarded: Number of events with an ID that were forwarded.
        position: Number of events that were forwarded, apart from comments
            and the like, by which a stream does not go on.
        error: Reason for which the rest of the current server's stream is
            unusable; empty if it is usable.
        resumable: Whether another server can continue the stream: the last
            forwarded event, if any, had an ID.
        is_empty: Whether the current server has sent no complete event.
    """

    def __init__(self, resume_after: str) -> None:
        self.last_id = _parse_id(resume_after)
        self._previous_id = self.last_id
        self.forwarded = 0
        self.position = 0
        self.error = ""
        self.resumable = True
        self._has_forwarded = False
        self.switch_server()

    def switch_server(self, repeats_last: bool = False) -> None:
        """Starts the stream of another server; drops a partial event.

        Args:
            repeats_last: Whether the server is to send the last forwarded event
                once more, as after `resume_before_last`.
        """
        self.is_empty = True
        self._repeats_last = repeats_last
        self.drop_partial_event()
        self._server_last_id = -1
        self._server_highest_id = -1
        self._digests = array.array("q")
        self._digest_count = 0
        self._is_continuation = self._has_forwarded
        self._bytes_since_new = 0
        self.error = ""

    @property
    def has_partial_event(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._buffer.strip() or self._long_event.strip())

    @property
    def partial_bytes(self) -> int:
        """Returns the number of bytes that are buffered."""
        return len(self._long_event) + len(self._buffer)

    def drop_partial_event(self) -> None:
        """Drops an incomplete event and frees its memory."""
        self._buffer = b""
        self._long_event = bytearray()

    @property
    def may_end(self) -> bool:
        """Returns whether the current server's stream may end here.

        A server whose last event precedes the last forwarded one has started
        over, and its stream ends early or is a different one. One that was to
        send that event and did not has not shown where the stream ends.
        """
        behind = self._server_last_id < self.last_id
        if not self._repeats_last:
            behind &= self.forwarded > 0 and self._server_last_id >= 0
        return not self.has_partial_event and not behind

    @property
    def resume_after(self) -> str:
        """ID of the last event that the caller received; empty if none."""
        return str(self.last_id) if self.last_id >= 0 else ""

    def resume_before_last(self, is_confirmation: bool) -> str | None:
        """Returns the ID after which the last event comes once more.

        A server that is asked to go on there sends that event again, also if no
        other follows: an answer without it is no statement about the end.

        Args:
            is_confirmation: Whether a server has ended the stream already. Then
                it also applies to the last event that the caller named, whose
                predecessor is not known.

        Returns:
            The ID; empty for the start of the stream. None if the stream goes
            on without a repeat.
        """
        if not self.forwarded and not (is_confirmation and self.last_id >= 0):
            return None
        previous = self._previous_id if self.forwarded else self.last_id - 1
        return str(previous) if previous >= 0 else ""

    def feed(self, data: bytes) -> bytes:
        """Takes data from the current server; returns the events to forward."""
        pending = self._buffer + data
        forwarded = []
        start = 0
        # The bytes buffered earlier contain no complete boundary.
        searched = max(len(self._buffer) - _BOUNDARY_BYTES + 1, 0)
        for match in _BOUNDARY.finditer(pending, searched):
            if self.error:
                break
            event = pending[start : match.end()]
            start = match.end()
            if self._long_event:
                event = bytes(self._long_event) + event
                self._long_event = bytearray()
            self.is_empty = False
            if self._accept(event) and not self.error:
                self._has_forwarded = True
                forwarded.append(event)
        self._buffer = pending[start:]
        if len(self._buffer) > _JOINED_BYTES:
            self._move_to_long_event()
        return b"".join(forwarded)

    def _move_to_long_event(self) -> None:
        """Moves the buffer, except for a part of a boundary at its end."""
        kept = _BOUNDARY_BYTES - 1
        self._long_event += self._buffer[:-kept]
        self._buffer = self._buffer[-kept:]
        if self.partial_bytes > MAX_EVENT_BYTES:
            self.error = f"event is larger than {MAX_EVENT_BYTES} bytes"

    def _accept(self, event: bytes) -> bool:
        match = _ID.search(event)
        if match is None:
            self._count_stale(event)
            return self._accept_unnumbered(event)
        number = _parse_id(match.group(1).decode())
        if number < 0:
            self.error = f"event ID has more than {MAX_DIGITS} digits"
            return False
        self._server_last_id = number
        if not self._agrees(number, event):
            self.error = "event repeats an earlier one with other content"
            return False
        if number <= self.last_id:
            self._count_stale(event)
            return False
        self._bytes_since_new = 0
        self._previous_id = self.last_id
        self.last_id = number
        self.resumable = True
        self.forwarded += 1
        self.position += 1
        return True

    def _agrees(self, number: int, event: bytes) -> bool:
        """Remembers an event; returns whether it is new or a true repeat."""
        digest = hash(event)
        if number <= self._server_highest_id:
            return digest in self._digests
        self._server_highest_id = number
        if self._digest_count < REMEMBERED_EVENTS:
            self._digests.append(digest)
        else:
            self._digests[self._digest_count % REMEMBERED_EVENTS] = digest
        self._digest_count += 1
        return True

    def _accept_unnumbered(self, event: bytes) -> bool:
        if _DATA.search(event) is None:
            return True
        # The caller may have received it from the previous server.
        if self._is_continuation and self._server_last_id < self.last_id:
            self.error = "event without an ID may be a duplicate"
            return False
        self.resumable = False
        self.position += 1
        return True

    def _count_stale(self, event: bytes) -> None:
        self._bytes_since_new += len(event)
        if self._bytes_since_new > MAX_EVENT_BYTES:
            self.error = f"{MAX_EVENT_BYTES} bytes without a new event"


def count_events(data: bytes) -> int:
    """Returns the number of events in forwarded data."""
    # Streams with CRLF are rare, and the regular expression costs six times as
    # much.
    return data.count(b"\n\n") or len(_BOUNDARY.findall(data))


def _parse_id(text: str) -> int:
    """Returns the number in an event ID; -1 if it is not a valid number."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return -1
    return int(text)
