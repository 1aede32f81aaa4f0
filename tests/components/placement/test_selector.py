"""Tests of server selection under the load patterns it is made for."""

import collections
import dataclasses
import math

import pytest

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    pool,
    prefix_cache,
    scoring,
    selector,
    warmup,
)
from tests.components.knowledge import builders

ROUTERS = ("r1", "r2", "r3")


class World:
    """The components that one router selects servers with, and five engines."""

    def __init__(self, zone: str = "z1", router: str = "r1") -> None:
        self.local_copy = state.LocalCopy(builders.BOUNDS)
        self.work = ledger.ReservationLedger()
        self.cache_index = prefix_cache.PrefixCacheIndex()
        self.breakers = health.CircuitBreakers()
        self.estimator = estimate.Estimator()
        self.limiter = warmup.WarmupLimiter("r1")
        self.notices = notices.ServerNotices()
        self.server_selector = selector.ServerSelector(
            router,
            zone,
            self.local_copy,
            self.work,
            self.cache_index,
            self.breakers,
            self.estimator,
            self.limiter,
            self.notices,
        )
        for number in range(5):
            server = builders.server(f"s{number}", zone=f"z{number % 3}")
            self.local_copy.register(server, 0.0)

    def best(self, job: jobs.Job, now: float = 1.0) -> scoring.ScoredServer:
        return self.server_selector.options(job, ROUTERS, now)[0]

    def send(self, job: jobs.Job, now: float = 1.0) -> str:
        option = self.best(job, now)
        server = option.registered.server
        self.work.begin(
            ledger.Reservation(server, "w", option.prefill_tokens, 12_000, now)
        )
        for block_hash, _ in prefix_cache.hash_blocks(
            job.request.prompt_blocks
        ):
            self.cache_index.record_use(server.name, block_hash, now)
        return server.name


def make_job(
    subject: str = "b1",
    number: int = 0,
    now: float = 1.0,
    service: knowledge.Service | None = None,
) -> jobs.Job:
    request = models.Request(
        request_id=f"q{number}",
        method="POST",
        host="a.example",
        target="/x/1",
        headers=(),
        key="key",
        caller_timeout_s=12.0,
        prompt_tokens=12_000,
        output_tokens=1_120,
        output_hint=300,
        prompt_blocks=(
            models.PromptBlock("a", 512),
            models.PromptBlock(subject, 4_870),
            models.PromptBlock(f"own{number}", 6_618),
        ),
        resume_after="",
    )
    route = builders.route()
    service = service or builders.model_service()
    return jobs.Job(request, route, service, "w", now, now + 12.0)


def test_requests_with_shared_blocks_go_to_one_engine() -> None:
    world = World()
    servers = {
        world.send(make_job(number=number, now=number * 1.0), number * 1.0)
        for number in range(3)
    }
    assert len(servers) == 1


def test_routers_select_the_same_engine_before_any_report() -> None:
    subjects = [f"b{number}" for number in range(40)]
    from_z1 = [World("z1").send(make_job(subject)) for subject in subjects]
    from_z2 = [World("z2").send(make_job(subject)) for subject in subjects]
    agreed = sum(a == b for a, b in zip(from_z1, from_z2, strict=True))
    assert agreed >= 36
    assert len(set(from_z1)) == 5


def test_popular_block_spreads_before_its_engine_is_late() -> None:
    """40 requests with the same shared blocks arrive at once.

    They must spread before the engine that holds the blocks is late: no first
    event has come yet that would show its backlog.
    """
    world = World()
    servers = collections.Counter(
        world.send(make_job(number=number)) for number in range(40)
    )
    assert len(servers) == 5
    assert max(servers.values()) <= 16


def test_clump_without_common_subject_spreads_evenly() -> None:
    world = World()
    servers = collections.Counter(
        world.send(make_job(f"b{number}", number)) for number in range(50)
    )
    assert max(servers.values()) <= 2 * min(servers.values())


def test_work_of_other_routers_counts() -> None:
    world = World()
    home = world.best(make_job()).registered.server.name
    reported = {home: ledger.Work(40, 200_000, 300_000)}
    world.work.apply_report("r2", ledger.WorkReport(reported, 1.0))
    assert world.best(make_job()).registered.server.name != home


