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
        return self._listing(_filter_objects(self.objects.values(), prefix, 0))

    async def _async_watch(self, prefix: str, since: int) -> web.Response:
        self.count("watch")
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WATCH_WAIT_S
        while not self.faults.down:
            changed = self._changed
            all_objects = [*self.objects.values(), *self._deleted.values()]
            changes = _filter_objects(all_objects, prefix, since)
            remaining_s = deadline - loop.time()
            if changes or remaining_s <= 0:
                return self._listing(changes)
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue
        return self._listing([])

    async def _async_get(self, req: web.Request) -> web.Response:
        self.count("get")
        stored = self.objects.get(req.match_info["key"])
        if stored is None:
            return self._answer(404)
        return self._answer(200, stored.value, stored)

    async def _async_put(self, req: web.Request) -> web.Response:
        self.count("put")
        value = await req.read()
        if len(value) > MAX_VALUE_BYTES:
            return self._answer(413)
        key = req.match_info["key"]
        stored = self.objects.get(key)
        current_version = stored.version if stored else messages.CREATE
        expected_version = _read_expected_version(req)
        if expected_version is None:
            return self._answer(428)
        if expected_version != current_version:
            return self._listing([stored] if stored else [], status=412)
        self.version += 1
        obj = messages.StoredObject(key, self.version, value)
        self.objects[key] = obj
        self._deleted.pop(key, None)
        self._wake_watches()
        return self._answer(200, b"", obj)

    async def _async_delete(self, req: web.Request) -> web.Response:
        self.count("delete")
        key = req.match_info["key"]
        stored = self.objects.get(key)
        if stored is None:
            return self._answer(404)
        if _read_expected_version(req) != stored.version:
            return self._listing([stored], status=412)
        self.version += 1
        del self.objects[key]
        self._deleted[key] = messages.StoredObject(key, self.version, b"")
        self._wake_watches()
        return self._answer(200)

    def set_faults(self, faults: base.Faults) -> None:
        """Replaces the faults and wakes all watches."""
        super().set_faults(faults)
        self._wake_watches()

    def _wake_watches(self) -> None:
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


def _filter_objects(
    objects: Iterable[messages.StoredObject], prefix: str, since: int
) -> list[messages.StoredObject]:
    return [
        obj
        for obj in objects
        if obj.key.startswith(prefix) and obj.version > since
    ]


def _read_expected_version(req: web.Request) -> int | None:
    if req.headers.get("If-None-Match") == "*":
        return messages.CREATE
    tag = req.headers.get("If-Match", "").strip('"')
    return int(tag) if tag.isdigit() else None
