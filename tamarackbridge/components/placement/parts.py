"""Which prompt parts each model engine holds, as far as can be told.

Load pattern: many requests share long prompt parts, and reading a part again
on another engine costs more than a short wait for the one that holds it.
"""

import collections
from collections.abc import Mapping
import functools
import hashlib
import math
from typing import TypeAlias

from tamarackbridge.components.gateway import models

HELD_S = 30.0
"""Parts are taken for held this long after their last use; an engine's
memory is written over about once in this time at full load."""

RETELL_S = 5.0
"""A part in use is told again after this time, long before it is taken for
dropped."""

CHAIN_BYTES = 5
"""Size of a part's number; two of a million parts share one by a chance of
one in two."""

MAX_PARTS = 20_000
"""Parts remembered for each server, at a hundred bytes each."""

Chained: TypeAlias = tuple[tuple[int, models.PromptBlock], ...]
"""Parts of a prompt, each with a number that covers all parts before it."""

_KNOWN_PROMPTS = 1_024
"""Prompts whose numbers are kept: all that wait or run at one router."""

_NOTHING: Mapping[int, float] = {}


class HeldParts:
    """Prompt parts by server, each with its last use."""

    def __init__(self) -> None:
        self._held: dict[str, collections.OrderedDict[int, float]] = {}

    def note(self, server: str, chain: int, now: float) -> bool:
        """Notes that a server reads or uses a part.

        Returns:
            Whether that is news to the other routers.
        """
        held = self._held.setdefault(server, collections.OrderedDict())
        last = held.get(chain, -math.inf)
        held[chain] = max(now, last)
        held.move_to_end(chain)
        if len(held) > MAX_PARTS:
            held.popitem(last=False)
        return now - last > RETELL_S

    def forget(self, server: str) -> None:
        """Drops what a server held that has started again."""
        self._held.pop(server, None)

    def unread(self, server: str, chained: Chained, now: float) -> int:
        """Returns how many tokens of a prompt a server has to read."""
        held = self._held.get(server, _NOTHING)
        reading = False
        unread = 0
        for chain, part in chained:
            if not reading:
                last = held.get(chain)
                reading = last is None or now - last > HELD_S
            if reading:
                unread += part.tokens
        return unread


@functools.lru_cache(maxsize=_KNOWN_PROMPTS)
def chains(parts: tuple[models.PromptBlock, ...]) -> Chained:
    """Returns each part with a number that covers all parts before it.

    A part is of use only if all parts before it are held too.
    """
    chain = b""
    found = []
    for part in parts:
        data = chain + part.name.encode()
        chain = hashlib.blake2b(data, digest_size=CHAIN_BYTES).digest()
        found.append((int.from_bytes(chain, "big"), part))
    return tuple(found)


def shared_tokens(parts: tuple[models.PromptBlock, ...]) -> int:
    """Returns the tokens of all parts but a prompt's own."""
    return sum(part.tokens for part in parts[:-1])


def affinity(parts: tuple[models.PromptBlock, ...]) -> str:
    """Returns what requests that share all but their own part agree on."""
    return "/".join(part.name for part in parts[:-1])
