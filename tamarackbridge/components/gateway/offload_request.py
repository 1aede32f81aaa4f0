"""Requests that are offloaded to a peer, and their progress."""

from collections.abc import Callable
import dataclasses
import enum
import select
import socket

from tamarackbridge.components.backend import sockets
from tamarackbridge.helpers import resets

CONNECT_TIMEOUT_S = 0.25
"""Timeout for connecting to a peer."""


class End(enum.Enum):
    """How an offloaded request ended.

    Attributes:
        COMPLETE: The peer closed its connection after a response.
        CALLER_LEFT: The caller closed its connection.
        NOT_SENT: No byte of the request left this router.
        LOST: The connection to the peer was lost before a response; the request
            may have run.
        TIMED_OUT: The peer did not respond by the deadline.
        INCOMPLETE: The connection to the peer was lost during the response, or
            the caller stopped reading.
    """

    COMPLETE = "whole"
    CALLER_LEFT = "left"
    NOT_SENT = "not_sent"
    LOST = "lost"
    TIMED_OUT = "late"
    INCOMPLETE = "cut"


ENDS_WITHOUT_RESPONSE = frozenset((End.NOT_SENT, End.LOST, End.TIMED_OUT))
"""Ends after which this router responds to the caller itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class OffloadedRequest:
    """A request that is offloaded to a peer.

    Attributes:
        peer: Host and port at which the peer accepts offloaded requests.
        request: Bytes of the request.
        deadline: Time by which the caller needs the complete response.
        make_response: Returns the response to send if the peer gave none.
        on_end: Called once with how the request ended.
    """

    peer: tuple[str, int]
    request: bytes
    deadline: float
    make_response: Callable[[End], bytes]
    on_end: Callable[[End], None]


class ProxiedRequest:
    """The two connections of an offloaded request, and its progress.

    Attributes:
        caller: Connection to the caller.
        peer: Connection to the peer.
        offload: The request with its deadline and callbacks.
        unsent_request: Bytes of the request still to be sent to the peer.
        unsent_response: Received bytes of the response still to be sent to the
            caller.
        status_line: Begin of a response that is too short to be checked.
        connecting: Whether the connection to the peer is not established yet.
        has_response: Whether the peer sent any byte of a response.
        has_body: Whether the response body has begun; assumed once received
            data does not end with an empty line.
        left_by_reset: Bytes that the caller had not taken yet when last looked
            at after the peer's reset; None before that.
        times_out_at: Time at which the present phase times out.
    """

    def __init__(
        self, caller: socket.socket, offload: OffloadedRequest, now: float
    ) -> None:
        self.caller = caller
        self.peer = sockets.open_tcp(
            (socket.AF_INET, socket.SOCK_STREAM, 0, "", offload.peer)
        )
        self.peer.setblocking(False)
        self.offload = offload
        self.unsent_request = memoryview(offload.request)
        self.unsent_response = memoryview(b"")
        self.status_line = b""
        self.connecting = True
        self.has_response = False
        self.has_body = False
        self.left_by_reset: int | None = None
        self.times_out_at = now + CONNECT_TIMEOUT_S


def may_only_send(request: ProxiedRequest, peer_events: int) -> bool:
    """Returns whether there is something to send, and nothing to receive."""
    is_readable = peer_events & select.POLLIN and not request.connecting
    return bool(request.unsent_request) and not is_readable


def is_sending(request: ProxiedRequest) -> bool:
    """Returns whether the peer has not received the whole request."""
    return (
        bool(request.unsent_request) or resets.socket_unsent(request.peer) > 0
    )


def is_peer_done(request: ProxiedRequest) -> bool:
    """Returns whether the peer has finished its response.

    A caller that has the complete response may close its connection before this
    router has noticed the end of the peer's.
    """
    if not request.has_response or request.unsent_response:
        return False
    if is_sending(request):
        return False
    try:
        return not request.peer.recv(1, socket.MSG_PEEK)
    except OSError:
        return False
