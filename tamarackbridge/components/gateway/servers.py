"""HTTP client with pooled connections to backend servers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import functools
import select
from typing import Any, TypeAlias, cast

import aiohttp
from aiohttp import hdrs
import yarl

from tamarackbridge import core
from tamarackbridge.components.backend import connection_check, sockets
from tamarackbridge.components.gateway import body_payload, exceptions, models
from tamarackbridge.components.telemetry import events
from tamarackbridge.helpers import loop_limit, response_limits, send_once

CONNECT_TIMEOUT_S = 0.25
"""Timeout for opening a connection, which takes one round trip of 2 ms. It
leaves 150 ms of the shortest target latency to try another server."""

DEFAULT_IDLE_S = 4.0
"""Idle time after which a connection is not reused, unless the server announces
another time in its Keep-Alive header."""

IDLE_MARGIN_S = 0.5
"""Margin by which a connection expires before the server's idle timeout: the
server's timer starts when it sends its last byte, and the next request takes
some time to arrive."""

READ_BUFFER_BYTES = 16 * 1024
"""Half of the unread bytes at which a connection is no longer read. They are
held for each caller that does not read its stream."""

REPORT_S = 0.5
"""Time for a server's report of itself, for which it needs no free slot."""

REPORT_TRIES = 3
"""Connections on which a report is asked for, if the server closes each."""

REPORT_PAUSE_S = 0.1
"""Pause between them. A process that dies has stopped listening by then."""

MAX_REPORT_BYTES = 256 * 1024
"""Largest report that is read: one of hundreds of requests."""

_ADDED_BY_LIBRARY = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.USER_AGENT,
    hdrs.CONTENT_TYPE,
)


ConnectionCheck: TypeAlias = connection_check.Check
"""Result of opening a connection to a server."""


class ServerProtocol(response_limits.BoundedProtocol):
    """Client protocol that keeps the connection's idle timeout.

    Attributes:
        idle_s: Idle time after which the connection is not reused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.idle_s = DEFAULT_IDLE_S


class ServerConnector(aiohttp.TCPConnector):
    """Connection pool that never reuses a connection with unread data.

    aiohttp checks a connection only when it returns to the pool. Bytes that
    arrive later, even if the event loop has not read them yet, would be taken
    for the response to the next request.
    """

    def __init__(self) -> None:
        super().__init__(limit=0, socket_factory=sockets.open_tcp)
        response_limits.bind(self, ServerProtocol)

    async def _get(self, key: Any, traces: Any) -> Any:
        idle = self._conns.get(key)
        if idle:
            now = asyncio.get_running_loop().time()
            for entry in [each for each in idle if _is_unusable(each, now)]:
                idle.remove(entry)
                entry[0].close()
            idle.reverse()  # The last one used is least likely to be stale.
        conn = await super()._get(key, traces)
        if idle:
            idle.reverse()
        return conn

    async def _wrap_create_connection(self, *args: Any, **kwargs: Any) -> Any:
        async with loop_limit.async_limit(CONNECT_TIMEOUT_S):
            return await super()._wrap_create_connection(*args, **kwargs)


def _is_unusable(entry: tuple[Any, float], now: float) -> bool:
    proto, idle_since = entry
    if proto.should_close or now - idle_since > proto.idle_s:
        return True
    return not proto.is_connected() or _has_unread_data(proto.transport)


def _has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Returns whether data or an end of file waits in the socket buffer."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A request for a server's report that is in progress."""

    task: "asyncio.Task[bytes]"
    asked_at: float


