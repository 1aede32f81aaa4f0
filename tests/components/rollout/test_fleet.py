"""Exposure, rollback and evidence with many routers and late reports."""

import random

import pytest

from tamarackbridge.components.gateway import jobs
from tests.components.rollout import fleet

SERVED, FAILED = jobs.Outcome.SERVED, jobs.Outcome.FAILED
GOOD = [fleet.STATES.RUNNING, fleet.STATES.SUCCEEDED]
ROLLED_BACK = [fleet.STATES.RUNNING, fleet.STATES.ROLLED_BACK]


def _served(
    rng: random.Random, factor: float = 1.0
) -> tuple[float, jobs.Outcome]:
    took_s = 0.045 * rng.uniform(0.6, 1.8) * factor
    return took_s, FAILED if rng.random() < 0.003 else SERVED


def good(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    return _served(rng)


def _fails(rng: random.Random, rate: float) -> tuple[float, jobs.Outcome]:
    return (0.03, FAILED) if rng.random() < rate else _served(rng)


def bad_at_once(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    return _fails(rng, 0.3 if sent.is_new else 0)


def bad_a_little(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    return _fails(rng, 0.08 if sent.is_new else 0)


def bad_later(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    return _fails(rng, 0.4 if sent.is_new and sent.at > 5 else 0)


def bad_after_move(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    if rng.random() < 0.03:
        return 2.5, SERVED  # Delays the end of the move.
    return _fails(rng, 0.4 if sent.is_new and sent.at > 7 else 0)


def bad_on_one_route(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    return _fails(rng, 0.5 if sent.is_new and sent.route == "b" else 0)


def bad_under_load(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    return _fails(rng, 0.5 if sent.is_new and sent.in_flight > 1 else 0)


def slow(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    return _served(rng, 5.0 if sent.is_new else 1.0)


def hangs(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    if sent.is_new and rng.random() < 0.3:
        return 9.0, jobs.Outcome.TIMED_OUT
    return _served(rng)


def zone_trouble(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    in_trouble = sent.server.zone == "z1" and 3 < sent.at < 7
    return _fails(rng, 0.6 if in_trouble else 0)


def overload(
    rng: random.Random, sent: fleet.Sent
) -> tuple[float, jobs.Outcome]:
    if 2 < sent.at < 6:
        return rng.uniform(0.1, 0.6), SERVED if rng.random() < 0.7 else FAILED
    return _served(rng)


def varied(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    return 0.05 * rng.lognormvariate(0, 0.8), SERVED


def crashes(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    if sent.is_new and rng.random() < 0.15:
        return 0.02, jobs.Outcome.CRASHED
    return _served(rng)


def refuses(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    if sent.is_new and rng.random() < 0.5:
        return 0.01, jobs.Outcome.REJECTED
    return _served(rng)


def poison(rng: random.Random, sent: fleet.Sent) -> tuple[float, jobs.Outcome]:
    """A request now and then crashes its server, which loses all its others."""
    if int(sent.at * 5) % 10 == 0 and rng.random() < 0.15:
        return 0.02, jobs.Outcome.CRASHED
    return _served(rng)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "respond",
    [good, varied, zone_trouble, overload, refuses, poison],
)
def test_good_version_succeeds_in_time(
    respond: fleet.Respond, seed: int
) -> None:
    """Guards against a rollback for failures that both versions have."""
    scene = fleet.Fleet(respond, seed=seed)
    scene.begin()
    scene.run(5.9)
    _assert_exposure(scene)
    scene.run(12.0)
    assert scene.writes == GOOD


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "respond",
    [
        bad_at_once,
        bad_a_little,
        bad_later,
        bad_after_move,
        bad_on_one_route,
        bad_under_load,
        slow,
        hangs,
        crashes,
    ],
)
def test_bad_version_is_stopped(respond: fleet.Respond, seed: int) -> None:
    """Guards against exposure, and against a rollback that comes late."""
    scene = fleet.Fleet(respond, seed=seed)
    scene.begin()
    scene.run(12.0)
    assert scene.writes == ROLLED_BACK
    if respond is not bad_after_move:  # Accepted, so the limit has ended.
        _assert_exposure(scene)
    if len(scene.bad_at) >= 50:
        assert not scene.arrived_new(since=sorted(scene.bad_at)[49] + 1.0)


@pytest.mark.parametrize("routers", [1, 6, 100])
@pytest.mark.parametrize(
    ("respond", "writes"), [(good, GOOD), (bad_at_once, ROLLED_BACK)]
)
def test_thin_traffic_is_decided(
    respond: fleet.Respond, writes: list[fleet.STATES], routers: int
) -> None:
    """Guards against no evidence with fifteen requests a second."""
    scene = fleet.Fleet(respond, routers=routers, rate=15.0)
    scene.begin()
    scene.run(12.0)
    assert scene.writes == writes
    if writes == ROLLED_BACK:
        _assert_exposure(scene)


def test_exposure_survives_restarts() -> None:
    """Guards against credit that restarted routers get once more."""
    scene = fleet.Fleet(good, routers=100)
    scene.begin()
    for second in range(1, 8):
        scene.run(float(second))
        for i in range(0, 100, 3):
            scene.start(f"r{i}").learn(scene.stored, scene.now)
    _assert_exposure(scene)


def _assert_exposure(scene: fleet.Fleet) -> None:
    allowed = fleet.SHARE * len(scene.sent) + fleet.SLACK
    assert scene.arrived_new() <= allowed
