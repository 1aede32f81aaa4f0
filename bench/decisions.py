"""Measures the processor time of admission decisions in one router."""

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
    quarantine,
    selector,
    server_speeds,
    warmup,
)

OUTPUT = pathlib.Path("build/measure/decisions.json")
ENGINES = (5, 45, 140, 200)
REPORTING_ROUTERS = (1, 8, 20)
WAITING_REQUESTS = (24, 100, 400, 1600)
WORKSPACES = 30
PROMPT_SUBJECTS = 200
PASSES = 20
CALLER_TIMEOUT_S = 12.0
PASS_INTERVAL_S = 0.0005
"""Virtual time between two scheduling passes."""

UNLOADED_REQUESTS = 200
UNLOADED_INTERVAL_S = 0.005
"""Virtual time between two arrivals while no request waits."""

FIRST_EVENT_S = 0.065
"""First event of an idle engine; engines differ by up to a factor of two."""

SERVICE = knowledge.Service("lm", "/health", 360, 16.0, 64, 668_304, 7)
ROUTE = knowledge.Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=knowledge.RouteKind.STREAM,
    timeout_s=CALLER_TIMEOUT_S,
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
    """Size of the state of a router.

    Attributes:
        engines: Model engines.
        tellers: Other routers that report their work.
        waiting: Waiting requests.
    """

    engines: int
    tellers: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Processor time at one size.

    Attributes:
        size: Size of the state.
        vain_ms: Mean time of a scheduling pass that can place no request.
        placed_us: Mean time of the scheduling passes for each placed request.
        calm_us: Mean time to admit a request while no other request waits.
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


class _NoReports:
    """Reports of the other routers: they have no usage and see no load."""

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
        """Does nothing."""


class Scene:
    """An admission controller, and engines with work of other routers.

    Attributes:
        controller: The admission controller.
        clock: Virtual clock of the controller.
    """

    def __init__(self, size: Size) -> None:
        self.clock = _Clock()
        self._size = size
        self._ledger = ledger.ReservationLedger()
        local_copy = state.LocalCopy(BOUNDS)
        local_copy.apply_configuration(
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
            local_copy.register(server, self.clock.now)
        prefix_index, breakers = (
            prefix_cache.PrefixCacheIndex(),
            health.CircuitBreakers(),
        )
        estimator = estimate.Estimator(server_speeds.ServerSpeeds(local_copy))
        for number in range(size.engines):
            took_s = FIRST_EVENT_S * (0.8 + 0.1 * (number % 8))
            estimator.observe_first_event(
                f"s{number}", 0, took_s, self.clock.now
            )
        limiter = warmup.WarmupLimiter("r0")
        server_notices = notices.ServerNotices()
        server_selector = selector.ServerSelector(
            "r0",
            "z1",
            local_copy,
            self._ledger,
            prefix_index,
            breakers,
            estimator,
            limiter,
            server_notices,
        )
        deps = dependencies.Dependencies(
            BOUNDS,
            local_copy,
            self._ledger,
            prefix_index,
            breakers,
            estimator,
            limiter,
            server_notices,
            server_selector,
            quarantine.BlockQuarantine("r0"),
        )
        self.controller = controller.AdmissionController(
            deps,
            self.clock,
            random.Random(1),
            _NoReports(size.tellers + 1),
            lambda seconds: None,
        )

    def report_prefill_backlog(self, pending_tokens: int) -> None:
        """Reports pending prefill tokens of other routers at each engine."""
        size = self._size
        work = ledger.Work(2, pending_tokens // size.tellers, 6_000)
        for number in range(1, size.tellers + 1):
            work_by_engine = {
                f"s{index}": work for index in range(size.engines)
            }
            self._ledger.apply_report(
                f"r{number}", ledger.WorkReport(work_by_engine, self.clock.now)
            )

    async def async_call(self, number: int) -> jobs.AdmissionResult:
        """Requests the admission of one request."""
        request = models.Request(
            request_id=f"q{number}",
            method="POST",
            host="a.example",
            target="/x/1",
            headers=(),
            key="key",
            caller_timeout_s=CALLER_TIMEOUT_S,
            prompt_tokens=1_500,
            output_tokens=100,
            output_hint=100,
            prompt_blocks=(
                models.PromptBlock("head", 400),
                models.PromptBlock(f"subject{number % PROMPT_SUBJECTS}", 600),
                models.PromptBlock(f"own{number}", 500),
            ),
            resume_after="",
        )
        now = self.clock.now
        job = jobs.Job(
            request,
            ROUTE,
            SERVICE,
            f"w{number % WORKSPACES}",
            now,
            now + CALLER_TIMEOUT_S,
        )
        return await self.controller.async_admit(job)

    def run_pass(self) -> float:
        """Runs one scheduling pass; returns its processor time."""
        self.clock.now += PASS_INTERVAL_S
        begin = time.process_time()
        self.controller.dispatch_waiting()
        return time.process_time() - begin


async def async_measure(size: Size) -> Row:
    """Measures one size."""
    scene = Scene(size)
    scene.report_prefill_backlog(200_000)
    tasks = []
    for number in range(size.waiting):
        tasks.append(asyncio.create_task(scene.async_call(number)))
        await asyncio.sleep(0)
    assert scene.controller.waiting == size.waiting
    vain_s = statistics.fmean(scene.run_pass() for _ in range(PASSES))
    scene.report_prefill_backlog(0)
    placing_s, placed = 0.0, 0
    for _ in range(PASSES):
        before = scene.controller.waiting
        placing_s += scene.run_pass()
        placed += before - scene.controller.waiting
        if scene.controller.waiting == 0 or scene.controller.waiting == before:
            break
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await scene.controller.on_stop()
    unloaded_s = await _async_measure_unloaded(size)
    placed_s = placing_s / max(placed, 1)
    return Row(size, vain_s * 1e3, placed_s * 1e6, unloaded_s * 1e6)


async def _async_measure_unloaded(size: Size) -> float:
    """Returns the processor time of a request while no other one waits."""
    scene = Scene(size)
    scene.report_prefill_backlog(0)
    took_s = 0.0
    for number in range(UNLOADED_REQUESTS):
        scene.clock.now += UNLOADED_INTERVAL_S
        begin = time.process_time()
        admitted = await scene.async_call(number)
        took_s += time.process_time() - begin
        assert isinstance(admitted, result.Ok)
        admitted.ok_value.finish(jobs.Outcome.SERVED)
    return took_s / UNLOADED_REQUESTS


def main(argv: Sequence[str]) -> None:
    """Runs the measurement and writes its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args(argv)
    rows = []
    print(f"{'engines':>8}{'tellers':>8}{'waiting':>8}", end="")
    print(f"{'turn in vain, ms':>18}{'placed, us':>12}{'calm, us':>10}")
    for engines in ENGINES:
        for tellers in REPORTING_ROUTERS:
            for waiting in WAITING_REQUESTS:
                size = Size(engines, tellers, waiting)
                row = asyncio.run(async_measure(size))
                rows.append(row)
                print(f"{engines:8}{tellers:8}{waiting:8}", end="")
                print(f"{row.vain_ms:18.3f}{row.placed_us:12.1f}", end="")
                print(f"{row.calm_us:10.1f}", flush=True)
    doc = [dataclasses.asdict(row) for row in rows]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(doc, indent=2) + "\n")
