"""Exposure, rollback and evidence with many routers and late reports."""

from collections.abc import Callable
import random

import pytest

from tamarackbridge.components.gateway import jobs
from tests.components.rollout import fleet

SERVED, FAILED = jobs.Outcome.SERVED, jobs.Outcome.FAILED
GOOD = [fleet.STATES.RUNNING, fleet.STATES.SUCCEEDED]
ROLLED_BACK = [fleet.STATES.RUNNING, fleet.STATES.ROLLED_BACK]


def _served(rng: random.Random, factor: float = 1.0) -> fleet.Response:
    took_s = 0.045 * rng.uniform(0.6, 1.8) * factor
    return took_s, FAILED if rng.random() < 0.003 else SERVED


def _failing(rate: Callable[[fleet.Sent], float]) -> fleet.Respond:
    def respond(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
        return (0.03, FAILED) if rng.random() < rate(sent) else _served(rng)

    return respond


def _new_ends(
    rate: float, took_s: float, outcome: jobs.Outcome
) -> fleet.Respond:
    def respond(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
        if sent.is_new and rng.random() < rate:
            return took_s, outcome
        return _served(rng)

    return respond


def bad_after_move(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
    if rng.random() < 0.03:
        return 2.5, SERVED  # Delays the end of the move.
    return _failing(lambda it: 0.4 if it.is_new and it.at > 7 else 0)(rng, sent)


def overload(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
    if 2 < sent.at < 6:
        return rng.uniform(0.1, 0.6), SERVED if rng.random() < 0.7 else FAILED
    return _served(rng)


def poison(rng: random.Random, sent: fleet.Sent) -> fleet.Response:
    """A request now and then crashes its server, which loses all its others."""
    if int(sent.at * 5) % 10 == 0 and rng.random() < 0.15:
        return 0.02, jobs.Outcome.CRASHED
    return _served(rng)


good = _failing(lambda it: 0)
bad_at_once = _failing(lambda it: 0.3 if it.is_new else 0)
bad_later = _failing(lambda it: 0.4 if it.is_new and it.at > 5 else 0)

GOOD_VERSIONS: dict[str, fleet.Respond] = {
    "good": good,
    "varied": lambda rng, it: (0.05 * rng.lognormvariate(0, 0.8), SERVED),
    "zone": _failing(
        lambda it: 0.6 if it.server.zone == "z1" and 3 < it.at < 7 else 0
    ),
    "overload": overload,
    "refuses": _new_ends(0.5, 0.01, jobs.Outcome.REJECTED),
    "poison": poison,
}
BAD_VERSIONS: dict[str, fleet.Respond] = {
    "at once": bad_at_once,
    "a little": _failing(lambda it: 0.08 if it.is_new else 0),
    "later": bad_later,
    "after move": bad_after_move,
    "one route": _failing(
        lambda it: 0.5 if it.is_new and it.route == "b" else 0
    ),
    "under load": _failing(
        lambda it: 0.5 if it.is_new and it.in_flight > 1 else 0
    ),
    "slow": lambda rng, it: _served(rng, 5.0 if it.is_new else 1.0),
    "hangs": _new_ends(0.3, 9.0, jobs.Outcome.TIMED_OUT),
    "crashes": _new_ends(0.15, 0.02, jobs.Outcome.CRASHED),
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", GOOD_VERSIONS)
def test_good_version_succeeds_in_time(name: str, seed: int) -> None:
    """Guards against a rollback for failures that both versions have."""
    scene = fleet.Fleet(GOOD_VERSIONS[name], seed=seed)
    scene.begin()
    scene.run(5.9)
    _assert_exposure(scene)
    scene.run(12.0)
    assert scene.writes == GOOD


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", BAD_VERSIONS)
def test_bad_version_is_stopped(name: str, seed: int) -> None:
    """Guards against exposure, and against a rollback that comes late."""
    scene = fleet.Fleet(BAD_VERSIONS[name], seed=seed)
    scene.begin()
    scene.run(12.0)
    assert scene.writes == ROLLED_BACK
    if name != "after move":  # Accepted, so the limit has ended.
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
