"""What a router that shuts down still takes.

Load pattern: routers are replaced in turn at full load, and while all routers
of a zone shut down the balancer goes on sending callers to them.
"""

import dataclasses

from tamarackbridge.components.gateway import jobs

TAKE_ALL_S = 3.0
"""All requests are taken for this long after the signal; the balancer needs
2 to 3 s to send callers elsewhere."""

CLOSE_MARGIN_S = 0.7
"""Part of the time for a shutdown that is left for closing connections."""

TOKEN_S = 0.012
"""Time for one generated token on a busy engine."""

START_S = 0.8
"""Time until a request runs: a target or two of any route."""

RETRY_S = 0.1
"""Advice to a refused caller: another router takes it at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """The times of one shutdown.

    Attributes:
        began: Time of the signal.
        end: Time at which no request may be under way any more.
    """

    began: float
    end: float

    def takes(self, job: jobs.Job, now: float) -> bool:
        """Whether a request that arrives now can probably be finished."""
        if now - self.began <= TAKE_ALL_S:
            return True
        needed_s = START_S + TOKEN_S * job.call.output_tokens
        return now + needed_s <= self.end


def begin(now: float, shutdown_s: float) -> Shutdown:
    """Returns the times of a shutdown that begins now."""
    return Shutdown(now, now + shutdown_s - CLOSE_MARGIN_S)
