"""Decides which requests a router still accepts while it shuts down.

Load pattern: routers are replaced one after another at full load, and while all
routers of a zone shut down the load balancer keeps sending callers to them.
"""

import dataclasses

from tamarackbridge.components.gateway import jobs

BALANCER_S = 3.0
"""Time after the signal until the load balancer sends callers elsewhere. Only
requests that were sent until then may be cut off at the end."""

ACCEPT_ALL_S = BALANCER_S - 0.3
"""All requests are accepted for this long after the signal, which a process
without processor time gets late."""

CLOSE_MARGIN_S = 0.7
"""Time at the end of the shutdown that is reserved for closing connections."""

ANSWER_MARGIN_S = 0.2
"""Time at the end of the schedule that is reserved for answering the requests
that have no answer by then: several round trips to the farthest caller."""

RETRY_S = 0.1
"""Retry-After of rejected requests: another router accepts a retry at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Schedule of one shutdown.

    Attributes:
        started: Time of the signal.
        end: Deadline for the requests in flight.
        is_over: Whether the services may stop at any moment, so that nothing
            is accepted any more.
    """

    started: float
    end: float
    is_over: bool = False

    @property
    def answer_by(self) -> float:
        """Time at which requests without an answer get one."""
        return self.end - ANSWER_MARGIN_S

    def accepts(self, job: jobs.Job, now: float) -> bool:
        """Returns whether a request that arrives now is accepted.

        A late one is if it ends by its own deadline, whatever its server does.
        A server's pace is no promise: it may queue or preempt the request.
        """
        if self.is_over:
            return False
        if now - self.started <= ACCEPT_ALL_S:
            return True
        return job.deadline <= self.answer_by


def begin(signalled_at: float, shutdown_s: float) -> ShutdownSchedule:
    """Returns the schedule of a shutdown.

    Args:
        signalled_at: Time of the signal.
        shutdown_s: Time from the signal until the process would be killed.
    """
    end = signalled_at + shutdown_s - CLOSE_MARGIN_S
    return ShutdownSchedule(signalled_at, end)
