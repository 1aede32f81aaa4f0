"""TCP proxy on loopback that can delay, drop or reset what it relays."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

from standins import base

CHUNK_BYTES = 65_536


class Way(enum.Enum):
    """Direction of the bytes that a fault affects.

    THERE is from the client to the target, BACK from the target.
    """

    BOTH = "both"
    THERE = "there"
    BACK = "back"


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """What a proxy does to all its connections.

    Attributes:
        delay_s: Delay before each chunk is relayed.
        silent: Direction in which bytes are dropped; None for neither.
    """

    delay_s: float = 0.0
    silent: Way | None = None


CALM = Trouble()


class Proxy:
    """Relays connections to one address.

    Attributes:
        trouble: Present fault of the link.
    """

    def __init__(self, target: str) -> None:
        self.trouble = CALM
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._port = 0

    @property
    def address(self) -> str:
        """`host:port` while running."""
        return f"127.0.0.1:{self._port}"

    async def __aenter__(self) -> "Proxy":
        """Starts to listen on a port that the kernel chooses."""
        self._server = await asyncio.start_server(
            self._async_serve, "127.0.0.1", 0
        )
        self._port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await base.async_end(self._serving)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        base.keep_current_task(self._serving)
        host, _, port = self._target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        back_reader, there_writer = there
        self._writers |= {writer, there_writer}
        pumps = (
            asyncio.create_task(
                self._async_pump(reader, there_writer, Way.THERE)
            ),
            asyncio.create_task(
                self._async_pump(back_reader, writer, Way.BACK)
            ),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*pumps)
        finally:
            self._writers -= {writer, there_writer}
            for it in (writer, there_writer):
                it.close()

    async def _async_pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.trouble.delay_s:
                    await asyncio.sleep(self.trouble.delay_s)
                if self.trouble.silent in (Way.BOTH, way):
                    continue  # A connection that has lost bytes can't recover.
                writer.write(data)
                await writer.drain()
            if self.trouble.silent not in (Way.BOTH, way):
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()
