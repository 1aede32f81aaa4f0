"""TCP proxy on loopback that can delay, drop or reset what it relays."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

from standins import base, ports

CHUNK_BYTES = 65_536


class Direction(enum.Enum):
    """Direction of the bytes that a fault affects."""

    BOTH = "both"
    TO_TARGET = "there"
    FROM_TARGET = "back"


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault:
    """What a proxy does to all its connections.

    Attributes:
        delay_s: Delay before each chunk is relayed.
        dropped_direction: Direction in which bytes are dropped; None for no
            direction.
    """

    delay_s: float = 0.0
    dropped_direction: Direction | None = None


NO_FAULT = LinkFault()


class Proxy:
    """Relays connections to one address.

    Attributes:
        fault: Present fault of the link.
    """

    def __init__(self, target: str) -> None:
        self.fault = NO_FAULT
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._reserved = ports.ReservedPorts(1)

    @property
    def address(self) -> str:
        """`host:port` while running."""
        return f"127.0.0.1:{self._reserved.ports[0]}"

    @property
    def connections(self) -> int:
        """Number of connections that are relayed."""
        return len(self._writers) // 2

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def __aenter__(self) -> "Proxy":
        """Starts to listen on a port that the kernel chose."""
        await self.async_listen()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the listener and resets all connections."""
        self._stop_listening()
        self.reset()
        await base.async_cancel(self._serving)
        self._reserved.close()

    async def async_listen(self) -> None:
        """Accepts connections, also again after a crash."""
        self._server = await asyncio.start_server(
            self._async_serve, "127.0.0.1", self._reserved.ports[0]
        )

    def crash(self) -> None:
        """Refuses connections and closes all open ones in good order.

        The kernel does so for a process that has died.
        """
        self._stop_listening()
        self.close_connections()

    def close_connections(self) -> None:
        """Closes all open connections in good order."""
        for writer in list(self._writers):
            writer.close()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        base.track_current_task(self._serving)
        host, _, port = self._target.rpartition(":")
        try:
            connection = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        target_reader, target_writer = connection
        self._writers |= {writer, target_writer}
        pump_tasks = (
            asyncio.create_task(
                self._async_pump(reader, target_writer, Direction.TO_TARGET)
            ),
            asyncio.create_task(
                self._async_pump(target_reader, writer, Direction.FROM_TARGET)
            ),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*pump_tasks)
        finally:
            self._writers -= {writer, target_writer}
            for open_writer in (writer, target_writer):
                open_writer.close()

    async def _async_pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                if self.fault.dropped_direction in (Direction.BOTH, direction):
                    continue  # A connection that has lost bytes can't recover.
                writer.write(data)
                await writer.drain()
            if self.fault.dropped_direction not in (Direction.BOTH, direction):
                writer.write_eof()
        except (ConnectionError, OSError):
            # A close in good order would look like the end of an answer.
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
