"""Pooled connections to backend servers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import select
from typing import Any, cast

import aiohttp
from aiohttp import hdrs
import yarl

from tamarackbridge import core
from tamarackbridge.components.backend import sockets
from tamarackbridge.components.gateway import exceptions, models
from tamarackbridge.helpers import loop_limit, response_limits, send_once

CONNECT_TIMEOUT_S = 0.25
"""A connection takes one round trip, 2 ms; a server that is silent for this
long leaves time to try another within the shortest target, 150 ms apart."""

IDLE_S = 4.0
"""Idle time after which a connection is not used again where the server did
not say how long it keeps one."""

IDLE_MARGIN_S = 0.5
"""Part of the server's idle time that is not used: its clock runs from its
last byte and a request is on its way for a while."""

READ_BUFFER_BYTES = 256 * 1024

_ADDED_BY_LIBRARY = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.USER_AGENT,
    hdrs.CONTENT_TYPE,
)


class ServerProtocol(response_limits.BoundedProtocol):
    """A connection that remembers why it ended and how long it may idle.

    Attributes:
        failure: The error that ended the connection; None if it was closed.
        idle_s: Time for which the server keeps the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.failure: BaseException | None = None
        self.idle_s = IDLE_S

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remembers the error."""
        self.failure = exc
        super().connection_lost(exc)


class ServerConnector(aiohttp.TCPConnector):
    """A pool that gives out only connections that are certainly clean.

    aiohttp checks a connection when it goes back into the pool. Bytes that
    come later would be taken for the answer to the next request, those too
    that the event loop has not read yet.
    """

    def __init__(self) -> None:
        super().__init__(limit=0, socket_factory=sockets.open_tcp)
        response_limits.bind(self, ServerProtocol)

    async def _get(self, key: Any, traces: Any) -> Any:
        idle = self._conns.get(key)
        if idle:
            now = asyncio.get_running_loop().time()
            for item in [it for it in idle if _unusable(it, now)]:
                idle.remove(item)
                item[0].close()
            idle.reverse()  # The one used last is least likely to be stale.
        found = await super()._get(key, traces)
        if idle:
            idle.reverse()
        return found

    async def _wrap_create_connection(self, *args: Any, **kwargs: Any) -> Any:
        async with loop_limit.async_limit(CONNECT_TIMEOUT_S):
            return await super()._wrap_create_connection(*args, **kwargs)


def _unusable(item: tuple[Any, float], now: float) -> bool:
    proto, since = item
    if proto.should_close or now - since > proto.idle_s:
        return True
    return not proto.is_connected() or _has_unread(proto.transport)


def _has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or an end wait that a busy event loop has not read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class ServerClient(core.Service):
    """Sends requests to backend servers, each at most once."""

    def __init__(self) -> None:
        super().__init__()
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the pool."""
        self._session = aiohttp.ClientSession(
            connector=ServerConnector(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            middlewares=(send_once.async_send_once,),
            skip_auto_headers=_ADDED_BY_LIBRARY,
            **response_limits.LIMITS,
        )

    async def on_stop(self) -> None:
        """Closes the pool."""
        if self._session is not None:
            await self._session.close()

    @contextlib.asynccontextmanager
    async def async_open(
        self, address: str, call: models.Call, headers: models.HeaderList
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a call and yields the answer once its head is there.

        Leaving the context before the body's end closes the connection,
        which ends the server's work.

        Raises:
            NotSentError: The call did not leave this router.
            LostError: The call may have run.
        """
        if self._session is None:
            raise exceptions.NotSentError("client is not started")
        url = yarl.URL(f"http://{address}{call.target}", encoded=True)
        try:
            async with self._session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
            ) as resp:
                _note_idle_time(resp)
                yield resp
        except aiohttp.ClientConnectorError as exc:
            raise exceptions.NotSentError(_text(exc)) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise exceptions.NotSentError("connect timed out") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.LostError(_text(exc)) from exc


def ended_by_reset(resp: aiohttp.ClientResponse) -> bool:
    """Whether an answer without a length ended with an error."""
    proto = cast(Any, resp)._protocol
    return isinstance(proto, ServerProtocol) and proto.failure is not None


def use_no_further(resp: aiohttp.ClientResponse) -> None:
    """Closes the connection of an answer once that has been read."""
    proto = cast(Any, resp)._protocol
    if isinstance(proto, ServerProtocol):
        proto.force_close()


def _note_idle_time(resp: aiohttp.ClientResponse) -> None:
    conn = resp.connection
    if conn is None or not isinstance(conn.protocol, ServerProtocol):
        return
    for part in resp.headers.get(hdrs.KEEP_ALIVE, "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isascii() and value.isdigit():
            # A float takes any number of digits.
            conn.protocol.idle_s = max(float(value) - IDLE_MARGIN_S, 0.0)


def _text(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}"
