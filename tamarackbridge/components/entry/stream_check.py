"""Checks a stream of server-sent events across attempts.

An event is forwarded only if it is complete and next in order, so that the
caller never receives a token twice, misses one, or receives a token of another
request.
"""

import msgspec

_DATA = b"data:"
_DONE = b"[DONE]"

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event that is accepted from a backend server."""


class Usage(msgspec.Struct):
    """Token counts that an engine reports."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct):
    id: str | None = None
    index: int | None = None
    usage: Usage | None = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)


class StreamCheck:
    """The state of one request's stream over all its attempts.

    Attributes:
        begun: Whether any event was forwarded.
        offset: Number of forwarded tokens.
        complete: Whether the end marker came after all forwarded tokens.
        broken: Whether the rest of the current attempt's stream is unusable.
        wrong_request: Whether that is because it belongs to another request.
        resumable: Whether every forwarded token had an index.
        usage: Token counts of the engine; None until it reports them.
        duplicates: Events dropped because the caller already has them.
    """

    def __init__(self, request_id: str) -> None:
        self.begun = False
        self.offset = 0
        self.complete = False
        self.broken = False
        self.wrong_request = False
        self.resumable = True
        self.usage: Usage | None = None
        self.duplicates = 0
        self._request_id = request_id
        self._incomplete = b""
        self._next_index = 0
        self._position: int | None = 0

    @property
    def incomplete_bytes(self) -> int:
        """Returns the number of bytes that are held of an incomplete event."""
        return len(self._incomplete)

    def drop_incomplete(self) -> None:
        """Drops an incomplete event and frees its memory."""
        self._incomplete = b""

    def begin(self) -> None:
        """Starts a new attempt; drops the previous one's incomplete event."""
        self.drop_incomplete()
        self._position = None if self.begun else 0
        self.broken = False
        self.wrong_request = False

    def feed(self, data: bytes) -> bytes:
        """Checks bytes of the current attempt; returns events to forward."""
        forwarded = []
        *events, self._incomplete = _normalize_newlines(
            self._incomplete + data
        ).split(b"\n\n")
        for event in events:
            if self.broken or self.complete:
                break
            if self._check_event(event):
                self.begun = True
                forwarded.append(event + b"\n\n")
        if len(self._incomplete) > MAX_EVENT_BYTES:
            self.broken = True
        return b"".join(forwarded)

    def _check_event(self, event: bytes) -> bool:
        data = b"\n".join(
            line[len(_DATA) :].strip()
            for line in event.split(b"\n")
            if line.startswith(_DATA)
        )
        if not data:
            return True
        if data == _DONE:
            # An attempt that starts over may produce a shorter answer than the
            # one that was partly forwarded.
            self.complete = (
                self._position is None or self._position >= self._next_index
            )
            self.broken = not self.complete
            return self.complete
        return self._check_data(data)

    def _check_data(self, data: bytes) -> bool:
        try:
            event = _EVENT_DECODER.decode(data)
        except msgspec.MsgspecError:
            self.broken = True
            return False
        if event.id is not None and event.id != self._request_id:
            self.broken = self.wrong_request = True
            return False
        if event.index is None and self._position is None:
            self.broken = True
            return False
        if event.index is None:
            self.resumable = False
        elif event.index < self._next_index:
            self._position = event.index + 1
            self.duplicates += 1
            return False
        elif event.index > self._next_index:
            self.broken = True
            return False
        else:
            self._next_index += 1
        self.offset += 1
        self._position = self._next_index
        self.usage = event.usage or self.usage
        return True


def _normalize_newlines(data: bytes) -> bytes:
    return data.replace(b"\r\n", b"\n")
