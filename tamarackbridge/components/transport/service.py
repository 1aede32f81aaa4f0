"""The listener for peers, and the links to them."""

from collections.abc import Callable
import contextlib
import ssl
from typing import Protocol

from absl import logging
import aiohttp
from aiohttp import web

from tamarackbridge import core, exceptions, messages
from tamarackbridge.components.transport import age, const, link

_Opened = contextlib.AbstractAsyncContextManager[
    aiohttp.ClientWebSocketResponse
]


class Credentials(Protocol):
    """What a router shows the others, and accepts of them."""

    def server(self) -> ssl.SSLContext:
        """Returns the listener's context."""
        ...

    def client(self) -> ssl.SSLContext:
        """Returns the context for a new connection."""
        ...


class PeerService(core.Service):
    """Exchanges message batches with the other routers.

    Attributes:
        port: The port it listens on, once started.
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
    ) -> None:
        super().__init__()
        self._credentials = credentials
        self._decoder = decoder
        self._sent_before = (0, 0)
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
        app.router.add_get(const.PATH, self._async_exchange)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
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
        """Tells where the other routers listen."""
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

        def open_socket() -> _Opened:
            return self._open(address)

        new = link.PeerLink(peer, open_socket, self._ages, self._clock)
        self.add_future(new.start())
        return new

    def _open(self, address: str) -> _Opened:
        assert self._session is not None
        scheme = "https" if self._credentials else "http"
        context = self._credentials.client() if self._credentials else True
        return self._session.ws_connect(
            f"{scheme}://{address}{const.PATH}",
            heartbeat=const.KEEPALIVE_S,
            max_msg_size=messages.MAX_BATCH_BYTES,
            ssl=context,
        )

    async def _async_close(self, old: link.PeerLink) -> None:
        batches, size = self._sent_before
        self._sent_before = (batches + old.sent_batches, size + old.sent_bytes)
        await old.stop()

    async def _async_exchange(self, req: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(
            compress=False, max_msg_size=messages.MAX_BATCH_BYTES
        )
        await socket.prepare(req)
        async for msg in socket:
            if msg.type is aiohttp.WSMsgType.BINARY:
                self._take(msg.data)
        return socket

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
            msg = self._decoder.decode(raw)
        except exceptions.CodecError:
            self.undecodable += 1
            return
        self._receive(core.Delivery(src, msg, age_s))