class ServerClient(core.Service):
    """Sends requests to backend servers; never repeats a request itself."""

    def __init__(self) -> None:
        super().__init__()
        self._session: aiohttp.ClientSession | None = None
        self._connection_checks: dict[str, asyncio.Task[ConnectionCheck]] = {}
        self._reports: dict[str, _Report] = {}

    async def on_start(self) -> None:
        """Opens the connection pool."""
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
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    @contextlib.asynccontextmanager
    async def async_open(
        self, address: str, request: models.Request, headers: models.HeaderList
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a request and yields the response once its head is received.

        Leaving the context before the end of the body closes the connection,
        which makes the server stop its work on the request.

        Raises:
            NotSentError: No part of the request was sent.
            LostError: The request may have run, but its response is missing or
                incomplete.
        """
        if self._session is None:
            raise exceptions.NotSentError("server client is not started")
        url = yarl.URL(f"http://{address}{request.target}", encoded=True)
        try:
            async with self._session.request(
                request.method,
                url,
                headers=headers,
                data=body_payload.to_payload(request.body),
                allow_redirects=False,
            ) as resp:
                _read_idle_timeout(resp)
                yield resp
        except aiohttp.ClientConnectorError as exc:
            raise exceptions.NotSentError(_describe(exc)) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise exceptions.NotSentError(
                f"no connection within {CONNECT_TIMEOUT_S} s"
            ) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.LostError(_describe(exc)) from exc

    async def async_get_report(
        self, address: str, path: str, since: float
    ) -> bytes:
        """Returns a server's report of itself; empty if it has none.

        Callers that ask at the same time share one request.

        Args:
            address: Host and port of the server.
            path: Path of the report.
            since: Loop time after which the report has to be asked for.

        Raises:
            NotSentError: The server can't be reached.
            ConnectionRejectedError: It closes all connections unanswered.
            LostError: There is no complete answer.
            TimeoutError: There is none in time.
        """
        report = self._reports.get(address)
        if report is None or report.asked_at < since:
            report = _Report(
                asyncio.create_task(self._async_get_report(address, path)),
                asyncio.get_running_loop().time(),
            )
            self._reports[address] = report
            report.task.add_done_callback(
                functools.partial(self._forget_report, address)
            )
        return await asyncio.shield(report.task)

    def _forget_report(self, address: str, task: "asyncio.Task[bytes]") -> None:
        latest = self._reports.get(address)
        if latest is not None and latest.task is task:
            del self._reports[address]
        if not task.cancelled():
            task.exception()  # Those who asked may have left.

    async def _async_get_report(self, address: str, path: str) -> bytes:
        async with loop_limit.async_limit(REPORT_S):
            for _ in range(REPORT_TRIES - 1):
                try:
                    return await self._async_try_report(address, path)
                except exceptions.ConnectionRejectedError:
                    # A server with too many connections resets new ones.
                    await asyncio.sleep(REPORT_PAUSE_S)
            return await self._async_try_report(address, path)

    async def _async_try_report(self, address: str, path: str) -> bytes:
        if self._session is None:
            raise exceptions.NotSentError("server client is not started")
        try:
            async with self._session.get(
                yarl.URL(f"http://{address}{path}"), allow_redirects=False
            ) as resp:
                body = await response_limits.async_read(resp, MAX_REPORT_BYTES)
        except aiohttp.ClientConnectorError as exc:
            raise exceptions.NotSentError(_describe(exc)) from exc
        except send_once.ConnectionLostError as exc:
            raise exceptions.ConnectionRejectedError(_describe(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise exceptions.LostError(_describe(exc)) from exc
        return body if resp.status == 200 else b""

    async def async_check_connection(self, address: str) -> ConnectionCheck:
        """Opens a connection to a server, and closes it at once.

        Callers that ask at the same time share one connection attempt.
        """
        check = self._connection_checks.get(address)
        if check is None:
            check = asyncio.create_task(_async_check_connection(address))
            self._connection_checks[address] = check
            check.add_done_callback(
                lambda _: self._connection_checks.pop(address)
            )
        return await asyncio.shield(check)


async def _async_check_connection(address: str) -> ConnectionCheck:
    check, error = await connection_check.async_check(
        address, CONNECT_TIMEOUT_S
    )
    if check is ConnectionCheck.FAILED:
        events.write(events.ConnectionCheckFailed(address, error))
    return check


def close_after_response(resp: aiohttp.ClientResponse) -> None:
    """Closes the connection of a response once the response has been read."""
    proto = cast(Any, resp)._protocol
    if isinstance(proto, ServerProtocol):
        proto.force_close()


def _read_idle_timeout(resp: aiohttp.ClientResponse) -> None:
    conn = resp.connection
    if conn is None or not isinstance(conn.protocol, ServerProtocol):
        return
    for parameter in resp.headers.get(hdrs.KEEP_ALIVE, "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "timeout" and value.isascii() and value.isdigit():
            # int() rejects very long digit strings; float() does not.
            conn.protocol.idle_s = max(float(value) - IDLE_MARGIN_S, 0.0)


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}"
