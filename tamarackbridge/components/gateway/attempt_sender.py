"""Sends a job to one server and decides what became of it there."""

import asyncio

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    forward,
    jobs,
    models,
    relay,
    response_stream,
    servers,
)
from tamarackbridge.components.telemetry import spans

CONFIRMATION_ATTEMPT_S = 0.5
"""Time for which one server may leave it open whether a stream goes on: half of
the time for all that are asked."""

_End = forward.AttemptEnd
_Outcome = jobs.Outcome


class AttemptSender:
    """Sends jobs to the servers of their permits.

    Args:
        forwarder: Sends the requests and forwards the responses.
        clock: Clock of the deadlines.
    """

    def __init__(self, forwarder: forward.Forwarder, clock: core.Clock) -> None:
        self._forwarder = forwarder
        self._clock = clock

    async def async_send(
        self,
        job: jobs.Job,
        stream: response_stream.ResponseStream,
        events: relay.EventRelay | None,
        permit: jobs.Permit,
        attempt_span: spans.Span,
        is_confirmation: bool,
    ) -> forward.Attempt:
        """Runs one attempt, and then returns its permit.

        Args:
            job: The job.
            stream: Stream of its response.
            events: Relay of the events; None on routes without streams.
            permit: Permit for the attempt.
            attempt_span: Trace span of the attempt.
            is_confirmation: Whether the server is to go on after an unmarked
                end of the stream.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        server = permit.server
        attempt_span.set("server", server.name)
        stream.set_placement(permit)
        resume_after = events.resume_after if events else ""
        before_last = None
        if events is not None:
            before_last = events.resume_before_last(is_confirmation)
        if before_last is not None:
            resume_after = before_last
        params = forward.AttemptParameters(
            job.request,
            server.address,
            models.AttemptMetadata(
                server=server.name,
                workspace=job.workspace,
                remaining_s=job.deadline - self._clock.monotonic(),
                resume_after=resume_after,
                trace=attempt_span.headers(),
                copy_from=permit.copy_from,
            ),
            events,
            stream,
            repeats_last=before_last is not None,
        )
        outcome = _Outcome.CANCELLED
        try:
            attempt = await self._async_forward(params, stream, is_confirmation)
            attempt.is_confirmation = is_confirmation
            attempt.repeats_last = before_last is not None
            attempt.is_continuation = (
                before_last is not None or resume_after != ""
            )
            try:
                outcome = await self._async_outcome(attempt, params.address)
            except BaseException:
                attempt.drop_body()
                raise
            attempt_span.set("end", attempt.end.value)
        finally:
            permit.finish(outcome)
        return attempt

    async def _async_forward(
        self,
        params: forward.AttemptParameters,
        stream: response_stream.ResponseStream,
        is_confirmation: bool,
    ) -> forward.Attempt:
        """Sends a request; limits the time to the next event, if it matters."""
        if not is_confirmation or params.events is None:
            return await self._forwarder.async_send(params)
        limit = asyncio.timeout(CONFIRMATION_ATTEMPT_S)
        watch = stream.watch_next_event(
            params.events, lambda: limit.reschedule(None)
        )
        try:
            async with limit:
                return await self._forwarder.async_send(params)
        except TimeoutError:
            params.events.drop_partial_event()
            return forward.Attempt(
                end=_End.TIMED_OUT,
                detail="did not confirm the end of the stream in time",
                ended_in_order=True,
            )
        finally:
            stream.forget_watch(watch)

    async def _async_outcome(
        self, attempt: forward.Attempt, address: str
    ) -> jobs.Outcome:
        """Returns the outcome of an attempt, by the state of its server.

        The connections of a process that dies are closed in good order, so a
        response whose end is not marked is lost if its server refuses a new
        connection. One that fails tells nothing: the queue of a live server's
        new connections may be full. Nor does a refusal by a server that shuts
        down, as it finishes its responses after it has stopped listening.
        """
        if attempt.may_end_by_crash:
            check = await self._forwarder.async_check_connection(address)
            attempt.connection_check = check.value
            if check is servers.ConnectionCheck.REFUSED:
                attempt.end = _End.LOST
                attempt.is_unmarked_and_empty = False
                attempt.ended_in_order = False
                attempt.detail = "unmarked response ended, server is gone"
        outcome = attempt_progress.outcome(attempt)
        if outcome is _Outcome.LOST and _is_crash_suspect(attempt):
            check = await self._forwarder.async_check_connection(address)
            attempt.connection_check = check.value
            if check is servers.ConnectionCheck.REFUSED:
                outcome = _Outcome.CRASHED
        return outcome


def _is_crash_suspect(attempt: forward.Attempt) -> bool:
    """Returns whether a lost request may have crashed its server.

    One whose response this side has rejected has not.
    """
    return attempt.events <= 1 and not attempt.is_malformed
