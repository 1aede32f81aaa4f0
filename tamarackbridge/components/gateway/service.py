"""The callers' listener of a router on the users' platform."""

import asyncio
import socket

from aiohttp import abc, http_parser, streams, web
import result

from tamarackbridge import core
from tamarackbridge.components.entry import connection
from tamarackbridge.components.gateway import (
    accept,
    answers,
    exceptions,
    held_limit,
    listener,
    models,
    pipes,
    request_log,
    runner,
    screening,
    shedding,
    shutdown,
    strain,
)
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.telemetry import processor, spans

SPARE_DESCRIPTORS = 600
"""Descriptors kept for servers, peers, the store and files."""

BACKLOG = 1024
"""Connections that wait to be taken, above any burst of one zone."""

PIPES_PART = 3
"""Most requests at peers, each with two descriptors, as a part of the callers'
connections."""

WRITE_STALL_S = 10.0
"""A caller that reads nothing for this long has left; none waits for over
12 s."""

LINGER_S = 0.5
"""Time for which a caller that is still sending can read its last answer: a
hundred times as long as a packet takes to come and go."""

TELL_S = 1.0
"""Interval at which the log tells what was shed."""

_Purpose = processor.Purpose
_ADMITTED = listener.Screened.ADMITTED
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_TOO_MANY = answers.Refusal(
    answers.Reason.ROUTER_OVERLOADED, shedding.RETRY_MIN_S
)
_SHUTTING_DOWN = answers.Refusal(answers.Reason.SHUTTING_DOWN, shutdown.RETRY_S)


