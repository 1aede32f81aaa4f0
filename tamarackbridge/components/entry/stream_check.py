"""Follows a stream of server-sent events across attempts.

An event is passed on only when it is whole and is the next one, so that the
caller never gets a token twice, loses one, or gets another's.
"""

import msgspec

_DATA = b"data:"
_DONE = b"[DONE]"

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event that is taken from a backend server."""


class Usage(msgspec.Struct):
    """Tokens that an engine counted."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct):
    id: str | None = None
    index: int | None = None
    usage: Usage | None = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)


class StreamCheck:
    """The state of one request's stream.

    Attributes:
        begun: Whether anything was passed on.
        offset: Tokens that were passed on.
        whole: Whether the end marker was seen in its place.
        broken: Whether the current attempt's stream can't be used further.
        crossed: Whether that is because it carries another identifier.
        resumable: Whether every token was numbered.
        usage: What the engine counted, once told.
        repeated: Events that were held back because the caller has them.
    """

    def __init__(self, request_id: str) -> None:
        self.begun = False
        self.offset = 0
        self.whole = False
        self.broken = False
        self.crossed = False
        self.resumable = True
        self.usage: Usage | None = None
        self.repeated = 0
        self._request_id = request_id
        self._rest = b""
        self._next = 0
        self._place: int | None = 0

    def begin(self) -> None:
        """Begins a new attempt; half an event of the last one is dropped."""
        self._rest = b""
        self._place = None if self.begun else 0
        self.broken = False
        self.crossed = False

    def feed(self, data: bytes) -> bytes:
        """Takes bytes of the current attempt; returns what to pass on."""
        passed = []
        *events, self._rest = _normal(self._rest + data).split(b"\n\n")
        for event in events:
            if self.broken or self.whole:
                break
            if self._accept(event):
                self.begun = True
                passed.append(event + b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            self.broken = True
        return b"".join(passed)

    def _accept(self, event: bytes) -> bool:
        data = b"\n".join(
            line[len(_DATA) :].strip()
            for line in event.split(b"\n")
            if line.startswith(_DATA)
        )
        if not data:
            return True
        if data == _DONE:
            # An attempt that began anew may have run something shorter.
            self.whole = self._place is None or self._place >= self._next
            self.broken = not self.whole
            return self.whole
        return self._accept_data(data)

    def _accept_data(self, data: bytes) -> bool:
        try:
            event = _EVENT_DECODER.decode(data)
        except msgspec.MsgspecError:
            self.broken = True
            return False
        if event.id is not None and event.id != self._request_id:
            self.broken = self.crossed = True
            return False
        if event.index is None and self._place is None:
            self.broken = True
            return False
        if event.index is None:
            self.resumable = False
        elif event.index < self._next:
            self._place = event.index + 1
            self.repeated += 1
            return False
        elif event.index > self._next:
            self.broken = True
            return False
        else:
            self._next += 1
        self.offset += 1
        self._place = self._next
        self.usage = event.usage or self.usage
        return True


def _normal(data: bytes) -> bytes:
    return data.replace(b"\r\n", b"\n")
