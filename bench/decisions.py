"""Measures the processor time of a router's decisions on waiting requests."""

import argparse
import asyncio
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import random
import statistics
import time

import result

from tamarackbridge.components.admission import (
    controller,
    dependencies,
    observed_load,
    shares,
)
from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    prefix_cache,
    selector,
    warmup,
)

OUTPUT = pathlib.Path("build/measure/decisions.json")
ENGINES = (5, 45, 200)
TELLERS = (1, 8, 20)
WAITING = (24, 100, 400, 1600)
WORKSPACES = 30
SUBJECTS = 200
TURNS = 20
PATIENCE_S = 12.0
STEP_S = 0.0005
"""Virtual time between two turns."""

CALM_REQUESTS = 200
CALM_STEP_S = 0.005
"""Virtual time between two arrivals on a calm day."""

SERVICE = knowledge.Service("lm", "/health", 360, 16.0, 64, 668_304, 7)
ROUTE = knowledge.Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=knowledge.RouteKind.STREAM,
    timeout_s=PATIENCE_S,
    target_s=0.6,
    target_gap_s=0.3,
    priority=1,
    split=(("lm", 1.0),),
    max_attempts=1,
    public=False,
    sticky=True,
    resumable=False,
)
BOUNDS = fleet.Bounds(
    server_leave_s=2.0,
    shutdown_s=8.0,
    configuration_s=2.0,
    revocation_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50.0,
    cold_overage=1.5,
    cold_slack=5.0,
    share_window_s=4.0,
    reuse_window_s=10.0,
    heartbeat_s=1.2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How much a router knows and holds.

    Attributes:
        engines: Model engines.
        tellers: Other routers that tell of their work.
        waiting: Requests that wait.
    """

    engines: int
    tellers: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Processor time of one size.

    Attributes:
        size: The size.
        vain_ms: Of a turn that can place nothing, on average.
        placed_us: Of a request that is placed, its part of the turns.
        calm_us: Of a request that arrives while none waits and is placed.
    """

    size: Size
    vain_ms: float
    placed_us: float
    calm_us: float


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 0.0


class _Others:
    """The other routers of a fleet, which use nothing themselves."""

    def __init__(self, count: int) -> None:
        self._names = tuple(f"r{number}" for number in range(count))

    def routers(self) -> tuple[str, ...]:
        return self._names

    def peers_use(self) -> dict[str, shares.Usage]:
        return {}

    def peers_engine_load(self) -> observed_load.ObservedLoad:
        return observed_load.NO_LOAD

    def peers_use_age_s(self) -> float:
        return 0.0

    def request_report(self) -> None:
        """Nobody is told."""


class Scene:
    """A desk before engines whose work other routers tell.

    Attributes:
        desk: The desk.
        clock: Its clock.
    """

    def __init__(self, size: Size) -> None:
        self.clock = _Clock()
        self._size = size
        self._work = ledger.ReservationLedger()
        known = state.LocalCopy(BOUNDS)
        known.apply_configuration(
            knowledge.Configuration(
                version=1,
                routes=(ROUTE,),
                services={SERVICE.name: SERVICE},
                limits=knowledge.Limits(tokens_per_s=1e9),
                workspaces={},
            )
        )
        for number in range(size.engines):
            server = knowledge.BackendServer(
                f"s{number}", "lm", "10.0.0.1:1", "z1", 64, False, 0.0, 0
            )
            known.register(server, self.clock.now)
        held, breakers = (
            prefix_cache.PrefixCacheIndex(),
            health.CircuitBreakers(),
        )
        estimator, limiter = estimate.Estimator(), warmup.WarmupLimiter("r0")
        told = notices.ServerNotices()
        chooser = selector.ServerSelector(
            "r0",
            "z1",
            known,
            self._work,
            held,
            breakers,
            estimator,
            limiter,
            told,
        )
        using = dependencies.Dependencies(
            BOUNDS,
            known,
            self._work,
            held,
            breakers,
            estimator,
            limiter,
            told,
            chooser,
        )
        self.desk = controller.AdmissionController(
            using,
            self.clock,
            random.Random(1),
            _Others(size.tellers + 1),
            lambda seconds: None,
        )

    def tell(self, unread: int) -> None:
        """Lets the other routers tell of unread tokens at each engine."""
        size = self._size
        work = ledger.Work(2, unread // size.tellers, 6_000)
        for number in range(1, size.tellers + 1):
            told = {f"s{it}": work for it in range(size.engines)}
            self._work.apply_report(
                f"r{number}", ledger.WorkReport(told, self.clock.now)
            )

    async def async_call(self, number: int) -> jobs.AdmissionResult:
        """Asks for one request."""
        call = models.Request(
            request_id=f"q{number}",
            method="POST",
            host="a.example",
            target="/x/1",
            headers=(),
            key="key",
            caller_timeout_s=PATIENCE_S,
            prompt_tokens=1_500,
            output_tokens=100,
            output_hint=100,
            prompt_blocks=(
                models.PromptBlock("head", 400),
                models.PromptBlock(f"subject{number % SUBJECTS}", 600),
                models.PromptBlock(f"own{number}", 500),
            ),
            resume_after="",
        )
        now = self.clock.now
        job = jobs.Job(
            call,
            ROUTE,
            SERVICE,
            f"w{number % WORKSPACES}",
            now,
            now + PATIENCE_S,
        )
        return await self.desk.async_admit(job)

    def turn(self) -> float:
        """Lets the desk look at what waits; returns its processor time."""
        self.clock.now += STEP_S
        begin = time.process_time()
        self.desk.dispatch_waiting()
        return time.process_time() - begin


async def async_measure(size: Size) -> Row:
    """Measures one size."""
    scene = Scene(size)
    scene.tell(200_000)
    tasks = []
    for number in range(size.waiting):
        tasks.append(asyncio.create_task(scene.async_call(number)))
        await asyncio.sleep(0)
    assert scene.desk.waiting == size.waiting
    vain = statistics.fmean(scene.turn() for _ in range(TURNS))
    scene.tell(0)
    took_s, placed = 0.0, 0
    for _ in range(TURNS):
        before = scene.desk.waiting
        took_s += scene.turn()
        placed += before - scene.desk.waiting
        if scene.desk.waiting == 0 or scene.desk.waiting == before:
            break
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await scene.desk.on_stop()
    calm_s = await _async_measure_calm(size)
    placed_s = took_s / max(placed, 1)
    return Row(size, vain * 1e3, placed_s * 1e6, calm_s * 1e6)


async def _async_measure_calm(size: Size) -> float:
    """Returns the processor time of a request on a calm day."""
    scene = Scene(size)
    scene.tell(0)
    took_s = 0.0
    for number in range(CALM_REQUESTS):
        scene.clock.now += CALM_STEP_S
        begin = time.process_time()
        admitted = await scene.async_call(number)
        took_s += time.process_time() - begin
        assert isinstance(admitted, result.Ok)
        admitted.ok_value.finish(jobs.Outcome.SERVED)
    return took_s / CALM_REQUESTS


def main(argv: Sequence[str]) -> None:
    """Runs the measurement and writes its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args(argv)
    rows = []
    print(f"{'engines':>8}{'tellers':>8}{'waiting':>8}", end="")
    print(f"{'turn in vain, ms':>18}{'placed, us':>12}{'calm, us':>10}")
    for engines in ENGINES:
        for tellers in TELLERS:
            for waiting in WAITING:
                size = Size(engines, tellers, waiting)
                row = asyncio.run(async_measure(size))
                rows.append(row)
                print(f"{engines:8}{tellers:8}{waiting:8}", end="")
                print(f"{row.vain_ms:18.3f}{row.placed_us:12.1f}", end="")
                print(f"{row.calm_us:10.1f}", flush=True)
    doc = [dataclasses.asdict(row) for row in rows]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(doc, indent=2) + "\n")
