"""Replay of callers at routers whose processors are charged for their work.

Load pattern: the platform distributes callers by a hash, so a small VM can get
several times the load of the others. Incoming requests, waiting requests and
reports of other routers queue up behind its processor, and callers retry or
time out meanwhile.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
import dataclasses
from typing import Any, cast

from tamarackbridge.components.gateway import event_loop_lag, headroom
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.admission import (
    fleet_replay,
    load_replay,
    processor_costs,
    replay_gateway,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBehavior:
    """Behaviour of the callers.

    Attributes:
        timeout_s: Time after the first try until which a caller waits for an
            answer.
        changes_router: Whether a retry on a new connection reaches a random
            router of the zone; otherwise all reach the first one.
    """

    timeout_s: float = 4.0
    changes_router: bool = True


class ProcessorReplay(fleet_replay.FleetReplay):
    """Replays arrivals at routers whose work takes processor time.

    Attributes:
        processors: The routers' processors, by address.
        gateways: The routers' gateways, by address.
    """

    def __init__(
        self,
        cores: Mapping[str, float],
        engines: int,
        tokens_per_s: float,
        slots: int = load_replay.SLOTS,
        seed: int = 1,
        callers: CallerBehavior = CallerBehavior(),
    ) -> None:
        """Creates a replay.

        Args:
            cores: Cores of the routers' VMs, by address; an event loop uses at
                most one.
            engines: Number of engines.
            tokens_per_s: Nominal throughput of all engines.
            slots: Requests that an engine runs at once.
            seed: Seed of all randomness.
            callers: Behaviour of the callers.
        """
        super().__init__(len(cores), engines, tokens_per_s, slots, seed)
        self._zones = {
            address: f"z{number % fleet_replay.ZONES}"
            for number, address in enumerate(cores)
        }
        self._cores = cores
        self._callers = callers
        self.processors: dict[str, virtual_loop.Processor] = {}
        self.gateways: dict[str, replay_gateway.Gateway] = {}

    def sent_count(self, workspace: str, begin: int, end: int) -> int:
        """Returns how many requests of a workspace were sent to engines.

        Args:
            workspace: The workspace.
            begin: The first second that counts.
            end: The first second that does not count any more.
        """
        return sum(
            count
            for gateway in self.gateways.values()
            for (second, name), count in gateway.sent_counts.items()
            if name == workspace and begin <= second < end
        )

    async def _async_play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.RequestRecord]:
        loop = asyncio.get_running_loop()
        with processor_costs.charging():
            services = await self._async_start(loop)
            await asyncio.sleep(fleet_replay.LEAD_S)
            begin = loop.time()
            tasks: list[asyncio.Task[Any]] = [
                asyncio.create_task(self._async_run_engines(begin))
            ]
            records = []
            for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
                await asyncio.sleep(max(begin + arrival.at - loop.time(), 0.0))
                record = load_replay.RequestRecord(arrival)
                sending = self._async_call(record, len(records), begin)
                records.append(record)
                tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(begin + seconds - loop.time())
            for gateway in self.gateways.values():
                gateway.is_closed = True
            for task in tasks:
                task.cancel()
            for service in services:
                await service.on_stop()
        return records

    async def _async_start(self, loop: asyncio.AbstractEventLoop) -> list[Any]:
        """Starts all routers; returns the services that have to be stopped."""
        clock = virtual_loop.LoopClock(loop)
        routers: dict[str, fleet_replay.Router] = {}
        services: list[Any] = []
        for address, zone in self._zones.items():
            cores = min(self._cores[address], 1.0)
            processor = virtual_loop.Processor(cores)
            self.processors[address] = processor
            router = fleet_replay.Router(
                address,
                zone,
                self._zones,
                self._engines,
                self._tokens_per_s,
                self._slots,
                clock,
                processor.context,
            )
            links = fleet_replay.Links(address, routers)
            router.sharing.set_transport(cast(transport.PeerService, links))
            routers[address] = router
            begin = loop.time() + fleet_replay.LEAD_S
            gateway = replay_gateway.Gateway(
                router,
                self._engines,
                self._slots,
                begin,
                self.gateways,
                headroom.Headroom(cores, _idle_time(loop, processor)),
            )
            self.gateways[address] = gateway
            lag = event_loop_lag.LagService(
                gateway.lag_meter, clock, gateway.record_lag
            )
            services += [router.controller, router.sharing, lag]
            for service in (router.sharing, lag):
                starting = service.on_start()
                loop.create_task(starting, context=processor.context)
        return services

    async def _async_call(
        self, record: load_replay.RequestRecord, number: int, begin: float
    ) -> None:
        """Sends a request and retries until it is answered or times out."""
        loop = asyncio.get_running_loop()
        address = record.arrival.router or self._rng.choice(list(self._zones))
        end = loop.time() + self._callers.timeout_s
        while True:
            gateway = self.gateways[address]
            request = replay_gateway.CallerRequest(
                record, number, loop.create_future()
            )
            gateway.enqueue(request)
            try:
                async with asyncio.timeout_at(end):
                    rejection = await request.answer
            except TimeoutError:
                gateway.call_soon(gateway.disconnect, request)
                record.rejected_at = end - begin
                return
            if rejection is None:
                return
            if loop.time() + rejection.retry_after_s >= end:
                record.rejected_at = loop.time() - begin
                return
            await asyncio.sleep(rejection.retry_after_s)
            if rejection.closes and self._callers.changes_router:
                address = self._rng.choice(self._zone_of(address))

    def _zone_of(self, reference: str) -> list[str]:
        zone = self._zones[reference]
        return [
            address for address, other in self._zones.items() if other == zone
        ]


def _idle_time(
    loop: asyncio.AbstractEventLoop, processor: virtual_loop.Processor
) -> Callable[[], float]:
    """Returns a function that returns the idle time of a processor."""
    return lambda: loop.time() - processor.used_s.total()
