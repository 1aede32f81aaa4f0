"""Selects the server for a request.

Each server gets a cost in prompt tokens, and the one with the lowest cost is
selected.

Load patterns: prompts that share long blocks, each of which is best prefilled
on one engine; arrivals in clumps, which must be spread before the engines'
first events come late; and many queued requests, each of which must be cheap
to consider.
"""

from collections.abc import Collection
import dataclasses
import math

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    pool,
    prefix_cache,
    request_profile,
    scheduling_view,
    warmup,
)

PLANNED_TARGET_FRACTION = 0.85
"""Fraction of the target time within which a first event is planned; the rest
covers what the estimate leaves out."""

REPEATED_PREFILL_WEIGHT = 2.0
"""Cost of each shared token that is prefilled again: it takes the engine's time
and delays other requests as well."""

LATENESS_SPREAD = 0.3
"""Fraction of the target time over which the expected lateness grows from 0 to
1: the error of an estimate under load."""

SAFE_PAUSE_FRACTION = 0.7
PAUSE_SPREAD_FRACTION = 0.4
"""An average pause up to `SAFE_PAUSE_FRACTION` of the allowed one is safe. At
the sum of both fractions nearly every stream has a pause that is too long."""

LATENESS_WEIGHT = 0.5
"""Fraction of a request's size that is lost when it is late; callers lose half
to nine tenths."""

RANK_WEIGHT = 0.5
"""Fraction of the shared tokens that each rank in the order of engines costs:
routers that don't know yet which engine holds a block still agree on one."""

FULL_ENGINE_TOKENS = 1_500.0
"""Additional cost of a full engine over an empty one; spreads requests evenly
over engines that are otherwise equal."""

TOKENS_AHEAD_WEIGHT = 0.1
"""Cost of each prompt token that is prefilled before the request; a wait within
the target costs callers nothing, but leaves less room for the next request."""

FULL_PLAIN_SERVER_TOKENS = 10_000.0
"""Cost of a plain server whose slots are all taken."""

CROSS_ZONE_TOKENS = 1.0
"""Cost of a plain server in another zone in addition to that of the known
bytes. Among equal servers the one in the same zone is used, although the size
of a plain answer is not known in advance."""

REJECTING_CROWDING = 1.0
"""Added to the fraction of slots taken at a server that rejects another
router's requests; 1 is the crowding of a full server."""


class ScoredServer(msgspec.Struct, frozen=True, gc=False):
    """A server with its cost for one request.

    Attributes:
        registered: The server.
        cost: Cost in prompt tokens; lower is better.
        first_event_s: Predicted time to the first event; 0 for plain services.
        tokens_ahead: Prompt tokens that it prefills before the request.
        tokens_ahead_s: Time that their prefill takes.
        prefill_tokens: Prompt tokens of the request that it has to prefill.
        is_full: Whether its slots or its memory are taken.
    """

    registered: state.RegisteredServer
    cost: float
    first_event_s: float
    tokens_ahead: int
    tokens_ahead_s: float
    prefill_tokens: int
    is_full: bool


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


@dataclasses.dataclass(frozen=True, slots=True)
class Shortlist:
    """The servers that determine whether a request is sent now.

    Attributes:
        options: The best server with room, if there is one, and the one with
            the earliest first event if that may come after the deadline; best
            first.
        servers: Number of servers that were considered.
    """

    options: tuple[ScoredServer, ...]
    servers: int


