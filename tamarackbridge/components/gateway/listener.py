"""Takes callers' connections, a bounded number in each turn of the event loop.

Load pattern: more connections come than the processor bears. Taking all that
wait in one turn delays everything else by as much work as waits; and a
connection, a handler and a parsed request for each that is refused cost as
much as serving one. So few are taken in a turn, and while requests are shed
they are looked at in the kernel's buffer, and refused from there.
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

from tamarackbridge.components.gateway import pipes
from tamarackbridge.components.telemetry import processor

TAKEN_IN_TURN = 8
"""Connections taken in one turn: a few milliseconds of work, so that answers
under way and callers' ends come first again soon."""

REFUSED_IN_TURN = 64
"""Connections refused in one turn, at a tenth of the cost."""

LOOKED_AT_BYTES = 65_536
"""What is looked at of a request; one that is longer is taken."""

SILENT_LOOK_S = 0.005
"""Interval at which connections that have sent nothing are looked at again:
most requests come a round trip after their connection."""

SILENT_S = 0.05
"""Time after which such a connection is taken: several round trips."""

RETRY_S = 1.0
"""Pause after the kernel had no descriptor or memory for a connection."""

_NO_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Screened(enum.Enum):
    """What was found of a request that was looked at.

    Attributes:
        UNKNOWN: Its bytes are not all there, or tell too little.
        ADMITTED: It is taken up.
        SILENT: None of its bytes are there.
        ENDED: Its connection was answered or given away.
    """

    UNKNOWN = "unknown"
    ADMITTED = "admitted"
    SILENT = "silent"
    ENDED = "ended"


class Screen(Protocol):
    """Decides on requests before they are read."""

    @property
    def shedding(self) -> bool:
        """Whether requests may be refused unread."""
        ...

    def screen(self, data: bytes) -> Screened | pipes.Offload | bytes:
        """Returns the answer to a request that is refused.

        Args:
            data: All that its connection has received.

        Returns:
            Otherwise what was found, or how the request is offloaded.
        """
        ...

    def note_left(self) -> None:
        """Counts a caller that had left before its request was read."""
        ...


