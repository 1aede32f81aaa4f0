"""Replay of arrivals at many routers that share plain servers.

The routers exchange their reports. Time is virtual.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import math
import random
from typing import cast

import result

from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.admission import fleet_replay, load_replay
from tests.components.knowledge import builders

SERVICE_S = 0.045
SLOTS = 6
SERVER_QUEUE = 3
"""Requests that a server lets wait before it rejects."""


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
        self._servers = {
            f"p{number}": Server(self._rng, factor)
            for number, factor in enumerate(self._factors)
        }
        zones = {
            f"r{number:02}": "z0" if number % 3 else f"z{1 + number % 2}"
            for number in range(self._count)
        }
        fleet: dict[str, fleet_replay.Router] = {}
        for address, zone in zones.items():
            router = fleet_replay.Router(
                address, zone, zones, (), 1e6, 64, clock, learns=self._learns
            )
            for name in self._servers:
                router.deps.local_copy.register(
                    builders.server(name, "app", f"z{name[1:]}", slots=SLOTS),
                    loop.time(),
                )
            links = fleet_replay.Links(address, fleet)
            router.sharing.set_transport(cast(transport.PeerService, links))
            fleet[address] = router
        routers = list(fleet.values())
        for router in routers:
            await router.sharing.on_start()
        await asyncio.sleep(fleet_replay.LEAD_S)
        tasks: list[asyncio.Task[None]] = []
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
            await router.sharing.on_stop()
        return records

    async def _async_call(
        self, router: fleet_replay.Router, record: Record, number: int
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
