"""Tests of the learned speeds and limits of servers."""

from collections.abc import Callable
import math
import random

import pytest

from tamarackbridge.components.gateway import models
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import estimate, server_speeds
from tests.components.knowledge import builders

NOMINAL_S = 0.045
SERVERS = tuple(f"p{number}" for number in range(6))


class World:
    """The speed model of one router before six plain servers."""

    def __init__(self, lag_s: Callable[[], float] = lambda: 0.0) -> None:
        self.local_copy = state.LocalCopy(builders.BOUNDS)
        for name in SERVERS:
            self.register(name)
        self.estimator = estimate.Estimator(
            server_speeds.ServerSpeeds(self.local_copy, lag_s)
        )
        self.now = 100.0
        self.rng = random.Random(7)

    def register(self, name: str, address: str = "10.0.0.1:1") -> None:
        server = builders.server(name, "app", address=address, slots=6)
        self.local_copy.register(server, 0.0)

    def run_for(
        self,
        seconds: float,
        factors: dict[str, float],
        occupancy: float = 0.3,
        interval_s: float = 0.02,
    ) -> None:
        """Observes all servers at an interval; times scatter by a third."""
        for _ in range(round(seconds / interval_s)):
            self.now += interval_s
            for name in SERVERS:
                scatter = math.exp(self.rng.gauss(0.0, 0.3))
                took_s = NOMINAL_S * factors.get(name, 1.0) * scatter
                self.estimator.observe_response(
                    name, took_s, occupancy, self.now
                )

    def state_load(self, name: str, work_factor: float | None) -> None:
        load = models.ServerLoad(2, 0, 6, work_factor)
        self.estimator.observe_load(name, load, self.now)

    def slowness(self, name: str) -> float:
        self.estimator.advance(self.now)
        return self.estimator.relative_slowness(name)


def test_servers_of_different_nominal_speed_are_told_apart() -> None:
    world = World()
    world.run_for(1.0, {"p0": 1 / 0.55, "p1": 1 / 1.2})
    ratio = world.slowness("p0") / world.slowness("p2")
    assert 1.4 < ratio < 2.1
    assert world.slowness("p1") < world.slowness("p2")


def test_equal_servers_are_not_told_apart() -> None:
    """Scatter of single requests must not move traffic between zones."""
    world = World()
    world.run_for(3.0, {})
    assert all(0.85 < world.slowness(name) < 1.2 for name in SERVERS)


def test_short_slowdown_is_followed_and_forgotten() -> None:
    world = World()
    world.run_for(4.0, {})
    world.run_for(0.4, {"p0": 2.5})
    assert world.slowness("p0") > 1.5
    world.run_for(0.2, {"p0": 2.5})
    world.run_for(1.0, {})
    assert world.slowness("p0") < 1.3


def test_lasting_slowdown_is_known_within_a_second() -> None:
    world = World()
    world.run_for(4.0, {})
    world.run_for(1.0, {"p0": 2.5})
    assert world.slowness("p0") > 1.8
    world.run_for(8.0, {"p0": 2.5})
    assert 1.8 < world.slowness("p0") < 2.7


def test_one_slow_request_does_not_make_a_server_slow() -> None:
    world = World()
    world.run_for(2.0, {})
    world.estimator.observe_response("p0", 8 * NOMINAL_S, 0.3, world.now)
    world.now += 0.05
    assert world.slowness("p0") < 1.34


def test_full_server_is_not_taken_for_a_slow_one() -> None:
    """A request at a server with twice as many as slots takes twice as long."""
    world = World()
    world.run_for(2.0, {})
    for _ in range(50):
        world.now += 0.02
        world.estimator.observe_response("p0", 2 * NOMINAL_S, 2.0, world.now)
        for name in SERVERS[1:]:
            world.estimator.observe_response(name, NOMINAL_S, 0.3, world.now)
    assert world.slowness("p0") < 1.2


def test_observations_of_a_lagging_router_do_not_count() -> None:
    lag_s = 0.03
    world = World(lambda: lag_s)
    world.run_for(2.0, {"p0": 4.0})
    assert world.slowness("p0") == 1.0
    lag_s = 0.01
    world.run_for(2.0, {"p0": 4.0})
    assert world.slowness("p0") > 2.0


