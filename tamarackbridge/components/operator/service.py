"""The service that serves the operators' HTTP interface."""

import ssl

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.operator import app, const
from tamarackbridge.components.settings import models


class OperatorService(core.Service):
    """Serves the operators' interface on a port of its own.

    Attributes:
        port: The port it listens on; 0 before the start.
    """

    def __init__(
        self, kernel: core.Kernel, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        super().__init__()
        self.port = 0
        self._kernel = kernel
        self._ssl_context = ssl_context
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts the listener."""
        cfg: models.Settings = self._kernel.get(const.SERVICE_SETTINGS)
        self._runner = web.AppRunner(
            app.create_app(self._kernel), access_log=None
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            cfg.operator.host,
            cfg.operator.port,
            ssl_context=self._ssl_context,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Closes the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
