"""HTTP listener for callers; handles each request from start to answer."""

import asyncio
from collections.abc import Callable
import random
import ssl
import uuid

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.entry import (
    accept,
    at_most_once,
    connection,
    const,
    forward,
    permits,
    rejections,
    runner,
    telemetry,
)
from tamarackbridge.components.entry import decider as entry_decider
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.settings import models as settings_models
from tamarackbridge.helpers import held_response

SHUTDOWN_TIMEOUT_S = 1.0
"""Seconds for requests that are still in flight when the listener stops."""

DRAIN_POLL_S = 0.05
"""Seconds between two checks of a drain for work in flight."""


class EntryService(core.Service):
    """Accepts callers' requests and answers them.

    Attributes:
        port: TCP port of the listener; 0 before the start.
        draining: Whether the router is shutting down.
        connections: Counts of the callers' connections.
        in_flight: Requests in flight, including those that wait for a permit.
    """

    def __init__(
        self,
        settings: settings_models.Settings,
        clock: core.Clock,
        decider: entry_decider.EntryDecider,
        forwarder: forward.Forwarder,
        rng: random.Random,
        inject: Callable[[core.Message], None],
        request_telemetry: telemetry.RequestTelemetry,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self._telemetry = request_telemetry
        self._ssl_context = ssl_context
        self.port = 0
        self.draining = False
        self.in_flight = 0
        self._settings = settings
        self._clock = clock
        self._decider = decider
        request_permits = permits.Permits(clock, decider, inject)
        self._attempt_runner = runner.AttemptRunner(
            clock, request_permits, forwarder, rng, request_telemetry
        )
        self._at_most_once = at_most_once.AtMostOnceRunner(
            clock, decider, self._attempt_runner, inject
        )
        self._app_runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self.connections = connection.CallerCounts()

    async def on_start(self) -> None:
        """Starts the listener."""
        limits = self._settings.limits
        app = web.Application(client_max_size=limits.max_body_bytes)
        app.router.add_route("*", "/{path:.*}", self._async_handle)
        self._app_runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._app_runner.setup()
        listen = self._settings.caller
        self._listener = await asyncio.get_running_loop().create_server(
            self._create_connection,
            listen.host,
            listen.port,
            ssl=self._ssl_context,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def _create_connection(self) -> connection.CallerConnection:
        assert self._app_runner is not None
        assert self._app_runner.server is not None
        limits = self._settings.limits
        return connection.CallerConnection(
            self._app_runner.server,
            connection.CallerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_connections=limits.max_connections,
                header_timeout_s=limits.header_timeout_s,
                write_stall_s=limits.write_stall_s,
            ),
            self.connections,
        )

    async def on_stop(self) -> None:
        """Closes the listener; cancels requests after `SHUTDOWN_TIMEOUT_S`."""
        if self._listener is not None:
            self._listener.close()
        if self._app_runner is not None:
            await self._app_runner.cleanup()

    async def async_drain(self) -> None:
        """Stops accepting requests and waits for those in flight.

        For `drain_notice_s`, requests are still accepted, each as the last one
        of its connection, until the load balancer has noticed that the router
        is not ready.
        """
        self.draining = True
        await asyncio.sleep(self._settings.drain_notice_s)
        if self._listener is not None:
            self._listener.close()
        self._close_idle()
        while (
            self.in_flight
            or self._at_most_once.running
            or self._decider.open_claims
        ):
            await self.sleep(DRAIN_POLL_S)
        # Answers that began before the drain left their connections open.
        self._close_idle()
        await self.sleep(DRAIN_POLL_S)

    def _close_idle(self) -> None:
        if self._app_runner is not None and self._app_runner.server is not None:
            connection.close_idle_connections(self._app_runner.server)

    async def _async_handle(self, req: web.Request) -> web.StreamResponse:
        conn = req.protocol
        assert isinstance(conn, connection.CallerConnection)
        conn.begin_request()
        self.in_flight += 1
        try:
            resp = await self._async_process(req)
        finally:
            self.in_flight -= 1
            conn.end_request()
        if self.draining and not resp.prepared:
            resp.force_close()
        await held_response.async_send(req, resp)
        return resp

    async def _async_process(self, req: web.Request) -> web.StreamResponse:
        with self._telemetry.tracer.start("request", req.headers) as span:
            rejection = self._reject_early(req)
            if rejection is not None:
                return rejection
            now = self._clock.monotonic()
            timeout_s = self._settings.limits.body_timeout_s
            accepted = await accept.async_accept(
                req, self._decider.snapshot, now, timeout_s, span
            )
            if isinstance(accepted, result.Err):
                resp = accepted.err_value.response()
                self._telemetry.record_answer("", resp.status, 0.0)
                return resp
            request = accepted.ok_value
            span.set("request_id", request.request_id)
            span.set("workspace", request.workspace.name)
            span.set("route", request.route.name)
            answer = await self._async_answer(req, request)
            span.set("status", answer.status)
        took_s = self._clock.monotonic() - now
        self._telemetry.record_answer(request.route.name, answer.status, took_s)
        return answer

    async def _async_answer(
        self, req: web.Request, request: entry_models.Request
    ) -> web.StreamResponse:
        if request.route.idempotent:
            return await self._attempt_runner.async_run_idempotent(req, request)
        return await self._at_most_once.async_run(request)

    def _reject_early(self, req: web.Request) -> web.Response | None:
        """Returns the answer to a request that is rejected unread, or None."""
        if not self._decider.serving:
            detail = self._decider.not_serving_reason
            return self._rejection(req, const.Reason.NOT_SERVING, detail)
        if self.in_flight > self._settings.limits.max_held_requests:
            detail = "this router holds too many requests"
            return self._rejection(req, const.Reason.QUEUE_FULL, detail)
        return None

    def _rejection(
        self, req: web.Request, reason: const.Reason, detail: str
    ) -> web.Response:
        keyed = const.HEADER_IDEMPOTENCY_KEY in req.headers
        request_id = uuid.uuid4().hex
        return rejections.before_claim(
            reason, request_id, detail, keyed
        ).response()
