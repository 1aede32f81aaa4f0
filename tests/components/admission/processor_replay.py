"""Replays callers at routers whose processors are charged for their work.

Load pattern: the platform spreads callers by a hash, so that a small VM can get
several times the share of the others. What comes, waits and is told queues up
behind its processor, and callers come back or give up meanwhile.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
import dataclasses
from typing import Any, cast

from tamarackbridge.components.gateway import event_loop_lag, headroom
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.admission import (
    charges,
    fleet_replay,
    load_replay,
    replay_front,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """What callers do.

    Attributes:
        give_up_s: Time from the first attempt for which they want an answer.
        move: Whether an attempt on a new connection reaches any router of the
            zone; otherwise all reach the first one.
    """

    give_up_s: float = 4.0
    move: bool = True


class ProcessorReplay(fleet_replay.FleetReplay):
    """Routers with processors before some engines, on a virtual clock.

    Attributes:
        processors: The routers' processors, by address.
        fronts: Their gateways.
    """

    def __init__(
        self,
        cores: Mapping[str, float],
        engines: int,
        tokens_per_s: float,
        slots: int = load_replay.SLOTS,
        seed: int = 1,
        callers: Callers = Callers(),
    ) -> None:
        """Makes a replay.

        Args:
            cores: The VMs' processors, by address; an event loop uses at most
                one core.
            engines: How many engines there are.
            tokens_per_s: The stated throughput of all.
            slots: Requests that an engine runs at once.
            seed: Seed of all randomness.
            callers: What callers do.
        """
        super().__init__(len(cores), engines, tokens_per_s, slots, seed)
        self._zones = {
            address: f"z{number % fleet_replay.ZONES}"
            for number, address in enumerate(cores)
        }
        self._cores = cores
        self._callers = callers
        self.processors: dict[str, virtual_loop.Processor] = {}
        self.fronts: dict[str, replay_front.Front] = {}

    def placed(self, workspace: str, begin: int, end: int) -> int:
        """Returns how many requests were sent to engines in some seconds."""
        return sum(
            count
            for front in self.fronts.values()
            for (second, name), count in front.placed.items()
            if name == workspace and begin <= second < end
        )

    async def _async_play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.Fate]:
        loop = asyncio.get_running_loop()
        with charges.charging():
            services = await self._async_start(loop)
            await asyncio.sleep(fleet_replay.LEAD_S)
            begin = loop.time()
            tasks: list[asyncio.Task[Any]] = [
                asyncio.create_task(self._async_run_engines(begin))
            ]
            fates = []
            for arrival in sorted(arrivals, key=lambda it: it.at):
                await asyncio.sleep(max(begin + arrival.at - loop.time(), 0.0))
                fate = load_replay.Fate(arrival)
                calling = self._async_call(fate, len(fates), begin)
                fates.append(fate)
                tasks.append(asyncio.create_task(calling))
            await asyncio.sleep(begin + seconds - loop.time())
            for front in self.fronts.values():
                front.is_closed = True
            for task in tasks:
                task.cancel()
            for service in services:
                await service.on_stop()
        return fates

    async def _async_start(self, loop: asyncio.AbstractEventLoop) -> list[Any]:
        """Starts all routers; returns what has to be stopped."""
        clock = virtual_loop.LoopClock(loop)
        routers: dict[str, fleet_replay.Router] = {}
        services: list[Any] = []
        for address, zone in self._zones.items():
            cores = min(self._cores[address], 1.0)
            processor = virtual_loop.Processor(cores)
            self.processors[address] = processor
            made = fleet_replay.Router(
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
            made.sharing.use(cast(transport.PeerService, links))
            routers[address] = made
            begin = loop.time() + fleet_replay.LEAD_S
            front = replay_front.Front(
                made,
                self._engines,
                self._slots,
                begin,
                self.fronts,
                headroom.Headroom(cores, _idle(loop, processor)),
            )
            self.fronts[address] = front
            lag = event_loop_lag.LagService(front.meter, clock, front.note_lag)
            services += [made.desk, made.sharing, lag]
            for service in (made.sharing, lag):
                starting = service.on_start()
                loop.create_task(starting, context=processor.context)
        return services

    async def _async_call(
        self, fate: load_replay.Fate, number: int, begin: float
    ) -> None:
        """Calls until there is an answer, or it comes too late."""
        loop = asyncio.get_running_loop()
        address = fate.arrival.router or self._rng.choice(list(self._zones))
        until = loop.time() + self._callers.give_up_s
        while True:
            front = self.fronts[address]
            attempt = replay_front.Attempt(fate, number, loop.create_future())
            front.arrive(attempt)
            try:
                async with asyncio.timeout_at(until):
                    refused = await attempt.answer
            except TimeoutError:
                front.call(front.leave, attempt)
                fate.refused_at = until - begin
                return
            if refused is None:
                return
            if loop.time() + refused.retry_after_s >= until:
                fate.refused_at = loop.time() - begin
                return
            await asyncio.sleep(refused.retry_after_s)
            if refused.closes and self._callers.move:
                address = self._rng.choice(self._zone_of(address))

    def _zone_of(self, address: str) -> list[str]:
        zone = self._zones[address]
        return [it for it, other in self._zones.items() if other == zone]


def _idle(
    loop: asyncio.AbstractEventLoop, processor: virtual_loop.Processor
) -> Callable[[], float]:
    """Returns what tells how long a processor had nothing to do."""
    return lambda: loop.time() - processor.used_s.total()
