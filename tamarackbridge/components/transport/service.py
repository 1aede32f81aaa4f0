"""Service that listens for the other routers and holds the links to them."""

from collections.abc import Callable
import contextlib
import ssl
from typing import Protocol

from absl import logging
import aiohttp
from aiohttp import web

from tamarackbridge import core, exceptions, messages
from tamarackbridge.components.transport import age, const, link

CLOSE_S = 0.05
"""Time for peers to close their links when this router stops. aiohttp takes 0
for no limit."""

_Opened = contextlib.AbstractAsyncContextManager[
    aiohttp.ClientWebSocketResponse
]


class Credentials(Protocol):
    """TLS contexts for the connections between routers."""

    def server(self) -> ssl.SSLContext:
        """Returns the context of the listener."""
        ...

    def client(self) -> ssl.SSLContext:
        """Returns the context for a new connection."""
        ...


class PeerService(core.Service):
    """Exchanges message batches with the other routers.

    Attributes:
        port: Port of the listener; once started, the one that was bound.
        received_batches: Number of batches received.
        received_bytes: Size of these batches.
        undecodable: Number of batches and messages that did not decode.
    """

    def __init__(
        self,
        node: str,
        boot: int,
        host: str,
        port: int,
        clock: core.Clock,
        receive: Callable[[core.Delivery], None],
        decoder: messages.Decoder,
        credentials: Credentials | None = None,
        is_remote: Callable[[str], bool] = lambda address: False,
    ) -> None:
        """Creates the service.

        Args:
            node: Name of this router.
            boot: Identifier of its process.
            host: Address of the listener.
            port: Port of the listener; 0 for any.
            clock: The clock.
            receive: Called with each message.
            decoder: Decoder of the messages.
            credentials: TLS contexts; None for connections without TLS.
            is_remote: Returns whether the router at an address is in another
                availability zone, so that what is sent to it is compressed.
        """
        super().__init__()
        self._is_remote = is_remote
        self._credentials = credentials
        self._decoder = decoder
        self._sent_by_closed_links = (0, 0)
        self.port = port
        self.received_batches = 0
        self.received_bytes = 0
        self.undecodable = 0
        self._host = host
        self._clock = clock
        self._receive = receive
        self._ages = age.AgeTracker(node, boot)
        self._addresses: dict[str, str] = {}
        self._links: dict[str, link.PeerLink] = {}
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts the listener."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                sock_connect=const.CONNECT_TIMEOUT_S,
                sock_read=const.CONNECT_TIMEOUT_S,
            ),
        )
        app = web.Application()
        app.router.add_get(const.PEERS_PATH, self._async_receive)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_S
        )
        await self._runner.setup()
        context = self._credentials.server() if self._credentials else None
        site = web.TCPSite(
            self._runner, self._host, self.port, ssl_context=context
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops the links and the listener."""
        for peer_link in self._links.values():
            await peer_link.stop()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Sets the addresses of the other routers, by node.

        Links whose peer is gone or has a new address are closed.
        """
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
        """Queues one message to a peer; ignored if its address is not known."""
        if to not in self._addresses:
            return
        if to not in self._links:
            self._links[to] = self._new_link(to)
        self._links[to].post(msg)

    def sent(self) -> tuple[int, int]:
        """Returns the numbers of batches and bytes sent so far."""
        links = self._links.values()
        batches, size = self._sent_by_closed_links
        return (
            batches + sum(peer_link.sent_batches for peer_link in links),
            size + sum(peer_link.sent_bytes for peer_link in links),
        )

    def _new_link(self, peer: str) -> link.PeerLink:
        address = self._addresses[peer]

        def open_socket() -> _Opened:
            return self._open_socket(address)

        peer_link = link.PeerLink(peer, open_socket, self._ages, self._clock)
        self.add_future(peer_link.start())
        return peer_link

    def _open_socket(self, address: str) -> _Opened:
        assert self._session is not None
        scheme = "https" if self._credentials else "http"
        context = self._credentials.client() if self._credentials else True
        return self._session.ws_connect(
            f"{scheme}://{address}{const.PEERS_PATH}",
            heartbeat=const.PING_INTERVAL_S,
            max_msg_size=messages.MAX_BATCH_BYTES,
            compress=const.COMPRESSION_WINDOW_BITS
            if self._is_remote(address)
            else 0,
            ssl=context,
        )

    async def _async_close(self, closing: link.PeerLink) -> None:
        batches, size = self._sent_by_closed_links
        self._sent_by_closed_links = (
            batches + closing.sent_batches,
            size + closing.sent_bytes,
        )
        await closing.stop()

    async def _async_receive(self, req: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(max_msg_size=messages.MAX_BATCH_BYTES)
        await socket.prepare(req)
        async for msg in socket:
            if msg.type is aiohttp.WSMsgType.BINARY:
                self._handle_batch(msg.data)
        return socket

    def _handle_batch(self, data: bytes) -> None:
        self.received_batches += 1
        self.received_bytes += len(data)
        try:
            batch = messages.decode_batch(data)
        except exceptions.CodecError as exc:
            self.undecodable += 1
            logging.log_first_n(
                logging.WARNING,
                "dropped a batch that does not decode (logged once): %s",
                1,
                exc,
            )
            return
        age_s = self._ages.receive(batch, self._clock.monotonic())
        for raw in batch.msgs:
            self._handle_message(batch.src, raw, age_s)

    def _handle_message(
        self, src: str, raw: messages.Raw, age_s: float
    ) -> None:
        try:
            msg = self._decoder.decode(raw)
        except exceptions.CodecError:
            self.undecodable += 1
            return
        self._receive(core.Delivery(src, msg, age_s))
