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
import random

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    block_copies,
    estimate,
    health,
    ledger,
    notices,
    plain_choice,
    pool,
    prefix_cache,
    probing,
    request_profile,
    scheduling_view,
    smoothed_load,
    warmup,
)

PLANNED_TARGET_FRACTION = 0.85
"""Fraction of the target time within which a first event is planned; the rest
covers what the estimate leaves out."""

REPEATED_PREFILL_WEIGHT = 2.0
"""Cost of each shared token that is prefilled again: it takes the engine's time
and delays other requests as well."""

COPY_WEIGHT = 0.08
"""Cost of each shared token that is copied from another engine: it takes none
of the engine's time, but room in a second engine's memory."""

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

COPIED_RANK_WEIGHT = 0.1
"""The same where engines copy blocks from each other: an engine that ranks
second gets the blocks without a prefill."""

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
        copy_from: Address of the engine from which it is to copy cached prompt
            blocks; empty if none.
    """

    registered: state.RegisteredServer
    cost: float
    first_event_s: float
    tokens_ahead: int
    tokens_ahead_s: float
    prefill_tokens: int
    is_full: bool
    copy_from: str = ""


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
        rng: random.Random | None = None,
        rollouts: pool.Rollouts | None = None,
    ) -> None:
        """Creates the selector.

        Args:
            router: Peer address of this router.
            zone: Its availability zone.
            local_copy: The registered servers.
            work: Outstanding work at the servers.
            cache_index: Prompt blocks that they hold.
            breakers: Their circuit breakers.
            estimator: Their speeds.
            limiter: Their warm-up rates.
            server_notices: What they announced.
            rng: Source of randomness; by default one that differs between
                routers.
            rollouts: The rollout orders; None if they are not carried out.
        """
        self._smoothed = smoothed_load.SmoothedLoad()
        self._rng = rng or random.Random(router)
        self._router = router
        self._rollouts = rollouts
        self._notices = server_notices
        self._local_copy = local_copy
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
        self._estimator.advance(now)

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
                self._score_engine(job, profile, servers, server, rank, now)
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
            best = self._best_plain(job, profile, servers, candidates)
            return _make_shortlist(best, None, len(candidates))
        best = self._best(job, profile, servers, candidates)
        soonest = None
        if self._may_pass_deadline(job, profile, servers, candidates, best):
            soonest = min(
                (
                    self._score_engine(
                        job,
                        profile,
                        servers,
                        servers.state_of(registered),
                        rank,
                        servers.now,
                    )
                    for registered, rank in candidates
                    if not servers.state_of(registered).probes_only
                ),
                key=_first_event_s,
                default=None,
            )
        return _make_shortlist(best, soonest, len(candidates))

    def _best_plain(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        candidates: pool.Candidates,
    ) -> ScoredServer | None:
        """Returns the plain server for a request; None if none has room."""
        states = [servers.state_of(registered) for registered, _ in candidates]
        is_probing_limited = probing.is_limited(servers, candidates)
        free = [
            server
            for server in states
            if not server.is_full
            and (
                not is_probing_limited
                or probing.may_get(job, server, servers.now)
            )
        ]
        if self._estimator.speeds is not None and plain_choice.is_loaded(
            states
        ):
            drawn = plain_choice.draw(free, self._rng)
            return self._score_plain(profile, drawn) if drawn else None
        return min(
            (self._score_plain(profile, server) for server in free),
            key=_cost,
            default=None,
        )

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
        rank_cost = _rank_cost(job, profile)
        is_probing_limited = probing.is_limited(servers, candidates)
        for registered, rank in candidates:
            if rank * rank_cost >= least:
                break
            server = servers.state_of(registered)
            cost = server.cost + rank * rank_cost
            if cost >= least or _is_full(job, profile, server):
                continue
            if is_probing_limited and not probing.may_get(
                job, server, servers.now
            ):
                continue
            option = self._score_engine(
                job, profile, servers, server, rank, servers.now
            )
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

    def _score_engine(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        server: scheduling_view.ServerState,
        rank: int,
        now: float,
    ) -> ScoredServer:
        """Scores an engine for a request."""
        copy_from = ""
        copy_s = 0.0
        copied_tokens = 0
        prefill_tokens = own_tokens = profile.tokens
        if profile.hashed_blocks:
            name = server.registered.server.name
            prefill_tokens = self._cache_index.prefill_tokens(
                name, profile.hashed_blocks, now
            )
            own_tokens = min(profile.own_tokens, prefill_tokens)
            copy = self._block_copy(
                job, profile, servers, server, prefill_tokens - own_tokens
            )
            if copy is not None:
                copy_from = copy.address
                copy_s = copy.seconds
                copied_tokens = copy.tokens
                prefill_tokens -= copied_tokens
        first_event_s = (
            server.first_event_s
            + copy_s
            + prefill_tokens / server.prefill_tokens_per_s
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
            + rank * _rank_cost(job, profile)
            + REPEATED_PREFILL_WEIGHT * (prefill_tokens - own_tokens)
            + COPY_WEIGHT * copied_tokens
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
            copy_from,
        )

    def _block_copy(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        server: scheduling_view.ServerState,
        missing_tokens: int,
    ) -> block_copies.BlockCopy | None:
        """Returns the copy that spares an engine a prefill, if one does."""
        if not missing_tokens or not job.service.copies_blocks:
            return None
        if profile.key not in servers.holders:
            candidates = servers.candidates(profile.key, ())
            servers.holders[profile.key] = block_copies.find_holder(
                (
                    registered.server.address,
                    self._cache_index.prefill_tokens(
                        registered.server.name,
                        profile.hashed_blocks[:-1],
                        servers.now,
                    ),
                )
                for registered, _ in candidates
            )
        return block_copies.plan(
            job.service,
            servers.holders[profile.key],
            missing_tokens,
            server.prefill_tokens_per_s,
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


def _slots(
    service: knowledge.Service | None, server: knowledge.BackendServer
) -> int:
    """Returns the requests that a server runs at once, at least 1."""
    if service is not None and service.is_model:
        return max(service.slots, 1)
    return max(server.slots, 1)


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


def _rank_cost(job: jobs.Job, profile: request_profile.RequestProfile) -> float:
    """Returns the cost of each rank in the order of engines."""
    weight = COPIED_RANK_WEIGHT if job.service.copies_blocks else RANK_WEIGHT
    return 1.0 + weight * profile.shared_tokens


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
