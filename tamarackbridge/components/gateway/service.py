"""HTTP service through which callers send their requests to a router."""

import asyncio
import dataclasses
import resource
import socket

from aiohttp import abc, http_parser, streams, web
import result

from tamarackbridge import core
from tamarackbridge.components.entry import connection
from tamarackbridge.components.gateway import (
    body_budget,
    caller_connection,
    event_loop_lag,
    exceptions,
    in_flight_limit,
    jobs,
    last_response,
    listener,
    memory_watch,
    models,
    offload_proxy,
    rejections,
    request_log,
    request_validation,
    runner,
    screening,
    shedding,
    shutdown,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.telemetry import processor, spans
from tamarackbridge.helpers import held_response

BACKLOG = 1024
"""Listen backlog in connections: larger than any burst of one zone."""

OFFLOAD_DIVISOR = 3
"""Offloaded requests are limited to the maximum number of caller connections
divided by this, since each needs two file descriptors."""

WRITE_STALL_S = 10.0
"""A caller that reads nothing for this long is treated as disconnected. No
caller has a timeout of more than 12 s."""

CANCEL_S = 0.1
"""Time for the handlers of aborted responses to end. aiohttp takes 0 for no
limit."""

SUMMARY_INTERVAL_S = 1.0
"""Interval at which totals of shed and offloaded requests are logged."""

_Purpose = processor.Purpose
_ADMITTED = listener.ScreenResult.ADMITTED
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_TOO_MANY_OPEN = rejections.Rejection(
    rejections.Reason.ROUTER_OVERLOADED, shedding.RETRY_MIN_S
)
_SHUTTING_DOWN = rejections.Rejection(
    rejections.Reason.SHUTTING_DOWN, shutdown.RETRY_S
)


class GatewayService(core.Service):
    """Accepts callers' requests and sends each a response.

    Attributes:
        shutdown: Schedule of the shutdown; None while the router is running.
        account: Account of the memory of connections and bodies.
        bodies: Memory budget of request bodies.
        heads: Memory of incomplete heads of requests.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_descriptors: int,
        memory_mb: float,
        local_copy: state.LocalCopy,
        dialect: models.Dialect,
        clock: core.Clock,
        log: request_log.RequestLog,
        meter: event_loop_lag.LagMeter,
        shedder: shedding.Shedder,
        processor_time: processor.ProcessorTime,
        tracer: spans.Tracer,
        record_shed: screening.ShedCallback,
        offloading: screening.Offloading | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._meter = meter
        self._shedder = shedder
        self._processor_time = processor_time
        self._screen = screening.RequestScreen(
            local_copy, dialect, clock, shedder, meter, log, record_shed
        )
        self._record_shed = record_shed
        self._offloading = offloading
        self._offload_proxy: offload_proxy.OffloadProxy | None = None
        self._offload_listener: listener.Listener | None = None
        self._tracer = tracer
        self._open_requests = 0
        self.shutdown: shutdown.ShutdownSchedule | None = None
        self._is_stopping = False
        self.port = port
        self.connections = connection.CallerCounts()
        self._host = host
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            allowed = max_descriptors
        self._max_connections = in_flight_limit.max_connections(
            max_descriptors, allowed
        )
        self.account = in_flight_limit.account(memory_mb)
        self.bodies = body_budget.BodyBudget(
            in_flight_limit.max_body_bytes(memory_mb), self.account
        )
        self._memory_watch = memory_watch.MemoryWatch(
            self.account, self.bodies, log
        )
        self.heads = caller_connection.HeadMemory(
            in_flight_limit.max_head_bytes(memory_mb)
        )
        self._max_open_requests = in_flight_limit.max_in_flight(memory_mb)
        self._local_copy = local_copy
        self._dialect = dialect
        self._clock = clock
        self._validator = request_validation.RequestValidator(
            local_copy, dialect, clock, self.bodies
        )
        self._summary_at = 0.0
        self._runner: runner.Runner | None = None
        self._server: web.Server | None = None
        self._listener: listener.Listener | None = None

    def set_runner(self, job_runner: runner.Runner) -> None:
        """Sets the job runner; must be called before the first request."""
        self._runner = job_runner

    async def on_start(self) -> None:
        """Starts the listeners."""
        self._server = web.Server(
            self._async_handle,
            request_factory=self._make_request,
            handler_cancellation=True,
        )
        sock = socket.create_server((self._host, self.port), backlog=BACKLOG)
        self.port = sock.getsockname()[1]
        offloading = self._offloading
        self._offload_proxy = offload_proxy.OffloadProxy(
            self._clock, self._max_connections // OFFLOAD_DIVISOR
        )
        self._listener = self._open_listener(
            sock,
            screening.RequestScreen(
                self._local_copy,
                self._dialect,
                self._clock,
                self._shedder,
                self._meter,
                self._log,
                self._record_shed,
                offloading,
                lambda: self.draining,
            ),
        )
        if offloading is not None:
            # Requests that a peer offloaded to this router are not offloaded
            # again.
            self._offload_listener = self._open_listener(
                socket.create_server(
                    (offloading.host, offloading.port), backlog=BACKLOG
                ),
                self._screen,
            )

    def _open_listener(
        self, sock: socket.socket, screen: listener.Screen
    ) -> listener.Listener:
        return listener.Listener(
            sock, self._connect, screen, self._offload, self._processor_time
        )

    def _offload(
        self, conn: socket.socket, offload: offload_proxy.OffloadedRequest
    ) -> None:
        """Offloads a request; its bytes are charged until it has ended."""
        assert self._offload_proxy is not None
        holding = body_budget.Holding("", body_budget.Use.OFFLOADED)
        if not self.bodies.charge_complete(holding, len(offload.request)):
            self._offload_proxy.reject(conn, offload)
            return

        def on_end(end: offload_proxy.End) -> None:
            self.bodies.release(holding)
            offload.on_end(end)

        self._offload_proxy.open(
            conn, dataclasses.replace(offload, on_end=on_end)
        )

    @property
    def in_flight(self) -> int:
        """Requests in flight, including those offloaded to peers."""
        return self._open_requests + (
            len(self._offload_proxy) if self._offload_proxy else 0
        )

    async def on_stop(self) -> None:
        """Closes the listeners and all remaining connections.

        Responses in progress are aborted before the first await: the stop of
        a late router may be cut short, and the next services close the
        connections to servers.
        """
        self._is_stopping = True
        self.close_listener()
        if self._offload_proxy is not None:
            self._offload_proxy.close()
        if self._server is not None:
            for conn in list(self._server.connections):
                conn.force_close()
            await self._server.shutdown(CANCEL_S)

    def close_listener(self) -> None:
        """Accepts the connections in the backlog, then closes the listeners."""
        for port_listener in (self._listener, self._offload_listener):
            if port_listener is not None:
                port_listener.close()

    def close_idle(self) -> None:
        """Closes connections that have no request in flight."""
        if self._server is not None:
            connection.close_idle_connections(self._server)

    def answer_unanswered(self) -> None:
        """Answers the requests in flight that have no answer yet."""
        if self._runner is not None:
            self._runner.answer_unanswered(_SHUTTING_DOWN)

    def _configured_limits(self) -> knowledge.Limits:
        cfg = self._local_copy.configuration
        return knowledge.Limits() if cfg is None else cfg.limits

    def update_lag(self, lag_s: float, now: float) -> None:
        """Updates load shedding with the lag of the event loop.

        The delay is the greater of the lag and of the time for which
        connections have waited to be read.
        """
        unread_wait_s = (
            0.0 if self._listener is None else self._listener.backlog_wait_s
        )
        if self._offload_listener is not None:
            unread_wait_s = max(
                unread_wait_s, self._offload_listener.backlog_wait_s
            )
        delay_s = max(lag_s, unread_wait_s)
        self._shedder.update_delay(delay_s, now)
        self._memory_watch.update(now)
        self.bodies.tick(now)
        if self._offloading is not None:
            self._offloading.headroom.update(now)
        if now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._summary_at = now
            self._log.write_shed_totals(
                self._shedder.limit_per_s, self._meter.lag_s
            )
            self._log.write_offload_totals()
            self._log.write_client_limits(self.bodies, self.heads, self.account)

    @property
    def headroom_cores(self) -> float:
        """Processor headroom for requests of peers, in cores."""
        if self._offloading is None or self._screen.shedding:
            return 0.0
        if self.draining or self._meter.lagging:
            return 0.0
        return self._offloading.headroom.offered_cores

    def _connect(
        self, screened: listener.ScreenResult
    ) -> connection.CallerConnection:
        assert self._server is not None
        limits = self._configured_limits()
        cfg = connection.CallerLimits(
            max_header_bytes=max(limits.max_header_bytes, 1024),
            max_connections=self._max_connections,
            header_timeout_s=limits.header_timeout_s,
            write_stall_s=WRITE_STALL_S,
        )
        return caller_connection.GatewayConnection(
            self._server,
            cfg,
            self.heads,
            self.account,
            self.connections,
            limits.idle_timeout_s,
            self._screen_kept_alive,
            screened is listener.ScreenResult.ADMITTED,
            decodes_bodies=False,
        )

    def _screen_kept_alive(self, data: bytes) -> bytes | bool:
        """Screens a request on a connection that is already accepted."""
        if not self._screen.shedding:
            return False
        screened = self._screen.screen(data)
        return (
            screened if isinstance(screened, bytes) else screened is _ADMITTED
        )

    def _make_request(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
        protocol: web.RequestHandler,
        writer: abc.AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._configured_limits().max_body_bytes,
        )

    async def _async_handle(self, req: web.BaseRequest) -> web.StreamResponse:
        conn = req.protocol
        assert isinstance(conn, connection.CallerConnection)
        conn.begin_request()
        self._open_requests += 1
        arrived = self._clock.monotonic()
        try:
            resp = await self._async_respond(req, arrived)
            if self.is_last_response() and not resp.prepared:
                resp.force_close()
            await held_response.async_send(req, resp)
        except exceptions.GatewayError as exc:
            conn.force_close()
            raise asyncio.CancelledError from exc
        finally:
            self._open_requests -= 1
            self._shedder.record_completion()
            conn.end_request()
        return resp

    def is_last_response(self) -> bool:
        """Returns whether a response that starts now closes its connection.

        Once a response has started without announcing this, its connection
        stays open: the caller may send its next request at once.
        """
        return self.draining or self._meter.lagging or self._shedder.active

    @property
    def draining(self) -> bool:
        """Returns whether the router is shutting down."""
        return self.shutdown is not None

    async def _async_respond(
        self, req: web.BaseRequest, arrived: float
    ) -> web.StreamResponse:
        assert self._runner is not None
        with self._processor_time.section(_Purpose.READING):
            request = self._validator.read_request(req)
        if request is None:
            rejection = rejections.Rejection(rejections.Reason.MALFORMED)
            return self._reject("", "", rejection, arrived)
        overload = self._overload_rejection(req, request)
        if overload is not None:
            resp = self._reject(request.request_id, "", overload, arrived)
            resp.force_close()
            if not req.content.at_eof():
                await last_response.async_send(
                    req, resp, self._configured_limits().max_body_bytes
                )
            return resp
        try:
            with self._tracer.start("request", req.headers) as span:
                span.set("request", request.request_id)
                return await self._async_run_accepted(
                    req, request, arrived, span
                )
        except (asyncio.CancelledError, exceptions.CallerGoneError):
            self._log_unfinished(request, arrived)
            raise

    def _overload_rejection(
        self, req: web.BaseRequest, request: models.Request
    ) -> rejections.Rejection | None:
        """Returns a rejection if the router is overloaded; else None."""
        if self._open_requests > self._max_open_requests:
            return _TOO_MANY_OPEN
        conn = req.protocol
        assert isinstance(conn, caller_connection.GatewayConnection)
        if not conn.has_room():
            return _TOO_MANY_OPEN
        return (
            None if conn.consume_screened() else self._screen.rejection(request)
        )

    def _log_unfinished(self, request: models.Request, arrived: float) -> None:
        """Logs a request that ended before its response was complete."""
        route = self._validator.route_name(request)
        if self.shutdown is not None and self._is_stopping:
            self._log.record_cut(
                request.request_id,
                route,
                arrived,
                "shutdown",
                after_signal_s=round(arrived - self.shutdown.started, 4),
            )
        else:
            self._log.record_caller_left(request.request_id, route, arrived)

    async def _async_run_accepted(
        self,
        req: web.BaseRequest,
        request: models.Request,
        arrived: float,
        span: spans.Span,
    ) -> web.StreamResponse:
        assert self._runner is not None
        accepted = await self._validator.async_accept(
            req, request, lambda: _continue(req)
        )
        if isinstance(accepted, result.Err):
            route = self._validator.route_name(request)
            resp = self._reject(
                request.request_id, route, accepted.err_value, arrived
            )
            if not req.content.at_eof():
                resp.force_close()
                await last_response.async_send(
                    req, resp, self._configured_limits().max_body_bytes
                )
            return resp
        try:
            return await self._async_run_job(
                req, accepted.ok_value, arrived, span
            )
        finally:
            memory = accepted.ok_value.body_memory
            if memory is not None:
                self.bodies.release(memory)

    async def _async_run_job(
        self,
        req: web.BaseRequest,
        job: jobs.Job,
        arrived: float,
        span: spans.Span,
    ) -> web.StreamResponse:
        assert self._runner is not None
        now = self._clock.monotonic()
        if self.shutdown is not None and not self.shutdown.accepts(job, now):
            return self._reject(
                job.request.request_id, job.route.name, _SHUTTING_DOWN, arrived
            )
        return await self._runner.async_run(req, job, span)

    def _reject(
        self,
        request_id: str,
        route: str,
        rejection: rejections.Rejection,
        arrived: float,
    ) -> web.Response:
        with self._processor_time.section(_Purpose.REFUSING):
            self._log.record_rejection(request_id, route, rejection, arrived)
            headers = dict(self._dialect.rejection_headers(request_id))
            return rejections.response(rejection, headers)


def _continue(req: web.BaseRequest) -> None:
    """Tells a caller that waits for it to send the body."""
    if req.headers.get("Expect", "").lower() != "100-continue":
        return
    if req.transport is not None:
        req.transport.write(_CONTINUE)
