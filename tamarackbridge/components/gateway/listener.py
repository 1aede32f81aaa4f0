"""Accepts caller connections, a bounded number per event loop iteration.

Load pattern: more connections arrive than the processor can serve. Accepting
the whole backlog at once would delay everything else by the work that it
causes. Rejecting a request only after a connection handler was set up and the
request parsed would cost as much as serving it. So each iteration accepts only
a few connections, and while requests are shed, they are inspected in the
kernel's receive buffer and rejected without being parsed.
"""

import asyncio
from collections.abc import Callable
import enum
import errno
import math
import select
import socket
from typing import Protocol

from absl import logging

from tamarackbridge.components.gateway import offload_proxy
from tamarackbridge.components.telemetry import processor

MAX_ACCEPTED_PER_ITERATION = 8
"""Connections handed to the HTTP server per iteration: a few milliseconds of
work, so that responses in flight and closed connections are soon handled again.
"""

MAX_REJECTED_PER_ITERATION = 64
"""Connections that are rejected, or have not sent anything yet, per iteration;
each costs a tenth of an accepted one."""

PEEK_BYTES = 65_536
"""Bytes of a request that are inspected; a longer request is accepted."""

SILENT_POLL_S = 0.005
"""Polling interval for connections that have not sent anything yet: most
requests arrive one round trip after their connection."""

SILENT_TIMEOUT_S = 0.05
"""Time after which a connection that has sent nothing is accepted: several
round trips."""

RETRY_S = 1.0
"""Pause in accepting after the process ran out of descriptors or memory."""

_OUT_OF_RESOURCES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


class ScreenResult(enum.Enum):
    """Result of inspecting the received bytes of a request.

    Attributes:
        UNKNOWN: Undecided: the request is incomplete or of an uncommon form.
        ADMITTED: The request is admitted.
        SILENT: Nothing has been received yet.
        ENDED: The listener is done with the connection: it was answered, closed
            or handed over to the proxy for offloaded requests.
    """

    UNKNOWN = "unknown"
    ADMITTED = "admitted"
    SILENT = "silent"
    ENDED = "ended"


class Screen(Protocol):
    """Decides on requests from their unparsed bytes."""

    @property
    def shedding(self) -> bool:
        """Returns whether requests may be rejected before they are parsed."""
        ...

    def screen(
        self, data: bytes
    ) -> ScreenResult | offload_proxy.OffloadedRequest | bytes:
        """Decides on one request.

        Args:
            data: All bytes that its connection has received.

        Returns:
            The response if the request is rejected, the request for a peer if
            it is offloaded, else the result of the inspection.
        """
        ...

    def record_caller_left(self) -> None:
        """Counts a caller that left before its request was parsed."""
        ...