class Listener:
    """Owns a listening socket.

    Attributes:
        waited_s: For how long some have waited without a break when the last
            turn ended; 0 if it left none.
    """

    def __init__(
        self,
        sock: socket.socket,
        connect: Callable[[Screened], asyncio.BaseProtocol],
        screen: Screen,
        offload: Callable[[socket.socket, pipes.Offload], None],
        spent: processor.ProcessorTime,
    ) -> None:
        self.waited_s = 0.0
        self._since = math.inf
        self._spent = spent
        sock.setblocking(False)
        self._sock = sock
        self._connect = connect
        self._screen = screen
        self._offload = offload
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._serving = True
        self._silent: dict[int, tuple[socket.socket, float]] = {}
        self._silent_poll = select.poll()
        self._silent_timer: asyncio.TimerHandle | None = None
        self._listen()

    def close(self) -> None:
        """Takes the connections that wait, and no further ones.

        The kernel resets what waits at a listener that is closed.
        """
        if not self._serving:
            return
        self._serving = False
        self._loop.remove_reader(self._sock)
        if self._timer is not None:
            self._timer.cancel()
        while (conn := self._accept()) is not None:
            self._take(conn, Screened.UNKNOWN)
        for fd in list(self._silent):
            self._take(self._forget_silent(fd), Screened.UNKNOWN)
        self._sock.close()

    def _listen(self) -> None:
        self._timer = None
        self._loop.add_reader(self._sock, self._on_waiting)

    def _on_waiting(self) -> None:
        with self._spent.section(processor.Purpose.ACCEPTING):
            self._take_some()

    def _take_some(self) -> None:
        """Takes or refuses connections until none waits, or enough are."""
        taken = refused = 0
        while (conn := self._accept()) is not None:
            screened = Screened.UNKNOWN
            if self._screen.shedding:
                screened = self._look_at(conn)
            if screened is Screened.SILENT:
                self._note_silent(conn)
            if screened in (Screened.SILENT, Screened.ENDED):
                refused += 1
            else:
                taken += 1
                self._take(conn, screened)
            if taken >= TAKEN_IN_TURN or refused >= REFUSED_IN_TURN:
                if not _has_waiting(self._sock):
                    break
                now = self._loop.time()
                self._since = min(self._since, now)
                self.waited_s = now - self._since
                return
        self._since = math.inf
        self.waited_s = 0.0

    def _accept(self) -> socket.socket | None:
        """Returns a connection that waits; None if none does."""
        while True:
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return None
            except ConnectionAbortedError:
                continue  # It has gone; another may wait.
            except OSError as exc:
                if exc.errno not in _NO_ROOM:
                    raise
                logging.error("no room for a connection: %s", exc)
                if not self._serving:
                    return None
                self._loop.remove_reader(self._sock)
                self._timer = self._loop.call_later(RETRY_S, self._listen)
                return None
            conn.setblocking(False)
            return conn

    def _note_silent(self, conn: socket.socket) -> None:
        """Looks at a connection again when it has sent something."""
        self._silent[conn.fileno()] = (conn, self._loop.time())
        self._silent_poll.register(conn.fileno(), select.POLLIN)
        if self._silent_timer is None:
            self._look_later()

    def _look_later(self) -> None:
        self._silent_timer = self._loop.call_later(
            SILENT_LOOK_S, self._look_at_silent
        )

    def _forget_silent(self, fd: int) -> socket.socket:
        self._silent_poll.unregister(fd)
        return self._silent.pop(fd)[0]

    def _look_at_silent(self) -> None:
        """Decides on requests that have come meanwhile."""
        self._silent_timer = None
        with self._spent.section(processor.Purpose.ACCEPTING):
            for fd, _ in self._silent_poll.poll(0):
                conn = self._forget_silent(fd)
                screened = self._look_at(conn)
                if screened is not Screened.ENDED:
                    self._take(conn, screened)
            before = self._loop.time() - SILENT_S
            late = [fd for fd, it in self._silent.items() if it[1] <= before]
            for fd in late:
                self._take(self._forget_silent(fd), Screened.UNKNOWN)
        if self._silent:
            self._look_later()

    def _look_at(self, conn: socket.socket) -> Screened:
        """Looks at what a connection has sent."""
        with self._spent.section(processor.Purpose.REFUSING):
            return self._answered(conn)

    def _answered(self, conn: socket.socket) -> Screened:
        try:
            if _has_left(conn):
                self._screen.note_left()
                conn.close()
                return Screened.ENDED
            data = conn.recv(LOOKED_AT_BYTES, socket.MSG_PEEK)
            found = self._screen.screen(data)
            if isinstance(found, Screened):
                return found
            # Bytes that wait when a connection closes reset it.
            conn.recv(len(data))
            if isinstance(found, pipes.Offload):
                self._offload(conn, found)
                return Screened.ENDED
            conn.send(found)
        except (BlockingIOError, InterruptedError):
            return Screened.SILENT
        except OSError:
            self._screen.note_left()
        conn.close()
        return Screened.ENDED

    def _take(self, conn: socket.socket, screened: Screened) -> None:
        task = self._loop.create_task(self._async_connect(conn, screened))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_connect(
        self, conn: socket.socket, screened: Screened
    ) -> None:
        await self._loop.connect_accepted_socket(
            lambda: self._connect(screened), conn
        )


def _has_waiting(listening: socket.socket) -> bool:
    """Whether a connection waits to be taken."""
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))


def _has_left(conn: socket.socket) -> bool:
    """Whether a caller has closed its side of a connection."""
    poll = select.poll()
    poll.register(conn, select.POLLRDHUP)
    return bool(poll.poll(0))
