"""Request metrics of the gateway, and the HTTP endpoint that serves metrics."""

from collections.abc import Callable

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.telemetry import metrics

PORT = 9464
"""Default port of the metrics endpoint, which is also the default port of
OpenMetrics exporters."""

PATH = "/metrics"


class GatewayMetrics:
    """Counts and latencies of requests."""

    def __init__(self, registry: metrics.Metrics) -> None:
        self._answers = registry.counter(
            "answers",
            "Answers by route and status.",
            ("route", "status"),
        )
        self._rejections = registry.counter(
            "refusals",
            "Answers of the router's own, by reason.",
            ("reason",),
        )
        self._attempts = registry.counter(
            "sendings",
            "Sendings to servers, by how they ended.",
            ("end",),
        )
        self._unmarked = registry.counter(
            "unmarked_answers",
            "Sendings whose answer has neither length nor chunks, by how they"
            " ended.",
            ("end",),
        )
        self._cuts = registry.counter(
            "cuts", "Answers ended before they were whole, by whom.", ("by",)
        )
        self._left = registry.counter(
            "left",
            "Callers that left, by how far they had come.",
            ("when",),
        )
        self._offloaded = registry.counter(
            "offloaded", "Requests sent to a peer, by how they ended.", ("end",)
        )
        self._unreadable = registry.counter(
            "unreadable_headers",
            "Headers of servers' answers with a value that means nothing.",
            ("header",),
        )
        self._first_event_s = registry.latency(
            "first_event_seconds",
            "Time to the first event.",
            "route",
        )
        self._answer_s = registry.latency(
            "answer_seconds",
            "Time to the end of the answer.",
            "route",
        )
        self._wait_s = registry.latency(
            "wait_seconds",
            "Time for which requests waited here.",
        )

    def count_answer(
        self, route: str, status: int, first_event_s: float, seconds: float
    ) -> None:
        """Counts a server response that was relayed in full.

        Args:
            route: Name of the route.
            status: HTTP status.
            first_event_s: Time in seconds from arrival to the first event, or
                to the end of a response without events.
            seconds: Time in seconds from arrival to the end of the response.
        """
        self._answers.labels(route, str(status)).inc()
        self._first_event_s.observe(first_event_s, route)
        self._answer_s.observe(seconds, route)

    def count_rejection(self, reason: str) -> None:
        """Counts a response that the router made itself."""
        self._rejections.labels(reason).inc()

    def count_attempt(self, end: str, framing: str) -> None:
        """Counts an attempt to send a request to a server.

        Args:
            end: How it ended.
            framing: What marks the end of the response; empty without one.
        """
        self._attempts.labels(end).inc()
        if framing == "close":
            self._unmarked.labels(end).inc()

    def count_cut(self, by: str) -> None:
        """Counts a response that was cut off.

        Args:
            by: What cut it off: `caller`, `shutdown`, `router` or the result
                of the last attempt.
        """
        self._cuts.labels(by).inc()

    def count_caller_left(self, when: str) -> None:
        """Counts a caller that left before its request went to a server.

        Args:
            when: `unread` if its request was not parsed yet, `undecided` if it
                was queued.
        """
        self._left.labels(when).inc()

    def count_offload(self, end: str) -> None:
        """Counts a request that was offloaded to a peer."""
        self._offloaded.labels(end).inc()

    def count_invalid_header(self, header: str) -> None:
        """Counts an invalid header of a server response."""
        self._unreadable.labels(header).inc()

    def observe_wait(self, seconds: float) -> None:
        """Records how long a request was queued before it was sent."""
        self._wait_s.observe(seconds)


class MetricsService(core.Service):
    """Serves the metrics of a router over HTTP."""

    def __init__(
        self, host: str, port: int, render: Callable[[], bytes]
    ) -> None:
        super().__init__()
        self.port = port
        self._host = host
        self._render = render
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Starts the HTTP server."""
        server = web.Server(self._async_handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _async_handle(self, req: web.BaseRequest) -> web.Response:
        if req.path != PATH:
            return web.Response(status=404)
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return web.Response(body=self._render(), headers=headers)
