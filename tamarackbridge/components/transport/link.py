"""Link to one peer, which sends it messages in batches."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

from absl import logging
import aiohttp
import mode

from tamarackbridge import core, messages
from tamarackbridge.components.transport import age, const

Opener = Callable[
    [], contextlib.AbstractAsyncContextManager[aiohttp.ClientWebSocketResponse]
]
"""Returns a context manager that opens a WebSocket to the peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedMessage:
    msg: core.Message
    posted_at: float


class PeerLink(core.Service):
    """Maintains the connection to one peer and sends it batches.

    Messages that are posted in one run of the event loop, or while the peer
    is unreachable or slow, are sent in one batch.

    Attributes:
        sent_batches: Number of batches passed to the connection.
        sent_bytes: Size of these batches.
        dropped: Number of messages dropped from a full queue.
    """

    def __init__(
        self,
        peer: str,
        open_socket: Opener,
        ages: age.AgeTracker,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self.sent_batches = 0
        self.sent_bytes = 0
        self.dropped = 0
        self._peer = peer
        self._open_socket = open_socket
        self._ages = ages
        self._clock = clock
        self._queue: collections.deque[_QueuedMessage] = collections.deque()
        self._wake_event = asyncio.Event()

    def post(self, msg: core.Message) -> None:
        """Queues one message; drops the oldest if the queue is full."""
        if len(self._queue) >= const.MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self.dropped += 1
        self._queue.append(_QueuedMessage(msg, self._clock.monotonic()))
        self._wake_event.set()

    @mode.Service.task
    async def _async_run(self) -> None:
        backoff_s = const.MIN_RECONNECT_DELAY_S
        while not self.should_stop:
            started_at = self._clock.monotonic()
            reason = await self._async_connection()
            if self._clock.monotonic() - started_at > const.STABLE_CONNECTION_S:
                backoff_s = const.MIN_RECONNECT_DELAY_S
                logging.info(
                    "connection to peer %s lost: %s", self._peer, reason
                )
            await self.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, const.MAX_RECONNECT_DELAY_S)

    async def _async_connection(self) -> str:
        """Sends over one connection until it ends; returns the reason."""
        try:
            async with self._open_socket() as socket:
                return await self._async_send(socket)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return f"{type(exc).__name__}: {exc}"
        except Exception as exc:
            # A message that can't be encoded must not end the link for good.
            self._queue.clear()
            logging.exception("link to peer %s failed", self._peer)
            return f"{type(exc).__name__}: {exc}"

    async def _async_send(self, socket: aiohttp.ClientWebSocketResponse) -> str:
        # Reading answers the peer's pings and detects that the socket closed.
        reading = asyncio.create_task(_async_read(socket))
        reading.add_done_callback(self._on_reading_done)
        try:
            while not reading.done() and not self.should_stop:
                await self._wake_event.wait()
                self._wake_event.clear()
                if self._queue and not reading.done():
                    await socket.send_bytes(self._next_batch())
        finally:
            reading.cancel()
        return f"closed with code {socket.close_code}"

    def _on_reading_done(self, reading: asyncio.Task[Any]) -> None:
        del reading  # Only the fact that it ended matters.
        self._wake_event.set()

    def _next_batch(self) -> bytes:
        msgs = tuple(
            messages.encode_message(queued.msg) for queued in self._queue
        )
        posted_at = self._queue[0].posted_at
        self._queue.clear()
        batch = self._ages.stamp(self._peer, posted_at, msgs)
        data = messages.encode_batch(batch)
        self.sent_batches += 1
        self.sent_bytes += len(data)
        return data


async def _async_read(socket: aiohttp.ClientWebSocketResponse) -> None:
    async for _ in socket:
        pass  # The peer sends its batches over a link of its own.