def test_engine_with_open_breaker_is_left_out_unless_all_are_open() -> None:
    world = World()
    home = world.best(make_job()).registered.server.name
    world.breakers.record_outcome(home, jobs.Outcome.UNREACHABLE, 1.0)
    names = {
        option.registered.server.name
        for option in world.server_selector.options(make_job(), ROUTERS, 1.0)
    }
    assert home not in names
    for name in list(world.local_copy.servers):
        world.breakers.record_outcome(name, jobs.Outcome.UNREACHABLE, 1.0)
    assert len(world.server_selector.options(make_job(), ROUTERS, 1.0)) == 5


def test_engine_with_long_pauses_is_avoided() -> None:
    world = World()
    home = world.best(make_job()).registered.server.name
    for step in range(200):
        world.estimator.observe_pause(home, 0.5, 0.9 + step * 0.0005)
    assert world.best(make_job()).registered.server.name != home


def test_servers_of_earlier_attempts_are_left_out() -> None:
    world = World()
    job = make_job()
    job.excluded_servers.update(("s0", "s1", "s2", "s3"))
    options = world.server_selector.options(job, ROUTERS, 1.0)
    assert [option.registered.server.name for option in options] == ["s4"]
    job.excluded_servers.add("s4")
    assert math.isinf(
        world.server_selector.pools.opens_in_s("lm", job.excluded_servers, 1.0)
    )


def test_warming_engine_gets_only_its_warmup_rate() -> None:
    world = World()
    for name in ("s1", "s2", "s3", "s4"):
        world.local_copy.unregister(name, 0.0, 0.0)
    world.local_copy.register(builders.server("s0", cold_s=10.0), 0.0)
    assert world.server_selector.options(make_job(), ROUTERS, 1.0)
    world.limiter.record_sent("s0", 16.0, ROUTERS, 1.0)
    assert not world.server_selector.options(make_job(), ROUTERS, 1.0)
    assert world.server_selector.options(make_job(), ROUTERS, 11.0)


def test_full_engine_is_marked() -> None:
    world = World()
    reported = {f"s{n}": ledger.Work(64, 0, 100_000) for n in range(5)}
    world.work.apply_report("r2", ledger.WorkReport(reported, 1.0))
    assert all(
        option.is_full
        for option in world.server_selector.options(make_job(), ROUTERS, 1.0)
    )


def test_plain_requests_stay_in_their_zone_until_it_is_full() -> None:
    world = World(zone="z2")
    for number in range(3):
        server = builders.server(
            f"p{number}", "app", zone=f"z{number}", slots=6
        )
        world.local_copy.register(server, 0.0)
    job = make_job(service=builders.plain_service())
    assert world.best(job).registered.server.name == "p2"
    reported = {"p2": ledger.Work(6, 0, 0)}
    world.work.apply_report("r2", ledger.WorkReport(reported, 1.0))
    assert world.best(job).registered.server.name != "p2"


def large_world(engines: int = 60) -> World:
    world = World()
    for number in range(5, engines):
        server = builders.server(f"s{number}", zone=f"z{number % 3}")
        world.local_copy.register(server, 0.0)
    return world


def test_only_some_engines_of_a_large_service_are_scored() -> None:
    world = large_world()
    options = world.server_selector.options(make_job(), ROUTERS, 1.0)
    assert (
        pool.CANDIDATES_PER_ORDER
        <= len(options)
        <= 2 * pool.CANDIDATES_PER_ORDER
    )


def test_idle_engines_of_a_large_service_are_scored() -> None:
    world = large_world()
    idle = {"s31", "s47"}
    reported = {
        f"s{number}": ledger.Work(40, 100_000, 300_000)
        for number in range(60)
        if f"s{number}" not in idle
    }
    world.work.apply_report("r2", ledger.WorkReport(reported, 1.0))
    assert world.best(make_job()).registered.server.name in idle


def test_requests_with_shared_blocks_go_to_one_engine_of_many() -> None:
    world = large_world()
    servers = {
        world.send(make_job(number=number, now=number * 1.0), number * 1.0)
        for number in range(3)
    }
    assert len(servers) == 1


