"""TCP proxy between callers and the peers that serve their offloaded requests.

Load pattern: a router that is short of processor time offloads requests to a
peer. Proxying a request must cost a small fraction of serving it. So the proxy
copies bytes without parsing the response, and polls all connections in the same
phase with one system call per interval instead of waking up for each chunk.

How the caller's connection closes is the only mark of the end of a response
that has neither a length nor chunks. So from the first byte of a response on it
resets, also when this process is killed, unless the peer closed its connection
in order.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import errno
import select
import socket

from absl import logging

from tamarackbridge import core
from tamarackbridge.components.backend import sockets
from tamarackbridge.helpers import resets, response_rules

RESPONSE_POLL_S = 0.01
"""Polling interval of requests that wait for their response: a fortieth of the
shortest latency target of a stream."""

RELAY_POLL_S = 0.06
"""Polling interval of responses in progress: half of the time within which an
event has to be relayed."""

CONNECT_TIMEOUT_S = 0.25
"""Timeout for connecting to a peer."""

GRACE_S = 0.25
"""Time after a request's deadline during which the peer may still respond."""

MAX_OVERTIME_S = 2.0
"""Time after a request's deadline after which received data is dropped. Until
then it may have waited for a router that is late itself."""

STALL_TIMEOUT_S = 10.0
"""Time without progress in writing after which a caller counts as gone."""

LIMIT_CHECK_S = 0.1
"""Interval at which the time limits of all connections are checked."""

TAKE_EVENTS_S = 1.0
"""Time without progress in which a caller takes what came before the reset of
the peer; a reset discards what is on its way."""

CHUNK_BYTES = 65_536

INVALID_STATUS_LOG_S = 1.0
"""Minimum interval of log lines about invalid statuses of peers."""

_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_WOULD_BLOCK = (BlockingIOError, InterruptedError)


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


class _ProxiedRequest:
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


