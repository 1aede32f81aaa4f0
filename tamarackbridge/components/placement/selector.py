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

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
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
    scoring,
    server_states,
    warmup,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shortlist:
    """The servers that determine whether a request is sent now.

    Attributes:
        options: The best server with room, if there is one, and the one with
            the earliest first event if that may come after the deadline; best
            first.
        servers: Number of servers that were considered.
    """

    options: tuple[scoring.ScoredServer, ...]
    servers: int


class ServerSelector:
    """Scores the servers of a service for a request.

    Attributes:
        pools: The servers that may get requests.
        states: Their states.
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
        self._rng = rng or random.Random(router)
        self._rollouts = rollouts
        self._estimator = estimator
        self._scorer = scoring.Scorer(cache_index)
        self.states = server_states.ServerStates(
            router, zone, local_copy, work, estimator, limiter, server_notices
        )
        self.pools = pool.Pools(
            local_copy, work, breakers, estimator, server_notices, rollouts
        )

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
                return self.states.make(service, registered, routers, now)

            find = self.pools.canaries if is_canary else self.pools.of
            servers = find(service.name, now)
            return scheduling_view.ServiceView(
                servers, service.is_model, make_state, now
            )

        return scheduling_view.SchedulingView(make_view)

    def options(
        self, job: jobs.Job, routers: Collection[str], now: float
    ) -> list[scoring.ScoredServer]:
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
            plain = [
                self._scorer.score_plain(profile, server)
                for server, _ in ranked
            ]
            return sorted(plain, key=_cost)
        return sorted(
            (
                self._scorer.score_engine(
                    job, profile, servers, server, rank, now
                )
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
                    self._scorer.score_engine(
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
    ) -> scoring.ScoredServer | None:
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
            return self._scorer.score_plain(profile, drawn) if drawn else None
        return min(
            (self._scorer.score_plain(profile, server) for server in free),
            key=_cost,
            default=None,
        )

    def _best(
        self,
        job: jobs.Job,
        profile: request_profile.RequestProfile,
        servers: scheduling_view.ServiceView,
        candidates: pool.Candidates,
    ) -> scoring.ScoredServer | None:
        """Returns the best engine with room; None if there is none."""
        best: scoring.ScoredServer | None = None
        least = math.inf
        rank_cost = scoring.rank_cost(job, profile)
        is_probing_limited = probing.is_limited(servers, candidates)
        for registered, rank in candidates:
            if rank * rank_cost >= least:
                break
            server = servers.state_of(registered)
            cost = server.cost + rank * rank_cost
            if cost >= least or scoring.is_full(job, profile, server):
                continue
            if is_probing_limited and not probing.may_get(
                job, server, servers.now
            ):
                continue
            option = self._scorer.score_engine(
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
        best: scoring.ScoredServer | None,
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


def _make_shortlist(
    best: scoring.ScoredServer | None,
    soonest: scoring.ScoredServer | None,
    servers: int,
) -> Shortlist:
    options = [option for option in (best, soonest) if option is not None]
    return Shortlist(tuple(sorted(options, key=_cost)), servers)


def _cost(option: scoring.ScoredServer) -> float:
    return option.cost


def _first_event_s(option: scoring.ScoredServer) -> float:
    return option.first_event_s
