"""Polls the connections of offloaded requests that are in the same phase."""

import asyncio
from collections.abc import Callable
import select
from typing import TypeAlias

from absl import logging

from tamarackbridge import core
from tamarackbridge.components.gateway import offload_request

LIMIT_CHECK_S = 0.1
"""Interval at which the time limits of all connections are checked."""


_Request: TypeAlias = offload_request.ProxiedRequest


class Group:
    """Requests in the same phase, polled at one interval.

    Args:
        clock: Clock for time limits.
        interval_s: Polling interval.
        handle_events: Handles the events of a request.
        abandon: Ends a request whose events could not be handled.
    """

    def __init__(
        self,
        clock: core.Clock,
        interval_s: float,
        handle_events: Callable[[_Request, int, int, float], None],
        abandon: Callable[[_Request], None],
    ) -> None:
        self._abandon = abandon
        self.requests: dict[_Request, None] = {}
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._interval_s = interval_s
        self._handle_events = handle_events
        self._poll = select.poll()
        self._by_caller: dict[int, _Request] = {}
        self._by_peer: dict[int, _Request] = {}
        self._awaiting_caller: set[_Request] = set()
        self._limits_checked_at = clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, request: _Request, peer_events: int) -> None:
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

    def remove(self, request: _Request) -> None:
        """Removes a request."""
        del self.requests[request]
        self._awaiting_caller.discard(request)
        for fd, by_fd in (
            (request.caller.fileno(), self._by_caller),
            (request.peer.fileno(), self._by_peer),
        ):
            del by_fd[fd]
            self._poll.unregister(fd)

    def watch_peer(self, request: _Request, events: int) -> None:
        """Sets the poll events to wait for at the peer."""
        self._poll.register(request.peer.fileno(), events)

    def awaits_caller(self, request: _Request) -> bool:
        """Returns whether a request waits for the caller to read."""
        return request in self._awaiting_caller

    def watch_caller(self, request: _Request, writable: bool) -> None:
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
        caller_events: dict[_Request, int] = {}
        peer_events: dict[_Request, int] = {}
        for fd, event in self._poll.poll(0):
            if fd in self._by_caller:
                caller_events[self._by_caller[fd]] = event
            else:
                peer_events[self._by_peer[fd]] = event
        due = list(caller_events | peer_events)
        if now - self._limits_checked_at >= LIMIT_CHECK_S:
            self._limits_checked_at = now
            due = list(self.requests)
        self._timer = self._loop.call_later(self._interval_s, self._poll_once)
        for request in due:
            try:
                self._handle_events(
                    request,
                    caller_events.get(request, 0),
                    peer_events.get(request, 0),
                    now,
                )
            except Exception:
                logging.exception("an offloaded request failed")
                self._abandon(request)
        if not self.requests:
            self._timer.cancel()
            self._timer = None
