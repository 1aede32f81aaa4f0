"""Replay of arrivals at many routers that share model engines."""

import asyncio
import collections
from collections.abc import Callable, Iterable, Sequence
import contextvars
import math
import random
from typing import Any, cast

import result

from tamarackbridge import core
from tamarackbridge.components.admission import (
    controller,
    observed_load,
    shares,
)
from tamarackbridge.components.fleet import sharing, view
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import applier, relay
from tamarackbridge.components.placement import server_speeds
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.admission import load_replay
from tests.components.fleet import rig

ZONES = 4
LINK_S = 0.002
"""Latency of a message between two routers."""

LEAD_S = 2.0
"""Time for which the routers exchange reports before the first arrival."""


class Links:
    """Delivers the messages of one router to the others."""

    def __init__(self, src: str, routers: dict[str, "Router"]) -> None:
        self._src = src
        self._routers = routers

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Does nothing; all links exist from the start."""

    def post(self, to: str, msg: core.Message) -> None:
        router = self._routers.get(to)
        if router is not None:
            asyncio.get_running_loop().call_later(
                LINK_S, router.deliver, self._src, msg, context=router.context
            )


class Router:
    """The admission controller and the sharing service of one router.

    Attributes:
        controller: Its admission controller.
        sharing: Its sharing service.
        context: Context in which its tasks run; None for that of the replay.
        headroom_cores: Returns the headroom of its processor, in cores.
        deps: What its admission controller reads and updates.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        fleet: dict[str, str],
        engines: Iterable[str],
        tokens_per_s: float,
        slots: int,
        clock: core.Clock,
        context: contextvars.Context | None = None,
        learns: bool = False,
    ) -> None:
        self.context = context
        self.headroom_cores: Callable[[], float] = lambda: 0.0
        deps = load_replay.make_dependencies(
            address, zone, engines, tokens_per_s, slots
        )
        self.deps = deps
        speeds = None
        if learns:
            speeds = server_speeds.ServerSpeeds(deps.local_copy)
            deps.estimator.speeds = speeds
        self._clock = clock
        configuration_applier = applier.Applier(
            deps.local_copy, clock, lambda: None, lambda name: None
        )
        configuration_relay = relay.Relay(
            deps.local_copy, configuration_applier, clock
        )
        self.sharing = sharing.SharingService(
            address,
            zone,
            (),
            rig.FixedDirectory(fleet),
            clock,
            view.LocalState(
                work=deps.work,
                cache_index=deps.cache_index,
                use=self._use,
                engine_load=self._seen,
                take_new_blocks=self._fresh,
                prefill_tokens_per_s=deps.estimator.prefill_tokens_per_s,
                versions=configuration_relay.versions,
                server_notices=deps.server_notices,
                block_quarantine=deps.block_quarantine,
                headroom_cores=lambda: self.headroom_cores(),
                speeds=speeds.store if speeds is not None else None,
                demand=deps.demand,
            ),
            configuration_relay,
            self._pump,
        )
        self.controller = controller.AdmissionController(
            deps,
            clock,
            random.Random(address),
            self.sharing,
            lambda seconds: None,
        )

    def deliver(self, src: str, msg: core.Message) -> None:
        self.sharing.receive(core.Delivery(src, msg, LINK_S))

    def _use(self) -> dict[str, shares.Usage]:
        return dict(
            self.controller.share_tracker.usage.sums(self._clock.monotonic())
        )

    def _seen(self) -> observed_load.ObservedLoad:
        return self.controller.share_tracker.observed_load(
            self._clock.monotonic()
        )

    def _fresh(self) -> list[tuple[str, int]]:
        fresh, self.controller.unreported_blocks = (
            self.controller.unreported_blocks,
            [],
        )
        return fresh

    def _pump(self) -> None:
        self.controller.dispatch_waiting()


