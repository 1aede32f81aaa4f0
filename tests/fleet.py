"""Whole routers' deciders in the harness, with callers and operators."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
import contextlib
import dataclasses
import hashlib
import pathlib
import random
from typing import TypeVar

import result

from bench import fake_store, harness
from tamarackbridge import const, core, policy
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.operator import config_writer, protocols, service
from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.records import changes
from tamarackbridge.components.settings import loader, models
from tamarackbridge.components.telemetry import metrics

_T = TypeVar("_T")

TOKEN = "operator-token"
HASH = hashlib.sha256(TOKEN.encode()).hexdigest()
STEP_S = 0.02
STORE_TIMEOUT_S = 2.0


class VirtualClock:
    """Reads the harness's clock."""

    def __init__(self, bus: harness.Harness) -> None:
        self._bus = bus

    def monotonic(self) -> float:
        return self._bus.now

    def wall(self) -> float:
        return self._bus.now


class StoreClient:
    """Calls the fake store for a router's operator interface."""

    def __init__(self, bus: harness.Harness, name: str) -> None:
        self._bus = bus
        self._name = name
        self._fut: asyncio.Future[store.StoreReply] | None = None
        bus.add_fake(name, self)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        msg = delivery.msg
        fut = self._fut
        if fut is None or fut.done():
            return ()
        if isinstance(msg, store.StoreReply):
            fut.set_result(msg)
        return ()

    async def async_call(self, call: core.Message) -> store.StoreReply:
        fut: asyncio.Future[store.StoreReply]
        fut = asyncio.get_running_loop().create_future()
        self._fut = fut
        self._bus.send(self._name, core.Envelope(const.STORE_NODE, call))
        self._bus.at(self._bus.now + STORE_TIMEOUT_S, lambda: _give_up(fut))
        return await fut


def _give_up(fut: asyncio.Future[store.StoreReply]) -> None:
    if not fut.done():
        fut.set_result(store.StoreReply("", store.StoreStatus.UNKNOWN))


class PumpedWriter:
    """Lets virtual time pass while an operator's call runs, and only then."""

    def __init__(
        self, bus: harness.Harness, writer: config_writer.ConfigWriter
    ) -> None:
        self.in_force = writer.in_force
        self.before_write: Callable[[], None] | None = None
        self._bus = bus
        self._writer = writer

    async def async_read(
        self,
    ) -> result.Result[protocols.Configuration, protocols.ChangeError]:
        return await self._async_pump(self._writer.async_read())

    async def async_write(
        self,
        base: changes.Stored,
        wanted: changes.ChangeSet,
        origin: protocols.Origin,
    ) -> result.Result[protocols.Acceptance, protocols.ChangeError]:
        if self.before_write is not None:
            self.before_write()
        return await self._async_pump(
            self._writer.async_write(base, wanted, origin)
        )

    async def _async_pump(self, waiting: Awaitable[_T]) -> _T:
        task = asyncio.ensure_future(waiting)
        await asyncio.sleep(0)
        while not task.done():
            self._bus.run_until(self._bus.now + STEP_S)
            await asyncio.sleep(0)
        return task.result()


@dataclasses.dataclass
class Operated:
    """A router whose operator interface listens on loopback."""

    url: str
    writer: PumpedWriter


class Fleet:
    """Routers of a deployment's settings over one fake store."""

    def __init__(
        self, seed: int = 1, deployment: str = "mela", size: int = 3
    ) -> None:
        self.bus = harness.Harness(seed)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.clock = VirtualClock(self.bus)
        self.cfg: dict[str, models.Settings] = {}
        self.policies: dict[str, policy.Policy] = {}
        self.extra: dict[str, tuple[core.Decider, ...]] = {}
        self._incarnation = 0
        folder = pathlib.Path("examples") / deployment
        for number in range(1, size + 1):
            cfg = loader.load(folder / f"router-{number}.toml").unwrap()
            operator = dataclasses.replace(
                cfg.operator, port=0, token_hashes=("0" * 64, HASH)
            )
            self.cfg[cfg.node] = dataclasses.replace(cfg, operator=operator)

    def start(self, *nodes: str) -> None:
        """Starts routers, or starts them again with empty state."""
        for node in nodes or self.cfg:
            self._incarnation += 1
            made = policy.build(
                self.cfg[node], self._incarnation, self.clock, self.bus.rng
            )
            self.policies[node] = made
            parts = (*made.deciders(), *self.extra.get(node, ()))
            self.bus.start(core.DeciderGroup(node, parts))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.bus.run_until(self.bus.now + seconds)

    def cut(self, *inside: str, off_store: bool = False) -> None:
        """Cuts some routers off all others, and off the store if asked."""
        outside = [node for node in self.cfg if node not in inside]
        if off_store:
            outside.append(const.STORE_NODE)
            inside += tuple(f"operator-{node}" for node in inside)
        self.bus.faults.isolate(inside, outside)

    @contextlib.asynccontextmanager
    async def operated(self, node: str) -> AsyncIterator[Operated]:
        """Runs the operator interface of one router on loopback."""
        made = self.policies[node]
        writer = config_writer.ConfigWriter(
            made.reports,
            made.applier,
            StoreClient(self.bus, f"operator-{node}"),
            lambda msg: self.bus.inject(node, msg),
        )
        pumped = PumpedWriter(self.bus, writer)
        kernel = core.Kernel(self.clock, random.Random(1))
        kernel.register(operator_const.SERVICE_SETTINGS, self.cfg[node])
        kernel.register(operator_const.SERVICE_CONFIG_CHANGES, pumped)
        kernel.register(operator_const.SERVICE_STATUS, made.status)
        kernel.register(operator_const.SERVICE_REQUESTS, made.requests)
        kernel.register(operator_const.SERVICE_TELEMETRY, metrics.Metrics())
        operator = service.OperatorService(kernel)
        async with operator:
            yield Operated(f"http://127.0.0.1:{operator.port}", pumped)