class GatewayService(core.Service):
    """Accepts callers' requests and sees each to its end.

    Attributes:
        shutdown: The times of the shutdown; None while there is none.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_descriptors: int,
        memory_mb: float,
        known: state.Knowledge,
        dialect: models.Dialect,
        clock: core.Clock,
        log: request_log.RequestLog,
        meter: strain.LagMeter,
        shedder: shedding.Shedder,
        spent: processor.ProcessorTime,
        tracer: spans.Tracer,
        note_shed: screening.NoteShed,
        offloading: screening.Offloading | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._meter = meter
        self._shedder = shedder
        self._spent = spent
        self._screen = screening.RequestScreen(
            known, dialect, clock, shedder, meter, log, note_shed
        )
        self._note_shed = note_shed
        self._offloading = offloading
        self._pipes: pipes.Pipes | None = None
        self._offload_listener: listener.Listener | None = None
        self._tracer = tracer
        self._served = 0
        self.shutdown: shutdown.Shutdown | None = None
        self.port = port
        self.connections = connection.CallerCounts()
        self._host = host
        self._max_connections = max(max_descriptors - SPARE_DESCRIPTORS, 64)
        self._max_held = held_limit.most(memory_mb)
        self._known = known
        self._dialect = dialect
        self._clock = clock
        self._acceptor = accept.Acceptor(known, dialect, clock)
        self._told_at = 0.0
        self._runner: runner.Runner | None = None
        self._server: web.Server | None = None
        self._listener: listener.Listener | None = None

    def use(self, job_runner: runner.Runner) -> None:
        """Names who runs the jobs."""
        self._runner = job_runner

    async def on_start(self) -> None:
        """Starts the listener."""
        self._server = web.Server(
            self._async_handle,
            request_factory=self._make_request,
            handler_cancellation=True,
        )
        sock = socket.create_server((self._host, self.port), backlog=BACKLOG)
        self.port = sock.getsockname()[1]
        offloading = self._offloading
        self._pipes = pipes.Pipes(
            self._clock, self._max_connections // PIPES_PART
        )
        self._listener = self._listen(
            sock,
            screening.RequestScreen(
                self._known,
                self._dialect,
                self._clock,
                self._shedder,
                self._meter,
                self._log,
                self._note_shed,
                offloading,
                lambda: self.draining,
            ),
        )
        if offloading is not None:
            # What a peer has offloaded is not offloaded again.
            self._offload_listener = self._listen(
                socket.create_server(
                    (offloading.host, offloading.port), backlog=BACKLOG
                ),
                self._screen,
            )

    def _listen(
        self, sock: socket.socket, screen: listener.Screen
    ) -> listener.Listener:
        return listener.Listener(
            sock, self._connect, screen, self._offload, self._spent
        )

    def _offload(self, conn: socket.socket, offload: pipes.Offload) -> None:
        assert self._pipes is not None
        self._pipes.open(conn, offload)

    @property
    def held(self) -> int:
        """Requests under way, those at a peer among them."""
        return self._served + (len(self._pipes) if self._pipes else 0)

    async def on_stop(self) -> None:
        """Closes the listener and what is left of the connections."""
        self.close_listener()
        if self._pipes is not None:
            self._pipes.close()
        if self._server is not None:
            await self._server.shutdown(0.0)

    def close_listener(self) -> None:
        """Takes the connections that wait for it, and no further ones."""
        for it in (self._listener, self._offload_listener):
            if it is not None:
                it.close()

    def close_idle(self) -> None:
        """Closes connections that wait for a request."""
        if self._server is not None:
            connection.close_idle_connections(self._server)

    def _limits(self) -> knowledge.Limits:
        cfg = self._known.configuration
        return knowledge.Limits() if cfg is None else cfg.limits

    def note_lag(self, lag_s: float, now: float) -> None:
        """Takes the lag of the event loop, and what waits unread with it."""
        unread_s = 0.0 if self._listener is None else self._listener.waited_s
        if self._offload_listener is not None:
            unread_s = max(unread_s, self._offload_listener.waited_s)
        delay_s = max(lag_s, unread_s)
        self._shedder.note_delay(delay_s, now)
        if self._offloading is not None:
            self._offloading.headroom.note(now)
        if now - self._told_at >= TELL_S:
            self._told_at = now
            self._log.tell_shed(self._shedder.limit_per_s, self._meter.lag_s)
            self._log.tell_offloaded()

    @property
    def spare_cores(self) -> float:
        """Processor that peers may use for their requests, in cores."""
        if self._offloading is None or self._screen.shedding:
            return 0.0
        if self.draining or self._meter.strained:
            return 0.0
        return self._offloading.headroom.spare

    def _connect(
        self, screened: listener.Screened
    ) -> connection.CallerConnection:
        assert self._server is not None
        limits = self._limits()
        cfg = connection.CallerLimits(
            max_header_bytes=max(limits.max_header_bytes, 1024),
            max_connections=self._max_connections,
            header_timeout_s=limits.header_timeout_s,
            write_stall_s=WRITE_STALL_S,
        )
        return connection.CallerConnection(
            self._server,
            cfg,
            self.connections,
            limits.idle_timeout_s,
            self._screen_kept,
            screened is listener.Screened.ADMITTED,
        )

    def _screen_kept(self, data: bytes) -> bytes | bool:
        """Screens a request on a connection that has been taken."""
        if not self._screen.shedding:
            return False
        found = self._screen.screen(data)
        return found if isinstance(found, bytes) else found is _ADMITTED

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
            client_max_size=self._limits().max_body_bytes,
        )

    async def _async_handle(self, req: web.BaseRequest) -> web.StreamResponse:
        conn = req.protocol
        assert isinstance(conn, connection.CallerConnection)
        conn.begin_request()
        self._served += 1
        arrived = self._clock.monotonic()
        try:
            resp = await self._async_answer(req, arrived)
        except exceptions.GatewayError as exc:
            conn.force_close()
            raise asyncio.CancelledError from exc
        finally:
            self._served -= 1
            self._shedder.note_ended()
            conn.end_request()
        if self.is_last() and not resp.prepared:
            resp.force_close()
        return resp

    def is_last(self) -> bool:
        """Whether an answer that begins now is the last of its connection.

        A connection whose last answer began without saying so stays open: its
        caller may send the next request at once.
        """
        return self.draining or self._meter.strained or self._shedder.active

    @property
    def draining(self) -> bool:
        """Whether the router is shutting down."""
        return self.shutdown is not None

    async def _async_answer(
        self, req: web.BaseRequest, arrived: float
    ) -> web.StreamResponse:
        assert self._runner is not None
        with self._spent.section(_Purpose.READING):
            call = self._acceptor.read_call(req)
        if call is None:
            refusal = answers.Refusal(answers.Reason.MALFORMED)
            return self._refuse("", "", refusal, arrived)
        too_many = self._unaffordable(req, call)
        if too_many is not None:
            resp = self._refuse(call.request_id, "", too_many, arrived)
            resp.force_close()
            return resp
        expects = req.headers.get("Expect", "").lower() == "100-continue"
        if expects and req.transport is not None:
            req.transport.write(_CONTINUE)
        try:
            with self._tracer.start("request", req.headers) as span:
                span.set("request", call.request_id)
                return await self._async_accepted(req, call, arrived, span)
        except (asyncio.CancelledError, exceptions.CallerGoneError):
            self._log_end(call, arrived)
            raise

    def _unaffordable(
        self, req: web.BaseRequest, call: models.Call
    ) -> answers.Refusal | None:
        """Returns the refusal of what the router can't take up."""
        if self._served > self._max_held:
            return _TOO_MANY
        conn = req.protocol
        assert isinstance(conn, connection.CallerConnection)
        return None if conn.consume_screened() else self._screen.refusal(call)

    def _log_end(self, call: models.Call, arrived: float) -> None:
        """Notes who ended a request before its answer was whole."""
        route = self._acceptor.route_name(call)
        now = self._clock.monotonic()
        if self.shutdown is not None and now >= self.shutdown.end:
            self._log.cut(call.request_id, route, arrived, "shutdown", 0)
        else:
            self._log.caller_left(call.request_id, route, arrived)

    async def _async_accepted(
        self,
        req: web.BaseRequest,
        call: models.Call,
        arrived: float,
        span: spans.Span,
    ) -> web.StreamResponse:
        assert self._runner is not None
        accepted = await self._acceptor.async_accept(req, call)
        if isinstance(accepted, result.Err):
            route = self._acceptor.route_name(call)
            resp = self._refuse(
                call.request_id, route, accepted.err_value, arrived
            )
            if not req.content.at_eof():
                resp.force_close()
                await self._async_end(req, resp)
            return resp
        job = accepted.ok_value
        now = self._clock.monotonic()
        if self.shutdown is not None and not self.shutdown.takes(job, now):
            return self._refuse(
                call.request_id, job.route.name, _SHUTTING_DOWN, arrived
            )
        return await self._runner.async_run(req, job, span)

    async def _async_end(
        self, req: web.BaseRequest, resp: web.StreamResponse
    ) -> None:
        """Sends the last answer of a caller that is still sending.

        A connection that is closed while bytes wait on it is reset, and its
        caller may lose the answer; so as much is read as a body may have.
        """
        await resp.prepare(req)
        await resp.write_eof()
        left = self._limits().max_body_bytes
        try:
            async with asyncio.timeout(LINGER_S):
                while left > 0 and not req.content.at_eof():
                    left -= len(await req.content.readany())
                if req.transport is not None and not req.content.at_eof():
                    req.transport.pause_reading()
                    await asyncio.sleep(LINGER_S)
        except (TimeoutError, RuntimeError, OSError):
            pass  # The caller has had its time, or has left.
        req.protocol.force_close()

    def _refuse(
        self,
        request_id: str,
        route: str,
        refusal: answers.Refusal,
        arrived: float,
    ) -> web.Response:
        with self._spent.section(_Purpose.REFUSING):
            self._log.refused(request_id, route, refusal, arrived)
            headers = dict(self._dialect.refusal(request_id))
            return answers.response(refusal, headers)
