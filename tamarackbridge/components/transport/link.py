"""The outgoing stream to one peer."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
import dataclasses

from absl import logging
import grpc
from grpc import aio
import mode

from tamarackbridge import core, messages
from tamarackbridge.components.transport import age, const


@dataclasses.dataclass(frozen=True, slots=True)
class _Posted:
    msg: core.Message
    at: float


class PeerLink(core.Service):
    """Owns the channel to one peer and batches what goes to it.

    The first message after a quiet time leaves at once; what comes within
    `const.BATCH_S` after it leaves together at its end.
    """

    def __init__(
        self,
        peer: str,
        open_channel: Callable[[], aio.Channel],
        ages: age.AgeTracker,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self.sent_batches = 0
        self.sent_bytes = 0
        self.dropped = 0
        self._peer = peer
        self._open_channel = open_channel
        self._ages = ages
        self._clock = clock
        self._queue: collections.deque[_Posted] = collections.deque()
        self._wake = asyncio.Event()

    def post(self, msg: core.Message) -> None:
        """Queues one message."""
        if len(self._queue) >= const.MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self.dropped += 1
        self._queue.append(_Posted(msg, self._clock.monotonic()))
        self._wake.set()

    @mode.Service.task
    async def _async_run(self) -> None:
        backoff_s = const.RECONNECT_MIN_S
        connected = False
        while not self.should_stop:
            started = self._clock.monotonic()
            try:
                await self._async_stream()
            except grpc.RpcError as exc:
                if connected:
                    logging.info(
                        "peer link lost: %s %s", self._peer, exc.code()
                    )
                connected = False
            lived_s = self._clock.monotonic() - started
            if lived_s > const.RECONNECT_MAX_S:
                backoff_s = const.RECONNECT_MIN_S
                connected = True
            await self.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, const.RECONNECT_MAX_S)

    async def _async_stream(self) -> None:
        channel = self._open_channel()
        try:
            call = channel.stream_unary(const.METHOD)
            await call(self._async_batches(), wait_for_ready=True)
        finally:
            await channel.close()

    async def _async_batches(self) -> AsyncIterator[bytes]:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            if not self._queue:
                continue
            yield self._next_batch()
            await asyncio.sleep(const.BATCH_S)

    def _next_batch(self) -> bytes:
        msgs = tuple(messages.encode_message(it.msg) for it in self._queue)
        posted_at = self._queue[0].at
        self._queue.clear()
        batch = self._ages.stamp(self._peer, posted_at, msgs)
        data = messages.encode_batch(batch)
        self.sent_batches += 1
        self.sent_bytes += len(data)
        return data
