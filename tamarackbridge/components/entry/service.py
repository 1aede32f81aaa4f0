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
    connection,
    const,
    forward,
    once,
    permits,
    refusals,
    runner,
    telemetry,
)
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.entry import port as entry_port
from tamarackbridge.components.settings import models as settings_models

SHUTDOWN_TIMEOUT_S = 1.0
"""Seconds for requests that are still in flight when the listener stops."""

IDLE_POLL_S = 0.05
"""Seconds between two checks of a drain for work in flight."""


class EntryService(core.Service):
    """Accepts callers' requests and answers them.

    Attributes:
        port: TCP port of the listener; 0 before the start.
        draining: Whether the router is shutting down.
        connections: Counts of the callers' connections.
        held: Requests in flight, including those that wait for a permit.
    """

    def __init__(
        self,
        settings: settings_models.Settings,
        clock: core.Clock,
        port: entry_port.EntryPort,
        forwarder: forward.Forwarder,
        rng: random.Random,
        inject: Callable[[core.Message], None],
        counted: telemetry.RequestTelemetry,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self._telemetry = counted
        self._ssl_context = ssl_context
        self.port = 0
        self.draining = False
        self.held = 0
        self._settings = settings
        self._clock = clock
        self._port = port
        desk = permits.Permits(clock, port, inject)
        self._tries = runner.AttemptRunner(clock, desk, forwarder, rng, counted)
        self._once = once.OnceRunner(clock, port, self._tries, inject)
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self.connections = connection.CallerCounts()

    async def on_start(self) -> None:
        """Starts the listener."""
        limits = self._settings.limits
        app = web.Application(client_max_size=limits.max_body_bytes)
        app.router.add_route("*", "/{path:.*}", self._async_handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        listen = self._settings.caller
        self._listener = await asyncio.get_running_loop().create_server(
            self._accept, listen.host, listen.port, ssl=self._ssl_context
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def _accept(self) -> connection.CallerConnection:
        assert self._runner is not None
        assert self._runner.server is not None
        limits = self._settings.limits
        return connection.CallerConnection(
            self._runner.server,
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
        if self._runner is not None:
            await self._runner.cleanup()

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
        self._end_idle()
        while self.held or self._once.running or self._port.claims_owed:
            await self.sleep(IDLE_POLL_S)
        # Answers that began before the drain left their connections open.
        self._end_idle()
        await self.sleep(IDLE_POLL_S)

    def _end_idle(self) -> None:
        if self._runner is not None and self._runner.server is not None:
            connection.end_idle(self._runner.server)

    async def _async_handle(self, req: web.Request) -> web.StreamResponse:
        conn = req.protocol
        assert isinstance(conn, connection.CallerConnection)
        conn.begin_request()
        self.held += 1
        try:
            resp = await self._async_accepted(req)
        finally:
            self.held -= 1
            conn.end_request()
        if self.draining and not resp.prepared:
            resp.force_close()
        return resp

    async def _async_accepted(self, req: web.Request) -> web.StreamResponse:
        with self._telemetry.tracer.start("request", req.headers) as span:
            refused = self._refusal(req)
            if refused is not None:
                return refused
            now = self._clock.monotonic()
            timeout_s = self._settings.limits.body_timeout_s
            accepted = await accept.async_accept(
                req, self._port.snapshot, now, timeout_s, span
            )
            if isinstance(accepted, result.Err):
                resp = accepted.err_value.response()
                self._telemetry.answered("", resp.status, 0.0)
                return resp
            request = accepted.ok_value
            span.set("request_id", request.request_id)
            span.set("workspace", request.workspace.name)
            span.set("route", request.route.name)
            answer = await self._async_answer(req, request)
            span.set("status", answer.status)
        took_s = self._clock.monotonic() - now
        self._telemetry.answered(request.route.name, answer.status, took_s)
        return answer

    async def _async_answer(
        self, req: web.Request, request: entry_models.Request
    ) -> web.StreamResponse:
        if request.route.idempotent:
            return await self._tries.async_repeatable(req, request)
        return await self._once.async_run(request)

    def _refusal(self, req: web.Request) -> web.Response | None:
        """Returns the answer to a request that is rejected unread, or None."""
        if not self._port.serving:
            detail = self._port.not_serving_reason
            return self._unread(req, const.Reason.NOT_SERVING, detail)
        if self.held > self._settings.limits.max_held_requests:
            detail = "too many requests are in flight at this router"
            return self._unread(req, const.Reason.QUEUE_FULL, detail)
        return None

    def _unread(
        self, req: web.Request, reason: const.Reason, detail: str
    ) -> web.Response:
        keyed = const.HEADER_IDEMPOTENCY_KEY in req.headers
        request_id = uuid.uuid4().hex
        return refusals.unread(reason, request_id, detail, keyed).response()
