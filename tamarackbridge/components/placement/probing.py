"""Limits the requests to servers that were slow and have been idle since.

Load pattern: a slow server gets no requests, so nothing tells that it works at
its usual speed again. If all routers tried at once, many requests would be
late.
"""

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import pool, scheduling_view
from tamarackbridge.helpers import rendezvous

PROBING_FRACTION = 0.1
"""Fraction of the routers that may probe a server in one second."""

PROBE_TARGET_FRACTION = 0.3
"""Fraction of its target time that a request may have waited to be a probe; in
the rest it can still be in time elsewhere."""


def may_get(
    job: jobs.Job, server: scheduling_view.ServerState, now: float
) -> bool:
    """Returns whether a server may get a request as far as it was slow.

    A server that was slow is probed by requests that can be in time elsewhere.
    """
    if not server.probes_only:
        return True
    return (
        server.may_probe
        and not job.excluded_servers
        and job.route.kind is not knowledge.RouteKind.NON_IDEMPOTENT
        and now - job.arrived <= PROBE_TARGET_FRACTION * job.route.target_s
    )


def is_limited(
    servers: scheduling_view.ServiceView, candidates: pool.Candidates
) -> bool:
    """Returns whether probes are limited: there are other servers to ask.

    Only the first server is looked at unless it is to be probed.
    """
    return not all(
        servers.state_of(registered).probes_only for registered, _ in candidates
    )


def is_prober(server: str, router: str, routers: int, now: float) -> bool:
    """Returns whether a router may probe a server in this second.

    Args:
        server: Name of the server.
        router: Address of the router.
        routers: Number of routers that may be sending.
        now: The time.
    """
    fraction = max(PROBING_FRACTION, 1.0 / max(routers, 1))
    return rendezvous.share(f"{server} {int(now)}", router) < fraction
