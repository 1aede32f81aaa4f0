"""Replays arrivals at many routers that share model engines."""

import asyncio
import collections
from collections.abc import Callable, Iterable, Sequence
import contextvars
import math
import random
from typing import Any, cast

import result

from tamarackbridge import core
from tamarackbridge.components.admission import desk, pressure, shares
from tamarackbridge.components.fleet import sharing, view
from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import applier, relay
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.admission import load_replay
from tests.components.fleet import rig

ZONES = 4
LINK_S = 0.002
"""Time of a message between two routers."""

LEAD_S = 2.0
"""Routers know each other this long before the first arrival."""


class Links:
    """Takes messages of one router to the others."""

    def __init__(self, src: str, routers: dict[str, "Router"]) -> None:
        self._src = src
        self._routers = routers

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """All links are there from the beginning."""

    def post(self, to: str, msg: core.Message) -> None:
        router = self._routers.get(to)
        if router is not None:
            asyncio.get_running_loop().call_later(
                LINK_S, router.take, self._src, msg, context=router.context
            )


class Router:
    """The desk of a router and what it shares with the others.

    Attributes:
        desk: Its desk.
        sharing: What it shares.
        context: Its tasks run in it; None for that of the replay.
        spare_cores: Returns what it has to spare of its processor.
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
    ) -> None:
        self.context = context
        self.spare_cores: Callable[[], float] = lambda: 0.0
        using = load_replay.make_parts(
            address, zone, engines, tokens_per_s, slots
        )
        self._clock = clock
        taking = applier.Applier(
            using.known, clock, lambda: None, lambda name: None
        )
        relaying = relay.Relay(using.known, taking, clock)
        self.sharing = sharing.SharingService(
            address,
            zone,
            (),
            rig.FixedDirectory(fleet),
            clock,
            view.LocalState(
                work=using.work,
                held_blocks=using.held,
                use=self._use,
                engine_load=self._seen,
                take_new_blocks=self._fresh,
                prefill_per_s=using.estimator.read_per_s,
                versions=relaying.versions,
                notices=using.told,
                headroom_cores=lambda: self.spare_cores(),
            ),
            relaying,
            self._pump,
        )
        self.desk = desk.AdmissionDesk(
            using,
            clock,
            random.Random(address),
            self.sharing,
            lambda seconds: None,
        )

    def take(self, src: str, msg: core.Message) -> None:
        self.sharing.receive(core.Delivery(src, msg, LINK_S))

    def _use(self) -> dict[str, shares.Use]:
        return dict(self.desk.standings.use.sums(self._clock.monotonic()))

    def _seen(self) -> pressure.Seen:
        return self.desk.standings.seen(self._clock.monotonic())

    def _fresh(self) -> list[tuple[str, int]]:
        fresh, self.desk.fresh_parts = self.desk.fresh_parts, []
        return fresh

    def _pump(self) -> None:
        self.desk.pump()


class FleetReplay:
    """Many routers before some engines, on a virtual clock."""

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
        self._lost_at = math.inf
        self._losing: list[load_replay.Engine] = []

    def lose(self, engines: int, at: float) -> None:
        """Lets so many engines be lost without notice at a time."""
        self._lost_at = at
        self._losing = list(self._engines.values())[:engines]

    def play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.Fate]:
        """Plays arrivals for some seconds, where not told at any router."""
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            return runner.run(self._async_play(arrivals, seconds))

    async def _async_play(
        self, arrivals: Sequence[load_replay.Arrival], seconds: float
    ) -> list[load_replay.Fate]:
        loop = asyncio.get_running_loop()
        clock = virtual_loop.LoopClock(loop)
        routers: dict[str, Router] = {}
        for address, zone in self._zones.items():
            made = Router(
                address,
                zone,
                self._zones,
                self._engines,
                self._tokens_per_s,
                self._slots,
                clock,
            )
            links = Links(address, routers)
            made.sharing.set_transport(cast(transport.PeerService, links))
            routers[address] = made
        for made in routers.values():
            await made.sharing.on_start()
        await asyncio.sleep(LEAD_S)
        begin = loop.time()
        tasks: list[asyncio.Task[Any]] = [
            asyncio.create_task(self._async_run_engines(begin))
        ]
        fates = []
        for number, arrival in enumerate(
            sorted(arrivals, key=lambda it: it.at)
        ):
            await asyncio.sleep(max(begin + arrival.at - loop.time(), 0.0))
            fate = load_replay.Fate(arrival)
            fates.append(fate)
            via = arrival.router or self._rng.choice(list(routers))
            job = load_replay.make_job(
                arrival, number, loop.time(), self._slots
            )
            tasks.append(
                asyncio.create_task(
                    self._async_admit(routers[via].desk, fate, job, begin)
                )
            )
        await asyncio.sleep(begin + seconds - loop.time())
        for task in tasks:
            task.cancel()
        for made in routers.values():
            await made.desk.on_stop()
            await made.sharing.on_stop()
        return fates

    async def _async_run_engines(self, begin: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(load_replay.STEP_S)
            now = loop.time() - begin
            if now >= self._lost_at:
                self._lost_at = math.inf
                for engine in self._losing:
                    for run in engine.lose():
                        run.fate.refused_at = now
                        run.permit.finish(jobs.Outcome.LOST)
            for engine in self._engines.values():
                for run in engine.step(now):
                    run.fate.ended_at = now
                    run.permit.finish(jobs.Outcome.SERVED)

    async def _async_admit(
        self,
        at: desk.AdmissionDesk,
        fate: load_replay.Fate,
        job: jobs.Job,
        begin: float,
    ) -> None:
        while True:
            admitted = await at.async_admit(job)
            if isinstance(admitted, result.Err):
                now = asyncio.get_running_loop().time() - begin
                fate.refused_at = now
                fate.retry_after_s = admitted.err_value.retry_after_s
                return
            permit = admitted.ok_value
            engine = self._engines[permit.server.name]
            if not engine.is_lost:
                engine.take(fate, permit, job)
                return
            await asyncio.sleep(LINK_S)
            permit.finish(jobs.Outcome.UNREACHABLE)
            job.avoid.add(permit.server.name)


def tokens(arrival: load_replay.Arrival) -> float:
    """Returns the cost of a request; a generated token counts twice."""
    return arrival.prompt + 2.0 * arrival.output


def by_second(
    fates: Iterable[load_replay.Fate], workspace: str, seconds: int
) -> tuple[list[float], list[float]]:
    """Returns the tokens asked for and begun in each second."""
    asked, begun = [0.0] * seconds, [0.0] * seconds
    for fate in fates:
        if fate.arrival.workspace != workspace:
            continue
        cost = tokens(fate.arrival)
        if fate.arrival.at < seconds:
            asked[int(fate.arrival.at)] += cost
        if fate.first_at is not None and fate.first_at < seconds:
            begun[int(fate.first_at)] += cost
    return asked, begun


def starved(
    fates: Sequence[load_replay.Fate], seconds: int, span: int = 6
) -> dict[str, tuple[int, float, float]]:
    """Finds workspaces that got far less than their share.

    A workspace is starved if in each second of a span a request of it is
    refused or late, and it got less than half of what it asked for or the best
    served one got, whichever is less, second by second, less three of its
    largest requests.

    Returns:
        By workspace the first such span, what was due to it and what it got.
    """
    names = sorted({it.arrival.workspace for it in fates})
    uses = {name: by_second(fates, name, seconds) for name in names}
    waits: dict[str, set[int]] = collections.defaultdict(set)
    for fate in fates:
        waits[fate.arrival.workspace] |= _late_seconds(fate, seconds)
    largest = {
        name: max(
            tokens(it.arrival) for it in fates if it.arrival.workspace == name
        )
        for name in names
    }
    found = {}
    for begin in range(seconds - span + 1):
        every = range(begin, begin + span)
        best = [max(uses[name][1][at] for name in names) for at in every]
        for name in names:
            asked, begun = uses[name]
            got = sum(begun[at] for at in every)
            due = sum(
                min(asked[at], top) for at, top in zip(every, best, strict=True)
            )
            due = due / 2 - 3 * largest[name]
            if got < due and waits[name].issuperset(every):
                found.setdefault(name, (begin, due, got))
    return found


def _late_seconds(fate: load_replay.Fate, seconds: int) -> set[int]:
    """Returns the seconds in which a request is refused or waits too long."""
    if fate.refused_at is not None:
        return {int(fate.refused_at)}
    first = fate.first_at if fate.first_at is not None else float(seconds)
    late_from = fate.arrival.at + load_replay.TARGET_S
    if first <= late_from:
        return set()
    return set(range(int(late_from), int(first) + 1))
