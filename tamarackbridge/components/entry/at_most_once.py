"""Runs non-idempotent requests at most once per idempotency key."""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib

from aiohttp import web

from tamarackbridge import core
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.entry import (
    attempts,
    caller_stream,
    const,
    forward,
    problem,
    rejections,
    runner,
)
from tamarackbridge.components.entry import decider as entry_decider
from tamarackbridge.components.entry import models as entry_models
from tamarackbridge.helpers import held_response

_STATE = claims.ClaimState


class AtMostOnceRunner:
    """Claims the key, runs the work and stores its outcome.

    Once the work was sent, it continues even if the caller disconnects or the
    deadline passes, so that a retry gets the outcome.
    """

    def __init__(
        self,
        clock: core.Clock,
        decider: entry_decider.EntryDecider,
        attempt_runner: runner.AttemptRunner,
        inject: Callable[[core.Message], None],
    ) -> None:
        self._clock = clock
        self._decider = decider
        self._attempt_runner = attempt_runner
        self._inject = inject
        self._tasks: set[asyncio.Task[web.StreamResponse]] = set()

    @property
    def running(self) -> int:
        """Number of requests whose work has not finished."""
        return len(self._tasks)

    async def async_run(
        self, request: entry_models.Request
    ) -> web.StreamResponse:
        """Answers a request by its deadline, finished or not."""
        history = self._attempt_runner.start(request)
        caller = _Caller()
        task = asyncio.create_task(
            self._async_run_claimed(request, history, caller)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        left_s = request.deadline - self._clock.monotonic()
        try:
            await asyncio.wait({task}, timeout=left_s + _ANSWER_GRACE_S)
        except asyncio.CancelledError:
            caller.waits = False
            if not history.in_flight:
                task.cancel()
            if caller.response is not None:
                held_response.release(caller.response)
            raise
        if task.done():
            return task.result()
        caller.waits = False
        return problem.Problem(
            const.Reason.DEADLINE,
            problem.NotRun.UNKNOWN,
            request.request_id,
            "the work has not ended; ask again with the same key",
            rejections.RETRY_AFTER_S,
        ).response()

    async def _async_run_claimed(
        self,
        request: entry_models.Request,
        history: attempts.AttemptHistory,
        caller: "_Caller",
    ) -> web.StreamResponse:
        claim = await self._async_claim(request)
        if claim.answer is claims.ClaimAnswer.REPLAY:
            return _replay(request, claim)
        if claim.answer is not claims.ClaimAnswer.RUN:
            rejection = rejections.from_claim_answer(
                claim.answer, request.request_id
            )
            return rejection.response()
        completed: forward.Attempt | None = None
        try:
            outcome = await self._attempt_runner.async_run_attempts(
                request,
                history,
                stream=None,
                start_by=claim.start_by,
                limit_s=request.service.max_request_s,
            )
            if isinstance(outcome, problem.Problem):
                return outcome.response()
            completed = outcome
            caller.response = runner.buffered_response(request, outcome)
            if not caller.waits:
                held_response.release(caller.response)
            return caller.response
        finally:
            self._close_claim(request, history, completed)

    async def _async_claim(
        self, request: entry_models.Request
    ) -> claims.ClaimResult:
        request_id = request.request_id
        left_s = request.deadline - self._clock.monotonic()
        future = self._decider.expect_claim(request_id)
        self._inject(
            claims.ClaimWant(
                request_id, _claim_key(request), _body_hash(request), left_s
            )
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._inject(claims.ClaimClose(request_id, _STATE.ABANDONED))
            raise
        finally:
            self._decider.forget_claim(request_id)

    def _close_claim(
        self,
        request: entry_models.Request,
        history: attempts.AttemptHistory,
        completed: forward.Attempt | None,
    ) -> None:
        request_id = request.request_id
        if completed is None:
            may_have_run = history.may_have_run or history.in_flight
            state = _STATE.UNKNOWN if may_have_run else _STATE.ABANDONED
            close = claims.ClaimClose(request_id, state)
        elif completed.end is attempts.End.UNCONFIRMED:
            # A replay would state a length, and so that the body is complete.
            close = claims.ClaimClose(request_id, _STATE.UNKNOWN)
        else:
            close = claims.ClaimClose(
                request_id=request_id,
                state=_STATE.FINISHED,
                status=completed.status,
                content_type=completed.headers.get("Content-Type", ""),
                body=completed.body,
            )
        self._decider.add_open_claim(request_id)
        self._inject(close)


@dataclasses.dataclass(slots=True)
class _Caller:
    """The caller of a request, whose work may outlast its connection.

    Attributes:
        waits: Whether it still waits for the answer.
        response: The answer of a server, once there is one.
    """

    waits: bool = True
    response: web.StreamResponse | None = None


_ANSWER_GRACE_S = 0.05
"""Seconds past the deadline to wait for a rejection that was decided at it."""


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


def _replay(
    request: entry_models.Request, claim: claims.ClaimResult
) -> web.Response:
    headers = caller_stream.returned_headers(
        {"Content-Type": claim.content_type}, request.request_id
    )
    headers["Idempotent-Replayed"] = "true"
    return web.Response(status=claim.status, headers=headers, body=claim.body)
