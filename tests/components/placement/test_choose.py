"""Placement under the loads that it is meant for."""

import collections
import dataclasses
import math

import pytest

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    choose,
    cold,
    estimate,
    health,
    ledger,
    notices,
    parts,
    pool,
)
from tests.components.knowledge import builders

ROUTERS = ("r1", "r2", "r3")


class World:
    """The parts of one router's placement, with five engines."""

    def __init__(self, zone: str = "z1", router: str = "r1") -> None:
        self.known = state.LocalCopy(builders.BOUNDS)
        self.work = ledger.Ledger()
        self.held = parts.HeldParts()
        self.breakers = health.Health()
        self.estimator = estimate.Estimator()
        self.limiter = cold.ColdLimiter("r1")
        self.notices = notices.Notices()
        self.chooser = choose.Chooser(
            router,
            zone,
            self.known,
            self.work,
            self.held,
            self.breakers,
            self.estimator,
            self.limiter,
            self.notices,
        )
        for number in range(5):
            server = builders.server(f"s{number}", zone=f"z{number % 3}")
            self.known.register(server, 0.0)

    def best(self, job: jobs.Job, now: float = 1.0) -> choose.Option:
        return self.chooser.options(job, ROUTERS, now)[0]

    def send(self, job: jobs.Job, now: float = 1.0) -> str:
        option = self.best(job, now)
        server = option.known.server
        self.work.begin(ledger.Ticket(server, "w", option.unread, 12_000, now))
        for number, _ in parts.chains(job.call.parts):
            self.held.note(server.name, number, now)
        return server.name


def make_job(
    subject: str = "b1",
    number: int = 0,
    now: float = 1.0,
    service: knowledge.Service | None = None,
) -> jobs.Job:
    call = models.Call(
        request_id=f"q{number}",
        method="POST",
        host="a.example",
        target="/x/1",
        headers=(),
        key="key",
        patience_s=12.0,
        prompt_tokens=12_000,
        output_tokens=1_120,
        output_hint=300,
        parts=(
            models.PromptPart("a", 512),
            models.PromptPart(subject, 4_870),
            models.PromptPart(f"own{number}", 6_618),
        ),
        resume_after="",
    )
    route = builders.route()
    service = service or builders.model_service()
    return jobs.Job(call, route, service, "w", now, now + 12.0)


def test_requests_that_share_parts_go_to_one_engine() -> None:
    world = World()
    servers = {
        world.send(make_job(number=number, now=number * 1.0), number * 1.0)
        for number in range(3)
    }
    assert len(servers) == 1


def test_routers_agree_on_an_engine_before_they_hear_of_each_other() -> None:
    subjects = [f"b{number}" for number in range(40)]
    first = [World("z1").send(make_job(subject)) for subject in subjects]
    second = [World("z2").send(make_job(subject)) for subject in subjects]
    agreed = sum(a == b for a, b in zip(first, second, strict=True))
    assert agreed >= 36
    assert len(set(first)) == 5


def test_hot_part_spreads_before_its_engine_is_late() -> None:
    """A clump of 40 requests for one subject arrives at once."""
    world = World()
    servers = collections.Counter(
        world.send(make_job(number=number)) for number in range(40)
    )
    assert len(servers) == 5
    assert max(servers.values()) <= 16


def test_clump_of_other_subjects_spreads_evenly() -> None:
    world = World()
    servers = collections.Counter(
        world.send(make_job(f"b{number}", number)) for number in range(50)
    )
    assert max(servers.values()) <= 2 * min(servers.values())


def test_others_work_counts() -> None:
    world = World()
    home = world.best(make_job()).known.server.name
    told = {home: ledger.Work(40, 200_000, 300_000)}
    world.work.hear("r2", ledger.Told(told, 1.0))
    assert world.best(make_job()).known.server.name != home


def test_failing_engine_is_left_out_unless_all_fail() -> None:
    world = World()
    home = world.best(make_job()).known.server.name
    world.breakers.note(home, jobs.Outcome.UNREACHABLE, 1.0)
    names = {
        it.known.server.name
        for it in world.chooser.options(make_job(), ROUTERS, 1.0)
    }
    assert home not in names
    for name in list(world.known.servers):
        world.breakers.note(name, jobs.Outcome.UNREACHABLE, 1.0)
    assert len(world.chooser.options(make_job(), ROUTERS, 1.0)) == 5


def test_engine_with_long_pauses_is_avoided() -> None:
    world = World()
    home = world.best(make_job()).known.server.name
    for step in range(200):
        world.estimator.observe_pause(home, 0.5, 0.9 + step * 0.0005)
    assert world.best(make_job()).known.server.name != home


def test_servers_that_were_tried_are_left_out() -> None:
    world = World()
    job = make_job()
    job.avoid.update(("s0", "s1", "s2", "s3"))
    options = world.chooser.options(job, ROUTERS, 1.0)
    assert [it.known.server.name for it in options] == ["s4"]
    job.avoid.add("s4")
    assert math.isinf(world.chooser.pools.opens_in_s("lm", job.avoid, 1.0))