class Listener:
    """Accepts the connections of a listening socket.

    Attributes:
        backlog_wait_s: For how many seconds the backlog has not been empty,
            as of the end of the last iteration; 0 if that emptied it.
    """

    def __init__(
        self,
        sock: socket.socket,
        connect: Callable[[ScreenResult], asyncio.BaseProtocol],
        screen: Screen,
        offload: Callable[
            [socket.socket, offload_proxy.OffloadedRequest], None
        ],
        processor_time: processor.ProcessorTime,
    ) -> None:
        self.backlog_wait_s = 0.0
        self._backlog_since = math.inf
        self._processor_time = processor_time
        sock.setblocking(False)
        self._sock = sock
        self._connect = connect
        self._screen = screen
        self._offload = offload
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._is_open = True
        self._silent: dict[int, tuple[socket.socket, float]] = {}
        self._silent_poll = select.poll()
        self._silent_timer: asyncio.TimerHandle | None = None
        self._start_accepting()

    def close(self) -> None:
        """Accepts all pending connections, then closes the socket.

        The kernel resets connections that are still pending at the close.
        """
        if not self._is_open:
            return
        self._is_open = False
        self._loop.remove_reader(self._sock)
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        while (conn := self._accept()) is not None:
            self._hand_over(conn, ScreenResult.UNKNOWN)
        for fd in list(self._silent):
            self._hand_over(self._unwatch_silent(fd), ScreenResult.UNKNOWN)
        self._sock.close()

    def _start_accepting(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._sock, self._on_readable)

    def _on_readable(self) -> None:
        with self._processor_time.section(processor.Purpose.ACCEPTING):
            self._accept_batch()

    def _accept_batch(self) -> None:
        """Handles pending connections up to the limits per iteration."""
        handed_over = rejected = 0
        while (conn := self._accept()) is not None:
            screen_result = ScreenResult.UNKNOWN
            if self._screen.shedding:
                screen_result = self._inspect(conn)
            if screen_result is ScreenResult.SILENT:
                self._watch_silent(conn)
            if screen_result in (ScreenResult.SILENT, ScreenResult.ENDED):
                rejected += 1
            else:
                handed_over += 1
                self._hand_over(conn, screen_result)
            if (
                handed_over >= MAX_ACCEPTED_PER_ITERATION
                or rejected >= MAX_REJECTED_PER_ITERATION
            ):
                if not _has_pending(self._sock):
                    break
                now = self._loop.time()
                self._backlog_since = min(self._backlog_since, now)
                self.backlog_wait_s = now - self._backlog_since
                return
        self._backlog_since = math.inf
        self.backlog_wait_s = 0.0

    def _accept(self) -> socket.socket | None:
        """Returns a pending connection; None if there is none.

        If the process is out of file descriptors or memory, stops accepting for
        `RETRY_S` and returns None.
        """
        while True:
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return None
            except ConnectionAbortedError:
                continue  # The caller closed it; another may be pending.
            except OSError as exc:
                if exc.errno not in _OUT_OF_RESOURCES:
                    raise
                logging.error("cannot accept a connection: %s", exc)
                if not self._is_open:
                    return None
                self._loop.remove_reader(self._sock)
                self._retry_timer = self._loop.call_later(
                    RETRY_S, self._start_accepting
                )
                return None
            conn.setblocking(False)
            return conn

    def _watch_silent(self, conn: socket.socket) -> None:
        """Postpones the decision on a connection that has sent nothing."""
        self._silent[conn.fileno()] = (conn, self._loop.time())
        self._silent_poll.register(conn.fileno(), select.POLLIN)
        if self._silent_timer is None:
            self._schedule_silent_poll()

    def _schedule_silent_poll(self) -> None:
        self._silent_timer = self._loop.call_later(
            SILENT_POLL_S, self._poll_silent
        )

    def _unwatch_silent(self, fd: int) -> socket.socket:
        self._silent_poll.unregister(fd)
        return self._silent.pop(fd)[0]

    def _poll_silent(self) -> None:
        """Decides on requests that have arrived since their connection."""
        self._silent_timer = None
        with self._processor_time.section(processor.Purpose.ACCEPTING):
            for fd, _ in self._silent_poll.poll(0):
                conn = self._unwatch_silent(fd)
                screen_result = self._inspect(conn)
                if screen_result is not ScreenResult.ENDED:
                    self._hand_over(conn, screen_result)
            latest = self._loop.time() - SILENT_TIMEOUT_S
            expired = [
                fd for fd, entry in self._silent.items() if entry[1] <= latest
            ]
            for fd in expired:
                self._hand_over(self._unwatch_silent(fd), ScreenResult.UNKNOWN)
        if self._silent:
            self._schedule_silent_poll()

    def _inspect(self, conn: socket.socket) -> ScreenResult:
        """Inspects a request, and answers it here if it is rejected."""
        with self._processor_time.section(processor.Purpose.REFUSING):
            return self._screen_request(conn)

    def _screen_request(self, conn: socket.socket) -> ScreenResult:
        try:
            if _has_left(conn):
                self._screen.record_caller_left()
                conn.close()
                return ScreenResult.ENDED
            data = conn.recv(PEEK_BYTES, socket.MSG_PEEK)
            decision = self._screen.screen(data)
            if isinstance(decision, ScreenResult):
                return decision
            # Closing a connection with unread bytes would reset it.
            conn.recv(len(data))
            if isinstance(decision, offload_proxy.OffloadedRequest):
                self._offload(conn, decision)
                return ScreenResult.ENDED
            conn.send(decision)
        except (BlockingIOError, InterruptedError):
            return ScreenResult.SILENT
        except OSError:
            self._screen.record_caller_left()
        conn.close()
        return ScreenResult.ENDED

    def _hand_over(
        self, conn: socket.socket, screen_result: ScreenResult
    ) -> None:
        task = self._loop.create_task(self._async_connect(conn, screen_result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_connect(
        self, conn: socket.socket, screen_result: ScreenResult
    ) -> None:
        await self._loop.connect_accepted_socket(
            lambda: self._connect(screen_result), conn
        )


def _has_pending(listening: socket.socket) -> bool:
    """Returns whether a connection is pending at a listening socket."""
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))


def _has_left(conn: socket.socket) -> bool:
    """Returns whether the caller has closed its side of a connection."""
    poll = select.poll()
    poll.register(conn, select.POLLRDHUP)
    return bool(poll.poll(0))