def test_estimate_returns_to_the_typical_one_without_news() -> None:
    world = World()
    world.run_for(4.0, {"p0": 3.0})
    world.now += 9.0
    assert world.slowness("p0") < 1.2
    assert world.estimator.slowness("p1") == pytest.approx(
        NOMINAL_S / server_speeds.NOMINAL_PLAIN_S, rel=0.4
    )


def test_restarted_server_starts_at_the_typical_estimate() -> None:
    world = World()
    world.run_for(2.0, {"p0": 4.0})
    world.register("p0", "10.0.0.2:1")
    world.now += 0.1
    assert world.slowness("p0") == 1.0


def test_limit_falls_where_time_grows_faster_than_load() -> None:
    """p0 slows down long before its slots are full, p1 does not."""
    world = World()
    for step in range(400):
        world.now += 0.02
        occupancy = 0.2 + 0.8 * world.rng.random()
        for name, growth in (("p0", 2.2), ("p1", 0.1)):
            noise = world.rng.gauss(0.0, 0.1)
            took_s = NOMINAL_S * math.exp(growth * occupancy + noise)
            world.estimator.observe_response(name, took_s, occupancy, world.now)
        assert world.estimator.limit("p0", 6) >= 1.0, step
    world.estimator.advance(world.now + 0.02)
    assert 2.2 < world.estimator.limit("p0", 6) < 3.6
    assert world.estimator.limit("p1", 6) == 6.0


def test_limit_does_not_fall_when_a_server_merely_becomes_slow() -> None:
    """A slow server fills up; that must not count as bearing little load.

    While p0 is slow its occupancy is between 0.4 and 1, otherwise between 0.1
    and 0.7, as random arrivals have it.
    """
    world = World()
    for _ in range(10):
        for seconds, factors, least in (
            (0.6, {"p0": 2.5}, 0.4),
            (3.4, {}, 0.1),
        ):
            for _ in range(round(seconds / 0.02)):
                occupancy = least + 0.6 * world.rng.random()
                world.run_for(0.02, factors, occupancy)
    world.estimator.advance(world.now + 0.02)
    assert world.estimator.limit("p0", 6) > 4.5


def test_fresh_work_factor_is_followed_and_a_stale_one_is_not() -> None:
    world = World()
    for _ in range(100):
        world.state_load("p0", 1.0)
        world.run_for(0.02, {})
    world.state_load("p0", 2.5)
    world.now += 0.02
    assert world.slowness("p0") > 1.6
    world.now += 0.4
    assert world.slowness("p0") < 1.2


def test_mean_work_factor_stands_in_for_observations() -> None:
    world = World()
    for _ in range(40):
        world.now += 0.05
        for name in SERVERS:
            world.state_load(name, 2.0 if name == "p0" else 1.0)
    world.now += 0.5
    assert world.slowness("p0") > 1.4


@pytest.mark.parametrize("work_factor", [None, 1e-9, 999.99])
def test_missing_or_absurd_work_factor_has_a_bounded_effect(
    work_factor: float | None,
) -> None:
    world = World()
    world.run_for(2.0, {})
    world.state_load("p0", work_factor)
    world.now += 0.02
    assert 1 / 8.5 < world.slowness("p0") < 8.5
    world.now += 0.5
    assert 0.7 < world.slowness("p0") < 1.4


@pytest.mark.parametrize("stated", [(0.15,), (6.0,), (0.2, 5.0)])
def test_false_work_factors_lose_their_effect(
    stated: tuple[float, ...],
) -> None:
    """A server that lies must neither attract nor lose most requests."""
    world = World()
    for step in range(200):
        for name in SERVERS[1:]:
            world.state_load(name, 1.0)
        world.state_load("p0", stated[step % len(stated)])
        world.run_for(0.02, {})
    for work_factor in stated:
        world.state_load("p0", work_factor)
        world.now += 0.02
        assert 0.6 < world.slowness("p0") < 1.7
