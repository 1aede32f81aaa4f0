"""The operators' HTTP interface as an aiohttp application."""

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.operator import (
    auth,
    const,
    diagnostics,
    messages,
    protocols,
    records_api,
    responses,
)
from tamarackbridge.components.records import const as records_const
from tamarackbridge.components.settings import models
from tamarackbridge.components.telemetry import metrics


def create_app(kernel: core.Kernel) -> web.Application:
    """Returns the application, which uses the services of `kernel`.

    The kernel must have the settings as `settings` and the services
    `config_changes`, `status`, `requests` and `telemetry`.
    """
    cfg: models.Settings = kernel.get(const.SERVICE_SETTINGS)
    app = web.Application(
        middlewares=[auth.middleware(cfg.operator)],
        client_max_size=records_const.MAX_FILE_BYTES,
    )
    writer: protocols.ConfigWriter = kernel.get(const.SERVICE_CONFIG_CHANGES)
    records_api.RecordsApi(writer).add_routes(app.router)
    StatusApi(kernel, cfg).add_routes(app.router)
    return app


class StatusApi:
    """Handlers of the calls that read the state of this router."""

    def __init__(self, kernel: core.Kernel, cfg: models.Settings) -> None:
        self._kernel = kernel
        self._cfg = cfg

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes of these calls."""
        router.add_get(const.PATH_STATUS, self.async_status)
        explain_path = f"{const.PATH_EXPLAIN}/{{workspace}}"
        router.add_get(explain_path, self.async_explain)
        requests_path = f"{const.PATH_REQUESTS}/{{request_id}}"
        router.add_get(requests_path, self.async_requests)
        router.add_get(const.PATH_DIAGNOSTICS, self.async_diagnostics)
        router.add_get(const.PATH_METRICS, self.async_metrics)
        router.add_get(const.PATH_HEALTH, self.async_health)
        router.add_get(const.PATH_READY, self.async_ready)

    async def async_status(self, req: web.Request) -> web.Response:
        """Returns the state of the fleet as this router knows it."""
        del req
        return responses.reply(self._status().status())

    async def async_explain(self, req: web.Request) -> web.Response:
        """Returns the reasons for the service that a workspace gets."""
        workspace = req.match_info["workspace"]
        explanations = self._status().explain(workspace)
        node = self._cfg.node
        return responses.reply(messages.ExplainReply(node, explanations))

    async def async_requests(self, req: web.Request) -> web.Response:
        """Finds a request by its identifier."""
        index: protocols.RequestIndex = self._kernel.get(const.SERVICE_REQUESTS)
        traces = index.find(req.match_info["request_id"])
        return responses.reply(messages.RequestsReply(traces))

    async def async_diagnostics(self, req: web.Request) -> web.Response:
        """Returns settings and status, with secrets redacted."""
        del req
        body = diagnostics.collect(self._cfg, self._status().status())
        return responses.reply(body)

    async def async_metrics(self, req: web.Request) -> web.Response:
        """Returns all metrics in the Prometheus text format."""
        del req
        telemetry: protocols.Telemetry = self._kernel.get(
            const.SERVICE_TELEMETRY
        )
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return web.Response(body=telemetry.render(), headers=headers)

    async def async_health(self, req: web.Request) -> web.Response:
        """Answers 200 as long as the process runs."""
        del req
        return web.Response(text="ok\n")

    async def async_ready(self, req: web.Request) -> web.Response:
        """Answers 200 while the router accepts new requests, else 503."""
        del req
        if self._status().ready():
            return web.Response(text="ready\n")
        return web.Response(text="not ready\n", status=503)

    def _status(self) -> protocols.StatusSource:
        source: protocols.StatusSource = self._kernel.get(const.SERVICE_STATUS)
        return source