class ServerSelector:
    """Scores the servers of a service for a request.

    Attributes:
        pools: The servers that may get requests.
    """

    def __init__(
        self,
        router: str,
        zone: str,
        local_copy: state.LocalCopy,
        work: ledger.ReservationLedger,
        cache_index: prefix_cache.PrefixCacheIndex,
        breakers: health.CircuitBreakers,
        estimator: estimate.Estimator,
        limiter: warmup.WarmupLimiter,
        server_notices: notices.ServerNotices,
        rollouts: pool.Rollouts | None = None,
    ) -> None:
        self._router = router
        self._rollouts = rollouts
        self._notices = server_notices
        self._zone = zone
        self._cache_index = cache_index
        self._estimator = estimator
        self._limiter = limiter
        self.pools = pool.Pools(
            local_copy, work, breakers, estimator, server_notices, rollouts
        )
        self._work = work

    def view(
        self, routers: Collection[str], now: float
    ) -> scheduling_view.SchedulingView:
        """Returns the servers for one scheduling pass.

        Args:
            routers: The routers that may be sending, this one among them.
            now: The time.
        """

        def make_view(
            service: knowledge.Service, is_canary: bool
        ) -> scheduling_view.ServiceView:
            def make_state(
                registered: state.RegisteredServer,
            ) -> scheduling_view.ServerState:
                return self._make_state(service, registered, routers, now)

            find = self.pools.canaries if is_canary else self.pools.of
            servers = find(service.name, now)
            return scheduling_view.ServiceView(
                servers, service.is_model, make_state, now
            )

        return scheduling_view.SchedulingView(make_view)

    def options(
        self, job: jobs.Job, routers: Collection[str], now: float
    ) -> list[ScoredServer]:
        """Returns the servers that may get a request now, best first.

        Servers whose breaker is open are left out unless no other can be used.

        Args:
            job: The request.
            routers: The routers that may be sending, this one among them.
            now: The time.
        """
        servers = self.view(routers, now).of(job.service)
        profile = request_profile.make(job)
        candidates = servers.candidates(profile.key, job.excluded_servers)
        ranked = [
            (servers.state_of(registered), rank)
            for registered, rank in candidates
        ]
        if not job.service.is_model:
            plain = [self._score_plain(profile, server) for server, _ in ranked]
            return sorted(plain, key=_cost)
        return sorted(
            (
                self._score_engine(job, profile, server, rank, now)
                for server, rank in ranked
            ),
            key=_cost,
        )

    def shortlist(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        view: scheduling_view.SchedulingView,
    ) -> Shortlist:
        """Returns the servers that determine whether a request is sent now.

        Leads to the same decision as all of `options` would, but scores a
        server in full only if its base cost and rank leave it a chance. A
        canary request goes to a server of the new version if one has room.
        """
        rollouts = self._rollouts
        if (
            rollouts is not None
            and rollouts.is_active
            and rollouts.prefers_canary(job, view.of(job.service).now)
        ):
            canaries = view.canaries(job.service)
            found = self._shortlist(job, profile, canaries)
            if any(not option.is_full for option in found.options):
                return found
        return self._shortlist(job, profile, view.of(job.service))

    def _shortlist(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
    ) -> Shortlist:
        candidates = servers.candidates(profile.key, job.excluded_servers)
        if not job.service.is_model:
            states = (
                servers.state_of(registered) for registered, _ in candidates
            )
            best = min(
                (
                    self._score_plain(profile, server)
                    for server in states
                    if not server.is_full
                ),
                key=_cost,
                default=None,
            )
            return _make_shortlist(best, None, len(candidates))
        best = self._best(job, profile, servers, candidates)
        soonest = None
        if self._may_pass_deadline(job, profile, servers, candidates, best):
            soonest = min(
                (
                    self._score_engine(
                        job,
                        profile,
                        servers.state_of(registered),
                        rank,
                        servers.now,
                    )
                    for registered, rank in candidates
                ),
                key=_first_event_s,
            )
        return _make_shortlist(best, soonest, len(candidates))

    def _best(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        candidates: pool.Candidates,
    ) -> ScoredServer | None:
        """Returns the best engine with room; None if there is none."""
        best: ScoredServer | None = None
        least = math.inf
        rank_cost = _rank_cost(profile)
        for registered, rank in candidates:
            if rank * rank_cost >= least:
                break
            server = servers.state_of(registered)
            cost = server.cost + rank * rank_cost
            if cost >= least or _is_full(job, profile, server):
                continue
            option = self._score_engine(job, profile, server, rank, servers.now)
            if option.cost < least:
                best, least = option, option.cost
        return best

    def _may_pass_deadline(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        candidates: pool.Candidates,
        best: ScoredServer | None,
    ) -> bool:
        """Returns whether the first event may come after the deadline.

        Assumes the best server with room, or else the first candidate.
        """
        if not candidates:
            return False
        if best is not None:
            return servers.now + best.first_event_s >= job.deadline
        server = servers.state_of(candidates[0][0])
        first_event_s = (
            server.first_event_s + profile.tokens / server.prefill_tokens_per_s
        )
        return servers.now + first_event_s >= job.deadline

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

    def _make_state(
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
        slots = max((service if is_model else registered.server).slots, 1)
        rejecting = (
            REJECTING_CROWDING if self._notices.is_rejecting(name, now) else 0.0
        )
        crowding = work.requests / slots + rejecting
        cost = FULL_PLAIN_SERVER_TOKENS * crowding + scheduling_view.tie_break(
            self._router, name
        )
        if is_model:
            cost = (
                FULL_ENGINE_TOKENS * crowding
                + TOKENS_AHEAD_WEIGHT * work.pending_prefill_tokens
            )
        rates = self._rates(service, registered, routers, now)
        may_send = all(
            self._limiter.may_send(rate.bucket, rate.per_s, rate.senders, now)
            for rate in rates
        )
        return scheduling_view.ServerState(
            registered=registered,
            cost=cost,
            is_in_other_zone=registered.server.zone != self._zone,
            is_full=work.requests >= slots,
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
        )

    def _score_engine(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        server: scheduling_view.ServerState,
        rank: int,
        now: float,
    ) -> ScoredServer:
        """Scores an engine for a request."""
        prefill_tokens = own_tokens = profile.tokens
        if profile.hashed_blocks:
            name = server.registered.server.name
            prefill_tokens = self._cache_index.prefill_tokens(
                name, profile.hashed_blocks, now
            )
            own_tokens = min(profile.own_tokens, prefill_tokens)
        first_event_s = (
            server.first_event_s + prefill_tokens / server.prefill_tokens_per_s
        )
        lateness = (
            now - job.arrived + first_event_s
        ) / job.route.target_s - PLANNED_TARGET_FRACTION
        lateness = min(max(lateness / LATENESS_SPREAD, 0.0), 1.0)
        if server.pause_s > 0:
            lateness = max(lateness, _long_pause_risk(job, server))
        cost = (
            server.cost
            + (profile.cross_zone_cost if server.is_in_other_zone else 0.0)
            + rank * _rank_cost(profile)
            + REPEATED_PREFILL_WEIGHT * (prefill_tokens - own_tokens)
            + lateness * LATENESS_WEIGHT * profile.size
        )
        return ScoredServer(
            server.registered,
            cost,
            first_event_s,
            server.tokens_ahead,
            server.tokens_ahead_s,
            prefill_tokens,
            _is_full(job, profile, server),
        )

    def _score_plain(
        self,
        profile: request_profile.RequestProfile,
        server: scheduling_view.ServerState,
    ) -> ScoredServer:
        """Scores a plain server for a request."""
        cost = server.cost
        if server.is_in_other_zone:
            cost += CROSS_ZONE_TOKENS + profile.cross_zone_cost
        return ScoredServer(
            server.registered, cost, 0.0, 0, 0.0, 0, server.is_full
        )


def _is_full(
    job: jobs.Job,
    profile: request_profile.RequestProfile,
    server: scheduling_view.ServerState,
) -> bool:
    """Returns whether an engine has no free slot or memory for a request."""
    if server.is_full:
        return True
    room = job.service.memory_tokens * pool.PLANNED_MEMORY_FRACTION
    return server.requests > 0 and server.memory + profile.memory > room


def _rank_cost(profile: request_profile.RequestProfile) -> float:
    """Returns the cost of each rank in the order of engines."""
    return 1.0 + RANK_WEIGHT * profile.shared_tokens


def _long_pause_risk(
    job: jobs.Job, server: scheduling_view.ServerState
) -> float:
    """Returns how likely a pause between events is too long, 0 to 1."""
    allowed_s = job.route.target_gap_s
    if allowed_s <= 0:
        return 0.0
    fraction = server.pause_s / allowed_s
    return min(
        max((fraction - SAFE_PAUSE_FRACTION) / PAUSE_SPREAD_FRACTION, 0.0), 1.0
    )


def _make_shortlist(
    best: ScoredServer | None, soonest: ScoredServer | None, servers: int
) -> Shortlist:
    options = [option for option in (best, soonest) if option is not None]
    return Shortlist(tuple(sorted(options, key=_cost)), servers)


def _cost(option: ScoredServer) -> float:
    return option.cost


def _first_event_s(option: ScoredServer) -> float:
    return option.first_event_s
