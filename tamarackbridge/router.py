"""Composition root of a router process with the product's own interface."""

import asyncio
from collections.abc import Callable
import contextlib
import random
import secrets
import signal
import ssl

from absl import logging
import mode

from tamarackbridge import const as core_const
from tamarackbridge import (
    core,
    crash_watch,
    decider_loop,
    peer_messages,
    policy,
)
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.backend import load_poller
from tamarackbridge.components.entry import decider as entry_decider
from tamarackbridge.components.entry import forward
from tamarackbridge.components.entry import service as entry_service
from tamarackbridge.components.entry import telemetry as entry_telemetry
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import http as object_api_http
from tamarackbridge.components.operator import config_writer, gauges
from tamarackbridge.components.operator import const as operator_const
from tamarackbridge.components.operator import service as operator_service
from tamarackbridge.components.settings import models as settings_models
from tamarackbridge.components.telemetry import (
    logs,
    metrics,
    router_metrics,
    state_changes,
    traces,
)
from tamarackbridge.components.tls import contexts, reloader
from tamarackbridge.components.tls import peers as tls_peers
from tamarackbridge.components.transport import port as transport_port
from tamarackbridge.components.transport import service as transport
from tamarackbridge.components.vm_list import http as vm_list_http
from tamarackbridge.components.vm_list import poller as vm_list_poller
from tamarackbridge.helpers import loop_signals

HANDOVER_S = 1.0
"""Time for the other routers to receive the announced shutdown."""

BOOT_BITS = 31
"""Bits of the identifier of a router process, new at each start."""


