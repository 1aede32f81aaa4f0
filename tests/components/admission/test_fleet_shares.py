"""Shares that many routers hold together."""

import random

import pytest

from tests.components.admission import fleet_replay, load_replay

Arrival = load_replay.Arrival

SECONDS = 14
ENGINES = 12
SLOTS = 32
NOMINAL = 45_000.0
"""Stated throughput of an engine; as half of most prompts is kept, it does
half as much again."""

MIX = ((362, 12_000, 380), (427, 826, 290), (749, 2_368, 22))
"""Weight, prompt and output of long drafts, checks and short queries."""


def _steady(
    workspace: str,
    per_s: float,
    begin: float,
    end: float,
    subjects: int = 10,
    router: str = "",
    seed: int = 1,
) -> list[Arrival]:
    """Returns arrivals of so many tokens a second."""
    rng = random.Random(f"{workspace}{begin}{seed}")
    weights = [it[0] for it in MIX]
    mean = sum(
        weight * (prompt + 2 * output) for weight, prompt, output in MIX
    ) / sum(weights)
    found: list[Arrival] = []
    now = begin
    while True:
        now += rng.expovariate(per_s / mean)
        if now >= end:
            return found
        kind = rng.choices(range(len(MIX)), weights=weights)[0]
        _, prompt, output = MIX[kind]
        size = rng.lognormvariate(-0.1, 0.45)
        subject = f"{workspace}.{kind}.{rng.randrange(subjects)}"
        found.append(
            Arrival(
                now,
                workspace,
                max(int(prompt * size), 50),
                max(int(output * size), 2),
                subject,
                router,
            )
        )


def _two_large_workspaces(seed: int) -> list[Arrival]:
    """Two workspaces far beyond an even share, one of them at one router."""
    unit = ENGINES * NOMINAL
    found = _steady("spread", 1.4 * unit, 6, SECONDS, 40, seed=seed)
    found += _steady("single", 0.08 * unit, 0, 3, seed=seed)
    found += _steady("single", 0.77 * unit, 3, SECONDS, 10, "r003", seed)
    for number in range(18):
        found += _steady(f"w{number}", 0.05 * unit, 0, SECONDS, seed=seed)
    return found


@pytest.mark.parametrize(("routers", "seed"), [(8, 1), (58, 1), (58, 2)])
def test_workspace_of_one_router_is_not_starved_by_one_of_all(
    routers: int, seed: int
) -> None:
    """Each router of a large fleet sees a small part of what the others send.

    On a day of the users' bench the engines seemed idle to each of 58 routers,
    and one workspace got five times as much as another that asked for as much.
    """
    replay = fleet_replay.FleetReplay(
        routers, ENGINES, ENGINES * NOMINAL, SLOTS, seed
    )
    fates = replay.play(_two_large_workspaces(seed), SECONDS + 1)
    assert fleet_replay.starved(fates, SECONDS) == {}


def _two_floods(seed: int) -> list[Arrival]:
    """Two workspaces that flood alike, one of them at one router."""
    unit = ENGINES * NOMINAL
    found = _steady("spread", 1.3 * unit, 4, SECONDS, 40, seed=seed)
    found += _steady("single", 1.3 * unit, 4, SECONDS, 10, "r003", seed)
    for number in range(18):
        found += _steady(f"w{number}", 0.015 * unit, 0, SECONDS, seed=seed)
    return found


def test_loss_of_engines_leaves_shares_even() -> None:
    """A quarter of the engines is lost without notice while two flood.

    Neither may get twice what the other gets in four seconds.
    """
    replay = fleet_replay.FleetReplay(8, ENGINES, ENGINES * NOMINAL, SLOTS)
    replay.lose(ENGINES // 4, 8.0)
    fates = replay.play(_two_floods(1), SECONDS + 1)
    _, spread = fleet_replay.by_second(fates, "spread", SECONDS)
    _, single = fleet_replay.by_second(fates, "single", SECONDS)
    for begin in range(4, SECONDS - 3):
        one, other = (sum(it[begin : begin + 4]) for it in (spread, single))
        assert 0.5 < one / other < 2.0
    assert fleet_replay.starved(fates, SECONDS) == {}
