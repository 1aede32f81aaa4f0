"""Tests of the selection among servers of different learned speed."""

import collections
import dataclasses

import pytest

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    prefix_cache,
    request_profile,
    selector,
    server_speeds,
    warmup,
)
from tests.components.knowledge import builders
from tests.components.placement import test_selector

ROUTERS = tuple(f"r{number}" for number in range(81))
NOMINAL_S = 0.045


class World:
    """What one router selects servers with, and three servers."""

    def __init__(self, router: str = "r0", is_model: bool = False) -> None:
        self.service = (
            builders.model_service() if is_model else builders.plain_service()
        )
        self.local_copy = state.LocalCopy(builders.BOUNDS)
        self.work = ledger.ReservationLedger()
        self.estimator = estimate.Estimator(
            server_speeds.ServerSpeeds(self.local_copy)
        )
        self.now = 100.0
        self.selector = selector.ServerSelector(
            router,
            "z1",
            self.local_copy,
            self.work,
            prefix_cache.PrefixCacheIndex(),
            health.CircuitBreakers(),
            self.estimator,
            warmup.WarmupLimiter(router),
            notices.ServerNotices(),
        )
        self.slots = 64 if is_model else 6
        prefix = "s" if is_model else "p"
        self.names = tuple(f"{prefix}{number}" for number in range(3))
        for name in self.names:
            server = builders.server(name, self.service.name, slots=self.slots)
            self.local_copy.register(server, self.now)

    def observe(self, factors: dict[str, float], seconds: float = 2.0) -> None:
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            for name in self.names:
                took_s = NOMINAL_S * factors.get(name, 1.0)
                self.estimator.observe_response(name, took_s, 0.3, self.now)

    def report(self, requests: dict[str, int]) -> None:
        work = {name: ledger.Work(count) for name, count in requests.items()}
        self.work.apply_report("r99", ledger.WorkReport(work, self.now))

    def choose(self, job: jobs.Job | None = None) -> str | None:
        job = job or self.job()
        view = self.selector.view(ROUTERS, self.now)
        profile = request_profile.make(job)
        options = self.selector.shortlist(job, profile, view).options
        free = [option for option in options if not option.is_full]
        return free[0].registered.server.name if free else None

    def job(
        self, kind: knowledge.RouteKind = knowledge.RouteKind.IDEMPOTENT
    ) -> jobs.Job:
        made = test_selector.make_job(service=self.service, now=self.now)
        made.route = builders.route(kind, self.service.name)
        made.request = dataclasses.replace(made.request, prompt_blocks=())
        return made


def test_routers_do_not_all_choose_the_same_idle_server() -> None:
    """81 routers see one idle server beside busy ones, from late reports."""
    chosen: collections.Counter[str | None] = collections.Counter()
    for router in ROUTERS:
        world = World(router)
        world.report({"p0": 0, "p1": 3, "p2": 3})
        chosen[world.choose()] += 1
    assert chosen["p0"] <= 50
    assert min(chosen["p1"], chosen["p2"]) >= 10


def test_slow_server_gets_less_under_load() -> None:
    world = World()
    world.observe({"p0": 2.5})
    world.report({"p0": 2, "p1": 2, "p2": 2})
    chosen = collections.Counter(world.choose() for _ in range(300))
    assert 0 < chosen["p0"] < 0.7 * min(chosen["p1"], chosen["p2"])


def test_requests_to_a_slow_engine_differ_between_routers() -> None:
    """A slow engine is chosen at higher loads of the others, not by all."""
    loads = set()
    for router in ROUTERS[:12]:
        world = World(router, is_model=True)
        world.observe({"s0": 1.8})
        for requests in range(64):
            world.report({"s1": requests, "s2": requests})
            if world.choose() == "s0":
                loads.add(requests)
                break
    assert min(loads) > 0
    assert len(loads) >= 3


def test_equal_servers_are_used_as_without_the_model() -> None:
    """Without load and difference the nearest server is the choice."""
    learned, plain = World(), World()
    plain.estimator.speeds = None
    learned.observe({})
    plain.now = learned.now
    assert [learned.choose() for _ in range(20)] == [
        plain.choose() for _ in range(20)
    ]


def test_server_that_was_slow_is_probed_by_few_routers_at_a_time() -> None:
    probers = 0
    for router in ROUTERS:
        world = World(router)
        world.observe({"p0": 4.0}, 1.0)
        world.now += 2.0
        world.report({"p1": 9, "p2": 9})
        probers += world.choose() == "p0"
        world.report({"p0": 1, "p1": 9, "p2": 9})
        assert world.choose() is None
    assert 1 <= probers <= 20


@pytest.mark.parametrize("is_model", [False, True])
def test_only_server_left_is_used_although_it_was_slow(is_model: bool) -> None:
    """A second try must not wait for a probe when no other server is left."""
    world = World(is_model=is_model)
    world.observe({world.names[0]: 4.0}, 1.0)
    world.now += 2.0
    job = world.job()
    job.excluded_servers.update(world.names[1:])
    assert world.choose(job) == world.names[0]


@pytest.mark.parametrize(
    "spoil",
    [
        lambda world: world.job(knowledge.RouteKind.NON_IDEMPOTENT),
        lambda world: test_selector.make_job(
            service=world.service, now=world.now - 0.5
        ),
    ],
    ids=["may run only once", "has no time for a second try"],
)
def test_probe_can_be_in_time_elsewhere(spoil: object) -> None:
    for router in ROUTERS:
        world = World(router)
        world.observe({"p0": 4.0}, 1.0)
        world.now += 2.0
        world.report({"p1": 9, "p2": 9})
        assert callable(spoil)
        assert world.choose(spoil(world)) is None
