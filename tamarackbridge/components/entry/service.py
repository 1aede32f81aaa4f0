"""The callers' HTTP listener and the way of one request."""

import asyncio
from collections.abc import Callable
import hashlib
import ssl
import uuid

from aiohttp import web
import result

from tamarackbridge import core
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import accept, const, forward, problem
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.entry import port as entry_port
from tamarackbridge.components.settings import models as settings_models

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


class EntryService(core.Service):
    """Accepts callers' requests and sees each to its end.

    Attributes:
        port: The port it listens on, once started.
        draining: Whether the router is shutting down.
    """

    def __init__(
        self,
        settings: settings_models.Settings,
        clock: core.Clock,
        port: entry_port.EntryPort,
        forwarder: forward.Forwarder,
        inject: Callable[[core.Message], None],
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self._ssl_context = ssl_context
        self._idle = asyncio.Event()
        self._idle.set()
        self.port = 0
        self.draining = False
        self.held = 0
        self._settings = settings
        self._clock = clock
        self._local = port
        self._forwarder = forwarder
        self._inject = inject
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts the listener."""
        limits = self._settings.limits
        app = web.Application(client_max_size=limits.max_body_bytes)
        app.router.add_route("*", "/{path:.*}", self._async_handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )
        await self._runner.setup()
        listen = self._settings.caller
        site = web.TCPSite(
            self._runner,
            listen.host,
            listen.port,
            ssl_context=self._ssl_context,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def async_idle(self) -> None:
        """Waits until no request is held."""
        await self._idle.wait()

    async def _async_handle(self, req: web.Request) -> web.StreamResponse:
        self.held += 1
        self._idle.clear()
        try:
            return await self._async_accepted(req)
        finally:
            self.held -= 1
            if not self.held:
                self._idle.set()

    async def _async_accepted(self, req: web.Request) -> web.StreamResponse:
        refusal = self._refusal()
        if refusal is not None:
            return refusal.response()
        now = self._clock.monotonic()
        accepted = await accept.async_accept(req, self._local.snapshot, now)
        if isinstance(accepted, result.Err):
            return accepted.err_value.response()
        request = accepted.ok_value
        if request.route.idempotent:
            return await self._async_attempts(req, request)
        return await self._async_once(req, request)

    def _refusal(self) -> problem.Problem | None:
        request_id = uuid.uuid4().hex
        if self.draining:
            return problem.Problem(
                const.Reason.DRAINING,
                problem.NotRun.TRUE,
                request_id,
                "this router is shutting down",
                RETRY_AFTER_S,
            )
        if not self._local.serving:
            return problem.Problem(
                const.Reason.NOT_SERVING,
                problem.NotRun.TRUE,
                request_id,
                self._local.not_serving_reason,
                RETRY_AFTER_S,
            )
        return None

    async def _async_attempts(
        self, req: web.Request, request: entry_models.Request
    ) -> web.StreamResponse:
        avoid: tuple[str, ...] = ()
        for _ in range(MAX_ATTEMPTS):
            permit = await self._async_permit(request, avoid)
            if isinstance(permit, dispatch.Refused):
                return _refused(request, permit).response()
            attempt, answer = await self._async_forward(req, request, permit)
            if attempt.whole and answer is not None:
                return answer
            if attempt.prepared and answer is not None:
                return _break(req, answer)
            avoid = (*avoid, permit.server)
        return problem.Problem(
            const.Reason.BACKEND_FAILED,
            problem.NotRun.UNKNOWN,
            request.request_id,
            "no backend server gave a whole answer",
        ).response()

    async def _async_once(
        self, req: web.Request, request: entry_models.Request
    ) -> web.StreamResponse:
        claim = await self._async_claim(request)
        if claim.answer is not claims.ClaimAnswer.RUN:
            return _claimed(request, claim)
        permit = await self._async_permit(request, ())
        if isinstance(permit, dispatch.Refused):
            self._settle(request, claims.ClaimState.ABANDONED)
            return _refused(request, permit).response()
        attempt, answer = await self._async_forward(req, request, permit)
        if not attempt.sent:
            self._settle(request, claims.ClaimState.ABANDONED)
            return problem.Problem(
                const.Reason.BACKEND_FAILED,
                problem.NotRun.TRUE,
                request.request_id,
                "the backend server did not start the work",
                RETRY_AFTER_S,
            ).response()
        if not attempt.whole or answer is None:
            self._settle(request, claims.ClaimState.UNKNOWN)
            return problem.Problem(
                const.Reason.OUTCOME_UNKNOWN,
                problem.NotRun.UNKNOWN,
                request.request_id,
                "the outcome is not known; the work will not run again",
            ).response()
        self._inject(
            claims.ClaimClose(
                request_id=request.request_id,
                state=claims.ClaimState.FINISHED,
                status=attempt.status,
                content_type=attempt.content_type,
                body=attempt.body,
            )
        )
        return answer

    async def _async_permit(
        self, request: entry_models.Request, avoid: tuple[str, ...]
    ) -> dispatch.Permitted | dispatch.Refused:
        left_s = request.deadline - self._clock.monotonic()
        fut = self._local.expect_permit(request.request_id)
        self._inject(
            dispatch.Want(
                request.service.name,
                request.request_id,
                request.workspace.name,
                request.end_user,
                request.route.name,
                request.hint_cost,
                left_s,
                avoid,
            )
        )
        try:
            async with asyncio.timeout(left_s):
                return await fut
        except TimeoutError:
            self._inject(dispatch.GiveUp(request.request_id))
            return dispatch.Refused(request.request_id, "deadline", 1.0)
        except asyncio.CancelledError:
            self._inject(dispatch.GiveUp(request.request_id))
            raise
        finally:
            self._local.forget_permit(request.request_id)

    async def _async_forward(
        self,
        req: web.Request,
        request: entry_models.Request,
        permit: dispatch.Permitted,
    ) -> tuple[forward.Attempt, web.StreamResponse | None]:
        request_id = request.request_id
        server = self._local.snapshot.servers.get(permit.server)
        if server is None or self._clock.monotonic() > permit.start_by:
            done = dispatch.Done(request_id, 0.0, dispatch.Outcome.UNUSED)
            self._inject(done)
            return forward.Attempt(), None
        attempt = forward.Attempt(outcome=dispatch.Outcome.CANCELLED)
        answer: web.StreamResponse | None = None

        def report(used: float) -> None:
            self._inject(dispatch.Used(request_id, used))

        try:
            attempt, answer = await self._forwarder.async_run(
                req, request, server, permit, report
            )
        finally:
            self._inject(
                dispatch.Done(
                    request_id,
                    attempt.used,
                    attempt.outcome,
                    attempt.first_byte_s,
                )
            )
        return attempt, answer

    async def _async_claim(
        self, request: entry_models.Request
    ) -> claims.ClaimResult:
        request_id = request.request_id
        left_s = request.deadline - self._clock.monotonic()
        fut = self._local.expect_claim(request_id)
        self._inject(
            claims.ClaimWant(
                request_id, _claim_key(request), _body_hash(request), left_s
            )
        )
        try:
            return await fut
        except asyncio.CancelledError:
            self._settle(request, claims.ClaimState.ABANDONED)
            raise
        finally:
            self._local.forget_claim(request_id)

    def _settle(
        self, request: entry_models.Request, state: claims.ClaimState
    ) -> None:
        self._inject(claims.ClaimClose(request.request_id, state))


def _claim_key(request: entry_models.Request) -> str:
    parts = (
        request.workspace.name,
        request.service.name,
        request.route.name,
        request.idempotency_key,
    )
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:32]


def _body_hash(request: entry_models.Request) -> str:
    head = f"{request.route.method} {request.path}\0".encode()
    return hashlib.sha256(head + request.body).hexdigest()[:32]


def _refused(
    request: entry_models.Request, refused: dispatch.Refused
) -> problem.Problem:
    return problem.Problem(
        const.Reason(refused.reason),
        problem.NotRun.TRUE,
        request.request_id,
        "the request was not run",
        refused.retry_after_s,
    )


_CLAIM_PROBLEMS: dict[
    claims.ClaimAnswer, tuple[const.Reason, problem.NotRun]
] = {
    claims.ClaimAnswer.IN_PROGRESS: (
        const.Reason.IN_PROGRESS,
        problem.NotRun.UNKNOWN,
    ),
    claims.ClaimAnswer.MISMATCH: (
        const.Reason.KEY_MISMATCH,
        problem.NotRun.TRUE,
    ),
    claims.ClaimAnswer.OUTCOME_UNKNOWN: (
        const.Reason.OUTCOME_UNKNOWN,
        problem.NotRun.UNKNOWN,
    ),
    claims.ClaimAnswer.UNAVAILABLE: (
        const.Reason.STORE_UNAVAILABLE,
        problem.NotRun.TRUE,
    ),
}


def _claimed(
    request: entry_models.Request, claim: claims.ClaimResult
) -> web.Response:
    if claim.answer is claims.ClaimAnswer.REPLAY:
        headers = {
            const.HEADER_REQUEST_ID: request.request_id,
            "Content-Type": claim.content_type,
            "Idempotent-Replayed": "true",
        }
        return web.Response(
            status=claim.status, headers=headers, body=claim.body
        )
    reason, not_run = _CLAIM_PROBLEMS[claim.answer]
    return problem.Problem(
        reason, not_run, request.request_id, "", RETRY_AFTER_S
    ).response()


def _break(req: web.Request, answer: web.StreamResponse) -> web.StreamResponse:
    if req.transport is not None:
        req.transport.abort()
    return answer