class FleetReplay:
    """Replays arrivals at many routers in front of some engines.

    Time is virtual.
    """

    def __init__(
        self,
        routers: int,
        engines: int,
        tokens_per_s: float,
        slots: int = load_replay.SLOTS,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._slots = slots
        self._engines = {
            f"s{n}": load_replay.Engine(slots) for n in range(engines)
        }
        self._zones = {f"r{n:03}": f"z{n % ZONES}" for n in range(routers)}
        self._tokens_per_s = tokens_per_s
        self._fail_at = math.inf
        self._failing: list[load_replay.Engine] = []

    def fail(self, engines: int, at: float) -> None:
        """Makes some engines fail without notice at a time."""
        self._fail_at = at
        self._failing = list(self._engines.values())[:engines]

    def play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.RequestRecord]:
        """Replays arrivals for some seconds; those without a router use any."""
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            return runner.run(self._async_play(arrivals, seconds))

    async def _async_play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.RequestRecord]:
        loop = asyncio.get_running_loop()
        clock = virtual_loop.LoopClock(loop)
        routers: dict[str, Router] = {}
        for address, zone in self._zones.items():
            router = Router(
                address,
                zone,
                self._zones,
                self._engines,
                self._tokens_per_s,
                self._slots,
                clock,
            )
            links = Links(address, routers)
            router.sharing.set_transport(cast(transport.PeerService, links))
            routers[address] = router
        for router in routers.values():
            await router.sharing.on_start()
        await asyncio.sleep(LEAD_S)
        begin = loop.time()
        tasks: list[asyncio.Task[Any]] = [
            asyncio.create_task(self._async_run_engines(begin))
        ]
        records = []
        for number, arrival in enumerate(
            sorted(arrivals, key=lambda arrival: arrival.at)
        ):
            await asyncio.sleep(max(begin + arrival.at - loop.time(), 0.0))
            record = load_replay.RequestRecord(arrival)
            records.append(record)
            via = arrival.router or self._rng.choice(list(routers))
            job = load_replay.make_job(
                arrival, number, loop.time(), self._slots
            )
            tasks.append(
                asyncio.create_task(
                    self._async_admit(
                        routers[via].controller, record, job, begin
                    )
                )
            )
        await asyncio.sleep(begin + seconds - loop.time())
        for task in tasks:
            task.cancel()
        for router in routers.values():
            await router.controller.on_stop()
            await router.sharing.on_stop()
        return records

    async def _async_run_engines(self, begin: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(load_replay.STEP_S)
            now = loop.time() - begin
            if now >= self._fail_at:
                self._fail_at = math.inf
                for engine in self._failing:
                    for run in engine.fail():
                        run.record.rejected_at = now
                        run.permit.finish(jobs.Outcome.LOST)
            for engine in self._engines.values():
                for run in engine.step(now):
                    run.record.ended_at = now
                    run.permit.finish(jobs.Outcome.SERVED)

    async def _async_admit(
        self,
        at: controller.AdmissionController,
        record: load_replay.RequestRecord,
        job: jobs.Job,
        begin: float,
    ) -> None:
        while True:
            admitted = await at.async_admit(job)
            if isinstance(admitted, result.Err):
                now = asyncio.get_running_loop().time() - begin
                record.rejected_at = now
                record.retry_after_s = admitted.err_value.retry_after_s
                return
            permit = admitted.ok_value
            engine = self._engines[permit.server.name]
            if not engine.has_failed:
                engine.accept(record, permit, job)
                return
            await asyncio.sleep(LINK_S)
            permit.finish(jobs.Outcome.UNREACHABLE)
            job.excluded_servers.add(permit.server.name)


def request_cost(arrival: load_replay.Arrival) -> float:
    """Returns the cost of a request; a generated token counts twice."""
    return arrival.prompt + 2.0 * arrival.output


def cost_by_second(
    records: Iterable[load_replay.RequestRecord], workspace: str, seconds: int
) -> tuple[list[float], list[float]]:
    """Returns the cost of what arrived and of what was started, by second."""
    requested, started = [0.0] * seconds, [0.0] * seconds
    for record in records:
        if record.arrival.workspace != workspace:
            continue
        cost = request_cost(record.arrival)
        if record.arrival.at < seconds:
            requested[int(record.arrival.at)] += cost
        if record.first_at is not None and record.first_at < seconds:
            started[int(record.first_at)] += cost
    return requested, started


def starved(
    records: Sequence[load_replay.RequestRecord], seconds: int, span: int = 6
) -> dict[str, tuple[int, float, float]]:
    """Finds workspaces that got far less than their share.

    A workspace is starved over a span if one of its requests is rejected or
    late in each second, and it got less than it was due. It is due half of its
    demand or half of what the best served workspace got, whichever is less in
    each second, minus three of its largest requests.

    Returns:
        By workspace the begin of the first such span, the cost due to it and
        the cost it got.
    """
    names = sorted({entry.arrival.workspace for entry in records})
    costs_by_workspace = {
        name: cost_by_second(records, name, seconds) for name in names
    }
    late_seconds: dict[str, set[int]] = collections.defaultdict(set)
    for record in records:
        late_seconds[record.arrival.workspace] |= _late_seconds(record, seconds)
    largest = {
        name: max(
            request_cost(entry.arrival)
            for entry in records
            if entry.arrival.workspace == name
        )
        for name in names
    }
    found = {}
    for begin in range(seconds - span + 1):
        span_seconds = range(begin, begin + span)
        best = [
            max(costs_by_workspace[name][1][at] for name in names)
            for at in span_seconds
        ]
        for name in names:
            requested, started = costs_by_workspace[name]
            got = sum(started[at] for at in span_seconds)
            due = sum(
                min(requested[at], best_cost)
                for at, best_cost in zip(span_seconds, best, strict=True)
            )
            due = due / 2 - 3 * largest[name]
            if got < due and late_seconds[name].issuperset(span_seconds):
                found.setdefault(name, (begin, due, got))
    return found


def _late_seconds(record: load_replay.RequestRecord, seconds: int) -> set[int]:
    """Returns the seconds in which a request is rejected or late."""
    if record.rejected_at is not None:
        return {int(record.rejected_at)}
    first = record.first_at if record.first_at is not None else float(seconds)
    late_from = record.arrival.at + load_replay.TARGET_S
    if first <= late_from:
        return set()
    return set(range(int(late_from), int(first) + 1))
