"""Goodput of a fleet whose callers reach it through one small router."""

import dataclasses
import functools

import pytest

from tests.components.admission import (
    fleet_replay,
    processor_replay,
    small_router,
)

FLOOD_S = 1.0
"""Time at which the load rises."""

SETTLED_S = 2
SECONDS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class _FloodResult:
    """Results of the flood once the fleet has settled.

    Attributes:
        sent: Requests of the flood that were sent to engines.
        in_time: Requests of the flood that were answered in time.
        starved: Workspaces that got far less than their share.
    """

    sent: int
    in_time: int
    starved: dict[str, tuple[int, float, float]]


@functools.cache
def _replay_flood(factor: int) -> _FloodResult:
    """Replays a workspace whose load is a multiple of the knee."""
    replay = processor_replay.ProcessorReplay(
        small_router.CORES,
        small_router.ENGINES,
        small_router.TOKENS_PER_S,
        small_router.SLOTS,
    )
    knee_per_s, small = small_router.KNEE_PER_S, small_router.SMALL
    arrivals_of = small_router.arrivals
    arrivals = [
        *arrivals_of("flood", knee_per_s, 0.0, FLOOD_S, small),
        *arrivals_of("flood", factor * knee_per_s, FLOOD_S, SECONDS, small),
    ]
    for number in range(4):
        arrivals += arrivals_of(f"w{number}", 20.0, 0.0, SECONDS)
    records = replay.play(arrivals, SECONDS + 1)
    return _FloodResult(
        replay.sent_count("flood", SETTLED_S, SECONDS),
        sum(
            record.in_time
            for record in records
            if record.arrival.workspace == "flood"
            and record.arrival.at >= SETTLED_S
        ),
        fleet_replay.starved(records, SECONDS, SECONDS - SETTLED_S),
    )


def test_small_router_serves_load_at_its_knee_in_time() -> None:
    flood_result = _replay_flood(1)
    requested = small_router.KNEE_PER_S * (SECONDS - SETTLED_S)
    assert flood_result.in_time == pytest.approx(requested, rel=0.1)


@pytest.mark.parametrize("times", [3, 10])
def test_flood_through_small_router_is_served_as_at_its_knee(
    times: int,
) -> None:
    """Load beyond the knee must not displace requests that can be served.

    In one of the users' benchmark runs a workspace arrived through three
    routers of one zone. The more requests arrived, the fewer were sent to
    engines, down to none, while the engines and the other routers had headroom.
    """
    knee, flood = _replay_flood(1), _replay_flood(times)
    assert flood.sent >= knee.sent
    assert flood.in_time >= knee.in_time
    assert flood.starved == {}
