"""Composition root of a router on the users' platform."""

import asyncio
import contextlib
import dataclasses
import os
import random
import secrets
import signal

from absl import logging
import mode

from tamarackbridge import (
    core,
    crash_watch,
    messages,
    platform_gauges,
    platform_parts,
)
from tamarackbridge.components.admission import (
    controller,
    costs,
    metered_controller,
    observed_load,
    shares,
)
from tamarackbridge.components.fleet import messages as fleet
from tamarackbridge.components.fleet import sharing, view
from tamarackbridge.components.gateway import (
    drain,
    event_loop_lag,
    forward,
    headroom,
    load_log,
    models,
    offload,
    readiness,
    request_log,
    runner,
    screening,
    servers,
    shedding,
)
from tamarackbridge.components.gateway import metrics as gateway_metrics
from tamarackbridge.components.gateway import service as gateway
from tamarackbridge.components.knowledge import (
    applier,
    follower,
    relay,
    source,
    state,
)
from tamarackbridge.components.telemetry import (
    events,
    metrics,
    processor,
    queue_log,
    spans,
)
from tamarackbridge.components.transport import service as transport
from tamarackbridge.helpers import loop_signals
from tamarackbridge.platform import const as platform_const
from tamarackbridge.platform import dialect, directory, exceptions, store
from tamarackbridge.platform import settings as platform_settings
from tamarackbridge.platform import source as platform_source

BOOT_BITS = 31
"""Size of the identifier of one process life."""

STOP_S = 0.4
"""Longest time for closing connections, inside the margin of a shutdown."""


