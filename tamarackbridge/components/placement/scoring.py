"""Scores a server for a request by what it would cost, in prompt tokens.

Load patterns: prompts that share long blocks, each of which is best prefilled
on one engine; and arrivals in clumps, which must be spread before the engines'
first events come late.
"""

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    block_copies,
    pool,
    prefix_cache,
    request_profile,
    scheduling_view,
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

CROSS_ZONE_TOKENS = 1.0
"""Cost of a plain server in another zone in addition to that of the known
bytes. Among equal servers the one in the same zone is used, although the size
of a plain answer is not known in advance."""


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
        copied_tokens: Tokens that it is to copy from there.
    """

    registered: state.RegisteredServer
    cost: float
    first_event_s: float
    tokens_ahead: int
    tokens_ahead_s: float
    prefill_tokens: int
    is_full: bool
    copy_from: str = ""
    copied_tokens: int = 0


class Scorer:
    """Scores servers for requests, by the prompt blocks that they hold.

    Args:
        cache_index: Prompt blocks that servers hold.
    """

    def __init__(self, cache_index: prefix_cache.PrefixCacheIndex) -> None:
        self._cache_index = cache_index

    def score_engine(
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
            + rank * rank_cost(job, profile)
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
            is_full(job, profile, server),
            copy_from,
            copied_tokens,
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

    def score_plain(
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


def is_full(
    job: jobs.Job,
    profile: request_profile.RequestProfile,
    server: scheduling_view.ServerState,
) -> bool:
    """Returns whether an engine has no free slot or memory for a request."""
    if server.is_full:
        return True
    room = job.service.memory_tokens * pool.PLANNED_MEMORY_FRACTION
    return server.requests > 0 and server.memory + profile.memory > room


def rank_cost(job: jobs.Job, profile: request_profile.RequestProfile) -> float:
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
