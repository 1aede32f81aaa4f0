"""Polls the load reports of the servers of this router's shards."""

import asyncio
from collections.abc import Callable, Sequence
import http
import random
from typing import ClassVar

import mode
import msgspec

from tamarackbridge import core
from tamarackbridge.components.backend import client, exceptions
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.records import models
from tamarackbridge.helpers import response_limits

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 4096
"""Largest report that is read; its four fields need a small part of this."""


class _Report(msgspec.Struct):
    in_flight: int
    cold: bool = False
    age_ms: float = 0.0
    boot: str = ""


_DECODER = msgspec.json.Decoder(_Report)


class LoadPort:
    """Tracks the shards whose lease this router holds and their servers.

    Attributes:
        shards: Names of the shards.
        snapshot: The configuration in force.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        dispatch.LeaseHeld,
        dispatch.LeaseLost,
        configuration.SnapshotInForce,
    )

    def __init__(self) -> None:
        self.shards: set[str] = set()
        self.snapshot = models.empty_snapshot()

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Records changes of leases and configuration."""
        del now
        match delivery.msg:
            case dispatch.LeaseHeld(shard=shard):
                self.shards.add(shard)
            case dispatch.LeaseLost(shard=shard):
                self.shards.discard(shard)
            case configuration.SnapshotInForce(snapshot=snapshot):
                self.snapshot = snapshot
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing; messages alone change the state."""
        del now
        return ()

    def servers(self) -> list[models.BackendServer]:
        """Returns the servers of the held shards that report their load."""
        return [
            server
            for shard in sorted(self.shards)
            for server in self.snapshot.shard_servers(shard)
            if server.load_lag_s > 0
        ]


class LoadPoller(core.Service):
    """Polls the load reports and injects them as messages.

    Attributes:
        failed: Polls that failed.
    """

    def __init__(
        self,
        port: LoadPort,
        backend: client.BackendClient,
        clock: core.Clock,
        rng: random.Random,
        inject: Callable[[core.Message], None],
    ) -> None:
        super().__init__()
        self.failed = 0
        self._port = port
        self._backend = backend
        self._clock = clock
        self._rng = rng
        self._inject = inject

    @mode.Service.task
    async def _async_run(self) -> None:
        while not self.should_stop:
            servers = self._port.servers()
            await asyncio.gather(*map(self._async_poll, servers))
            await self.sleep(POLL_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    async def _async_poll(self, server: models.BackendServer) -> None:
        sent_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                data = await self._async_read(server.address)
            report = _DECODER.decode(data)
        except (exceptions.BackendError, TimeoutError, msgspec.MsgspecError):
            self.failed += 1
            return
        took_s = self._clock.monotonic() - sent_at
        lag_s = max(report.age_ms / 1000, 0.0) + took_s
        self._inject(
            dispatch.LoadReport(
                server=server.name,
                in_flight=report.in_flight,
                cold=report.cold,
                lag_s=max(lag_s, server.load_lag_s),
                boot=report.boot,
            )
        )

    async def _async_read(self, address: str) -> bytes:
        async with self._backend.async_open(
            "GET", address, "/load", {}, b""
        ) as resp:
            if resp.status != http.HTTPStatus.OK:
                raise exceptions.BackendError(f"status {resp.status:03}")
            return await response_limits.async_read(resp, MAX_REPORT_BYTES)
