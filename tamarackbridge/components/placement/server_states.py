"""The state of servers, as far as it is the same for all requests of a pass.

Load pattern: many requests are considered in each scheduling pass, each of
which must be cheap to consider.
"""

from collections.abc import Collection
import dataclasses

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    ledger,
    notices,
    plain_choice,
    probing,
    scheduling_view,
    smoothed_load,
    warmup,
)

FULL_ENGINE_TOKENS = 1_500.0
"""Additional cost of a full engine over an empty one; spreads requests evenly
over engines that are otherwise equal."""

TOKENS_AHEAD_WEIGHT = 0.1
"""Cost of each prompt token that is prefilled before the request; a wait within
the target costs callers nothing, but leaves less room for the next request."""

PLAIN_SERVER_QUEUE = 2
"""Requests that may wait at a plain server beyond its limit if reports are
older than its requests take and all its requests are other routers'. What is
known of it then is a mean, so a server that is used well often has more than
its limit."""

FULL_PLAIN_SERVER_TOKENS = 10_000.0
"""Cost of a plain server whose slots are all taken."""

SLOW_ENGINE_TOKENS = 1_500.0
"""Cost of an idle engine that takes twice the typical time: the additional time
for a prompt of common length, by `TOKENS_AHEAD_WEIGHT`."""

SURCHARGE_SPREAD = 0.5
"""Part of the surcharge of a slow server that differs between routers, so that
they don't come back to it all at once."""

