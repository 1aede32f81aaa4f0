"""Endless answers of a faulty backend server.

The tables name, for each part of an answer, the floods that never end it.
"""

import asyncio
import dataclasses

BURST_BYTES = 64 * 1024
"""Size of one write at full speed."""

ID_MARK = b"{id}"
"""Placeholder for the request identifier."""


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """An answer that never ends.

    Attributes:
        before: Bytes that are sent once.
        again: Bytes that are then sent repeatedly.
        pause_s: Pause between the two.
    """

    before: bytes
    again: bytes
    pause_s: float = 0.0


_HEAD = b"HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_COMPLETE = _HEAD + b"Content-Length: 5\r\n\r\nwhole"
_STREAM = (
    _HEAD + b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_EVENT = b"15\r\nid: 0\ndata: piece 0\n\n\r\n"

_LONG_NUMBER = b"9" * 5000
"""An event number with more digits than Python converts to an integer."""

IN_HEAD = {
    "no_http": Flood(b"", b"x"),
    "reason": Flood(b"HTTP/1.1 200 ", b"x"),
    "header_lines": Flood(_HEAD, b"X-More: y\r\n"),
    "header_line": Flood(_HEAD + b"X-More: ", b"y"),
    "header_blanks": Flood(_HEAD + b"X-More:", b" "),
    "header_name": Flood(_HEAD, b"y"),
    "informational": Flood(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}

IN_BODY = {
    "no_length": Flood(_HEAD + b"\r\n", b"y"),
    "chunk_size": Flood(_CHUNKED, b"0"),
    "chunk_size_too_large": Flood(_CHUNKED, b"f"),
    "chunk_extension": Flood(_CHUNKED + b"5;", b"y"),
    "chunk": Flood(_CHUNKED + b"ffffffffff\r\n", b"y"),
    "small_chunks": Flood(_CHUNKED, b"1\r\ny\r\n"),
    "trailers": Flood(_CHUNKED + b"4\r\nbody\r\n0\r\n", b"X-More: y\r\n"),
    "trailer": Flood(_CHUNKED + b"4\r\nbody\r\n0\r\nX-More: ", b"y"),
}

IN_STREAM = {
    "chunk_size": Flood(_STREAM + _EVENT, b"0", 0.02),
    "chunk_extension": Flood(_STREAM + _EVENT + b"5;", b"y", 0.02),
    "trailers": Flood(_STREAM + _EVENT + b"0\r\n", b"X-More: y\r\n", 0.02),
}

IN_EVENTS = {
    "event": Flood(_STREAM + _EVENT + b"ffffffffff\r\ndata: ", b"y", 0.02),
    "lines": Flood(_STREAM + _EVENT + b"ffffffffff\r\n", b"data: y\n", 0.02),
    "number": Flood(_STREAM + _EVENT + b"ffffffffff\r\nid: ", b"9", 0.02),
    "numbers": Flood(
        _STREAM + _EVENT + b"ffffffffff\r\n", b"id: %b\n\n" % _LONG_NUMBER, 0.02
    ),
    "unnumbered": Flood(
        _STREAM + _EVENT + b"ffffffffff\r\n", b"data: y\n\n", 0.02
    ),
    "comments": Flood(_STREAM + _EVENT + b"ffffffffff\r\n", b": y\n\n", 0.02),
    "same": Flood(
        _STREAM + _EVENT + b"ffffffffff\r\n", b"id: 0\ndata: y\n\n", 0.02
    ),
}

AFTER_ANSWER = {
    "bytes": Flood(_COMPLETE, b"x", 0.02),
    "answers": Flood(_COMPLETE, b"HTTP/1.1 204 X\r\n\r\n", 0.02),
    "informational": Flood(_COMPLETE, b"HTTP/1.1 102 X\r\n\r\n", 0.02),
    "header_line": Flood(_COMPLETE, b"HTTP/1.1 200 X\r\nX-More: ", 0.02),
    "body": Flood(
        _COMPLETE, b"HTTP/1.1 200 X\r\nContent-Length: 999\r\n\r\n", 0.02
    ),
    "at_once": Flood(_COMPLETE, b"HTTP/1.1 204 X\r\n\r\n"),
    "bytes_at_once": Flood(_COMPLETE, b"x"),
}


@dataclasses.dataclass(slots=True)
class Flooding:
    """A flood that is being sent.

    Attributes:
        sent: Number of repeated bytes that were written.
        ended: Whether the peer closed the connection.
    """

    sent: int = 0
    ended: bool = False

    async def async_send(
        self,
        flood: Flood,
        request_id: str,
        writer: asyncio.StreamWriter,
        pace_s: float,
    ) -> None:
        """Sends until the peer closes the connection.

        Args:
            flood: Bytes to send.
            request_id: Identifier of the request.
            writer: Connection to write to.
            pace_s: Pause between two small writes; 0 for large writes at
                full speed.
        """
        block = flood.again
        if not pace_s:
            block *= max(BURST_BYTES // len(block), 1)
        try:
            writer.write(flood.before.replace(ID_MARK, request_id.encode()))
            await asyncio.sleep(flood.pause_s)
            while not writer.is_closing():
                writer.write(block)
                await writer.drain()
                self.sent += len(block)
                await asyncio.sleep(pace_s)
        except ConnectionError:
            pass  # The peer closed the connection, which ends the flood.
        self.ended = True
