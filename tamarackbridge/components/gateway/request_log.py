"""What a router says of requests: one event and one count for each decision."""

import collections
import math

from tamarackbridge import core
from tamarackbridge.components.gateway import (
    answers,
    caller,
    forward,
    jobs,
    metrics,
    pipes,
)
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.telemetry import events

_EXPECTED_ENDS = (pipes.End.WHOLE, pipes.End.LEFT)

TOLD_WORKSPACES = 8
"""Workspaces that are named in a line on requests that were shed."""


class RequestLog:
    """Writes events of requests, with the age of what they rest on."""

    def __init__(
        self,
        clock: core.Clock,
        known: state.LocalCopy,
        counted: metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._known = known
        self._counted = counted
        self._shed: collections.Counter[str] = collections.Counter()
        self._shed_last = ""
        self._offloaded: collections.Counter[str] = collections.Counter()

    def sending_ended(
        self, job: jobs.Job, sent: forward.Sent, server: str, again: bool
    ) -> None:
        """A sending failed, and is or is not followed by another."""
        self._counted.sent(sent.end.value)
        events.write(
            events.SendingEnded(
                request=job.call.request_id,
                server=server,
                end=sent.end.value,
                detail=sent.detail,
                again=again,
            )
        )

    def unreadable(self, server: str, headers: tuple[str, ...]) -> None:
        """A server's answer has headers with a value that means nothing."""
        for header in headers:
            self._counted.unreadable(header)
            events.write(events.HeaderUnreadable(server, header))

    def answered(
        self,
        job: jobs.Job,
        stream: caller.CallerStream,
        sent: forward.Sent,
        server: str,
    ) -> None:
        """A server's answer is passed on."""
        now = self._clock.monotonic()
        first_at = stream.first_at if stream.first_at is not None else now
        status = sent.head.status if sent.head is not None else 0
        route = job.route
        self._counted.sent(sent.end.value)
        self._counted.answered(
            route.name, status, first_at - job.arrived, now - job.arrived
        )
        events.write(
            events.Answered(
                request=job.call.request_id,
                route=route.name,
                server=server,
                status=status,
                first_event_s=round(first_at - job.arrived, 4),
                target_s=route.target_s,
                longest_pause_s=round(stream.longest_pause_s, 4),
                allowed_pause_s=route.target_gap_s,
                events=stream.events,
                seconds=round(now - job.arrived, 4),
            )
        )

    def refused(
        self,
        request_id: str,
        route: str,
        refusal: answers.Refusal,
        arrived: float,
        may_have_run: bool = False,
    ) -> None:
        """The router answers on its own."""
        now = self._clock.monotonic()
        cfg = self._known.configuration
        self._counted.refused(refusal.reason.value)
        events.write(
            events.Refused(
                request=request_id,
                route=route,
                reason=refusal.reason.value,
                status=refusal.status,
                retry_after_s=round(refusal.retry_after_s, 3),
                may_have_run=may_have_run,
                configuration=cfg.version if cfg is not None else 0,
                configuration_age_s=_age(self._known.configuration_age(now)),
                seconds=round(now - arrived, 4),
            )
        )

    def shed(self, request_id: str, workspace: str) -> None:
        """A request is refused unread.

        These cost too little for a line each; `tell_shed` writes the sums.
        """
        self._counted.refused(answers.Reason.ROUTER_OVERLOADED.value)
        self._shed[workspace] += 1
        self._shed_last = request_id

    def tell_shed(self, limit_per_s: float, lag_s: float) -> None:
        """Writes what was refused unread since the last time, if anything."""
        if not self._shed:
            return
        events.write(
            events.RequestsShed(
                requests=self._shed.total(),
                workspaces=dict(self._shed.most_common(TOLD_WORKSPACES)),
                last=self._shed_last,
                limit_per_s=_rounded(limit_per_s),
                lag_s=round(lag_s, 4),
            )
        )
        self._shed.clear()

    def offload_ended(self, request_id: str, peer: str, end: pipes.End) -> None:
        """An offloaded request has its answer, or gets none from its peer."""
        self._counted.offloaded(end.value)
        self._offloaded[end.value] += 1
        if end not in _EXPECTED_ENDS:
            events.write(events.OffloadFailed(request_id, peer, end.value))

    def tell_offloaded(self) -> None:
        """Writes what was offloaded since the last time, if anything."""
        if self._offloaded:
            events.write(events.RequestsOffloaded(dict(self._offloaded)))
            self._offloaded.clear()

    def left_unread(self) -> None:
        """A caller had left before its request was read."""
        self._counted.left("unread")

    def left_undecided(self) -> None:
        """A caller left before it was decided where its request runs."""
        self._counted.left("undecided")

    def cut(
        self, request_id: str, route: str, arrived: float, by: str, passed: int
    ) -> None:
        """An answer under way is ended after some events."""
        self._counted.cut(by)
        seconds = self._clock.monotonic() - arrived
        events.write(
            events.Cut(request_id, route, by, passed, round(seconds, 4))
        )

    def caller_left(self, request_id: str, route: str, arrived: float) -> None:
        """A caller closed its connection."""
        self._counted.cut("caller")
        seconds = self._clock.monotonic() - arrived
        events.write(events.CallerLeft(request_id, route, round(seconds, 4)))


def _rounded(per_s: float) -> float:
    """Returns a rate for the log; -1 for no limit."""
    return round(per_s, 1) if math.isfinite(per_s) else -1.0


def _age(age_s: float) -> float:
    """Returns an age for the log; -1 before anything was known."""
    return round(age_s, 3) if age_s < 1e9 else -1.0