class OffloadProxy:
    """Proxies the offloaded requests of a router.

    Args:
        clock: Clock for time limits.
        most: Maximum number of requests proxied at once.
    """

    def __init__(self, clock: core.Clock, most: int) -> None:
        self._clock = clock
        self._max_requests = most
        self._awaiting_response = _Group(
            clock, RESPONSE_POLL_S, self._handle_events
        )
        self._relaying = _Group(clock, RELAY_POLL_S, self._handle_events)

    def __len__(self) -> int:
        return len(self._awaiting_response.requests) + len(
            self._relaying.requests
        )

    def open(self, caller: socket.socket, offload: OffloadedRequest) -> None:
        """Proxies a request.

        Takes over the caller's connection, from which the request has already
        been read. If the peer cannot be reached, responds to the caller at
        once.
        """
        try:
            if len(self) >= self._max_requests:
                raise OSError(errno.EMFILE, "too many offloaded requests")
            request = _ProxiedRequest(caller, offload, self._clock.monotonic())
        except OSError as exc:
            logging.error("cannot offload a request: %s", exc)
            self.reject(caller, offload)
            return
        try:
            error = request.peer.connect_ex(offload.peer)
        except OSError as exc:
            error = exc.errno or errno.EIO
        if error not in (0, errno.EINPROGRESS):
            self._end(request, End.NOT_SENT)
            return
        self._awaiting_response.add(request, select.POLLOUT)

    def reject(self, caller: socket.socket, offload: OffloadedRequest) -> None:
        """Responds to a request for which there is no room."""
        end = _answer(caller, offload, End.NOT_SENT)
        caller.close()
        offload.on_end(end)

    def close(self) -> None:
        """Ends all requests; responds to callers that have no response yet."""
        for group in (self._awaiting_response, self._relaying):
            for request in list(group.requests):
                if request.connecting:
                    end = End.NOT_SENT
                elif not request.has_response:
                    end = End.LOST
                elif _is_peer_done(request):
                    end = End.COMPLETE
                else:
                    end = End.INCOMPLETE
                self._finish(request, end)

    def _handle_events(
        self,
        request: _ProxiedRequest,
        caller_events: int,
        peer_events: int,
        now: float,
    ) -> None:
        """Handles the poll events and the time limit of a request.

        Args:
            request: The request.
            caller_events: Poll events of the connection to the caller.
            peer_events: Poll events of the connection to the peer.
            now: The present time.
        """
        if caller_events & _CLOSE_EVENTS:
            self._finish(
                request,
                End.COMPLETE if _is_peer_done(request) else End.CALLER_LEFT,
            )
        elif request.left_by_reset is not None:
            self._await_taken(request, now)
        elif request.unsent_response:
            if caller_events:
                self._send_to_caller(request, now)
            elif now >= request.times_out_at:
                self._finish(request, End.INCOMPLETE)
        elif peer_events and _may_only_send(request, peer_events):
            self._send_to_peer(request)
        elif peer_events:
            self._receive_from_peer(request, now)
        elif now >= request.times_out_at:
            self._time_out(request)

    def _send_to_peer(self, request: _ProxiedRequest) -> None:
        if request.connecting:
            if request.peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._finish(request, End.NOT_SENT)
                return
            request.connecting = False
            request.times_out_at = request.offload.deadline + GRACE_S
            # The peer may respond before it has the whole request.
            self._group_of(request).watch_peer(
                request, select.POLLIN | select.POLLOUT
            )
        try:
            sent = request.peer.send(request.unsent_request)
        except _WOULD_BLOCK:
            return
        except OSError:
            self._finish(
                request, End.INCOMPLETE if request.has_response else End.LOST
            )
            return
        request.unsent_request = request.unsent_request[sent:]
        if not request.unsent_request:
            self._group_of(request).watch_peer(request, select.POLLIN)

    def _receive_from_peer(self, request: _ProxiedRequest, now: float) -> None:
        try:
            data = request.peer.recv(CHUNK_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            if not request.has_response:
                self._finish(request, End.LOST)
                return
            self._await_taken(request, now)
            return
        if not data and request.has_response and _is_sending(request):
            # Nothing tells whether the peer meant its response to end there.
            self._await_taken(request, now)
            return
        if not data:
            self._finish(
                request, End.COMPLETE if request.has_response else End.LOST
            )
            return
        if now >= request.offload.deadline + MAX_OVERTIME_S:
            self._time_out(request)
            return
        if not request.has_response:
            data = request.status_line + data
            if len(data) < response_rules.STATUS_LINE_BYTES:
                request.status_line = data
                return
            if not response_rules.begins_with_final_status(data):
                self._reject_status(request, data)
                return
            request.has_response = True
            resets.reset_socket(request.caller)
        # The peer itself ends requests at their deadline.
        request.times_out_at = request.offload.deadline + GRACE_S
        if not request.has_body and data.rpartition(b"\r\n\r\n")[2]:
            request.has_body = True
            self._awaiting_response.remove(request)
            events = select.POLLOUT if request.unsent_request else 0
            self._relaying.add(request, select.POLLIN | events)
        request.unsent_response = memoryview(data)
        self._send_to_caller(request, now)

    def _reject_status(self, request: _ProxiedRequest, data: bytes) -> None:
        """Ends a request whose peer sent no valid status line."""
        logging.log_every_n_seconds(
            logging.ERROR,
            "peer %s:%d sent an invalid status line: %r",
            INVALID_STATUS_LOG_S,
            *request.offload.peer,
            data[: response_rules.STATUS_LINE_BYTES],
        )
        self._finish(request, End.LOST)

    def _send_to_caller(self, request: _ProxiedRequest, now: float) -> None:
        """Sends received bytes to the caller, as far as its buffer has room.

        Reads nothing more from the peer until the rest has been sent.
        """
        chunk = request.unsent_response
        try:
            sent = request.caller.send(chunk)
        except _WOULD_BLOCK:
            sent = 0
        except OSError:
            self._finish(request, End.CALLER_LEFT)
            return
        request.unsent_response = chunk[sent:]
        group = self._group_of(request)
        if request.unsent_response:
            group.watch_caller(request, writable=True)
            if sent:
                request.times_out_at = now + STALL_TIMEOUT_S
        elif group.awaits_caller(request):
            group.watch_caller(request, writable=False)
            request.times_out_at = request.offload.deadline + GRACE_S

    def _await_taken(self, request: _ProxiedRequest, now: float) -> None:
        """Passes the peer's reset on once the caller has taken the rest."""
        unsent = resets.socket_unsent(request.caller)
        if request.left_by_reset is None or unsent < request.left_by_reset:
            request.left_by_reset = unsent
            request.times_out_at = min(
                now + TAKE_EVENTS_S, request.offload.deadline + GRACE_S
            )
        if not unsent or now >= request.times_out_at:
            self._finish(request, End.INCOMPLETE)

    def _group_of(self, request: _ProxiedRequest) -> "_Group":
        return self._relaying if request.has_body else self._awaiting_response

    def _time_out(self, request: _ProxiedRequest) -> None:
        if request.connecting:
            self._finish(request, End.NOT_SENT)
        else:
            self._finish(
                request,
                End.INCOMPLETE if request.has_response else End.TIMED_OUT,
            )

    def _finish(self, request: _ProxiedRequest, end: End) -> None:
        group = self._group_of(request)
        group.remove(request)
        self._end(request, end)

    def _end(self, request: _ProxiedRequest, end: End) -> None:
        if end in ENDS_WITHOUT_RESPONSE:
            end = _answer(request.caller, request.offload, end)
        if end is End.COMPLETE:
            resets.allow_orderly_close_socket(request.caller)
        else:
            resets.reset_socket(request.peer)
        request.peer.close()
        request.caller.close()
        request.offload.on_end(end)


def _answer(caller: socket.socket, offload: OffloadedRequest, end: End) -> End:
    """Responds to a caller in place of the peer.

    Returns:
        `end`, or `End.CALLER_LEFT` if the caller closed its connection.
    """
    try:
        caller.send(offload.make_response(end))
    except OSError:
        return End.CALLER_LEFT
    return end


def _may_only_send(request: _ProxiedRequest, peer_events: int) -> bool:
    """Returns whether there is something to send, and nothing to receive."""
    is_readable = peer_events & select.POLLIN and not request.connecting
    return bool(request.unsent_request) and not is_readable


def _is_sending(request: _ProxiedRequest) -> bool:
    """Returns whether the peer has not received the whole request."""
    return (
        bool(request.unsent_request) or resets.socket_unsent(request.peer) > 0
    )


def _is_peer_done(request: _ProxiedRequest) -> bool:
    """Returns whether the peer has finished its response.

    A caller that has the complete response may close its connection before this
    router has noticed the end of the peer's.
    """
    if not request.has_response or request.unsent_response:
        return False
    if _is_sending(request):
        return False
    try:
        return not request.peer.recv(1, socket.MSG_PEEK)
    except OSError:
        return False


class _Group:
    """Requests in the same phase, polled at one interval."""

    def __init__(
        self,
        clock: core.Clock,
        interval_s: float,
        handle_events: Callable[[_ProxiedRequest, int, int, float], None],
    ) -> None:
        self.requests: dict[_ProxiedRequest, None] = {}
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._interval_s = interval_s
        self._handle_events = handle_events
        self._poll = select.poll()
        self._by_caller: dict[int, _ProxiedRequest] = {}
        self._by_peer: dict[int, _ProxiedRequest] = {}
        self._awaiting_caller: set[_ProxiedRequest] = set()
        self._limits_checked_at = clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, request: _ProxiedRequest, peer_events: int) -> None:
        """Adds a request and starts polling.

        Args:
            request: The request.
            peer_events: Poll events to wait for at the peer.
        """
        self.requests[request] = None
        self._by_caller[request.caller.fileno()] = request
        self._by_peer[request.peer.fileno()] = request
        self._poll.register(request.caller.fileno(), select.POLLRDHUP)
        self._poll.register(request.peer.fileno(), peer_events)
        if self._timer is None:
            self._timer = self._loop.call_later(
                self._interval_s, self._poll_once
            )

    def remove(self, request: _ProxiedRequest) -> None:
        """Removes a request."""
        del self.requests[request]
        self._awaiting_caller.discard(request)
        for fd, by_fd in (
            (request.caller.fileno(), self._by_caller),
            (request.peer.fileno(), self._by_peer),
        ):
            del by_fd[fd]
            self._poll.unregister(fd)

    def watch_peer(self, request: _ProxiedRequest, events: int) -> None:
        """Sets the poll events to wait for at the peer."""
        self._poll.register(request.peer.fileno(), events)

    def awaits_caller(self, request: _ProxiedRequest) -> bool:
        """Returns whether a request waits for the caller to read."""
        return request in self._awaiting_caller

    def watch_caller(self, request: _ProxiedRequest, writable: bool) -> None:
        """Sets whether to wait for the caller to read."""
        events = select.POLLRDHUP
        if writable:
            self._awaiting_caller.add(request)
            events |= select.POLLOUT
        else:
            self._awaiting_caller.discard(request)
        self._poll.register(request.caller.fileno(), events)

    def _poll_once(self) -> None:
        now = self._clock.monotonic()
        caller_events: dict[_ProxiedRequest, int] = {}
        peer_events: dict[_ProxiedRequest, int] = {}
        for fd, event in self._poll.poll(0):
            if fd in self._by_caller:
                caller_events[self._by_caller[fd]] = event
            else:
                peer_events[self._by_peer[fd]] = event
        due = list(caller_events | peer_events)
        if now - self._limits_checked_at >= LIMIT_CHECK_S:
            self._limits_checked_at = now
            due = list(self.requests)
        for request in due:
            self._handle_events(
                request,
                caller_events.get(request, 0),
                peer_events.get(request, 0),
                now,
            )
        self._timer = None
        if self.requests:
            self._timer = self._loop.call_later(
                self._interval_s, self._poll_once
            )
