"""Fair shares enforced by many routers together."""

import random

import pytest

from tests.components.admission import fleet_replay, load_replay

Arrival = load_replay.Arrival

SECONDS = 14
ENGINES = 12
SLOTS = 32
NOMINAL = 45_000.0
"""Nominal throughput of an engine; as half of most prompts is cached, it serves
half as much again."""

MIX = ((362, 12_000, 380), (427, 826, 290), (749, 2_368, 22))
"""Weight, prompt tokens and output tokens of long drafts, checks and short
queries."""


def _poisson_arrivals(
    workspace: str,
    per_s: float,
    begin: float,
    end: float,
    subjects: int = 10,
    router: str = "",
    seed: int = 1,
) -> list[Arrival]:
    """Returns Poisson arrivals of the mix.

    Args:
        workspace: The workspace.
        per_s: The mean rate, in tokens a second.
        begin: Time from which requests arrive, in seconds.
        end: Time until which requests arrive.
        subjects: Number of subjects of each kind of request.
        router: Address of the router that they reach; random if empty.
        seed: Seed of the arrivals.
    """
    rng = random.Random(f"{workspace}{begin}{seed}")
    weights = [entry[0] for entry in MIX]
    mean = sum(
        weight * (prompt + 2 * output) for weight, prompt, output in MIX
    ) / sum(weights)
    arrivals: list[Arrival] = []
    now = begin
    while True:
        now += rng.expovariate(per_s / mean)
        if now >= end:
            return arrivals
        kind = rng.choices(range(len(MIX)), weights=weights)[0]
        _, prompt, output = MIX[kind]
        size = rng.lognormvariate(-0.1, 0.45)
        subject = f"{workspace}.{kind}.{rng.randrange(subjects)}"
        arrivals.append(
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
    """Returns the load of two workspaces far beyond an even share.

    One of them reaches all routers, the other one only one.
    """
    fleet_nominal = ENGINES * NOMINAL
    arrivals = _poisson_arrivals(
        "spread", 1.4 * fleet_nominal, 6, SECONDS, 40, seed=seed
    )
    arrivals += _poisson_arrivals(
        "single", 0.08 * fleet_nominal, 0, 3, seed=seed
    )
    arrivals += _poisson_arrivals(
        "single", 0.77 * fleet_nominal, 3, SECONDS, 10, "r003", seed
    )
    for number in range(18):
        arrivals += _poisson_arrivals(
            f"w{number}", 0.05 * fleet_nominal, 0, SECONDS, seed=seed
        )
    return arrivals


@pytest.mark.parametrize(("routers", "seed"), [(8, 1), (58, 1), (58, 2)])
def test_workspace_at_one_router_is_not_starved_by_one_at_all(
    routers: int, seed: int
) -> None:
    """Each router of a large fleet knows only a small part of the others' load.

    In one of the users' benchmark runs the engines seemed idle to each of 58
    routers, and one workspace got five times as much as another one with the
    same demand.
    """
    replay = fleet_replay.FleetReplay(
        routers, ENGINES, ENGINES * NOMINAL, SLOTS, seed
    )
    records = replay.play(_two_large_workspaces(seed), SECONDS + 1)
    assert fleet_replay.starved(records, SECONDS) == {}


def _two_floods(seed: int) -> list[Arrival]:
    """Returns equal floods of two workspaces, one of them at one router."""
    fleet_nominal = ENGINES * NOMINAL
    arrivals = _poisson_arrivals(
        "spread", 1.3 * fleet_nominal, 4, SECONDS, 40, seed=seed
    )
    arrivals += _poisson_arrivals(
        "single", 1.3 * fleet_nominal, 4, SECONDS, 10, "r003", seed
    )
    for number in range(18):
        arrivals += _poisson_arrivals(
            f"w{number}", 0.015 * fleet_nominal, 0, SECONDS, seed=seed
        )
    return arrivals


def test_shares_stay_even_when_engines_fail() -> None:
    """A quarter of the engines fails without notice while two workspaces flood.

    Neither workspace may get twice what the other one gets in four seconds.
    """
    replay = fleet_replay.FleetReplay(8, ENGINES, ENGINES * NOMINAL, SLOTS)
    replay.fail(ENGINES // 4, 8.0)
    records = replay.play(_two_floods(1), SECONDS + 1)
    _, spread = fleet_replay.cost_by_second(records, "spread", SECONDS)
    _, single = fleet_replay.cost_by_second(records, "single", SECONDS)
    for begin in range(4, SECONDS - 3):
        spread_cost, single_cost = (
            sum(costs[begin : begin + 4]) for costs in (spread, single)
        )
        assert 0.5 < spread_cost / single_cost < 2.0
    assert fleet_replay.starved(records, SECONDS) == {}
