"""A fleet of twelve routers, one of them on half a core, before its engines."""

from collections.abc import Iterator
import random

from tests.components.admission import load_replay

ENGINES = 45
TOKENS_PER_S = ENGINES * 45_000.0
SLOTS = 32
SMALL = "r003"
CORES = {f"r{number:03}": 1.0 for number in range(12)} | {SMALL: 0.5}
KNEE_PER_S = 180.0
"""Requests a second that the small router serves with a tenth of its processor
to spare; all engines together serve ten times as many."""

PROMPT, OUTPUT = 800, 60
"""Tokens of a request, for which the knee is stated."""


def arrivals(
    workspace: str,
    per_s: float,
    begin: float,
    end: float,
    router: str = "",
    prompt: int = PROMPT,
    output: int = OUTPUT,
) -> Iterator[load_replay.Arrival]:
    """Yields arrivals at a mean rate, drawn from a seed of their own."""
    rng = random.Random(f"{workspace}{begin}")
    now = begin + rng.expovariate(per_s)
    while now < end:
        subject = f"{workspace}.{rng.randrange(20)}"
        yield load_replay.Arrival(
            now, workspace, prompt, output, subject, router
        )
        now += rng.expovariate(per_s)
