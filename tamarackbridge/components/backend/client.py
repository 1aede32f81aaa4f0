"""HTTP client for backend servers."""

from collections.abc import AsyncIterator, Mapping
import contextlib

import aiohttp

from tamarackbridge import core
from tamarackbridge.components.backend import (
    connection_check,
    exceptions,
    sockets,
)
from tamarackbridge.helpers import response_limits, send_once

CONNECT_TIMEOUT_S = 1.0
CHECK_TIMEOUT_S = 0.25
"""Timeout for checking a connection: a whole answer waits for it."""

READ_BUFFER_BYTES = 16 * 1024
"""Half of the unread bytes at which a connection is no longer read. They are
held for each caller that does not read its stream."""


class BackendClient(core.Service):
    """HTTP client with a pool of connections to backend servers."""

    def __init__(self) -> None:
        super().__init__()
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the connection pool."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=30, socket_factory=sockets.open_tcp
        )
        response_limits.bind(connector)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            middlewares=(send_once.async_send_once,),
            **response_limits.LIMITS,
        )

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    @contextlib.asynccontextmanager
    async def async_open(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a request and yields the response once its headers arrived.

        Leaving the context before the end of the body closes the connection,
        which cancels the work on engines.

        Raises:
            NotSentError: The request did not leave this router.
            BackendError: The request may have reached the backend server.
        """
        if self._session is None:
            raise exceptions.NotSentError("client is not started")
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                data=body,
                allow_redirects=False,
            ) as resp:
                yield resp
        except aiohttp.ClientConnectorError as exc:
            raise exceptions.NotSentError(str(exc)) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise exceptions.NotSentError("connect timed out") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.BackendError(str(exc)) from exc

    async def async_check_connection(
        self, address: str
    ) -> connection_check.Check:
        """Returns whether a backend server accepts connections."""
        check, _ = await connection_check.async_check(address, CHECK_TIMEOUT_S)
        return check
