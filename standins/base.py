"""Base of the stand-ins: an HTTP server whose faults are set by `/control`."""

import asyncio
import dataclasses
import random
from typing import Any

from aiohttp import typedefs, web
import msgspec

CONTROL_PATH = "/control"
"""Path to read counters and to set faults. Faults don't affect it."""

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted. Real engines allow many, too."""

SHUTDOWN_S = 0.2
"""Time that open connections get to end when a stand-in stops."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that every stand-in has.

    Attributes:
        down: Whether connections are closed before the request takes effect.
        slow_s: Delay of each request before it takes effect.
        lose_answer: Probability that the connection is closed after the
            request took effect, in place of an answer.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answer: float = 0.0


class StandIn:
    """A small HTTP server with faults and counters.

    Attributes:
        faults: Present faults; `/control` sets single fields.
        calls: Number of calls by kind.
        rng: Source of the draws for faults with a probability.
        port: Port while running.
    """

    faults: Faults

    def __init__(self, faults: Faults, seed: int = 0) -> None:
        self.faults = faults
        self.calls: dict[str, int] = {}
        self.rng = random.Random(seed)
        self.port = 0
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._handling: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """`host:port` while running."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """Base URL while running."""
        return f"http://{self.address}"

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of this kind of stand-in."""
        ...

    def state(self) -> dict[str, Any]:
        """Returns what `/control` reports besides faults and counters."""
        return {}

    async def async_start(self, port: int = 0) -> None:
        """Listens on a loopback port; 0 lets the kernel choose one."""

        @web.middleware
        async def async_inject(
            request: web.Request, handler: typedefs.Handler
        ) -> web.StreamResponse:
            return await self._async_inject(request, handler)

        app = web.Application(
            middlewares=[async_inject],
            client_max_size=64 * 1024 * 1024,
        )
        app.router.add_get(CONTROL_PATH, self._async_get_control)
        app.router.add_post(CONTROL_PATH, self._async_set_control)
        self.add_routes(app.router)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, "127.0.0.1", port, backlog=LISTEN_BACKLOG
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def async_stop_listening(self) -> None:
        """Closes the listener, but no connection."""
        if self._site is not None:
            await self._site.stop()

    async def async_stop(self) -> None:
        """Closes the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
        # The runner doesn't track handlers whose clients disconnected.
        await async_cancel(self._handling)

    async def __aenter__(self) -> "StandIn":
        """Starts to listen on a port that the kernel chooses."""
        await self.async_start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stops the server."""
        await self.async_stop()

    def count(self, kind: str) -> None:
        """Counts one call of a kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    async def _async_inject(
        self, req: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        track_current_task(self._handling)
        if req.path.startswith(CONTROL_PATH):
            return await handler(req)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            return abort_connection(req)
        resp = await handler(req)
        if self.faults.down or self.rng.random() < self.faults.lose_answer:
            return abort_connection(req)
        return resp

    async def _async_get_control(self, _: web.Request) -> web.Response:
        report = {
            "faults": dataclasses.asdict(self.faults),
            "calls": self.calls,
            **self.state(),
        }
        return web.json_response(report)

    async def _async_set_control(self, req: web.Request) -> web.Response:
        values = {**dataclasses.asdict(self.faults), **await req.json()}
        try:
            self.set_faults(msgspec.convert(values, type(self.faults)))
        except msgspec.ValidationError as exc:
            return web.Response(status=400, text=str(exc))
        return await self._async_get_control(req)

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults."""
        self.faults = faults


def abort_connection(req: web.Request) -> web.Response:
    """Aborts the connection, so that the client gets no answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=500)


def track_current_task(tasks: set[asyncio.Task[Any]]) -> None:
    """Adds the current task to a set, and removes it once it has ended."""
    task = asyncio.current_task()
    assert task is not None
    tasks.add(task)
    task.add_done_callback(tasks.discard)


async def async_cancel(tasks: set[asyncio.Task[Any]]) -> None:
    """Cancels tasks and waits until they have ended."""
    to_cancel = list(tasks)
    for task in to_cancel:
        task.cancel()
    await asyncio.gather(*to_cancel, return_exceptions=True)
