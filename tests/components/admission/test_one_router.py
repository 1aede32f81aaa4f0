"""Shares of a workspace whose callers all reach the same small router."""

import functools

import pytest

from tests.components.admission import (
    fleet_replay,
    processor_replay,
    small_router,
)

SECONDS = 9
SPAN = 6


@functools.cache
def _starved(times: float) -> dict[str, tuple[int, float, float]]:
    """Plays a workspace at one router beside one that comes through all."""
    replay = processor_replay.ProcessorReplay(
        small_router.CORES,
        small_router.ENGINES,
        small_router.TOKENS_PER_S,
        small_router.SLOTS,
        callers=processor_replay.Callers(move=False),
    )
    per_s = times * small_router.KNEE_PER_S
    arrivals = [
        *small_router.arrivals("one", per_s, 0.0, SECONDS, small_router.SMALL),
        *small_router.arrivals(
            "all", 300.0, 0.0, SECONDS, prompt=5_000, output=200
        ),
    ]
    fates = replay.play(arrivals, SECONDS + 1)
    return fleet_replay.starved(fates, SECONDS, SPAN)


@pytest.mark.parametrize("times", [3, 4])
def test_workspace_behind_one_small_router_is_not_starved(times: int) -> None:
    """A router's processor must not bound what a workspace gets.

    On a day of the users a workspace got 1.66 million tokens of 4.90 that it
    asked for in six seconds, and one that came through all routers 11.21.
    """
    assert _starved(times) == {}
