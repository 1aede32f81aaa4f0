"""Log events and metrics of requests: one of each for every decision."""

import collections
import math

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    attempt_progress,
    body_budget,
    caller_connection,
    forward,
    jobs,
    memory_account,
    metrics,
    offload_proxy,
    rejections,
    response_stream,
)
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.telemetry import events

_NORMAL_OFFLOAD_ENDS = (
    offload_proxy.End.COMPLETE,
    offload_proxy.End.CALLER_LEFT,
)

MAX_LOGGED_WORKSPACES = 8
"""Maximum number of workspaces listed in an event about shed requests."""


INVALID_HEADER_LOG_S = 60.0
"""Interval at which an invalid header of one server is logged again: a server
that sends one usually does so in every response."""

MAX_INVALID_HEADERS = 1_024
"""Servers and headers whose last log line is remembered."""


class RequestLog:
    """Writes log events of requests and updates the request metrics."""

    def __init__(
        self,
        clock: core.Clock,
        local_copy: state.LocalCopy,
        request_metrics: metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._local_copy = local_copy
        self._metrics = request_metrics
        self._shed: collections.Counter[str] = collections.Counter()
        self._last_shed_request = ""
        self._invalid_logged_at: dict[tuple[str, str], float] = {}
        self._offload_ends: collections.Counter[str] = collections.Counter()
        self._limit_totals = (0, 0, 0, 0, 0, 0, 0)

    def record_attempt_end(
        self,
        job: jobs.Job,
        attempt: forward.Attempt,
        server: str,
        denial: attempt_progress.RetryDenial | None,
    ) -> None:
        """Records a failed attempt.

        Args:
            job: The job.
            attempt: The attempt.
            server: Its server.
            denial: Why the request is not sent again; None if it is.
        """
        self._metrics.count_attempt(attempt.end.value, _logged_framing(attempt))
        since_head_s = -1.0
        if attempt.head_at is not None:
            since_head_s = attempt.ended_at - attempt.head_at
        events.write(
            events.SendingEnded(
                request=job.request.request_id,
                server=server,
                end=attempt.end.value,
                detail=attempt.detail,
                again=denial is None,
                denied="" if denial is None else denial.value,
                seconds=round(attempt.ended_at - attempt.sent_at, 4),
                since_head_s=round(since_head_s, 4),
                events=attempt.events,
                framing=_logged_framing(attempt),
                confirming=attempt.is_confirmation,
                check=attempt.connection_check,
                blocks=tuple(
                    block.name for block in job.request.prompt_blocks[:-1]
                ),
            )
        )

    def record_invalid_headers(
        self, server: str, headers: tuple[str, ...]
    ) -> None:
        """Records server notice headers that have an invalid value.

        Counts each, and logs each server's at most once a minute.
        """
        now = self._clock.monotonic()
        logged_at = self._invalid_logged_at
        for header in headers:
            self._metrics.count_invalid_header(header)
            key = (server, header)
            if now - logged_at.get(key, -math.inf) < INVALID_HEADER_LOG_S:
                continue
            logged_at.pop(key, None)
            if len(logged_at) >= MAX_INVALID_HEADERS:
                del logged_at[next(iter(logged_at))]
            logged_at[key] = now
            events.write(events.HeaderUnreadable(server, header))

    def record_response(
        self,
        job: jobs.Job,
        stream: response_stream.ResponseStream,
        attempt: forward.Attempt,
        server: str,
        attempts: int,
    ) -> None:
        """Records a response that was forwarded from a server.

        Args:
            job: The job.
            stream: The response.
            attempt: Its last attempt.
            server: Server of the last attempt.
            attempts: Number of attempts, including the last one.
        """
        self._metrics.count_attempt(attempt.end.value, _logged_framing(attempt))
        self.record_answer(job, stream, attempt, server, attempts)

    def record_answer(
        self,
        job: jobs.Job,
        stream: response_stream.ResponseStream,
        attempt: forward.Attempt,
        server: str,
        attempts: int,
        unconfirmed: str = "",
        instance: str = "",
    ) -> None:
        """Records the response of an attempt whose end is recorded already.

        Args:
            job: The job.
            stream: The response.
            attempt: The attempt.
            server: Server of the attempt.
            attempts: Number of attempts, including later ones.
            unconfirmed: Why no other server confirmed an unmarked end of the
                attempt; empty if none was asked.
            instance: What is known about the server then.
        """
        now = self._clock.monotonic()
        first_at = (
            stream.first_event_at if stream.first_event_at is not None else now
        )
        status = attempt.head.status if attempt.head is not None else 0
        route = job.route
        self._metrics.count_answer(
            route.name, status, first_at - job.arrived, now - job.arrived
        )
        events.write(
            events.Answered(
                request=job.request.request_id,
                route=route.name,
                server=server,
                status=status,
                first_event_s=round(first_at - job.arrived, 4),
                target_s=route.target_s,
                longest_pause_s=round(stream.longest_pause_s, 4),
                allowed_pause_s=route.target_gap_s,
                events=stream.event_count,
                attempts=attempts,
                last_events=attempt.events,
                framing=_logged_framing(attempt),
                end=attempt.end.value,
                unmarked=stream.ends_unmarked(attempt),
                unconfirmed=unconfirmed,
                instance=instance,
                seconds=round(now - job.arrived, 4),
            )
        )

    def record_rejection(
        self,
        request_id: str,
        route: str,
        rejection: rejections.Rejection,
        arrived: float,
        may_have_run: bool = False,
    ) -> None:
        """Records a request that the router rejected."""
        now = self._clock.monotonic()
        cfg = self._local_copy.configuration
        self._metrics.count_rejection(rejection.reason.value)
        events.write(
            events.Refused(
                request=request_id,
                route=route,
                reason=rejection.reason.value,
                status=rejection.status,
                retry_after_s=round(rejection.retry_after_s, 3),
                may_have_run=may_have_run,
                configuration=cfg.version if cfg is not None else 0,
                configuration_age_s=_logged_age(
                    self._local_copy.configuration_age(now)
                ),
                seconds=round(now - arrived, 4),
            )
        )

    def record_shed(self, request_id: str, workspace: str) -> None:
        """Counts a request that was shed before it was parsed.

        An event for each would cost too much compared with the shedding
        itself; `write_shed_totals` writes the totals.
        """
        self._metrics.count_rejection(rejections.Reason.ROUTER_OVERLOADED.value)
        self._shed[workspace] += 1
        self._last_shed_request = request_id

    def write_shed_totals(self, limit_per_s: float, lag_s: float) -> None:
        """Writes the totals of shed requests since the last call."""
        if not self._shed:
            return
        events.write(
            events.RequestsShed(
                requests=self._shed.total(),
                workspaces=dict(self._shed.most_common(MAX_LOGGED_WORKSPACES)),
                last=self._last_shed_request,
                limit_per_s=_logged_rate(limit_per_s),
                lag_s=round(lag_s, 4),
            )
        )
        self._shed.clear()

    def record_offload_end(
        self, request_id: str, peer: str, end: offload_proxy.End
    ) -> None:
        """Records the end of a request that was offloaded to a peer."""
        self._metrics.count_offload(end.value)
        self._offload_ends[end.value] += 1
        if end not in _NORMAL_OFFLOAD_ENDS:
            events.write(events.OffloadFailed(request_id, peer, end.value))

    def write_client_limits(
        self,
        bodies: body_budget.BodyBudget,
        heads: caller_connection.HeadMemory,
        account: memory_account.MemoryAccount,
    ) -> None:
        """Writes which limits callers have met since the last call, if any."""
        counts = bodies.counts
        totals = (
            counts.waited,
            counts.refused,
            counts.evicted,
            counts.stalled,
            heads.refused,
            account.counts.refused,
            account.counts.closed,
        )
        if totals == self._limit_totals:
            return
        waited, refused, evicted, stalled, refused_heads, no_room, closed = (
            now - before
            for now, before in zip(totals, self._limit_totals, strict=True)
        )
        self._limit_totals = totals
        events.write(
            events.ClientLimitsReached(
                waited=waited,
                refused=refused,
                evicted=evicted,
                stalled=stalled,
                heads=refused_heads,
                connections=no_room,
                closed=closed,
                bytes=bodies.total_held,
                waiting=bodies.waiting,
            )
        )

    def write_memory_reclaimed(
        self,
        before: int,
        after: int,
        account: memory_account.MemoryAccount,
    ) -> None:
        """Writes that free memory was returned to the system.

        Args:
            before: Resident bytes before that.
            after: Resident bytes after it.
            account: Account of connections and bodies.
        """
        events.write(
            events.MemoryReclaimed(
                before, after, account.connections, account.bodies
            )
        )

    def write_offload_totals(self) -> None:
        """Writes the totals of offloaded requests since the last call."""
        if self._offload_ends:
            events.write(events.RequestsOffloaded(dict(self._offload_ends)))
            self._offload_ends.clear()

    def record_left_unread(self) -> None:
        """Counts a caller that disconnected before its request was read."""
        self._metrics.count_caller_left("unread")

    def record_left_undecided(self) -> None:
        """Counts a caller that disconnected while its request was queued."""
        self._metrics.count_caller_left("undecided")

    def record_cut(
        self,
        request_id: str,
        route: str,
        arrived: float,
        by: str,
        stream: response_stream.ResponseStream | None = None,
        unconfirmed: str = "",
        instance: str = "",
        after_signal_s: float | None = None,
    ) -> None:
        """Records a response that was aborted.

        Args:
            request_id: Identifier of the request.
            route: Name of its route.
            arrived: Time at which it arrived.
            by: What cut the response off.
            stream: The response, if it had begun to be streamed.
            unconfirmed: Why no other server confirmed its unmarked end; empty
                if that is not what cut it off.
            instance: What is known about the server of such an end.
            after_signal_s: Time from the signal of the shutdown that cut it
                off to its arrival; None if no shutdown did.
        """
        self._metrics.count_cut(by)
        seconds = self._clock.monotonic() - arrived
        events.write(
            events.Cut(
                request=request_id,
                route=route,
                by=by,
                events=0 if stream is None else stream.event_count,
                unmarked=stream is not None and stream.is_unmarked,
                unconfirmed=unconfirmed,
                instance=instance,
                seconds=round(seconds, 4),
                after_signal_s=after_signal_s,
            )
        )

    def record_caller_left(
        self, request_id: str, route: str, arrived: float
    ) -> None:
        """Records a caller that left before its response was complete."""
        self._metrics.count_cut("caller")
        seconds = self._clock.monotonic() - arrived
        events.write(events.CallerLeft(request_id, route, round(seconds, 4)))


def _logged_framing(attempt: forward.Attempt) -> str:
    """Returns the framing for the log; empty if there was no head."""
    return "" if attempt.framing is None else attempt.framing.value


def _logged_rate(per_s: float) -> float:
    """Rounds a rate for the log; returns -1 for no limit."""
    return round(per_s, 1) if math.isfinite(per_s) else -1.0


def _logged_age(age_s: float) -> float:
    """Rounds an age for the log; returns -1 if nothing was received yet."""
    return round(age_s, 3) if age_s < 1e9 else -1.0
