"""The composition root: wires the parts of one router process."""

import asyncio
import contextlib
import random
import signal
import uuid

from absl import logging
import mode

from tamarackbridge import const as core_const
from tamarackbridge import core, decider_loop
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.backend import load_poller
from tamarackbridge.components.claims import client as claim_client
from tamarackbridge.components.claims import keeper
from tamarackbridge.components.configuration import applier, changes
from tamarackbridge.components.dispatch import dispatcher, permit_client
from tamarackbridge.components.entry import forward
from tamarackbridge.components.entry import port as entry_port
from tamarackbridge.components.entry import service as entry_service
from tamarackbridge.components.membership import leases, member
from tamarackbridge.components.object_api import http as object_api_http
from tamarackbridge.components.records import snapshot
from tamarackbridge.components.settings import models as settings_models
from tamarackbridge.components.transport import port as transport_port
from tamarackbridge.components.transport import service as transport

DRAIN_POLL_S = 0.05


class Router:
    """All services of one router process, found by name in its kernel."""

    def __init__(self, settings: settings_models.Settings) -> None:
        self.settings = settings
        boot = uuid.uuid4().hex
        kernel = core.Kernel(core.SystemClock(), random.Random(boot))
        self.kernel = kernel
        node = settings.node
        incarnation = int(kernel.clock.wall() * core_const.MS_PER_S)
        codec = snapshot.SnapshotCodec()
        ports = entry_port.EntryPort()
        loads = load_poller.LoadPort()
        peers = transport.PeerService(
            node, boot, settings.peer, kernel.clock, self._receive
        )
        group = core.DeciderGroup(
            node,
            (
                transport_port.AddressPort(peers.set_addresses),
                member.MemberDecider(
                    node,
                    settings.zone,
                    settings.advertise,
                    incarnation,
                    kernel.rng,
                ),
                leases.ShardLeases(node, kernel.rng),
                applier.Applier(node, kernel.rng, codec),
                changes.ChangeWriter(node, kernel.rng, codec),
                dispatcher.Dispatcher(node, kernel.rng),
                permit_client.PermitClient(node, kernel.rng),
                keeper.Keeper(
                    node,
                    kernel.rng,
                    settings.claims.retention_s,
                    settings.claims.max_outcome_bytes,
                ),
                claim_client.ClaimClient(node, kernel.rng, incarnation),
                ports,
                loads,
            ),
        )
        store = object_api_http.HttpObjectApi(settings.platform)
        backend = backend_client.BackendClient()
        self._loop = decider_loop.DeciderLoop(
            group, kernel.clock, store, peers.post
        )
        forwarder = forward.Forwarder(backend)
        self._entry = entry_service.EntryService(
            settings, kernel.clock, ports, forwarder, self._loop.inject
        )
        poller = load_poller.LoadPoller(
            loads, backend, kernel.clock, kernel.rng, self._loop.inject
        )
        kernel.register("object_api", store)
        kernel.register("backend", backend)
        kernel.register("peers", peers)
        kernel.register("deciders", self._loop)
        kernel.register("load_poller", poller)
        kernel.register("entry", self._entry)

    async def async_run(self) -> int:
        """Runs until a signal asks for the end; returns the exit code."""
        stop = asyncio.Event()
        force = asyncio.Event()

        def on_signal() -> None:
            if stop.is_set():
                force.set()
            stop.set()

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal)
        services = self.kernel.mode_services()
        for svc in services:
            await svc.start()
        logging.info("router started: %s", self.settings.node)
        await stop.wait()
        await self._async_drain(force)
        await _async_stop(services)
        logging.info("router stopped: %s", self.settings.node)
        return 0

    def _receive(self, delivery: core.Delivery) -> None:
        self._loop.receive(delivery)

    async def _async_drain(self, force: asyncio.Event) -> None:
        self._entry.draining = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_timeout_s):
                while self._entry.held and not force.is_set():
                    await asyncio.sleep(DRAIN_POLL_S)


async def _async_stop(services: list[mode.Service]) -> None:
    for svc in reversed(services):
        await svc.stop()


def run(settings: settings_models.Settings) -> int:
    """Runs a router; returns the exit code of the process."""

    async def async_main() -> int:
        return await Router(settings).async_run()

    return asyncio.run(async_main())
