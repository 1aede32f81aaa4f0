"""Counters, gauges and latencies of a router on the platform."""

from collections.abc import Callable

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.telemetry import metrics

PORT = 9464
"""Where metrics are read: the port that OpenMetrics exporters use by
default."""

PATH = "/metrics"


class GatewayMetrics:
    """What happened to requests, by route, outcome and reason."""

    def __init__(self, registry: metrics.Metrics) -> None:
        self._answers = registry.counter(
            "answers", "Answers by route and status.", ("route", "status")
        )
        self._refusals = registry.counter(
            "refusals", "Answers of the router's own, by reason.", ("reason",)
        )
        self._sendings = registry.counter(
            "sendings", "Sendings to servers, by how they ended.", ("end",)
        )
        self._cuts = registry.counter(
            "cuts", "Answers ended before they were whole, by whom.", ("by",)
        )
        self._left = registry.counter(
            "left", "Callers that left, by how far they had come.", ("when",)
        )
        self._offloaded = registry.counter(
            "offloaded", "Requests sent to a peer, by how they ended.", ("end",)
        )
        self._unreadable = registry.counter(
            "unreadable_headers",
            "Headers of servers' answers with a value that means nothing.",
            ("header",),
        )
        self._first = registry.latency(
            "first_event_seconds", "Time to the first event.", "route"
        )
        self._whole = registry.latency(
            "answer_seconds", "Time to the end of the answer.", "route"
        )
        self._waits = registry.latency(
            "wait_seconds", "Time for which requests waited here."
        )

    def answered(
        self, route: str, status: int, first_s: float, seconds: float
    ) -> None:
        """Counts a server's answer that was passed on whole."""
        self._answers.labels(route, str(status)).inc()
        self._first.observe(first_s, route)
        self._whole.observe(seconds, route)

    def refused(self, reason: str) -> None:
        """Counts an answer of the router's own."""
        self._refusals.labels(reason).inc()

    def sent(self, end: str) -> None:
        """Counts the end of a sending."""
        self._sendings.labels(end).inc()

    def cut(self, by: str) -> None:
        """Counts an answer that was ended before it was whole."""
        self._cuts.labels(by).inc()

    def left(self, when: str) -> None:
        """Counts a caller that left before its request went to a server."""
        self._left.labels(when).inc()

    def offloaded(self, end: str) -> None:
        """Counts a request that was sent to a peer."""
        self._offloaded.labels(end).inc()

    def unreadable(self, header: str) -> None:
        """Counts a header of a server's answer that means nothing."""
        self._unreadable.labels(header).inc()

    def waited(self, seconds: float) -> None:
        """Counts how long a request waited before it was sent."""
        self._waits.observe(seconds)


class MetricsService(core.Service):
    """Serves the metrics of one router as text."""

    def __init__(
        self, host: str, port: int, render: Callable[[], bytes]
    ) -> None:
        super().__init__()
        self.port = port
        self._host = host
        self._render = render
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Starts the listener."""
        server = web.Server(self._async_handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _async_handle(self, req: web.BaseRequest) -> web.Response:
        if req.path != PATH:
            return web.Response(status=404)
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return web.Response(body=self._render(), headers=headers)