def test_load_averages_the_prefill_backlog_of_all_engines() -> None:
    world = large_world()
    assert world.server_selector.pools.load(1.0) is None
    world.local_copy.apply_configuration(builders.configuration())
    idle = world.server_selector.pools.load(1.0)
    assert idle is not None
    assert idle.prefill_backlog_s == 0.0
    reported = {f"s{number}": ledger.Work(1, 9_000, 0) for number in range(30)}
    world.work.apply_report("r2", ledger.WorkReport(reported, 2.0))
    busy = world.server_selector.pools.load(2.0)
    assert busy is not None
    assert abs(busy.prefill_backlog_s - 0.05) < 1e-6
    assert busy.engines == 60


@pytest.mark.parametrize("change", ["leaves", "closed", "gone", "out", "fails"])
def test_change_of_a_server_takes_effect_at_once(change: str) -> None:
    """A pool that is kept for some scheduling passes must not outlive a change.

    Otherwise a server that must not get requests would get some more.
    """
    world = large_world()
    home = world.best(make_job()).registered.server
    match change:
        case "leaves":
            world.notices.record_shutdown(home, 1.0)
        case "closed":
            world.notices.close(home, 1.0, 1.0)
        case "gone":
            world.local_copy.unregister(home.name, 1.0, 0.0)
        case "out":
            world.local_copy.zones_out = frozenset((home.zone,))
        case "fails":
            world.breakers.record_outcome(
                home.name, jobs.Outcome.UNREACHABLE, 1.0
            )
    options = world.server_selector.options(make_job(), ROUTERS, 1.0)
    assert home.name not in [
        option.registered.server.name for option in options
    ]


def test_engines_with_open_breakers_are_used_when_all_are_open() -> None:
    world = World()
    for name in world.local_copy.servers:
        world.breakers.record_outcome(name, jobs.Outcome.UNREACHABLE, 1.0)
    assert len(world.server_selector.options(make_job(), ROUTERS, 1.0)) == 5


def _plain_world(router: str, zone: str) -> World:
    world = World(zone, router)
    for number in range(3):
        server = builders.server(f"a{number}", "app", f"z{number}", slots=6)
        world.local_copy.register(server, 0.0)
    return world


@pytest.mark.parametrize("zone", ["z0", "z1", "z2"])
def test_idle_plain_server_of_the_same_zone_comes_first(zone: str) -> None:
    world = _plain_world("r1", zone)
    job = make_job(service=builders.plain_service())
    job.request = dataclasses.replace(
        job.request, prompt_blocks=(), output_tokens=0
    )
    assert world.best(job).registered.server.zone == zone


def test_routers_do_not_all_select_the_same_idle_server() -> None:
    """90 routers, none in the zone of a server, each have one request.

    Without a tie break that differs between routers, all would send to the
    first server.
    """
    job = make_job(service=builders.plain_service())
    chosen = collections.Counter(
        _plain_world(f"r{number}", "z9").best(job).registered.server.name
        for number in range(90)
    )
    assert len(chosen) == 3
    assert min(chosen.values()) >= 15


def test_engines_with_a_limit_of_their_own_hide_no_load() -> None:
    """Others are full, while those hardly get a request."""
    world = World()
    service = knowledge.Service("lm", "/health", 100, 0.0, 4, 100_000, 1)
    cfg = knowledge.Configuration(
        version=1,
        routes=(),
        services={service.name: service},
        limits=knowledge.Limits(),
        workspaces=None,
    )
    world.local_copy.configuration = cfg
    pools = world.server_selector.pools
    servers = [
        registered.server
        for registered in world.local_copy.usable(service.name, 1.0)
    ]
    for server in servers[:2]:
        for _ in range(4):
            world.work.begin(ledger.Reservation(server, "w", 0, 10, 1.0))
    load = pools.load(1.0)
    assert load is not None
    assert load.fill == pytest.approx(2 / len(servers))
    for server in servers[2:]:
        world.notices.limits.record(server, 1.0, 1.0)
    load = pools.load(1.0)
    assert load is not None
    assert load.fill == 1.0
    for server in servers[:2]:
        world.notices.limits.record(server, 1.0, 1.0)
    load = pools.load(1.0)
    assert load is not None
    assert load.fill < 1.0
