"""HTTP client of the object API."""

from typing import Any
from urllib import parse

import aiohttp
import msgspec

from tamarackbridge import core
from tamarackbridge.components.object_api import messages
from tamarackbridge.components.settings import models as settings
from tamarackbridge.helpers import response_limits, response_memory, send_once

HEADER_VERSION = "X-Store-Version"
WATCH_WAIT_S = 1.0
"""Time after which the platform answers a watch that saw no change."""

MAX_CONNECTIONS = 16
MAX_VALUE_BYTES = 1024 * 1024

MAX_CONFLICT_BYTES = 2 * MAX_VALUE_BYTES
"""Largest answer to a write. It has at most the value in force, whose Base64
takes four thirds of it."""

MAX_LISTING_BYTES = 64 * MAX_VALUE_BYTES
"""Largest listing: of 47 of the largest values in Base64, or of far more of the
usual ones. The platform states no limit."""

MAX_MEMORY_BYTES = 3 * MAX_LISTING_BYTES // 2
"""Memory budget of all answers while they are read; the least that admits a
listing of the largest size."""

_STATUS = {
    200: messages.StoreStatus.OK,
    404: messages.StoreStatus.NOT_FOUND,
    412: messages.StoreStatus.CONFLICT,
}


_NO_ANSWER = (
    TimeoutError,
    aiohttp.ClientError,
    msgspec.MsgspecError,
    OSError,
    ValueError,
)


class _Listing(msgspec.Struct, frozen=True):
    objects: tuple[messages.StoredObject, ...]


_LISTING = msgspec.json.Decoder(_Listing)


class HttpObjectApi(core.Service):
    """Calls the platform's object API; never retries a call.

    Attributes:
        calls: Number of calls, by message type.
        unknown: Number of calls that ended with status `UNKNOWN`.
    """

    def __init__(self, cfg: settings.PlatformSettings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.calls: dict[str, int] = {}
        self.unknown = 0
        self._cfg = cfg
        self._base = cfg.object_api.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._memory = response_memory.MemoryBudget(MAX_MEMORY_BYTES)

    async def on_start(self) -> None:
        """Opens the connection pool."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        response_limits.bind(connector)
        self._session = aiohttp.ClientSession(
            connector=connector,
            headers=_auth_headers(self._cfg),
            middlewares=(send_once.async_send_once,),
        )

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_call(self, call: core.Message) -> messages.StoreReply:
        """Executes one `Store...` message; see `object_api.ObjectApi`."""
        kind = type(call).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        try:
            return await self._async_execute(call)
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
            OSError,
            ValueError,
        ):
            return self._unanswered(call)

    async def _async_execute(self, call: core.Message) -> messages.StoreReply:
        match call:
            case messages.StoreGet():
                return await self._async_get(call)
            case messages.StoreList():
                query = {"prefix": call.prefix}
                return await self._async_query(call.tag, query, 0.0)
            case messages.StoreWatch():
                query = {"prefix": call.prefix, "watch": str(call.since)}
                return await self._async_query(call.tag, query, WATCH_WAIT_S)
            case messages.StorePut():
                return await self._async_put(call)
            case messages.StoreDelete():
                return await self._async_delete(call)
        raise TypeError(type(call))

    async def _async_get(self, call: messages.StoreGet) -> messages.StoreReply:
        async with self._request("GET", self._url(call.key)) as resp:
            body = await self._async_read(resp, MAX_VALUE_BYTES)
            if resp.status != 200:
                return self._reply(call.tag, resp, ())
            obj = messages.StoredObject(call.key, _etag_version(resp), body)
            return self._reply(call.tag, resp, (obj,))

    async def _async_query(
        self, tag: str, query: dict[str, str], wait_s: float
    ) -> messages.StoreReply:
        url = f"{self._base}/objects?{parse.urlencode(query)}"
        async with self._request("GET", url, wait_s) as resp:
            body = await self._async_read(resp, MAX_LISTING_BYTES)
            objects = _LISTING.decode(body).objects
            return self._reply(tag, resp, objects)

    async def _async_put(self, call: messages.StorePut) -> messages.StoreReply:
        url = self._url(call.key)
        headers = _precondition(call.expect)
        async with self._request("PUT", url, 0.0, headers, call.value) as resp:
            body = await self._async_read(resp, MAX_CONFLICT_BYTES)
            if resp.status != 200:
                return self._reply(
                    call.tag, resp, _conflicting_objects(resp, body)
                )
            obj = messages.StoredObject(
                call.key, _etag_version(resp), call.value
            )
            return self._reply(call.tag, resp, (obj,))

    async def _async_delete(
        self, call: messages.StoreDelete
    ) -> messages.StoreReply:
        url = self._url(call.key)
        headers = _precondition(call.expect)
        async with self._request("DELETE", url, 0.0, headers) as resp:
            body = await self._async_read(resp, MAX_CONFLICT_BYTES)
            return self._reply(call.tag, resp, _conflicting_objects(resp, body))

    async def _async_read(
        self, resp: aiohttp.ClientResponse, max_bytes: int
    ) -> bytes:
        return await response_limits.async_read(resp, max_bytes, self._memory)

    def _request(
        self,
        method: str,
        url: str,
        wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Any:
        if self._session is None:
            raise aiohttp.ClientConnectionError(
                "object API client is not started"
            )
        timeout = aiohttp.ClientTimeout(total=self._cfg.timeout_s + wait_s)
        return self._session.request(
            method,
            url,
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        )

    def _url(self, key: str) -> str:
        return f"{self._base}/objects/{parse.quote(key)}"

    def _reply(
        self,
        tag: str,
        resp: aiohttp.ClientResponse,
        objects: tuple[messages.StoredObject, ...],
    ) -> messages.StoreReply:
        status = _STATUS.get(resp.status, messages.StoreStatus.UNKNOWN)
        if status is messages.StoreStatus.UNKNOWN:
            self.unknown += 1
            return messages.StoreReply(tag, status)
        version = int(resp.headers[HEADER_VERSION])
        return messages.StoreReply(tag, status, objects, version)

    def _unanswered(self, call: Any) -> messages.StoreReply:
        self.unknown += 1
        return messages.StoreReply(call.tag, messages.StoreStatus.UNKNOWN)


def _auth_headers(cfg: settings.PlatformSettings) -> dict[str, str]:
    if not cfg.token_file:
        return {}
    with open(cfg.token_file, encoding="utf-8") as file:
        token = file.read().strip()
    return {"Authorization": f"Bearer {token}"}


def _precondition(expect: int) -> dict[str, str]:
    if expect == messages.CREATE:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}


def _etag_version(resp: aiohttp.ClientResponse) -> int:
    return int(resp.headers["ETag"].strip('"'))


def _conflicting_objects(
    resp: aiohttp.ClientResponse, body: bytes
) -> tuple[messages.StoredObject, ...]:
    return _LISTING.decode(body).objects if resp.status == 412 else ()
