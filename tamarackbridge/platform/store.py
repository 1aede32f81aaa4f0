"""HTTP client of the platform's store."""

import collections
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any
import urllib.parse

import aiohttp
import msgspec
import result

from tamarackbridge import core
from tamarackbridge.components.telemetry import events
from tamarackbridge.helpers import response_limits, send_once
from tamarackbridge.platform import const, entries

CONNECT_TIMEOUT_S = 0.5
"""Longest time to open a connection. A healthy store answers in 4 ms; a lost
packet adds 0.2 s."""

CALL_TIMEOUT_S = 0.8
"""Longest wait for a response, in addition to the time that a watch may wait.
The store takes up to 0.25 s."""

MAX_ERA_STEP = 64
"""Largest step of the store's era that is believed. It rises by one each time
that the store comes back from an older copy; a wrong number far above would
make all later answers look old."""

MAX_ERA_DIGITS = 18
"""Longest era that is read, so that it fits into 64 bits."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest response that is read: four times the largest page that the store
sends."""


class Operation(enum.Enum):
    """Operations on one kind of object, as they are counted."""

    LIST = "list"
    STALE_LIST = "stale_list"
    WATCH = "watch"
    CREATE = "create"
    REPLACE = "replace"
    WRITE_STATUS = "write_status"
    DELETE = "delete"


class Failure(enum.Enum):
    """Reasons for which a call fails."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history_lost"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    UNREADABLE = "unreadable"
    OLD_ERA = "old_era"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Name of the object, unique in its kind.
        revision: Revision of its last change.
        spec: Content of the object; None if it is malformed.
        deleted: Whether the object was deleted.
        status: What routers wrote about it; None if there is nothing.
        created: Revision at which it was created; 0 if not stated.
    """

    name: str
    revision: int
    spec: Any
    deleted: bool = False
    status: Any = None
    created: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """All objects of a kind, or the changed ones, up to a revision.

    Attributes:
        objects: The objects.
        revision: Revision of the store.
        era: Era of the store in which the revision was counted.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Body of an answer, or what it was decoded to, with the store's era."""

    body: Any
    era: int


class _List(msgspec.Struct):
    as_of: int
    items: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Watch(msgspec.Struct):
    as_of: int
    events: tuple[_Event, ...] = ()


_LIST = msgspec.json.Decoder(_List)
_WATCH = msgspec.json.Decoder(_Watch)

Paged = result.Result[Page, Failure]


