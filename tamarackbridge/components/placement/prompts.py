"""What of a request is the same for all servers."""

import dataclasses

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.placement import parts

OUTPUT_WEIGHT = 10.0
"""A generated token counts this many prompt tokens in a request's size, as
the users weigh it."""

BYTES_PER_TOKEN = 25.0
"""Bytes between zones that cost as much as one token read again."""

EVENT_BYTES = 65
"""Size of one event of a stream, for what an answer carries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A request as servers are weighed for it.

    Attributes:
        key: What requests agree on that share all but their own part.
        chained: Its parts with their numbers.
        tokens: Its prompt tokens.
        own: Tokens of its own part.
        shared: Tokens of all other parts.
        size: Its size as the users weigh it.
        memory: Tokens that it takes in an engine's memory.
        crossing: Cost of its bytes between zones.
    """

    key: str
    chained: parts.Chained
    tokens: int
    own: int
    shared: int
    size: float
    memory: int
    crossing: float


def make(job: jobs.Job) -> Prompt:
    """Returns the prompt of a job."""
    call = job.request
    return Prompt(
        key=parts.affinity(call.prompt_blocks),
        chained=parts.chains(call.prompt_blocks),
        tokens=call.prompt_tokens,
        own=call.prompt_blocks[-1].tokens
        if call.prompt_blocks
        else call.prompt_tokens,
        shared=parts.shared_tokens(call.prompt_blocks),
        size=call.prompt_tokens + OUTPUT_WEIGHT * call.output_tokens,
        memory=call.prompt_tokens + call.output_tokens,
        crossing=_crossing_tokens(job),
    )


def _crossing_tokens(job: jobs.Job) -> float:
    """Returns what the bytes of a request and its answer cost across zones."""
    tokens = max(job.service.event_tokens, 1)
    expected = job.request.output_hint or job.request.output_tokens
    answer = expected / tokens * EVENT_BYTES
    return (len(job.request.body) + answer) / BYTES_PER_TOKEN