REJECTING_CROWDING = 1.0
"""Added to the fraction of slots taken at a server that rejects another
router's requests; 1 is the crowding of a full server."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Rate:
    """A rate to which the requests to a server are held.

    Attributes:
        bucket: Name of the token bucket.
        per_s: Requests a second from all routers.
        senders: The routers that share it.
    """

    bucket: str
    per_s: float
    senders: Collection[str]


class ServerStates:
    """Works out the states of servers for scheduling passes."""

    def __init__(
        self,
        router: str,
        zone: str,
        local_copy: state.LocalCopy,
        work: ledger.ReservationLedger,
        estimator: estimate.Estimator,
        limiter: warmup.WarmupLimiter,
        server_notices: notices.ServerNotices,
    ) -> None:
        """Creates the states.

        Args:
            router: Peer address of this router.
            zone: Its availability zone.
            local_copy: The registered servers.
            work: Outstanding work at the servers.
            estimator: Their speeds.
            limiter: Their warm-up rates.
            server_notices: What they announced.
        """
        self._smoothed = smoothed_load.SmoothedLoad()
        self._router = router
        self._zone = zone
        self._local_copy = local_copy
        self._work = work
        self._estimator = estimator
        self._limiter = limiter
        self._notices = server_notices

    def record_sent(
        self,
        job: jobs.Job,
        registered: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> None:
        """Counts a request against the rates of its server, if any."""
        for rate in self._rates(job.service, registered, routers, now):
            self._limiter.record_sent(
                rate.bucket, rate.per_s, rate.senders, now
            )

    def _rates(
        self,
        service: knowledge.Service,
        registered: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> list[_Rate]:
        """Returns the rates to which requests to a server are held."""
        name = registered.server.name
        rates = []
        senders = self._warmup_senders(registered, routers, now)
        if service.cold_per_s > 0 and senders is not None:
            rates.append(_Rate(name, service.cold_per_s, senders))
        limit_per_s = self._notices.limits.per_s(registered.server, now)
        if limit_per_s is not None:
            rates.append(_Rate(f"{name} limit", limit_per_s, routers))
        return rates

    def _warmup_senders(
        self,
        registered: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> Collection[str] | None:
        """Returns the routers that share a server's warm-up rate.

        None if it is not limited. A server that was closed to this router
        alone reopens for it alone.
        """
        if now < registered.warm_at:
            return routers
        if self._notices.is_reopening(registered.server, now):
            return (self._router,)
        return None

    def make(
        self,
        service: knowledge.Service,
        registered: state.RegisteredServer,
        routers: Collection[str],
        now: float,
    ) -> scheduling_view.ServerState:
        """Returns a server's state for one scheduling pass."""
        name = registered.server.name
        is_model = service.is_model
        tokens_per_s = self._estimator.prefill_tokens_per_s(name)
        work = self._work.at(name, now, tokens_per_s)
        slots = _slots(service, registered.server)
        limit = self._estimator.limit(name, slots)
        slowness = self._estimator.relative_slowness(name)
        probes_only = self._estimator.needs_probe(name)
        may_probe = not probes_only or (
            work.requests == 0
            and probing.is_prober(name, self._router, len(routers), now)
        )
        requests, queue = float(work.requests), 0.0
        if not is_model:
            requests = self.expected_requests(registered.server, now)
            others = max(requests - self._work.own_requests(name), 0.0)
            queue = (
                PLAIN_SERVER_QUEUE
                * self._estimator.report_blur(name)
                * (others / max(requests, 1.0))
            )
        rejecting = (
            REJECTING_CROWDING if self._notices.is_rejecting(name, now) else 0.0
        )
        crowding = requests / limit + rejecting
        tie_break = scheduling_view.tie_break(self._router, name)
        surcharge = max(slowness - 1.0, 0.0) * (
            1.0 - SURCHARGE_SPREAD / 2 + SURCHARGE_SPREAD * tie_break
        )
        if is_model:
            cost = slowness * (
                FULL_ENGINE_TOKENS * crowding
                + TOKENS_AHEAD_WEIGHT * work.pending_prefill_tokens
            )
            cost += SLOW_ENGINE_TOKENS * surcharge
        else:
            crowding = crowding * slowness + surcharge / limit
            cost = FULL_PLAIN_SERVER_TOKENS * crowding + tie_break
        rates = self._rates(service, registered, routers, now)
        may_send = all(
            self._limiter.may_send(rate.bucket, rate.per_s, rate.senders, now)
            for rate in rates
        )
        return scheduling_view.ServerState(
            registered=registered,
            cost=cost,
            is_in_other_zone=registered.server.zone != self._zone,
            # A limit that is no whole number is not exceeded either.
            is_full=requests + 1 > limit + queue,
            requests=work.requests,
            memory=work.memory,
            tokens_ahead=work.pending_prefill_tokens,
            tokens_ahead_s=work.pending_prefill_tokens / tokens_per_s,
            first_event_s=self._estimator.first_event_s(
                name, work.pending_prefill_tokens, 0
            ),
            prefill_tokens_per_s=tokens_per_s,
            pause_s=self._estimator.pause_s(name, now),
            may_send=may_send,
            is_limited=bool(rates),
            load=requests / limit,
            free_rate=plain_choice.free_rate(limit, requests, slowness),
            probes_only=probes_only,
            may_probe=may_probe,
        )

    def expected_requests(
        self, server: knowledge.BackendServer, now: float
    ) -> float:
        """Returns the requests that are expected at a plain server now."""
        name = server.name
        requests = self._work.at(name, now, 1.0).requests
        blur = self._estimator.report_blur(name)
        if not blur:
            return requests
        own = self._work.own_requests(name)
        return self._smoothed.requests(name, own, requests - own, blur, now)

    def forget(self, server: str) -> None:
        """Drops what is kept of a server that was removed or has restarted."""
        self._smoothed.forget(server)

    def occupancy(self, server: knowledge.BackendServer, now: float) -> float:
        """Returns the requests at a server over its slots."""
        cfg = self._local_copy.configuration
        service = cfg.services.get(server.service) if cfg is not None else None
        tokens_per_s = self._estimator.prefill_tokens_per_s(server.name)
        requests = self._work.at(server.name, now, tokens_per_s).requests
        return requests / _slots(service, server)


def _slots(
    service: knowledge.Service | None, server: knowledge.BackendServer
) -> int:
    """Returns the requests that a server runs at once, at least 1."""
    if service is not None and service.is_model:
        return max(service.slots, 1)
    return max(server.slots, 1)