def test_cold_engine_gets_its_rate_only() -> None:
    world = World()
    for name in ("s1", "s2", "s3", "s4"):
        world.known.unregister(name, 0.0, 0.0)
    world.known.register(builders.server("s0", cold_s=10.0), 0.0)
    assert world.chooser.options(make_job(), ROUTERS, 1.0)
    world.limiter.take("s0", 16.0, ROUTERS, 1.0)
    assert not world.chooser.options(make_job(), ROUTERS, 1.0)
    assert world.chooser.options(make_job(), ROUTERS, 11.0)


def test_full_engine_is_marked() -> None:
    world = World()
    told = {f"s{n}": ledger.Work(64, 0, 100_000) for n in range(5)}
    world.work.hear("r2", ledger.Told(told, 1.0))
    assert all(
        it.full for it in world.chooser.options(make_job(), ROUTERS, 1.0)
    )


def test_plain_requests_go_to_their_own_zone_until_it_is_full() -> None:
    world = World(zone="z2")
    for number in range(3):
        server = builders.server(
            f"p{number}", "app", zone=f"z{number}", slots=6
        )
        world.known.register(server, 0.0)
    job = make_job(service=builders.plain_service())
    assert world.best(job).known.server.name == "p2"
    told = {"p2": ledger.Work(6, 0, 0)}
    world.work.hear("r2", ledger.Told(told, 1.0))
    assert world.best(job).known.server.name != "p2"


def large_world(engines: int = 60) -> World:
    world = World()
    for number in range(5, engines):
        server = builders.server(f"s{number}", zone=f"z{number % 3}")
        world.known.register(server, 0.0)
    return world


def test_large_service_is_weighed_in_part() -> None:
    world = large_world()
    options = world.chooser.options(make_job(), ROUTERS, 1.0)
    assert pool.FEW <= len(options) <= 2 * pool.FEW


def test_least_busy_engines_of_a_large_service_are_weighed() -> None:
    world = large_world()
    idle = {"s31", "s47"}
    told = {
        f"s{number}": ledger.Work(40, 100_000, 300_000)
        for number in range(60)
        if f"s{number}" not in idle
    }
    world.work.hear("r2", ledger.Told(told, 1.0))
    assert world.best(make_job()).known.server.name in idle


def test_parts_are_shared_in_a_large_service_too() -> None:
    world = large_world()
    servers = {
        world.send(make_job(number=number, now=number * 1.0), number * 1.0)
        for number in range(3)
    }
    assert len(servers) == 1


def test_reading_of_all_engines_counts_for_the_pressure() -> None:
    world = large_world()
    assert world.chooser.pools.load(1.0) is None
    world.known.apply_configuration(builders.configuration())
    idle = world.chooser.pools.load(1.0)
    assert idle is not None
    assert idle.reading_s == 0.0
    told = {f"s{number}": ledger.Work(1, 9_000, 0) for number in range(30)}
    world.work.hear("r2", ledger.Told(told, 2.0))
    seen = world.chooser.pools.load(2.0)
    assert seen is not None
    assert abs(seen.reading_s - 0.05) < 1e-6
    assert seen.engines == 60


@pytest.mark.parametrize("change", ["leaves", "closed", "gone", "out", "fails"])
def test_change_counts_at_once_among_many_engines(change: str) -> None:
    """What is kept of an engine for some turns is never older than a change."""
    world = large_world()
    home = world.best(make_job()).known.server
    match change:
        case "leaves":
            world.notices.note_leaving(home, 1.0)
        case "closed":
            world.notices.close(home, 1.0, 1.0)
        case "gone":
            world.known.unregister(home.name, 1.0, 0.0)
        case "out":
            world.known.zones_out = frozenset((home.zone,))
        case "fails":
            world.breakers.note(home.name, jobs.Outcome.UNREACHABLE, 1.0)
    options = world.chooser.options(make_job(), ROUTERS, 1.0)
    assert home.name not in [it.known.server.name for it in options]


def test_failing_engines_are_used_when_all_fail() -> None:
    world = World()
    for name in world.known.servers:
        world.breakers.note(name, jobs.Outcome.UNREACHABLE, 1.0)
    assert len(world.chooser.options(make_job(), ROUTERS, 1.0)) == 5


def _plain_world(router: str, zone: str) -> World:
    world = World(zone, router)
    for number in range(3):
        server = builders.server(f"a{number}", "app", f"z{number}", slots=6)
        world.known.register(server, 0.0)
    return world


@pytest.mark.parametrize("zone", ["z0", "z1", "z2"])
def test_idle_plain_server_of_the_own_zone_comes_first(zone: str) -> None:
    world = _plain_world("r1", zone)
    job = make_job(service=builders.plain_service())
    job.call = dataclasses.replace(job.call, parts=(), output_tokens=0)
    assert world.best(job).known.server.zone == zone


def test_routers_that_see_idle_servers_do_not_all_choose_the_same() -> None:
    """Each of many routers has one request now, and none is near a server."""
    job = make_job(service=builders.plain_service())
    chosen = collections.Counter(
        _plain_world(f"r{number}", "z9").best(job).known.server.name
        for number in range(90)
    )
    assert len(chosen) == 3
    assert min(chosen.values()) >= 15
