"""Stand-in for a plain HTTP service, such as order status or fee postings."""

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from standins import backend, engine

ATTR_KEY = "Idempotency-Key"


@dataclasses.dataclass(slots=True)
class PlainFaults(backend.BackendFaults):
    """Faults and delays of a plain service.

    Attributes:
        work_s: Processing time of a request.
        empty: Probability of an answer without a body.
    """

    work_s: float = 0.005
    empty: float = 0.0


class PlainService(backend.Backend):
    """Answers any path, and counts runs by idempotency key.

    Attributes:
        runs: Number of requests other than GET that ran, by idempotency key.
    """

    faults: PlainFaults

    def __init__(
        self, faults: PlainFaults | None = None, seed: int = 0
    ) -> None:
        super().__init__(faults or PlainFaults(), seed)
        self.runs: dict[str, int] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds a route for every path."""
        super().add_routes(router)
        router.add_route("*", "/{path:.*}", self._async_serve)

    def state(self) -> dict[str, Any]:
        """Returns load, counters and runs."""
        return {**super().state(), "runs": self.runs}

    async def _async_serve(self, req: web.Request) -> web.StreamResponse:
        self.count("serve")
        refusal = await self.async_admit(req)
        if refusal is not None:
            return refusal
        try:
            return await self._async_run(req)
        except asyncio.CancelledError:
            if req.transport is not None:
                req.transport.abort()
            raise
        finally:
            self.release()

    async def _async_run(self, req: web.Request) -> web.StreamResponse:
        key = req.headers.get(ATTR_KEY, "")
        if req.method != "GET":
            self.runs[key] = self.runs.get(key, 0) + 1
        await asyncio.sleep(self.faults.work_s)
        if self.faults.late_s:
            await asyncio.sleep(self.faults.late_s)
        answer_id = self.answer_id(req)
        headers = {backend.ATTR_REQUEST_ID: answer_id}
        if self.rng.random() < self.faults.empty:
            return web.Response(headers=headers)
        answer = {"path": req.path, "key": key, "bytes": len(await req.read())}
        if self.rng.random() < self.faults.truncated:
            text = json.dumps(answer)
            return await engine.async_truncated(req, text, answer_id)
        return web.json_response(answer, headers=headers)
