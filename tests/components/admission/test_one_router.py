"""Shares of a workspace whose callers all reach the same small router."""

import functools
import random

import pytest

from tests.components.admission import (
    fleet_replay,
    load_replay,
    processor_replay,
)

ENGINES = 45
TOKENS_PER_S = ENGINES * 45_000.0
SLOTS = 32
SMALL = "r003"
CORES = {f"r{number:03}": 1.0 for number in range(12)} | {SMALL: 0.5}
KNEE_PER_S = 180.0
"""Requests a second that the small router serves with a tenth of its processor
to spare."""

SECONDS = 9
SPAN = 6


def _arrivals(
    workspace: str, per_s: float, prompt: int, output: int, router: str = ""
) -> list[load_replay.Arrival]:
    rng = random.Random(workspace)
    found: list[load_replay.Arrival] = []
    now = rng.expovariate(per_s)
    while now < SECONDS:
        subject = f"{workspace}.{rng.randrange(20)}"
        found.append(
            load_replay.Arrival(now, workspace, prompt, output, subject, router)
        )
        now += rng.expovariate(per_s)
    return found


@functools.cache
def _starved(times: float) -> dict[str, tuple[int, float, float]]:
    """Plays a workspace at one router beside one that comes through all."""
    replay = processor_replay.ProcessorReplay(
        CORES,
        ENGINES,
        TOKENS_PER_S,
        SLOTS,
        callers=processor_replay.Callers(move=False),
    )
    arrivals = _arrivals("one", times * KNEE_PER_S, 800, 60, SMALL)
    arrivals += _arrivals("all", 300.0, 5_000, 200)
    fates = replay.play(arrivals, SECONDS + 1)
    return fleet_replay.starved(fates, SECONDS, SPAN)


@pytest.mark.parametrize("times", [3, 4])
def test_workspace_behind_one_small_router_is_not_starved(times: int) -> None:
    """A router's processor must not bound what a workspace gets.

    On a day of the users a workspace got 1.66 million tokens of 4.90 that it
    asked for in six seconds, and one that came through all routers 11.21.
    """
    assert _starved(times) == {}
