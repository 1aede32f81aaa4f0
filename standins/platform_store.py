"""Stand-in for the store of the users' platform."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import typedefs, web

from standins import base

PAGE_SIZE = 50
"""Number of objects on one page of a list."""


@dataclasses.dataclass(slots=True)
class StoreFaults(base.Faults):
    """Faults of the store.

    Attributes:
        status: Status with which reads and creates are refused; 0 for none.
        silent: Whether watches are never answered.
    """

    status: int = 0
    silent: bool = False


class PlatformStore(base.StandIn):
    """Keeps objects by kind and name in memory, and serves watches.

    Attributes:
        revision: Revision of the last change of any object.
        era: Number that is named in all answers; 0 for none.
    """

    faults: StoreFaults

    def __init__(self) -> None:
        super().__init__(StoreFaults())
        self.revision = 10
        self.era = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_revision = 0
        self._changed = asyncio.Condition()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of the store."""
        router.add_get("/objects/{kind}", self._async_get)
        router.add_post("/objects/{kind}", self._async_create)
        router.add_put("/objects/{kind}/{name}", self._async_replace)
        router.add_put("/objects/{kind}/{name}/status", self._async_set_status)
        router.add_delete("/objects/{kind}/{name}", self._async_delete)

    async def async_put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object and wakes the watches."""
        before = self.get(kind, name)
        await self._async_store(
            kind, name, spec, before["status"] if before else None
        )

    async def _async_store(
        self, kind: str, name: str, spec: Any, status: Any
    ) -> None:
        self.revision += 1
        before = self.get(kind, name)
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": (
                before["metadata"]["created"] if before else self.revision
            ),
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = stored
        await self._async_record_change(kind, stored, deleted=False)

    async def async_remove(self, kind: str, name: str) -> None:
        """Removes an object, if it exists, and wakes the watches."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._async_record_change(kind, stored, deleted=True)

    def forget_history(self) -> None:
        """Drops all changes so far, so that watches since then get 410."""
        self._history.clear()
        self._oldest_revision = self.revision

    def copy(self) -> tuple[int, dict[str, dict[str, dict[str, Any]]]]:
        """Returns a copy of all objects, to `restore` later."""
        return self.revision, {
            kind: dict(stored) for kind, stored in self._objects.items()
        }

    async def async_restore(
        self, saved: tuple[int, dict[str, dict[str, dict[str, Any]]]]
    ) -> None:
        """Comes back from a copy: what changed since is lost.

        The revisions of the lost changes are given out again. Watches that wait
        are ended.
        """
        self.revision, objects = saved
        self._objects = {kind: dict(stored) for kind, stored in objects.items()}
        self.era += 1
        self.forget_history()
        async with self._changed:
            self._changed.notify_all()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object; None if it does not exist."""
        return self._objects.get(kind, {}).get(name)

    def names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind, in order."""
        return sorted(self._objects.get(kind, {}))

    async def _async_record_change(
        self, kind: str, stored: dict[str, Any], deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _async_inject(
        self, request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        resp = await super()._async_inject(request, handler)
        if self.era:
            resp.headers["Store-Era"] = str(self.era)
        return resp

    async def _async_get(self, req: web.Request) -> web.StreamResponse:
        if self.faults.status:
            return web.Response(status=self.faults.status)
        kind = req.match_info["kind"]
        if "watch" in req.query:
            self.count("watch")
            return await self._async_watch(req, kind)
        self.count("list")
        after = req.query.get("since_revision", "")
        names = [name for name in self.names(kind) if name > after]
        items = [self._objects[kind][name] for name in names[:PAGE_SIZE]]
        answer = {
            "items": items,
            "has_more": len(names) > PAGE_SIZE,
            "as_of": self.revision,
        }
        return web.json_response(answer)

    async def _async_watch(
        self, req: web.Request, kind: str
    ) -> web.StreamResponse:
        since = int(req.query["watch"])
        if self.faults.silent:
            await asyncio.Event().wait()
        if not self._oldest_revision <= since <= self.revision:
            return web.Response(status=410)
        era = self.era
        wait_s = int(req.query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._changes_since(kind, since) or self.era != era
                )
        except TimeoutError:
            pass
        if self.era != era:
            return web.Response(status=503)
        events = self._changes_since(kind, since)
        return web.json_response({"events": events, "as_of": self.revision})

    def _changes_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, changed_kind, stored, deleted in self._history
            if changed_kind == kind and revision > since
        ]

    async def _async_create(self, req: web.Request) -> web.Response:
        self.count("write")
        if self.faults.status:
            return web.Response(status=self.faults.status)
        body = await req.json()
        kind, name = req.match_info["kind"], body["metadata"]["name"]
        if name in self._objects.get(kind, {}):
            return web.json_response(self._objects[kind][name], status=409)
        await self.async_put(kind, name, body["spec"])
        return web.json_response(self._objects[kind][name], status=201)

    async def _async_replace(self, req: web.Request) -> web.Response:
        self.count("write")
        body = await req.json()
        kind, name = req.match_info["kind"], req.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return web.Response(status=404)
        await self.async_put(kind, name, body["spec"])
        return web.json_response(self._objects[kind][name])

    async def _async_set_status(self, req: web.Request) -> web.Response:
        """Writes a status if the revision in the body is the current one."""
        self.count("write")
        if self.faults.status:
            return web.Response(status=self.faults.status)
        body = await req.json()
        kind, name = req.match_info["kind"], req.match_info["name"]
        stored = self.get(kind, name)
        if stored is None:
            return web.Response(status=404)
        revision = body["metadata"].get("revision")
        if revision != stored["metadata"]["revision"]:
            return web.json_response(stored, status=409)
        await self._async_store(kind, name, stored["spec"], body["status"])
        return web.json_response(self.get(kind, name))

    async def _async_delete(self, req: web.Request) -> web.Response:
        self.count("write")
        await self.async_remove(req.match_info["kind"], req.match_info["name"])
        return web.json_response({})
