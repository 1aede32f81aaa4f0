"""The gRPC server for peers, and the links to them."""

from collections.abc import AsyncIterator, Callable
from typing import Any

from absl import logging
import grpc
from grpc import aio

from tamarackbridge import core, exceptions, messages
from tamarackbridge.components.settings import models as settings_models
from tamarackbridge.components.tls import peers as tls_peers
from tamarackbridge.components.transport import age, const, link

_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", const.RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", const.RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", const.RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", messages.MAX_BATCH_BYTES),
    ("grpc.keepalive_time_ms", const.KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", const.KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


class PeerService(core.Service):
    """Exchanges message batches with the other routers.

    Attributes:
        port: The port it listens on, once started.
    """

    def __init__(
        self,
        node: str,
        boot: int,
        listen: settings_models.ListenSettings,
        clock: core.Clock,
        receive: Callable[[core.Delivery], None],
        credentials: tls_peers.PeerCredentials | None = None,
    ) -> None:
        super().__init__()
        self._credentials = credentials
        self._sent_before = (0, 0)
        self.port = 0
        self.received_batches = 0
        self.received_bytes = 0
        self.undecodable = 0
        self._listen = listen
        self._clock = clock
        self._receive = receive
        self._ages = age.AgeTracker(node, boot)
        self._addresses: dict[str, str] = {}
        self._links: dict[str, link.PeerLink] = {}
        self._server: aio.Server | None = None

    async def on_start(self) -> None:
        """Starts the listener."""
        handler = grpc.stream_unary_rpc_method_handler(self._async_exchange)
        generic = grpc.method_handlers_generic_handler(
            const.SERVICE, {const.METHOD.rpartition("/")[2]: handler}
        )
        server = aio.server(options=_CHANNEL_OPTIONS)
        server.add_generic_rpc_handlers((generic,))
        address = f"{self._listen.host}:{self._listen.port}"
        if self._credentials is None:
            self.port = server.add_insecure_port(address)
        else:
            self.port = server.add_secure_port(
                address, self._credentials.server()
            )
        await server.start()
        self._server = server

    async def on_stop(self) -> None:
        """Stops the links and the listener."""
        for peer_link in self._links.values():
            await peer_link.stop()
        if self._server is not None:
            await self._server.stop(grace=0.2)

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Tells where the routers of the roster listen."""
        changed = {
            node
            for node in self._links
            if addresses.get(node) != self._addresses.get(node)
        }
        self._addresses = addresses
        self._ages.forget(frozenset(addresses))
        for node in changed:
            self.add_future(self._async_close(self._links.pop(node)))

    def post(self, to: str, msg: core.Message) -> None:
        """Queues one message to a peer; unknown peers get nothing."""
        if to not in self._addresses:
            return
        if to not in self._links:
            self._links[to] = self._new_link(to)
        self._links[to].post(msg)

    def sent(self) -> tuple[int, int]:
        """Returns batches and bytes sent so far."""
        links = self._links.values()
        batches, size = self._sent_before
        return (
            batches + sum(item.sent_batches for item in links),
            size + sum(item.sent_bytes for item in links),
        )

    def _new_link(self, peer: str) -> link.PeerLink:
        address = self._addresses[peer]

        def open_channel() -> aio.Channel:
            if self._credentials is None:
                return aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            return aio.secure_channel(
                address, self._credentials.channel(), options=_CHANNEL_OPTIONS
            )

        new = link.PeerLink(peer, open_channel, self._ages, self._clock)
        self.add_future(new.start())
        return new

    async def _async_close(self, old: link.PeerLink) -> None:
        batches, size = self._sent_before
        self._sent_before = (batches + old.sent_batches, size + old.sent_bytes)
        await old.stop()

    async def _async_exchange(
        self, batches: AsyncIterator[bytes], context: Any
    ) -> bytes:
        del context  # The stream carries all that is needed.
        async for data in batches:
            self._take(data)
        return b""

    def _take(self, data: bytes) -> None:
        self.received_batches += 1
        self.received_bytes += len(data)
        try:
            batch = messages.decode_batch(data)
        except exceptions.CodecError as exc:
            self.undecodable += 1
            logging.log_first_n(logging.WARNING, "bad batch: %s", 1, exc)
            return
        age_s = self._ages.receive(batch, self._clock.monotonic())
        for raw in batch.msgs:
            self._take_message(batch.src, raw, age_s)

    def _take_message(self, src: str, raw: messages.Raw, age_s: float) -> None:
        try:
            msg = messages.decode_message(raw)
        except exceptions.CodecError:
            self.undecodable += 1
            return
        self._receive(core.Delivery(src, msg, age_s))
