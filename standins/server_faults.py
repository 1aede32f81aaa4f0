"""Ends of answers that come too early, or that nothing marks.

The tables name what a server sends before it stops, and how it stops.
"""

from collections.abc import Callable
import dataclasses
import enum


class EarlyEnd(enum.Enum):
    """How a server stops before it has sent an answer in full.

    Apart from `platform_server.Fault`, from all of which the soak test draws: a
    plain answer without a length may be empty or cut, so not all of these can
    be checked there.
    """

    CUT_STATUS = "cut_status"
    """Closes the connection after the status line of its answer."""
    CUT_HEADER = "cut_header"
    """Closes the connection within a header of its answer."""
    CUT_HEAD = "cut_head"
    """Closes the connection after all headers, before the empty line."""
    CUT_HEAD_RESET = "cut_head_reset"
    """Like CUT_HEAD, with a TCP reset."""
    UNFRAMED_EMPTY = "unframed_empty"
    """Sends the head of a stream without a length, and closes."""
    UNFRAMED_EMPTY_CRASH = "unframed_empty_crash"
    """Like UNFRAMED_EMPTY, because the server crashes."""
    UNFRAMED_CUT_EVENT = "unframed_cut_event"
    """Closes a stream without a length within an event."""
    UNFRAMED_CUT_LINE = "unframed_cut_line"
    """Closes a stream without a length before the empty line of an event."""
    UNFRAMED_CUT_BETWEEN = "unframed_cut_between"
    """Closes a stream without a length between two events."""
    UNFRAMED_RESET_BETWEEN = "unframed_reset_between"
    """Like UNFRAMED_CUT_BETWEEN, with a TCP reset."""
    UNFRAMED_CRASH_BETWEEN = "unframed_crash_between"
    """Like UNFRAMED_CUT_BETWEEN, because the server crashes."""
    UNFRAMED_RESTART_BETWEEN = "unframed_restart_between"
    """Like UNFRAMED_CRASH_BETWEEN, and listens again at once."""
    UNFRAMED_CRASH_END = "unframed_crash_end"
    """Crashes after the last event of a stream without a length."""
    UNFRAMED_CUT_BODY = "unframed_cut_body"
    """Closes the connection within a plain body without a length."""
    UNFRAMED_CRASH_BODY = "unframed_crash_body"
    """Like UNFRAMED_CUT_BODY, because the server crashes."""
    UNFRAMED_RESTART = "unframed_restart"
    """Ignores Last-Event-Id and sends the stream without a length."""
    COMMENT_RESET = "comment_reset"
    """Resets a chunked stream after a comment."""
    COMMENT_HANG = "comment_hang"
    """Sends nothing after a comment in a chunked stream."""
    REPEAT_SAME = "repeat_same"
    """Starts a chunked stream over from its second event."""
    REPEAT_OTHER = "repeat_other"
    """Like REPEAT_SAME, but with other content and an early final chunk."""
    EMPTY_END = "empty_end"
    """Sends a chunked stream without any event, with its final chunk."""


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """An answer byte for byte, after which the connection is usually closed.

    Attributes:
        data: The bytes; `{id}` stands for the identifier of the request.
        rest: Bytes that are sent once the first ones were received.
        is_kept_open: Whether the server awaits another request.
    """

    data: bytes
    rest: bytes = b""
    is_kept_open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCut:
    """Part of a stream that is sent.

    Attributes:
        events: Number of whole events.
        part: End of the part of the next event that is sent as well; a
            negative number counts from the end of that event.
    """

    events: int
    part: int = 0


STREAM_CUTS: dict[object, StreamCut] = {
    EarlyEnd.UNFRAMED_CUT_EVENT: StreamCut(2, 9),
    EarlyEnd.UNFRAMED_CUT_LINE: StreamCut(2, -1),
    EarlyEnd.UNFRAMED_CUT_BETWEEN: StreamCut(2),
    EarlyEnd.UNFRAMED_RESET_BETWEEN: StreamCut(2),
    EarlyEnd.UNFRAMED_CRASH_BETWEEN: StreamCut(2),
    EarlyEnd.UNFRAMED_RESTART_BETWEEN: StreamCut(2),
    EarlyEnd.UNFRAMED_CRASH_END: StreamCut(1_000),
}
"""Part that is sent of a stream without a length."""

REPEATS: dict[object, tuple[int, ...]] = {
    EarlyEnd.REPEAT_SAME: (0, 1, 2, 1, 2, 3, 4, 5),
    EarlyEnd.REPEAT_OTHER: (0, 1, 2, 1, 2),
}
"""Numbers of the events of a stream that repeats some."""

COMMENTS: frozenset[object] = frozenset(
    (EarlyEnd.COMMENT_RESET, EarlyEnd.COMMENT_HANG)
)
"""Streams of which only a comment is sent."""

CUT_HEADS: dict[object, Callable[[str], int]] = {
    EarlyEnd.CUT_STATUS: lambda head: head.index("\r\n") + 2,
    EarlyEnd.CUT_HEADER: lambda head: head.index("X-Response-Seal") + 8,
    EarlyEnd.CUT_HEAD: lambda head: len(head) - 2,
    EarlyEnd.CUT_HEAD_RESET: lambda head: len(head) - 2,
    EarlyEnd.UNFRAMED_EMPTY: len,
    EarlyEnd.UNFRAMED_EMPTY_CRASH: len,
}
"""Length of the part of an answer's head that is sent."""

UNFRAMED_BODIES: dict[object, int] = {
    EarlyEnd.UNFRAMED_CUT_BODY: 4,
    EarlyEnd.UNFRAMED_CRASH_BODY: 4,
}
"""Length of the part of a plain body that is sent without a length."""

RESETS: frozenset[object] = frozenset(
    (
        EarlyEnd.CUT_HEAD_RESET,
        EarlyEnd.UNFRAMED_RESET_BETWEEN,
        EarlyEnd.COMMENT_RESET,
    )
)
"""Ends with a TCP reset."""

CRASHES: frozenset[object] = frozenset(
    (
        EarlyEnd.UNFRAMED_EMPTY_CRASH,
        EarlyEnd.UNFRAMED_CRASH_BETWEEN,
        EarlyEnd.UNFRAMED_CRASH_END,
        EarlyEnd.UNFRAMED_CRASH_BODY,
    )
)
"""Ends after which the server accepts no further connections."""