class Store(core.Service):
    """Client of the store; owns its connections.

    Attributes:
        calls_by_cause: Number of calls since the start, by kind of object and
            operation. Calls that fail are included, as the store charges them
            too.
        era: Latest era of the store that an answer named; 0 before the first.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self.calls_by_cause: collections.Counter[tuple[str, Operation]]
        self.calls_by_cause = collections.Counter()
        self.era = 0
        self._unreadable_era = ""
        self._base = f"http://{address}/objects"
        self._session: aiohttp.ClientSession | None = None

    @property
    def calls(self) -> int:
        """Number of calls since the start."""
        return self.calls_by_cause.total()

    async def on_start(self) -> None:
        """Opens the connection pool."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        response_limits.bind(connector)
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(send_once.async_send_once,),
            **response_limits.LIMITS,
        )

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def async_list(self, kind: str, allow_stale: bool = False) -> Paged:
        """Returns all objects of a kind.

        The revision is that of the first page: a watch from there also
        returns what changed while later pages were read.

        Args:
            kind: Kind of the objects.
            allow_stale: Whether the data may be seconds old. Such a call costs
                a tenth of another one, and counts toward no rate limit.
        """
        objects: list[StoredObject] = []
        operation = Operation.STALE_LIST if allow_stale else Operation.LIST
        stale = {"allow_stale": "1"} if allow_stale else {}
        query: dict[str, str] = stale
        revision = 0
        era: int | None = None
        while True:
            answer = await self._async_read(operation, kind, query, 0.0, _LIST)
            if isinstance(answer, result.Err):
                return answer
            page: _List = answer.ok_value.body
            if era is not None and answer.ok_value.era != era:
                return result.Err(Failure.HISTORY_LOST)
            era = answer.ok_value.era
            revision = revision or page.as_of
            added = _decode_objects(
                kind, ((item, False) for item in page.items)
            )
            objects.extend(added)
            if not page.has_more:
                return result.Ok(Page(tuple(objects), revision, era))
            if not added:
                return result.Err(Failure.UNREADABLE)
            # Despite its name, the parameter is the last name on this page.
            query = {"since_revision": added[-1].name, **stale}

    async def async_watch(
        self, kind: str, revision: int, wait_s: float, era: int = 0
    ) -> Paged:
        """Returns the changes after a revision of an era.

        Waits for the first change, for at most `wait_s` seconds. If the store
        is in another era, the history is lost even if it has the revision.
        """
        wait_ms = int(wait_s * const.MS_PER_S)
        query = {"watch": str(revision), "wait_ms": str(wait_ms)}
        answer = await self._async_read(
            Operation.WATCH, kind, query, wait_s, _WATCH
        )
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value.era != era:
            return result.Err(Failure.HISTORY_LOST)
        found: _Watch = answer.ok_value.body
        objects = _decode_objects(
            kind, ((event.object, event.deleted) for event in found.events)
        )
        return result.Ok(Page(tuple(objects), found.as_of, era))

    async def async_create(
        self, kind: str, name: str, spec: Any
    ) -> result.Result[None, Failure]:
        """Creates an object; `CONFLICT` if it exists."""
        body = _object(name, spec)
        answer = await self._async_call(Operation.CREATE, kind, "", body)
        return answer.map(_drop_body)

    async def async_put(
        self, kind: str, name: str, spec: Any
    ) -> result.Result[None, Failure]:
        """Creates an object, or replaces it if it exists."""
        created = await self.async_create(kind, name, spec)
        if created != result.Err(Failure.CONFLICT):
            return created
        body = _object(name, spec)
        answer = await self._async_call(
            Operation.REPLACE, kind, f"/{name}", body
        )
        return answer.map(_drop_body)

    async def async_put_status(
        self, kind: str, name: str, body: Any
    ) -> result.Result[bytes, Failure]:
        """Writes the status of an object; returns the object as it is then.

        The write is conditional on the revision in the body's metadata.
        """
        path = f"/{urllib.parse.quote(name, safe='')}/status"
        answer = await self._async_call(
            Operation.WRITE_STATUS, kind, path, body
        )
        return answer.map(_body)

    async def async_delete(
        self, kind: str, name: str
    ) -> result.Result[None, Failure]:
        """Deletes an object."""
        answer = await self._async_call(
            Operation.DELETE, kind, f"/{name}", None
        )
        return answer.map(_drop_body)

    async def _async_read(
        self,
        operation: Operation,
        kind: str,
        query: dict[str, str],
        wait_s: float,
        decoder: msgspec.json.Decoder[Any],
    ) -> result.Result[_Answer, Failure]:
        answer = await self._async_call(
            operation, kind, "", None, query, wait_s
        )
        if isinstance(answer, result.Err):
            return answer
        data, era = answer.ok_value.body, answer.ok_value.era
        try:
            return result.Ok(_Answer(entries.page(data, decoder), era))
        except msgspec.MsgspecError:
            return result.Err(Failure.UNREADABLE)

    async def _async_call(
        self,
        operation: Operation,
        kind: str,
        suffix: str,
        body: Any,
        query: dict[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> result.Result[_Answer, Failure]:
        if self._session is None:
            return result.Err(Failure.UNREACHABLE)
        self.calls_by_cause[kind, operation] += 1
        timeout = aiohttp.ClientTimeout(
            total=wait_s + CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                _METHODS.get(operation, "GET"),
                f"{self._base}/{kind}{suffix}",
                params=query,
                json=body,
                timeout=timeout,
            ) as resp:
                data = await response_limits.async_read(resp, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return result.Err(Failure.UNREACHABLE)
        era = self._read_era(resp.headers.get(const.HEADER_STORE_ERA, ""))
        if era < self.era:
            return result.Err(Failure.OLD_ERA)
        self.era = era
        if resp.status in (200, 201, 204):
            return result.Ok(_Answer(data, era))
        return result.Err(_FAILURES.get(resp.status, Failure.REFUSED))

    def _read_era(self, text: str) -> int:
        """Returns the era that an answer names; the known one if none."""
        if not text:
            return self.era
        is_number = text.isascii() and text.isdigit()
        if is_number and len(text) <= MAX_ERA_DIGITS:
            era = int(text)
            if not self.era or era <= self.era + MAX_ERA_STEP:
                return era
        if text != self._unreadable_era:
            self._unreadable_era = text
            shown = text[:MAX_ERA_DIGITS]
            events.write(events.StoreEraUnreadable(shown, self.era))
        return self.era


_METHODS = {
    Operation.CREATE: "POST",
    Operation.REPLACE: "PUT",
    Operation.WRITE_STATUS: "PUT",
    Operation.DELETE: "DELETE",
}

_FAILURES = {
    404: Failure.NOT_FOUND,
    409: Failure.CONFLICT,
    410: Failure.HISTORY_LOST,
}


def _decode_objects(
    kind: str, items: Iterable[tuple[msgspec.Raw, bool]]
) -> list[StoredObject]:
    """Decodes objects, each with whether it was deleted.

    Objects without a name are logged and left out.
    """
    objects = []
    for item, deleted in items:
        entry = entries.entry(item)
        if entry is None:
            events.write(
                events.RecordUnreadable(kind, "", "the object has no name")
            )
            continue
        meta = entry.metadata
        objects.append(
            StoredObject(
                meta.name,
                meta.revision,
                entries.content(entry.spec),
                deleted,
                entries.content(entry.status),
                _created(meta),
            )
        )
    return objects


def _object(name: str, spec: Any) -> dict[str, Any]:
    """Returns the body of a write."""
    return {"metadata": {"name": name}, "spec": spec}


def _created(meta: entries.Metadata) -> int:
    """Returns the revision at which an object was created; 0 if not stated."""
    created = entries.content(meta.created)
    return created if isinstance(created, int) else 0


def _body(answer: _Answer) -> bytes:
    data: bytes = answer.body
    return data


def _drop_body(answer: _Answer) -> None:
    """Drops the object that the store returns after a write."""
    del answer
