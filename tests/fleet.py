"""Routers on a virtual clock, operated through their real interface."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
import contextlib
import dataclasses
import hashlib
import random
from typing import TypeVar

import result

from bench import harness, world
from tamarackbridge import const, core
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.operator import (
    config_writer,
    gauges,
    protocols,
    service,
)
from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.records import changes
from tamarackbridge.components.settings import loader, models
from tamarackbridge.components.telemetry import metrics
from tamarackbridge.components.tls import contexts

_T = TypeVar("_T")

TOKEN = "operator-token"
HASH = hashlib.sha256(TOKEN.encode()).hexdigest()
STEP_S = 0.02
STORE_TIMEOUT_S = 2.0


class StoreClient:
    """Client of the fake store for a router's operator interface."""

    def __init__(self, bus: harness.Harness, name: str) -> None:
        self._bus = bus
        self._name = name
        self._fut: asyncio.Future[store.StoreReply] | None = None
        bus.add_fake(name, self)

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        if isinstance(delivery.msg, store.StoreReply) and self._fut:
            _resolve(self._fut, delivery.msg)
        return ()

    async def async_call(self, call: core.Message) -> store.StoreReply:
        fut: asyncio.Future[store.StoreReply]
        fut = asyncio.get_running_loop().create_future()
        self._fut = fut
        self._bus.send(self._name, core.Envelope(const.STORE_NODE, call))
        timed_out = store.StoreReply("", store.StoreStatus.UNKNOWN)
        end = self._bus.now + STORE_TIMEOUT_S
        self._bus.at(end, lambda: _resolve(fut, timed_out))
        return await fut


def _resolve(
    fut: asyncio.Future[store.StoreReply], reply: store.StoreReply
) -> None:
    if not fut.done():
        fut.set_result(reply)


class PumpedWriter:
    """Advances virtual time while an operator's call runs, and only then."""

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
    """A router whose operator interface listens on the loopback address."""

    url: str
    writer: PumpedWriter


class Fleet(world.World):
    """Routers of an example deployment, in the zones of their settings."""

    def __init__(
        self, seed: int = 1, deployment: str = "mela", size: int = 3
    ) -> None:
        self.deployment = deployment
        self.cfg: dict[str, models.Settings] = {}
        folder = world.ROOT / "examples" / deployment
        for number in range(1, size + 1):
            cfg = loader.load(folder / f"router-{number}.toml").unwrap()
            operator = dataclasses.replace(
                cfg.operator, port=0, token_hashes=("0" * 64, HASH)
            )
            self.cfg[cfg.node] = dataclasses.replace(cfg, operator=operator)
        zones = {node: cfg.zone for node, cfg in self.cfg.items()}
        super().__init__(seed, zones)
        for node in self.cfg:
            self.start_router(node)
        self.run(3.0)

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        self.bus.run_until(self.bus.now + seconds)

    @contextlib.asynccontextmanager
    async def operated(self, node: str) -> AsyncIterator[Operated]:
        """Serves the operator interface of one router on loopback."""
        policy = self.policies[node]
        writer = config_writer.ConfigWriter(
            policy.reports,
            policy.applier,
            StoreClient(self.bus, f"operator-{node}"),
            lambda msg: self.bus.inject(node, msg),
            policy.status.lagging_routers,
        )
        pumped = PumpedWriter(self.bus, writer)
        kernel = core.Kernel(self.bus, random.Random(1))
        kernel.register(operator_const.SERVICE_SETTINGS, self.cfg[node])
        kernel.register(operator_const.SERVICE_CONFIG_CHANGES, pumped)
        kernel.register(operator_const.SERVICE_STATUS, policy.status)
        kernel.register(operator_const.SERVICE_REQUESTS, policy.requests)
        registry = metrics.Metrics()
        gauges.register(registry, policy.status)
        kernel.register(operator_const.SERVICE_TELEMETRY, registry)
        listen = self.cfg[node].operator
        scheme, context = "http", None
        if contexts.uses_tls(listen):
            scheme, context = "https", contexts.server_context(listen.tls)
        operator = service.OperatorService(kernel, context)
        async with operator:
            yield Operated(f"{scheme}://127.0.0.1:{operator.port}", pumped)
