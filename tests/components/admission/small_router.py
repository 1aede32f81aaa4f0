"""Scenario: a fleet of twelve routers, one of which has half a core."""

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
as headroom; all engines together serve ten times as many."""

PROMPT, OUTPUT = 800, 60
"""Prompt and output tokens of the requests to which the knee refers."""


def arrivals(
    workspace: str,
    per_s: float,
    begin: float,
    end: float,
    router: str = "",
    prompt: int = PROMPT,
    output: int = OUTPUT,
) -> Iterator[load_replay.Arrival]:
    """Yields Poisson arrivals, with a seed of their own.

    Args:
        workspace: The workspace.
        per_s: The mean rate, in requests a second.
        begin: Time from which requests arrive, in seconds.
        end: Time until which requests arrive.
        router: Address of the router that they reach; random if empty.
        prompt: Prompt tokens of a request.
        output: Output tokens of a request.
    """
    rng = random.Random(f"{workspace}{begin}")
    now = begin + rng.expovariate(per_s)
    while now < end:
        subject = f"{workspace}.{rng.randrange(20)}"
        yield load_replay.Arrival(
            now, workspace, prompt, output, subject, router
        )
        now += rng.expovariate(per_s)
