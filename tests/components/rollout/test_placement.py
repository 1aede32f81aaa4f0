"""Requests of a whole admission controller during an order."""

import asyncio
import collections
import dataclasses
import random

from tamarackbridge import platform_parts
from tamarackbridge.components.admission import (
    controller,
    observed_load,
    shares,
)
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import source, state
from tamarackbridge.components.placement import ledger
from tamarackbridge.components.rollout import models as rollout
from tamarackbridge.components.rollout import placement
from tamarackbridge.platform import settings
from tests import clocks
from tests.components.gateway import rig
from tests.components.knowledge import builders
from tests.components.rollout import fleet

PHASES = rollout.Phase


class NoPeers:
    """A fleet of one router."""

    def routers(self) -> tuple[str, ...]:
        return ("r1",)

    def peers_use(self) -> dict[str, shares.Usage]:
        return {}

    def peers_engine_load(self) -> observed_load.ObservedLoad:
        return observed_load.NO_LOAD

    def peers_use_age_s(self) -> float:
        return 0.0

    def request_report(self) -> None:
        """Does nothing: nobody gets it."""


class World:
    """One router with two old and three new servers of six slots."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        local_copy = state.LocalCopy(fleet.BOUNDS)
        local_copy.configuration = builders.configuration()
        for name in ("old-0", "old-1", "new-0", "new-1", "new-2"):
            server = builders.server(name, "app", slots=6)
            version = "v2" if name.startswith("new") else "v1"
            local_copy.register(dataclasses.replace(server, version=version), 0)
        rng = random.Random(1)
        text = rig.settings_text("127.0.0.1:1", [1, 2, 3, 4])
        cfg = settings.parse(
            f"{text}\nbounds.exposure_share=0.5\nbounds.exposure_slack=0"
        )
        self.deps = platform_parts.make(cfg, local_copy, lambda: 0.0, rng)
        assert self.deps.rollouts is not None
        self.gate, self.local_copy = self.deps.rollouts, local_copy
        self.controller = controller.AdmissionController(
            self.deps, self.clock, rng, NoPeers(), lambda wait_s: None
        )

    def order(self, *items: knowledge.RolloutOrder) -> None:
        self.local_copy.rollouts = {item.name: item for item in items}
        self.local_copy.record_revision(source.Kind.ROLLOUTS, 1, True)
        self.gate.sync(self.clock.now)

    def begin(self) -> None:
        self.order()
        self.order(fleet.order())

    async def async_admit(self, job: jobs.Job) -> jobs.Permit:
        return (await self.controller.async_admit(job)).unwrap()

    async def async_send(self, count: int) -> collections.Counter[str]:
        """Sends requests one after the other; returns their versions."""
        versions: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            self.clock.now += 0.03
            permit = await self.async_admit(_job(self.clock.now))
            versions[permit.server.version] += 1
            permit.finish(jobs.Outcome.SERVED)
        return versions


def _job(now: float, resumable: bool = False) -> jobs.Job:
    request = models.Request(
        "q", "GET", "a.example", "/x/1", (), "key", 12.0, 0, 0, 0, (), ""
    )
    kind = knowledge.RouteKind.STREAM if resumable else None
    route = builders.route(
        kind or knowledge.RouteKind.IDEMPOTENT, "app", resumable=resumable
    )
    service = builders.plain_service()
    return jobs.Job(request, route, service, "w", now, now + 12.0)


async def test_canary_requests_go_to_few_new_servers() -> None:
    """Guards against a version that is seen without load."""
    world = World()
    world.begin()
    versions = await world.async_send(200)
    assert 10 <= versions["v2"] <= 60
    servers = list(world.local_copy.servers.values())
    canaries = placement.canaries(servers, "v2", 0.1, world.clock.now)
    assert len(canaries) == 2


async def test_all_requests_go_where_the_phase_allows() -> None:
    world = World()
    world.begin()
    current = world.gate.orders["app"]
    for phase, version in (
        (PHASES.MOVING, "v2"),
        (PHASES.BAD, "v1"),
        (PHASES.SUCCEEDED, "v2"),
    ):
        current.phase = phase
        world.gate.changes += 1
        assert set(await world.async_send(20)) == {version}


async def test_other_servers_are_used_if_the_new_ones_are_gone() -> None:
    """Guards against no server after a success."""
    world = World()
    world.order()
    world.order(fleet.order(state=fleet.STATES.SUCCEEDED))
    for name in ("new-0", "new-1", "new-2"):
        world.local_copy.unregister(name, world.clock.now, 0.0)
    assert set(await world.async_send(5)) == {"v1"}


async def test_waiting_requests_are_placed_again() -> None:
    """Guards against requests that wait for servers of a bad version."""
    world = World()
    world.begin()
    current = world.gate.orders["app"]
    current.phase = PHASES.MOVING
    world.gate.changes += 1
    for _ in range(18):
        await world.async_admit(_job(world.clock.now))
    waiting = asyncio.create_task(world.async_admit(_job(world.clock.now)))
    await asyncio.sleep(0)
    assert not waiting.done()
    current.phase = PHASES.BAD
    world.gate.changes += 1
    world.clock.now += 0.1
    world.controller.dispatch_waiting()
    assert (await waiting).server.version == "v1"
    await world.controller.on_stop()


async def test_full_canaries_leave_requests_to_the_old_version() -> None:
    """Guards against canary requests that wait while others have room."""
    world = World()
    world.begin()
    world.gate.orders["app"].credit.record_sent(2.0, False)
    servers = list(world.local_copy.servers.values())
    for registered in placement.canaries(servers, "v2", 0.1, 0.0):
        for _ in range(6):
            world.deps.work.begin(
                ledger.Reservation(registered.server, "", 0, 0, 0.0)
            )
    assert (await world.async_send(1)) == {"v1": 1}


async def test_broken_stream_goes_on_at_its_version() -> None:
    """Guards against a stream that is joined from two versions."""
    world = World()
    world.begin()
    for version in ("v1", "v2"):
        for _ in range(20):
            world.clock.now += 0.03
            job = _job(world.clock.now, resumable=True)
            permit = await world.async_admit(job)
            if permit.server.version != version:
                permit.finish(jobs.Outcome.SERVED)
                continue
            job.attempts += 1
            job.excluded_servers.add(permit.server.name)
            resumed = await world.async_admit(job)
            assert resumed.server.version == version
            assert resumed.server.name != permit.server.name
            resumed.finish(jobs.Outcome.SERVED)
            permit.finish(jobs.Outcome.SERVED)
            break
        else:
            raise AssertionError(f"no request was sent to {version}")


async def test_attempt_that_was_not_sent_is_not_exposure() -> None:
    """Guards against credit that is spent for nothing."""
    world = World()
    world.begin()
    credit = world.gate.orders["app"].credit
    for _ in range(100):
        world.clock.now += 0.03
        before = credit.credit
        permit = await world.async_admit(_job(world.clock.now))
        permit.finish(jobs.Outcome.UNSENT)
        assert credit.credit >= before
    assert world.gate.orders["app"].evidence.cells == {}
