"""Decides when an engine copies cached prompt blocks from another engine.

Copying a block over the engines' network takes a fraction of the time in which
it is prefilled, and takes none of the engine's processing time.

Load patterns: many requests share long prompt blocks while the engine that
holds them is full, so that its requests go to engines without the blocks; and
engines are replaced or lost, so that blocks are in demand at new ones.
"""

from collections.abc import Iterable
import dataclasses

from tamarackbridge.components.knowledge import models as knowledge

SETUP_S = 0.003
"""Time before a copy begins: a connection between two engines, which are in one
network."""

MAX_DELAY_S = 0.005
"""Time by which a copy may take longer than the prefill. It spares the engine
time that all its requests share, and is a fiftieth of the shortest latency
target with which prompts come."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The engine that holds most of some shared prompt blocks.

    Attributes:
        address: Its address.
        missing_tokens: Tokens of the blocks that it lacks, too.
    """

    address: str
    missing_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlockCopy:
    """A copy of prompt blocks to an engine that lacks them.

    Attributes:
        address: Address of the engine that holds them.
        tokens: Tokens that are copied, and not prefilled.
        seconds: Time that the copy takes.
    """

    address: str
    tokens: int
    seconds: float


def find_holder(engines: Iterable[tuple[str, int]]) -> Holder | None:
    """Returns the engine that lacks the fewest tokens; None without engines.

    Args:
        engines: Address of each engine, and the tokens that it lacks.
    """
    best = min(engines, key=_missing_tokens, default=None)
    return None if best is None else Holder(*best)


def plan(
    service: knowledge.Service,
    holder: Holder | None,
    missing_tokens: int,
    prefill_tokens_per_s: float,
) -> BlockCopy | None:
    """Returns the copy that spares an engine a prefill.

    Args:
        service: The service of the engines.
        holder: The engine that holds most of the blocks; None if unknown.
        missing_tokens: Shared tokens that the receiving engine lacks.
        prefill_tokens_per_s: Tokens that it prefills in a second.

    Returns:
        The copy; None if prefilling the blocks again is faster.
    """
    if holder is None or not service.copies_blocks:
        return None
    tokens = missing_tokens - holder.missing_tokens
    if tokens <= 0:
        return None
    copy_s = SETUP_S + tokens * service.token_bytes / service.link_bytes_per_s
    if copy_s > tokens / prefill_tokens_per_s + MAX_DELAY_S:
        return None
    return BlockCopy(holder.address, tokens, copy_s)


def _missing_tokens(engine: tuple[str, int]) -> int:
    return engine[1]
