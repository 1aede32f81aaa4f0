"""Properties of a request that server selection needs for every server.

They depend on the request alone, so they are computed once for each request.
"""

import dataclasses

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.placement import prefix_cache

OUTPUT_WEIGHT = 10.0
"""Prompt tokens that one generated token counts for in a request's size; the
users' measure of useful work applies the same weight."""

BYTES_PER_TOKEN = 25.0
"""Bytes between zones that cost as much as prefilling one token again."""

EVENT_BYTES = 65
"""Size of one event of a stream, for estimating the size of an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request by which servers are scored.

    Attributes:
        key: Equal for requests whose shared prompt blocks are equal.
        hashed_blocks: Its prompt blocks with their hashes.
        tokens: Its prompt tokens.
        own_tokens: Tokens of its last block, which no other request shares.
        shared_tokens: Tokens of all other blocks.
        size: Prompt tokens plus weighted output tokens.
        memory: Tokens that it occupies in an engine's memory.
        cross_zone_cost: Cost of its bytes between zones, in prompt tokens.
    """

    key: str
    hashed_blocks: prefix_cache.HashedBlocks
    tokens: int
    own_tokens: int
    shared_tokens: int
    size: float
    memory: int
    cross_zone_cost: float


def make(job: jobs.Job) -> RequestProfile:
    """Returns the properties of a job's request."""
    request = job.request
    return RequestProfile(
        key=prefix_cache.affinity_key(request.prompt_blocks),
        hashed_blocks=prefix_cache.hash_blocks(request.prompt_blocks),
        tokens=request.prompt_tokens,
        own_tokens=request.prompt_blocks[-1].tokens
        if request.prompt_blocks
        else request.prompt_tokens,
        shared_tokens=prefix_cache.shared_tokens(request.prompt_blocks),
        size=request.prompt_tokens + OUTPUT_WEIGHT * request.output_tokens,
        memory=request.prompt_tokens + request.output_tokens,
        cross_zone_cost=_cross_zone_cost(job),
    )


def _cross_zone_cost(job: jobs.Job) -> float:
    """Returns the cost of sending a request and its answer across zones."""
    tokens_per_event = max(job.service.event_tokens, 1)
    output_tokens = job.request.output_hint or job.request.output_tokens
    answer_bytes = output_tokens / tokens_per_event * EVENT_BYTES
    return (len(job.request.body) + answer_bytes) / BYTES_PER_TOKEN
