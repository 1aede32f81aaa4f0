"""Readiness endpoint for the load balancer."""

from collections.abc import Callable

from aiohttp import web

from tamarackbridge import core


class ReadinessService(core.Service):
    """Serves the readiness check of the load balancer.

    Answers with status 200 if the router accepts new callers, else with 503.
    """

    def __init__(
        self, host: str, port: int, path: str, is_ready: Callable[[], bool]
    ) -> None:
        super().__init__()
        self.port = port
        self._host = host
        self._path = path
        self._is_ready = is_ready
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Starts the HTTP server."""
        server = web.Server(self._async_handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self.port)
        await site.start()

    async def on_stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _async_handle(self, req: web.BaseRequest) -> web.Response:
        if req.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
