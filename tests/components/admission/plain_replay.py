"""Replay of arrivals at many routers that share plain servers.

Reports are stood in for: each router is given the sum of what the others know,
at an interval and as old as reports are. Time is virtual.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import math
import random

import result

from tamarackbridge.components.admission import controller, service_demand
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import (
    ledger,
    server_speeds,
    speed_store,
    speed_sums,
)
from tests import virtual_loop
from tests.components.admission import load_replay
from tests.components.knowledge import builders

SERVICE_S = 0.045
SLOTS = 6
SERVER_QUEUE = 3
"""Requests that a server lets wait before it rejects."""

REPORT_INTERVAL_S = 0.2
REPORT_AGE_S = 0.05
"""Age of a report when it arrives; it is 0.25 s old when the next one does."""


@dataclasses.dataclass(slots=True)
class Record:
    """One request and what became of it."""

    at: float
    router: int
    is_once: bool
    served_s: float | None = None
    rejected_by: str = ""
    retry_after_s: float = 0.0


class Server:
    """A plain server with slots and a short queue."""

    def __init__(self, rng: random.Random, factor: float) -> None:
        self._rng = rng
        self._factor = factor
        self._slots = asyncio.Semaphore(SLOTS)
        self._present = 0

    async def async_serve(self) -> bool:
        """Serves a request; returns False if the server rejects it."""
        if self._present >= SLOTS + SERVER_QUEUE:
            return False
        self._present += 1
        try:
            async with self._slots:
                scatter = math.exp(self._rng.gauss(0.0, 0.2))
                await asyncio.sleep(SERVICE_S * self._factor * scatter)
        finally:
            self._present -= 1
        return True


class _Peers(load_replay.NoPeers):
    def __init__(self, count: int) -> None:
        self._names = tuple(f"r{number}" for number in range(count))

    def routers(self) -> tuple[str, ...]:
        return self._names


class Router:
    """The admission controller of one router, with what it reports."""

    def __init__(
        self,
        number: int,
        count: int,
        zone: str,
        servers: Sequence[knowledge.BackendServer],
        clock: virtual_loop.LoopClock,
        learns: bool,
    ) -> None:
        name = f"r{number}"
        self.deps = load_replay.make_dependencies(name, zone, (), 1e6)
        for server in servers:
            self.deps.local_copy.register(server, clock.monotonic())
        self.store = speed_store.SpeedStore(self.deps.local_copy)
        if learns:
            speeds = server_speeds.ServerSpeeds(self.deps.local_copy)
            self.deps.estimator.speeds, self.store = speeds, speeds.store
        self.controller = controller.AdmissionController(
            self.deps,
            clock,
            random.Random(number),
            _Peers(count),
            lambda seconds: None,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    work: dict[str, ledger.Work]
    demand: dict[str, service_demand.Demand]
    speeds: dict[str, speed_store.ReportedSums]


class PlainReplay:
    """Replays arrivals at many routers before some plain servers.

    Args:
        routers: Number of routers; two thirds of them are in zone z0.
        factors: How slow each server is; they are in zones z0, z1, ...
        learns: Whether routers learn speeds.
    """

    def __init__(
        self, routers: int, factors: Sequence[float], learns: bool = True
    ) -> None:
        self._count = routers
        self._factors = factors
        self._learns = learns
        self._rng = random.Random(3)

    def play(
        self, per_s: float, seconds: float, once_fraction: float = 0.0
    ) -> list[Record]:
        """Replays random arrivals for some seconds."""
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            return runner.run(self._async_play(per_s, seconds, once_fraction))

    async def _async_play(
        self, per_s: float, seconds: float, once_fraction: float
    ) -> list[Record]:
        loop = asyncio.get_running_loop()
        clock = virtual_loop.LoopClock(loop)
        registered = [
            builders.server(f"p{number}", "app", f"z{number}", slots=SLOTS)
            for number in range(len(self._factors))
        ]
        self._servers = {
            server.name: Server(self._rng, factor)
            for server, factor in zip(registered, self._factors, strict=True)
        }
        routers = [
            Router(
                number,
                self._count,
                "z0" if number % 3 else f"z{1 + number % 2}",
                registered,
                clock,
                self._learns,
            )
            for number in range(self._count)
        ]
        tasks: list[asyncio.Task[None]] = [
            asyncio.create_task(self._async_report(routers))
        ]
        begin, records = loop.time(), []
        while loop.time() - begin < seconds:
            await asyncio.sleep(self._rng.expovariate(per_s))
            record = Record(
                loop.time() - begin,
                self._rng.randrange(self._count),
                self._rng.random() < once_fraction,
            )
            records.append(record)
            router = routers[record.router]
            tasks.append(
                asyncio.create_task(
                    self._async_call(router, record, len(records))
                )
            )
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        for router in routers:
            await router.controller.on_stop()
        return records

    async def _async_call(
        self, router: Router, record: Record, number: int
    ) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        arrival = load_replay.Arrival(0.0, "w", 0, 0)
        job = load_replay.make_job(arrival, number, began)
        kind = knowledge.RouteKind.IDEMPOTENT
        if record.is_once:
            kind = knowledge.RouteKind.NON_IDEMPOTENT
        job.service = builders.plain_service()
        job.route = builders.route(kind, "app", target_s=0.4, timeout_s=2.0)
        job.deadline = began + 2.0
        while True:
            admitted = await router.controller.async_admit(job)
            if isinstance(admitted, result.Err):
                record.rejected_by = record.rejected_by or "router"
                record.retry_after_s = admitted.err_value.retry_after_s
                return
            if await self._async_send(admitted.ok_value):
                record.served_s = loop.time() - began
                return
            record.rejected_by = "server"
            job.excluded_servers.add(admitted.ok_value.server.name)
            job.attempts += 1
            if not router.controller.take_retry(job, False):
                return

    async def _async_send(self, permit: jobs.Permit) -> bool:
        """Sends a request; returns False if the server rejects it."""
        is_served = await self._servers[permit.server.name].async_serve()
        permit.record_activity()
        disposition = models.Disposition.ANSWERED
        if not is_served:
            disposition = models.Disposition.NOT_RUN
        status = 200 if is_served else 503
        permit.handle_notices(
            models.ResponseHead(status, disposition, True, ())
        )
        permit.finish(
            jobs.Outcome.SERVED if is_served else jobs.Outcome.REJECTED
        )
        return is_served

    async def _async_report(self, routers: Sequence[Router]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S - REPORT_AGE_S)
            at = loop.time()
            found = [self._snapshot(router, at) for router in routers]
            await asyncio.sleep(REPORT_AGE_S)
            demand = service_demand.total(it.demand for it in found)
            for router, own in zip(routers, found, strict=True):
                self._apply(router, own, found, demand, at)

    def _snapshot(self, router: Router, at: float) -> _Snapshot:
        speeds = {}
        for name in self._servers:
            reported = router.store.sum_of(name, (speed_store.OWN,), at)
            if reported is not None:
                speeds[name] = reported
        return _Snapshot(
            router.deps.work.own(), router.deps.demand.own(at), speeds
        )

    def _apply(
        self,
        router: Router,
        own: _Snapshot,
        found: Sequence[_Snapshot],
        demand: dict[str, service_demand.Demand],
        at: float,
    ) -> None:
        work, timed = {}, {}
        for name in self._servers:
            requests = sum(
                it.work[name].requests
                for it in found
                if it is not own and name in it.work
            )
            work[name] = ledger.Work(requests)
            timed[name] = [
                it.speeds[name]
                for it in found
                if it is not own and name in it.speeds
            ]
        router.deps.work.apply_report("fleet", ledger.WorkReport(work, at))
        router.deps.demand.reported["fleet"] = {
            service: whole.minus(own.demand.get(service, whole))
            if service in own.demand
            else whole
            for service, whole in demand.items()
        }
        for name, reported in timed.items():
            total = speed_sums.NO_TIMED_SUMS
            for entry in reported:
                total = total.plus(entry.timed, at)
            if reported:
                router.store.apply(
                    "fleet",
                    name,
                    speed_store.ReportedSums(reported[0].incarnation, total),
                )
