"""Tracks which prompt blocks each model engine holds in its prefix cache.

The content of the caches is inferred from the requests that this router and
others sent to the engines.

Load pattern: many requests share long prompt blocks, and prefilling a block
again on another engine costs more than a short wait for the engine that holds
it.
"""

import collections
from collections.abc import Mapping
import functools
import hashlib
import math
from typing import TypeAlias

from tamarackbridge.components.gateway import models

CACHED_S = 30.0
"""A block is assumed to be cached for this long after its last use. At full
load an engine overwrites its whole cache about once in this time."""

REANNOUNCE_S = 5.0
"""Minimum interval between two announcements of a block to the other routers.
It is well below `CACHED_S`, so that they don't assume that a block in use was
evicted."""

BLOCK_HASH_BYTES = 5
"""Size of a block hash. Among a million blocks, the probability that any two
share a hash is about one half."""

MAX_BLOCKS_PER_SERVER = 20_000
"""Bounds the memory for each server, at a hundred bytes per block."""

HashedBlocks: TypeAlias = tuple[tuple[int, models.PromptBlock], ...]
"""Blocks of a prompt, each with the hash of itself and all blocks before it."""

_MAX_HASHED_PROMPTS = 1_024
"""Prompts whose block hashes are cached: all that are queued or in flight at
one router."""

_NO_BLOCKS: Mapping[int, float] = {}


class PrefixCacheIndex:
    """Cached prompt blocks by server, each with the time of its last use."""

    def __init__(self) -> None:
        self._last_used: dict[str, collections.OrderedDict[int, float]] = {}

    def record_use(self, server: str, block_hash: int, now: float) -> bool:
        """Records that a server prefills or reuses a block.

        Returns:
            Whether the other routers should be informed.
        """
        blocks = self._last_used.setdefault(server, collections.OrderedDict())
        last = blocks.get(block_hash, -math.inf)
        blocks[block_hash] = max(now, last)
        blocks.move_to_end(block_hash)
        if len(blocks) > MAX_BLOCKS_PER_SERVER:
            blocks.popitem(last=False)
        return now - last > REANNOUNCE_S

    def forget(self, server: str) -> None:
        """Drops the blocks of a server that is gone or has restarted."""
        self._last_used.pop(server, None)

    def prefill_tokens(
        self, server: str, blocks: HashedBlocks, now: float
    ) -> int:
        """Returns how many tokens of a prompt a server has to prefill.

        These are all tokens from the first block on that is not cached.
        """
        cached = self._last_used.get(server, _NO_BLOCKS)
        is_missing = False
        tokens = 0
        for block_hash, block in blocks:
            if not is_missing:
                last = cached.get(block_hash)
                is_missing = last is None or now - last > CACHED_S
            if is_missing:
                tokens += block.tokens
        return tokens


@functools.lru_cache(maxsize=_MAX_HASHED_PROMPTS)
def hash_blocks(blocks: tuple[models.PromptBlock, ...]) -> HashedBlocks:
    """Returns each block with a hash that covers all blocks before it.

    An engine can reuse a cached block only if it holds all blocks before it.
    """
    digest = b""
    hashed = []
    for block in blocks:
        data = digest + block.name.encode()
        digest = hashlib.blake2b(data, digest_size=BLOCK_HASH_BYTES).digest()
        hashed.append((int.from_bytes(digest, "big"), block))
    return tuple(hashed)


def shared_tokens(blocks: tuple[models.PromptBlock, ...]) -> int:
    """Returns the tokens of all blocks but the last one.

    The last block is the request's own; the others may be shared.
    """
    return sum(block.tokens for block in blocks[:-1])


def affinity_key(blocks: tuple[models.PromptBlock, ...]) -> str:
    """Returns a key that is equal for requests with equal shared blocks."""
    return "/".join(block.name for block in blocks[:-1])
