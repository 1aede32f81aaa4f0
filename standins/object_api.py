"""Stand-in for the platform's object API."""

import asyncio
from collections.abc import Iterable

from aiohttp import web
import msgspec

from standins import base
from tamarackbridge.components.object_api import messages

WATCH_WAIT_S = 1.0
"""Time after which a watch without changes is answered."""

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that is stored; larger ones get 413."""

ATTR_VERSION = "X-Store-Version"


class Listing(msgspec.Struct, frozen=True):
    """Body of an answer that lists objects."""

    objects: list[messages.StoredObject]


class ObjectApi(base.StandIn):
    """Keeps versioned objects in memory.

    Writes are conditional: they name the version that they replace.

    Attributes:
        version: Version of the last change.
        objects: Objects by key.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(base.Faults(), seed)
        self.version = 0
        self.objects: dict[str, messages.StoredObject] = {}
        self._deleted: dict[str, messages.StoredObject] = {}
        self._changed = asyncio.Event()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of the object API."""
        router.add_get("/objects", self._async_list)
        router.add_get("/objects/{key:.+}", self._async_get)
        router.add_put("/objects/{key:.+}", self._async_put)
        router.add_delete("/objects/{key:.+}", self._async_delete)

    async def _async_list(self, req: web.Request) -> web.Response:
        prefix = req.query.get("prefix", "")
        if "watch" in req.query:
            return await self._async_watch(prefix, int(req.query["watch"]))
        self.count("list")
        return self._listing(_under(self.objects.values(), prefix, 0))

    async def _async_watch(self, prefix: str, since: int) -> web.Response:
        self.count("watch")
        loop = asyncio.get_running_loop()
        end = loop.time() + WATCH_WAIT_S
        while not self.faults.down:
            changed = self._changed
            known = [*self.objects.values(), *self._deleted.values()]
            news = _under(known, prefix, since)
            left = end - loop.time()
            if news or left <= 0:
                return self._listing(news)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        return self._listing([])

    async def _async_get(self, req: web.Request) -> web.Response:
        self.count("get")
        found = self.objects.get(req.match_info["key"])
        if found is None:
            return self._answer(404)
        return self._answer(200, found.value, found)

    async def _async_put(self, req: web.Request) -> web.Response:
        self.count("put")
        value = await req.read()
        if len(value) > MAX_VALUE_BYTES:
            return self._answer(413)
        key = req.match_info["key"]
        found = self.objects.get(key)
        current = found.version if found else messages.CREATE
        expect = _expected(req)
        if expect is None:
            return self._answer(428)
        if expect != current:
            return self._listing([found] if found else [], status=412)
        self.version += 1
        obj = messages.StoredObject(key, self.version, value)
        self.objects[key] = obj
        self._deleted.pop(key, None)
        self._wake()
        return self._answer(200, b"", obj)

    async def _async_delete(self, req: web.Request) -> web.Response:
        self.count("delete")
        key = req.match_info["key"]
        found = self.objects.get(key)
        if found is None:
            return self._answer(404)
        if _expected(req) != found.version:
            return self._listing([found], status=412)
        self.version += 1
        del self.objects[key]
        self._deleted[key] = messages.StoredObject(key, self.version, b"")
        self._wake()
        return self._answer(200)

    def set_faults(self, faults: base.Faults) -> None:
        """Replaces the faults and wakes all watches."""
        super().set_faults(faults)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(
        self,
        status: int,
        body: bytes = b"",
        obj: messages.StoredObject | None = None,
    ) -> web.Response:
        headers = {ATTR_VERSION: str(self.version)}
        if obj is not None:
            headers["ETag"] = f'"{obj.version}"'
        return web.Response(status=status, body=body, headers=headers)

    def _listing(
        self, objects: list[messages.StoredObject], status: int = 200
    ) -> web.Response:
        return self._answer(status, msgspec.json.encode(Listing(objects)))


def _under(
    objects: Iterable[messages.StoredObject], prefix: str, since: int
) -> list[messages.StoredObject]:
    return [
        obj
        for obj in objects
        if obj.key.startswith(prefix) and obj.version > since
    ]


def _expected(req: web.Request) -> int | None:
    if req.headers.get("If-None-Match") == "*":
        return messages.CREATE
    tag = req.headers.get("If-Match", "").strip('"')
    return int(tag) if tag.isdigit() else None