class PlatformRouter:
    """All services of one router process on the platform.

    Attributes:
        meter: The lag of its event loop.
    """

    def __init__(
        self, cfg: platform_settings.Settings, tracer: spans.Tracer
    ) -> None:
        self._cfg = cfg
        self._tracer = tracer
        self._exit_code = 0
        self._stop = asyncio.Event()
        self._news = asyncio.Event()
        self._boot = secrets.randbits(BOOT_BITS)
        self._clock = core.SystemClock()
        self._kernel = core.Kernel(self._clock, random.Random(self._boot))
        self._known = state.Knowledge(cfg.bounds)
        self._registry = metrics.Metrics(self._clock.monotonic)
        self._spent = processor.ProcessorTime()
        self._counted = gateway_metrics.GatewayMetrics(self._registry)
        self._store = store.Store(str(cfg.store))
        self._using = platform_parts.make(cfg, self._known)
        self._taking = applier.Applier(
            self._known, self._clock, self._on_change, self._forget_server
        )
        self._sharing = self._make_sharing()
        self._desk = self._make_desk()
        self._servers = servers.ServerClient()
        self.meter = event_loop_lag.LagMeter()
        self._shedder = shedding.Shedder(self._due_part, self._kernel.rng)
        self._gateway = self._make_gateway()
        self._load = load_log.LoadSources(self._desk, self._gateway, self.meter)
        self._register_services()
        load_log.register_metrics(self._registry, self._load)
        self._registry.processor("processor_seconds", self._spent)
        platform_gauges.add(
            self._registry,
            self._clock,
            self._known,
            self._shedder,
            self._sharing,
            self._store,
        )
        services = self._kernel.mode_services()
        watch = crash_watch.CrashWatch(services, self._on_crash)
        self._services = [*services, watch]

    def _make_desk(self) -> controller.AdmissionController:
        return metered_controller.MeteredAdmissionController(
            self._spent,
            self._using,
            self._clock,
            self._kernel.rng,
            self._sharing,
            self._counted.observe_wait,
        )

    def _make_gateway(self) -> gateway.GatewayService:
        """Makes the callers' listener and what runs their requests."""
        words = dialect.PlatformDialect()
        log = request_log.RequestLog(self._clock, self._known, self._counted)
        made = gateway.GatewayService(
            self._cfg.callers.host,
            self._cfg.callers.port,
            self._cfg.max_descriptors,
            self._cfg.memory_mb,
            self._known,
            words,
            self._clock,
            log,
            self.meter,
            self._shedder,
            self._spent,
            self._tracer,
            self._note_shed,
            self._make_offloading(),
        )
        made.set_runner(
            runner.Runner(
                self._desk,
                forward.Forwarder(self._servers, words, self._spent),
                words,
                self._clock,
                made.is_last_response,
                log,
            )
        )
        return made

    def _make_offloading(self) -> screening.Offloading | None:
        """Makes what offloads requests to peers, where there is a port."""
        if not self._cfg.offload_port:
            return None
        room = headroom.Headroom(self._cfg.cores, headroom.loop_idle_s)
        offloader = offload.Offloader(
            self._sharing.peer_headroom, self._shedder, room, self._kernel.rng
        )
        return screening.Offloading(
            offloader,
            self._cfg.peers.host,
            self._cfg.offload_port,
            self._cfg.offload_address,
            room,
        )

    def _make_sharing(self) -> sharing.SharingService:
        """Makes what tells the other routers of this one's work."""
        relaying = relay.Relay(self._known, self._taking, self._clock)
        own = view.LocalState(
            work=self._using.work,
            held_blocks=self._using.cached_blocks,
            use=self._use,
            engine_load=self._seen,
            take_new_blocks=self._fresh,
            prefill_per_s=self._using.estimator.prefill_tokens_per_s,
            versions=relaying.editions,
            notices=self._using.server_notices,
            headroom_cores=lambda: self._gateway.headroom_cores,
        )
        return sharing.SharingService(
            str(self._cfg.peers),
            self._cfg.zone,
            self._cfg.seeds,
            directory.StoreDirectory(self._store),
            self._clock,
            own,
            relaying,
            lambda: self._desk.dispatch_waiting(),
        )

    def _make_peers(self) -> transport.PeerService:
        """Makes the links to the other routers."""
        peers = transport.PeerService(
            str(self._cfg.peers),
            self._boot,
            self._cfg.peers.host,
            self._cfg.peers.port,
            self._clock,
            self._spent.wrap(processor.Purpose.SHARING, self._sharing.receive),
            messages.Decoder(fleet.PEER_MESSAGES),
        )
        self._sharing.set_transport(peers)
        return peers

    def _make_followers(self) -> dict[str, follower.Follower]:
        origin = platform_source.StoreSource(self._store)
        return {
            f"follower_{kind.value}": follower.Follower(
                kind,
                origin,
                self._known,
                self._taking,
                self._clock,
                self._kernel.rng,
                self._sharing.is_relayed,
            )
            for kind in source.Kind
        }

    def _register_services(self) -> None:
        """Registers the services in the order in which they start."""
        cfg = self._cfg
        named = {
            "store": self._store,
            **self._make_followers(),
            "peers": self._make_peers(),
            "sharing": self._sharing,
            "servers": self._servers,
            "desk": self._desk,
            "lag": event_loop_lag.LagService(
                self.meter, self._clock, self._gateway.update_lag
            ),
            "load": load_log.LoadLog(self._load, self._clock),
            "gateway": self._gateway,
            "readiness": readiness.ReadinessService(
                cfg.readiness.host,
                cfg.readiness.port,
                platform_const.READINESS_PATH,
                self._ready,
            ),
            "metrics": gateway_metrics.MetricsService(
                cfg.metrics_host, cfg.metrics_port, self._registry.render
            ),
        }
        for name, svc in named.items():
            self._kernel.register(name, svc)

    def _forget_server(self, server: str) -> None:
        """Drops what was learned of a server that is gone or started anew."""
        self._using.cached_blocks.forget(server)
        self._using.breakers.forget(server)
        self._using.estimator.forget(server)
        self._using.server_notices.forget(server)

    def _due_part(self, workspace: str) -> float:
        """Returns the part of a workspace's requests within its share."""
        return self._desk.share_tracker.share_state(
            workspace, True
        ).admitted_fraction

    def _note_shed(
        self, workspace: str, seen: models.RequestPreview, retry_s: float
    ) -> None:
        """Counts what a workspace asked for and was refused unread."""
        cost = costs.request_cost(seen)
        if workspace and cost:
            now = self._clock.monotonic()
            self._desk.share_tracker.record_shed(workspace, cost, retry_s, now)

    def _use(self) -> dict[str, shares.Usage]:
        return dict(
            self._desk.share_tracker.usage.sums(self._clock.monotonic())
        )

    def _seen(self) -> observed_load.ObservedLoad:
        return self._desk.share_tracker.observed_load(self._clock.monotonic())

    def _fresh(self) -> list[tuple[str, int]]:
        fresh, self._desk.unreported_blocks = self._desk.unreported_blocks, []
        return fresh

    def _version(self) -> tuple[int, float]:
        cfg = self._known.configuration
        age_s = self._known.configuration_age(self._clock.monotonic())
        return (cfg.version if cfg else 0, age_s)

    def _on_change(self) -> None:
        self._news.set()
        self._desk.dispatch_waiting()

    def _ready(self) -> bool:
        if self._gateway.draining or not self._known.complete():
            return False
        if self.meter.lagging:
            return False
        return self._known.may_honour_keys(self._clock.monotonic())

    async def async_start(self) -> None:
        """Starts all services."""
        for svc in self._services:
            await svc.start()
        events.write(events.Started(self._cfg.zone, self._boot))

    async def async_stop(self) -> None:
        """Stops all services, for as long as a shutdown leaves for it."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(_async_stop(self._services), STOP_S)
        events.write(events.Stopped(self._gateway.in_flight))

    async def async_wait_ready(self) -> None:
        """Waits until this router knows enough to serve."""
        while not self._ready():
            self._news.clear()
            await self._news.wait()

    def close_idle(self) -> None:
        """Closes callers' connections that wait for a request."""
        self._gateway.close_idle()

    async def async_run(self) -> int:
        """Runs until a signal asks for the end; returns the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop_signals.call(loop, number, self._stop.set)
        loop_signals.call(loop, signal.SIGHUP, self._reload)
        await self.async_start()
        await self._stop.wait()
        await drain.async_drain(
            self._gateway,
            self._clock,
            self._cfg.bounds.shutdown_s,
            self._sharing.async_leave,
        )
        await self.async_stop()
        return self._exit_code

    def _reload(self) -> None:
        """Reads the settings file again; callers notice nothing.

        Addresses are taken at the start only: they belong to the VM.
        """
        try:
            cfg = platform_settings.load(platform_settings.path())
        except exceptions.SettingsError as exc:
            events.write(events.Reloaded((), str(exc)))
            return
        changed = [
            it.name
            for it in dataclasses.fields(cfg)
            if getattr(cfg, it.name) != getattr(self._cfg, it.name)
        ]
        self._cfg = cfg
        self._known.use_bounds(cfg.bounds)
        self._desk.update_bounds(cfg.bounds)
        events.write(events.Reloaded(tuple(changed)))

    def _on_crash(self) -> None:
        self._exit_code = 1
        self._stop.set()


async def _async_stop(services: list[mode.Service]) -> None:
    for svc in reversed(services):
        try:
            await svc.stop()
        except asyncio.CancelledError:
            logging.info({"event": "StopCutShort", "service": str(svc)})


def run(cfg: platform_settings.Settings, tracer: spans.Tracer) -> int:
    """Runs a router; returns the exit code of the process."""
    log = queue_log.QueuedLog(cfg.node)
    log.start()

    async def async_main() -> int:
        return await PlatformRouter(cfg, tracer).async_run()

    with asyncio.Runner(loop_factory=headroom.make_loop) as running:
        code = running.run(async_main())
    loop_signals.ignore(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    tracer.close()
    if not log.stop():
        # A regular exit would wait for the thread that nobody reads from.
        os._exit(code)
    return code