class Router:
    """All services of one router process, registered in its kernel."""

    def __init__(self, settings: settings_models.Settings) -> None:
        self.settings = settings
        self._exit_code = 0
        self._boot = secrets.randbits(BOOT_BITS)
        clock = core.SystemClock()
        kernel = core.Kernel(clock, random.Random(self._boot))
        self.kernel = kernel
        kernel.register(operator_const.SERVICE_SETTINGS, settings)
        self._entry_port = entry_decider.EntryDecider()
        self._load_port = load_poller.LoadPort()
        incarnation = int(clock.wall() * core_const.MS_PER_S)
        self._policy = policy.build(settings, incarnation, clock, kernel.rng)
        self._tls = reloader.ReloadService()
        self._peers = self._make_peers()
        store = object_api_http.HttpObjectApi(settings.platform)
        self._decider_loop = decider_loop.DeciderLoop(
            self._make_group(), clock, store, self._peers.post
        )
        backend = backend_client.BackendClient()
        registry = metrics.Metrics()
        self._tracer = traces.make_tracer(
            settings.telemetry.traces, settings.node
        )
        self._entry = entry_service.EntryService(
            settings,
            clock,
            self._entry_port,
            forward.Forwarder(backend),
            kernel.rng,
            self._decider_loop.inject,
            entry_telemetry.RequestTelemetry(registry, self._tracer),
            self._context(settings.caller),
        )
        router_metrics.register(registry, self._peers, self._entry, store)
        gauges.register(registry, self._policy.status)
        kernel.register(operator_const.SERVICE_TELEMETRY, registry)
        kernel.register(operator_const.SERVICE_STATUS, self._policy.status)
        kernel.register(operator_const.SERVICE_REQUESTS, self._policy.requests)
        kernel.register(
            operator_const.SERVICE_CONFIG_CHANGES, self._make_writer(store)
        )
        vms = vm_list_http.HttpVmList(settings.platform)
        kernel.register("object_api", store)
        kernel.register("vm_list", vms)
        kernel.register("backend", backend)
        kernel.register("tls", self._tls)
        kernel.register("peers", self._peers)
        kernel.register("deciders", self._decider_loop)
        kernel.register("load_poller", self._make_poller(backend))
        kernel.register(
            "vm_list_poller",
            vm_list_poller.VmListPoller(
                vms, kernel.rng, self._decider_loop.inject
            ),
        )
        kernel.register("entry", self._entry)
        kernel.register(
            "operator",
            operator_service.OperatorService(
                kernel, self._context(settings.operator)
            ),
        )

    def _make_group(self) -> core.DeciderGroup:
        return core.DeciderGroup(
            self.settings.node,
            (
                transport_port.AddressPort(self._peers.set_addresses),
                *self._policy.deciders(),
                self._entry_port,
                self._load_port,
                state_changes.StateChangeLog(),
            ),
        )

    def _make_peers(self) -> transport.PeerService:
        listen = self.settings.peer
        credentials = None
        if contexts.uses_tls(listen):
            credentials = tls_peers.PeerCredentials(listen.tls)
            self._tls.register(credentials)
        return transport.PeerService(
            self.settings.node,
            self._boot,
            listen.host,
            listen.port,
            self.kernel.clock,
            self._receive,
            peer_messages.DECODER,
            credentials,
        )

    def _make_poller(
        self, backend: backend_client.BackendClient
    ) -> load_poller.LoadPoller:
        return load_poller.LoadPoller(
            self._load_port,
            backend,
            self.kernel.clock,
            self.kernel.rng,
            self._decider_loop.inject,
        )

    def _make_writer(
        self, store: object_api_http.HttpObjectApi
    ) -> config_writer.ConfigWriter:
        return config_writer.ConfigWriter(
            self._policy.reports,
            self._policy.applier,
            store,
            self._decider_loop.inject,
            self._policy.status.lagging_routers,
        )

    def _context(
        self, listen: settings_models.ListenSettings
    ) -> ssl.SSLContext | None:
        if not contexts.uses_tls(listen):
            return None
        return self._tls.create_context(listen.tls)

    async def async_run(self) -> int:
        """Serves until a signal stops the router; returns the exit code.

        A second signal cuts the shutdown short.
        """
        stop = asyncio.Event()
        force = asyncio.Event()

        def on_signal() -> None:
            if stop.is_set():
                force.set()
            stop.set()

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop_signals.set_handler(loop, number, on_signal)
        services = self.kernel.mode_services()
        watch = crash_watch.CrashWatch(
            services, self._crash_handler(stop, force)
        )
        services = [*services, watch]
        for svc in services:
            await svc.start()
        logging.info("router started")
        await stop.wait()
        await self._async_drain(force)
        await _async_stop(services)
        self._tracer.close()
        logging.info("router stopped")
        return self._exit_code

    def _crash_handler(
        self, stop: asyncio.Event, force: asyncio.Event
    ) -> Callable[[], None]:
        def on_crash() -> None:
            self._exit_code = 1
            force.set()
            stop.set()

        return on_crash

    def _receive(self, delivery: core.Delivery) -> None:
        self._decider_loop.receive(delivery)

    async def _async_drain(self, force: asyncio.Event) -> None:
        """Waits for requests in flight, then announces the shutdown.

        Each wait ends early at its time limit or at a second signal.
        """
        self._policy.status.draining = True
        drained = asyncio.create_task(self._entry.async_drain())
        await _async_first(drained, force, self.settings.drain_timeout_s)
        self._decider_loop.inject(membership.LeaveFleet())
        handed_over = asyncio.create_task(asyncio.sleep(HANDOVER_S))
        await _async_first(handed_over, force, HANDOVER_S)


async def _async_first(
    task: asyncio.Task[None], force: asyncio.Event, timeout_s: float
) -> None:
    """Waits until a task ends, an event is set or a timeout expires."""
    waiters = {task, asyncio.create_task(force.wait())}
    await asyncio.wait(
        waiters, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for waiter in waiters:
        waiter.cancel()


async def _async_stop(services: list[mode.Service]) -> None:
    for svc in reversed(services):
        with contextlib.suppress(asyncio.CancelledError):
            await svc.stop()


def run(settings: settings_models.Settings) -> int:
    """Runs a router; returns the exit code of the process."""
    logs.set_up(settings.telemetry, settings.node)

    async def async_main() -> int:
        return await Router(settings).async_run()

    code = asyncio.run(async_main())
    loop_signals.ignore(signal.SIGTERM, signal.SIGINT)
    return code
