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

import errno
import select
import socket
from typing import TypeAlias

from absl import logging

from tamarackbridge import core
from tamarackbridge.components.gateway import offload_poll, offload_request
from tamarackbridge.helpers import resets, response_rules

RESPONSE_POLL_S = 0.01
"""Polling interval of requests that wait for their response: a fortieth of the
shortest latency target of a stream."""

RELAY_POLL_S = 0.06
"""Polling interval of responses in progress: half of the time within which an
event has to be relayed."""

GRACE_S = 0.25
"""Time after a request's deadline during which the peer may still respond."""

MAX_OVERTIME_S = 2.0
"""Time after a request's deadline after which received data is dropped. Until
then it may have waited for a router that is late itself."""

STALL_TIMEOUT_S = 10.0
"""Time without progress in writing after which a caller counts as gone."""

TAKE_EVENTS_S = 1.0
"""Time without progress in which a caller takes what came before the reset of
the peer; a reset discards what is on its way."""

CHUNK_BYTES = 65_536

INVALID_STATUS_LOG_S = 1.0
"""Minimum interval of log lines about invalid statuses of peers."""

End: TypeAlias = offload_request.End
"""How an offloaded request ended."""

OffloadedRequest: TypeAlias = offload_request.OffloadedRequest
"""A request that is offloaded to a peer."""

_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_WOULD_BLOCK = (BlockingIOError, InterruptedError)


class OffloadProxy:
    """Proxies the offloaded requests of a router.

    Args:
        clock: Clock for time limits.
        most: Maximum number of requests proxied at once.
    """

    def __init__(self, clock: core.Clock, most: int) -> None:
        self._clock = clock
        self._max_requests = most
        self._awaiting_response = offload_poll.Group(
            clock, RESPONSE_POLL_S, self._handle_events, self._abandon
        )
        self._relaying = offload_poll.Group(
            clock, RELAY_POLL_S, self._handle_events, self._abandon
        )

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
            request = offload_request.ProxiedRequest(
                caller, offload, self._clock.monotonic()
            )
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
                elif offload_request.is_peer_done(request):
                    end = End.COMPLETE
                else:
                    end = End.INCOMPLETE
                self._finish(request, end)

    def _handle_events(
        self,
        request: offload_request.ProxiedRequest,
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
                End.COMPLETE
                if offload_request.is_peer_done(request)
                else End.CALLER_LEFT,
            )
        elif request.left_by_reset is not None:
            self._await_taken(request, now)
        elif request.unsent_response:
            if caller_events:
                self._send_to_caller(request, now)
            elif now >= request.times_out_at:
                self._finish(request, End.INCOMPLETE)
        elif peer_events and offload_request.may_only_send(
            request, peer_events
        ):
            self._send_to_peer(request)
        elif peer_events:
            self._receive_from_peer(request, now)
        elif now >= request.times_out_at:
            self._time_out(request)

    def _send_to_peer(self, request: offload_request.ProxiedRequest) -> None:
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

    def _receive_from_peer(
        self, request: offload_request.ProxiedRequest, now: float
    ) -> None:
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
        if (
            not data
            and request.has_response
            and offload_request.is_sending(request)
        ):
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

    def _reject_status(
        self, request: offload_request.ProxiedRequest, data: bytes
    ) -> None:
        """Ends a request whose peer sent no valid status line."""
        logging.log_every_n_seconds(
            logging.ERROR,
            "peer %s:%d sent an invalid status line: %r",
            INVALID_STATUS_LOG_S,
            *request.offload.peer,
            data[: response_rules.STATUS_LINE_BYTES],
        )
        self._finish(request, End.LOST)

    def _send_to_caller(
        self, request: offload_request.ProxiedRequest, now: float
    ) -> None:
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

    def _await_taken(
        self, request: offload_request.ProxiedRequest, now: float
    ) -> None:
        """Passes the peer's reset on once the caller has taken the rest."""
        unsent = resets.socket_unsent(request.caller)
        if request.left_by_reset is None or unsent < request.left_by_reset:
            request.left_by_reset = unsent
            request.times_out_at = min(
                now + TAKE_EVENTS_S, request.offload.deadline + GRACE_S
            )
        if not unsent or now >= request.times_out_at:
            self._finish(request, End.INCOMPLETE)

    def _group_of(
        self, request: offload_request.ProxiedRequest
    ) -> offload_poll.Group:
        return self._relaying if request.has_body else self._awaiting_response

    def _time_out(self, request: offload_request.ProxiedRequest) -> None:
        if request.connecting:
            self._finish(request, End.NOT_SENT)
        else:
            self._finish(
                request,
                End.INCOMPLETE if request.has_response else End.TIMED_OUT,
            )

    def _abandon(self, request: offload_request.ProxiedRequest) -> None:
        """Ends a request after an unexpected error; it may have run."""
        self._finish(
            request, End.INCOMPLETE if request.has_response else End.LOST
        )

    def _finish(
        self, request: offload_request.ProxiedRequest, end: End
    ) -> None:
        group = self._group_of(request)
        group.remove(request)
        self._end(request, end)

    def _end(self, request: offload_request.ProxiedRequest, end: End) -> None:
        if end in offload_request.ENDS_WITHOUT_RESPONSE:
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
