"""Runs requests through permits and attempts."""

import asyncio
import random

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.backend import connection_check
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.entry import (
    attempts,
    caller_stream,
    forward,
    permits,
    problem,
    rejections,
    retry_budget,
    stream_check,
    telemetry,
)
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.components.records import models
from tamarackbridge.helpers import held_response, unmarked_response


class AttemptRunner:
    """Acquires permits and runs attempts until a request has ended.

    Attributes:
        budget: Limits the retries of all requests of this router.
        end_counts: Number of attempts by how they ended.
        duplicate_events: Stream events dropped because the caller had them.
    """

    def __init__(
        self,
        clock: core.Clock,
        request_permits: permits.Permits,
        forwarder: forward.Forwarder,
        rng: random.Random,
        request_telemetry: telemetry.RequestTelemetry,
    ) -> None:
        self._telemetry = request_telemetry
        self.budget = retry_budget.RetryBudget()
        self.end_counts: dict[attempts.End, int] = dict.fromkeys(
            attempts.End, 0
        )
        self.duplicate_events = 0
        self._clock = clock
        self._permits = request_permits
        self._forwarder = forwarder
        self._rng = rng

    def start(self, request: entry_models.Request) -> attempts.AttemptHistory:
        """Returns the empty attempt history of a new request."""
        self.budget.record_request()
        return attempts.AttemptHistory(
            request.route.idempotent, request.deadline, self.budget, self._rng
        )

    async def async_run_idempotent(
        self, req: web.Request, request: entry_models.Request
    ) -> web.StreamResponse:
        """Answers an idempotent request; forwards streams as they arrive."""
        stream = caller_stream.CallerStream(req, request.request_id)
        history = self.start(request)
        try:
            outcome = await self.async_run_attempts(request, history, stream)
        except caller_stream.CallerGoneError:
            return stream.abort()
        except BaseException:
            # A regular close by the server library ends data over TLS.
            if stream.response is not None:
                stream.abort()
            raise
        if isinstance(outcome, forward.Attempt):
            if outcome.is_stream:
                return await stream.async_finish()
            return buffered_response(request, outcome)
        if stream.response is not None:
            return stream.abort()
        return outcome.response()

    async def async_run_attempts(
        self,
        request: entry_models.Request,
        history: attempts.AttemptHistory,
        stream: caller_stream.CallerStream | None,
        start_by: float = float("inf"),
        limit_s: float | None = None,
    ) -> forward.Attempt | problem.Problem:
        """Runs attempts until an answer is complete or no retry is allowed.

        Args:
            request: The request.
            history: The attempts of the request so far.
            stream: Receives a streamed answer; None to buffer it.
            start_by: Monotonic time before which an attempt must start.
            limit_s: Longest duration of an attempt; None for the time to the
                deadline.

        Returns:
            The attempt with the complete answer, or the problem.
        """
        check = stream_check.StreamCheck(request.request_id)
        while True:
            partly_sent = stream is not None and stream.response is not None
            until = min(request.deadline, start_by)
            if partly_sent:
                until = self._clock.monotonic() + request.service.max_request_s
            permit = await self._async_permit(request, history.avoid, until)
            if isinstance(permit, dispatch.Refused):
                return rejections.from_permit_rejection(permit, history.not_run)
            attempt = forward.Attempt()
            history.in_flight = True
            left_s = request.deadline - self._clock.monotonic()
            await self._async_attempt(
                request, permit, attempt, check, stream, limit_s or left_s
            )
            self.end_counts[attempt.end] += 1
            decision = history.record_end(
                attempt.end,
                permit.server,
                self._clock.monotonic(),
                stream is not None and stream.response is not None,
                check.resumable,
            )
            if decision.step is attempts.Step.FINISH:
                self.duplicate_events += check.duplicates
                return attempt
            attempt.drop_body()
            if decision.step is not attempts.Step.RETRY:
                return rejections.from_decision(decision, request.request_id)
            await asyncio.sleep(decision.pause_s)

    async def _async_permit(
        self,
        request: entry_models.Request,
        avoid: tuple[str, ...],
        until: float,
    ) -> dispatch.Permitted | dispatch.Refused:
        requested_at = self._clock.monotonic()
        with request.span.child("permit") as span:
            permit = await self._permits.async_acquire(request, avoid, until)
            if isinstance(permit, dispatch.Permitted):
                span.set("server", permit.server)
                span.set("epoch", permit.epoch)
            else:
                span.set("refused", permit.reason)
        took_s = self._clock.monotonic() - requested_at
        self._telemetry.record_queue_time(request.service.name, took_s)
        return permit

    async def _async_attempt(
        self,
        request: entry_models.Request,
        permit: dispatch.Permitted,
        attempt: forward.Attempt,
        check: stream_check.StreamCheck,
        stream: caller_stream.CallerStream | None,
        limit_s: float,
    ) -> None:
        server = self._permits.usable_server(permit)
        if server is None or limit_s <= 0:
            attempt.end = attempts.End.PERMIT_EXPIRED
            self._permits.release(request.request_id, attempt, False)
            return
        cancelled = True
        with request.span.child("backend server") as span:
            span.set("server", server.name)
            job = forward.Job(
                request=request,
                server=server,
                permit=permit,
                check=check,
                stream=stream,
                limit_s=limit_s,
                report_cost=lambda cost: self._permits.report_cost(
                    request.request_id, cost
                ),
                span=span,
            )
            try:
                await self._forwarder.async_run(job, attempt)
                await self._async_check_server(server, attempt)
                cancelled = False
            finally:
                self._permits.release(request.request_id, attempt, cancelled)
                if cancelled:
                    attempt.drop_body()
                span.set("end", attempt.end.value)
        self._telemetry.record_attempt(
            request.service.name, attempt.end.value, attempt.first_byte_s
        )
        if attempt.detail:
            self._telemetry.log_failure(
                request.request_id,
                server.name,
                attempt.end.value,
                attempt.detail,
            )

    async def _async_check_server(
        self, server: models.BackendServer, attempt: forward.Attempt
    ) -> None:
        """Counts an unmarked answer as cut if its server is gone.

        A refusal tells nothing about a server that drains: it may finish its
        answers after it has stopped listening. Nor does a check that fails.
        """
        if attempt.end is not attempts.End.UNCONFIRMED:
            return
        if not self._permits.is_usable(server.name):
            return
        check = await self._forwarder.async_check_connection(server.address)
        if check is connection_check.Check.REFUSED:
            attempt.end = attempts.End.TRUNCATED
            attempt.detail = "unmarked answer ended, server is gone"


def buffered_response(
    request: entry_models.Request, attempt: forward.Attempt
) -> web.StreamResponse:
    """Returns the answer of an attempt that was buffered.

    It has no mark of its end if the answer of the backend server had none, and
    holds the memory reserved for its body.
    """
    headers = caller_stream.returned_headers(
        attempt.headers, request.request_id
    )
    resp: web.StreamResponse
    if attempt.end is attempts.End.UNCONFIRMED:
        resp = unmarked_response.UnmarkedResponse(
            attempt.body, status=attempt.status, headers=headers
        )
    else:
        resp = web.Response(
            status=attempt.status, headers=headers, body=attempt.body
        )
    held_response.hold(resp, attempt.reservation)
    return resp
