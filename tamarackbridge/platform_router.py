"""Composition root of a router process on the users' platform."""

import asyncio
import dataclasses
import os
import random
import secrets
import signal

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
from tamarackbridge.components.fleet import evidence_keeper, sharing, view
from tamarackbridge.components.fleet import messages as fleet
from tamarackbridge.components.gateway import (
    drain,
    event_loop_lag,
    forward,
    headroom,
    in_flight_limit,
    instance_check,
    load_log,
    models,
    offload,
    readiness,
    request_log,
    runner,
    screening,
    servers,
    shedding,
    speed_log,
    stream_ends,
)
from tamarackbridge.components.gateway import metrics as gateway_metrics
from tamarackbridge.components.gateway import service as gateway
from tamarackbridge.components.knowledge import (
    applier,
    follower,
    relay,
    state,
)
from tamarackbridge.components.rollout import writer
from tamarackbridge.components.telemetry import (
    events,
    metrics,
    processor,
    queue_log,
    spans,
)
from tamarackbridge.components.transport import service as transport
from tamarackbridge.helpers import loop_signals, service_stop
from tamarackbridge.platform import const as platform_const
from tamarackbridge.platform import (
    dialect,
    directory,
    evidence_store,
    exceptions,
    store,
    store_call_log,
)
from tamarackbridge.platform import rollouts as platform_rollouts
from tamarackbridge.platform import settings as platform_settings
from tamarackbridge.platform import source as platform_source

BOOT_BITS = 31
"""Bits of the identifier of a router process, new at each start."""

STOP_S = 0.4
"""Longest time to stop the services; within the margin of a shutdown."""


class PlatformRouter:
    """All services of one router process on the platform.

    Attributes:
        meter: Meter of the event loop's lag.
    """

    def __init__(
        self, cfg: platform_settings.Settings, tracer: spans.Tracer
    ) -> None:
        self._cfg = cfg
        self._tracer = tracer
        self._exit_code = 0
        self._stop = asyncio.Event()
        self._signalled_at: float | None = None
        self._local_copy_changed = asyncio.Event()
        self._boot = secrets.randbits(BOOT_BITS)
        self._clock = core.SystemClock()
        self._kernel = core.Kernel(self._clock, random.Random(self._boot))
        self._local_copy = state.LocalCopy(cfg.bounds)
        self._registry = metrics.Metrics(self._clock.monotonic)
        self._processor_time = processor.ProcessorTime()
        self._gateway_metrics = gateway_metrics.GatewayMetrics(self._registry)
        self._store = store.Store(str(cfg.store))
        self._store_source = platform_source.StoreSource(self._store)
        self.meter = event_loop_lag.LagMeter()
        self._dependencies = platform_parts.make(
            cfg,
            self._local_copy,
            lambda: self.meter.recent_s(self._clock.monotonic()),
            self._kernel.rng,
        )
        self._applier = applier.Applier(
            self._local_copy, self._clock, self._on_change, self._forget_server
        )
        self._sharing = self._make_sharing()
        self._admission_controller = self._make_admission_controller()
        self._servers = servers.ServerClient()
        self._shedder = shedding.Shedder(
            self._in_share_fraction, self._kernel.rng
        )
        self._gateway = self._make_gateway()
        self._load_sources = load_log.LoadSources(
            self._admission_controller, self._gateway, self.meter
        )
        self._register_services()
        load_log.register_metrics(self._registry, self._load_sources)
        self._registry.processor("processor_seconds", self._processor_time)
        if self._dependencies.estimator.speeds is not None:
            speed_log.register_metrics(
                self._registry,
                self._local_copy,
                self._dependencies.estimator.speeds,
                self._clock,
            )
        platform_gauges.add(
            self._registry,
            self._clock,
            self._local_copy,
            self._shedder,
            self._sharing,
            self._store,
            self._dependencies.block_quarantine,
            self._gateway,
        )
        if self._dependencies.rollouts is not None:
            platform_gauges.add_rollouts(
                self._registry, self._clock, self._dependencies.rollouts
            )
        services = self._kernel.mode_services()
        watch = crash_watch.CrashWatch(services, self._on_crash)
        self._services = [*services, watch]

    def _make_admission_controller(self) -> controller.AdmissionController:
        return metered_controller.MeteredAdmissionController(
            self._processor_time,
            self._dependencies,
            self._clock,
            self._kernel.rng,
            self._sharing,
            self._gateway_metrics.observe_wait,
        )

    def _make_gateway(self) -> gateway.GatewayService:
        """Creates the listener for callers and the runner of their requests."""
        platform_dialect = dialect.PlatformDialect()
        log = request_log.RequestLog(
            self._clock, self._local_copy, self._gateway_metrics
        )
        service = gateway.GatewayService(
            self._cfg.callers.host,
            self._cfg.callers.port,
            self._cfg.max_descriptors,
            self._cfg.memory_mb,
            self._local_copy,
            platform_dialect,
            self._clock,
            log,
            self.meter,
            self._shedder,
            self._processor_time,
            self._tracer,
            self._record_shed,
            self._make_offloading(),
        )
        service.set_runner(
            runner.Runner(
                self._admission_controller,
                forward.Forwarder(
                    self._servers,
                    platform_dialect,
                    self._processor_time,
                    in_flight_limit.max_response_bytes(self._cfg.memory_mb),
                ),
                platform_dialect,
                self._clock,
                service.is_last_response,
                log,
                stream_ends.StreamEndPolicy(
                    self._clock,
                    instance_check.InstanceChecker(
                        self._servers, platform_dialect, self._clock
                    ),
                ),
            )
        )
        return service

    def _make_offloading(self) -> screening.Offloading | None:
        """Creates the offloading of requests to peers, if a port is set."""
        if not self._cfg.offload_port:
            return None
        own_headroom = headroom.Headroom(self._cfg.cores, headroom.loop_idle_s)
        offloader = offload.Offloader(
            self._sharing.peer_headroom,
            self._shedder,
            own_headroom,
            self._kernel.rng,
        )
        return screening.Offloading(
            offloader,
            self._cfg.peers.host,
            self._cfg.offload_port,
            self._cfg.offload_address,
            own_headroom,
        )

    def _make_sharing(self) -> sharing.SharingService:
        """Creates the exchange of reports with the other routers."""
        store_relay = relay.Relay(self._local_copy, self._applier, self._clock)
        speeds = self._dependencies.estimator.speeds
        own = view.LocalState(
            work=self._dependencies.work,
            cache_index=self._dependencies.cache_index,
            use=self._workspace_use,
            engine_load=self._engine_load,
            take_new_blocks=self._take_new_blocks,
            prefill_tokens_per_s=self._dependencies.estimator.prefill_tokens_per_s,
            versions=store_relay.versions,
            server_notices=self._dependencies.server_notices,
            block_quarantine=self._dependencies.block_quarantine,
            headroom_cores=lambda: self._gateway.headroom_cores,
            speeds=speeds.store if speeds is not None else None,
            demand=self._dependencies.demand,
            rollouts=self._dependencies.rollouts,
        )
        return sharing.SharingService(
            str(self._cfg.peers),
            self._cfg.zone,
            self._cfg.seeds,
            directory.StoreDirectory(self._store),
            self._clock,
            own,
            store_relay,
            lambda: self._admission_controller.dispatch_waiting(),
            self._kernel.rng.random(),
        )

    def _make_peers(self) -> transport.PeerService:
        """Creates the connections to the other routers."""
        peers = transport.PeerService(
            str(self._cfg.peers),
            self._boot,
            self._cfg.peers.host,
            self._cfg.peers.port,
            self._clock,
            self._processor_time.wrap(
                processor.Purpose.SHARING, self._sharing.receive
            ),
            messages.Decoder(fleet.PEER_MESSAGES),
            is_remote=self._sharing.is_in_other_zone,
        )
        self._sharing.set_transport(peers)
        return peers

    def _make_followers(self) -> dict[str, follower.Follower]:
        store_source = self._store_source
        return {
            f"follower_{kind.value}": follower.Follower(
                kind,
                store_source,
                self._local_copy,
                self._applier,
                self._clock,
                self._kernel.rng,
                self._sharing.is_relayed,
                self._sharing.may_read_first,
            )
            for kind in self._local_copy.kinds
        }

    def _make_rollouts(self) -> dict[str, core.Service]:
        """Creates the service that carries rollouts out, if it is active."""
        rollouts = self._dependencies.rollouts
        if rollouts is None:
            return {}
        rollouts.set_fleet(
            lambda: len(self._sharing.routers()) - 1,
            self._sharing.live_routers,
            self._on_rollout_change,
        )
        status = platform_rollouts.StoreStatus(self._store, self._store_source)
        return {
            "rollouts": writer.StatusWriter(
                status, rollouts, self._applier, self._clock
            )
        }

    def _on_rollout_change(self) -> None:
        self._sharing.request_report()
        self._admission_controller.dispatch_waiting()

    def _register_services(self) -> None:
        """Registers the services in the order in which they start."""
        cfg = self._cfg
        services = {
            "store": self._store,
            "store_calls": store_call_log.StoreCallLog(self._store),
            **self._make_followers(),
            "peers": self._make_peers(),
            "sharing": self._sharing,
            "evidence": evidence_keeper.EvidenceKeeper(
                evidence_store.StoreEvidence(self._store),
                self._dependencies.block_quarantine,
                self._clock,
                self._sharing.ranks_first,
            ),
            **self._make_rollouts(),
            "servers": self._servers,
            "desk": self._admission_controller,
            "lag": event_loop_lag.LagService(
                self.meter, self._clock, self._gateway.update_lag
            ),
            "load": load_log.LoadLog(self._load_sources, self._clock),
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
        speeds = self._dependencies.estimator.speeds
        if speeds is not None:
            services["speeds"] = speed_log.SpeedLog(
                self._local_copy, speeds, self._clock
            )
        for name, svc in services.items():
            self._kernel.register(name, svc)

    def _forget_server(self, server: str) -> None:
        """Drops the state of a server that was removed or restarted."""
        self._dependencies.cache_index.forget(server)
        self._dependencies.breakers.forget(server)
        self._dependencies.estimator.forget(server)
        self._dependencies.server_selector.states.forget(server)
        self._dependencies.server_notices.forget(server)

    def _in_share_fraction(self, workspace: str) -> float:
        """Returns the fraction of a workspace's requests within its share."""
        return self._admission_controller.share_tracker.share_state(
            workspace, True
        ).admitted_fraction

    def _record_shed(
        self,
        workspace: str,
        preview: models.RequestPreview,
        retry_after_s: float,
    ) -> None:
        """Records the cost of a request that was shed, for the fair shares."""
        cost = costs.request_cost(preview)
        if workspace and cost:
            now = self._clock.monotonic()
            self._admission_controller.share_tracker.record_shed(
                workspace, cost, retry_after_s, now
            )

    def _workspace_use(self) -> dict[str, shares.Usage]:
        return dict(
            self._admission_controller.share_tracker.usage.sums(
                self._clock.monotonic()
            )
        )

    def _engine_load(self) -> observed_load.ObservedLoad:
        return self._admission_controller.share_tracker.observed_load(
            self._clock.monotonic()
        )

    def _take_new_blocks(self) -> list[tuple[str, int]]:
        new_blocks, self._admission_controller.unreported_blocks = (
            self._admission_controller.unreported_blocks,
            [],
        )
        return new_blocks

    def _version(self) -> tuple[int, float]:
        """Returns version and age of the configuration in force."""
        cfg = self._local_copy.configuration
        age_s = self._local_copy.configuration_age(self._clock.monotonic())
        return (cfg.version if cfg else 0, age_s)

    def _on_change(self) -> None:
        self._local_copy_changed.set()
        if self._dependencies.rollouts is not None:
            self._dependencies.rollouts.sync(self._clock.monotonic())
        self._admission_controller.dispatch_waiting()

    def _ready(self) -> bool:
        if self._gateway.draining or not self._local_copy.is_complete():
            return False
        if self.meter.lagging:
            return False
        return self._local_copy.may_accept_keys(self._clock.monotonic())

    async def async_start(self) -> None:
        """Starts all services."""
        for svc in self._services:
            await svc.start()
        events.write(events.Started(self._cfg.zone, self._boot))

    async def async_stop(self) -> None:
        """Stops all services; gives up after `STOP_S`."""
        await service_stop.async_stop(self._services, STOP_S)
        events.write(events.Stopped(self._gateway.in_flight))

    async def async_wait_ready(self) -> None:
        """Waits until this router is ready to serve."""
        while not self._ready():
            self._local_copy_changed.clear()
            await self._local_copy_changed.wait()

    def close_idle(self) -> None:
        """Closes callers' connections without a request in progress."""
        self._gateway.close_idle()

    async def async_run(self) -> int:
        """Serves until a signal stops the router; returns the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop_signals.set_handler(
                loop, number, self._stop.set, self._record_signal
            )
        loop_signals.set_handler(loop, signal.SIGHUP, self._reload)
        await self.async_start()
        await self._stop.wait()
        if self._signalled_at is None:  # A service has crashed.
            self._signalled_at = self._clock.monotonic()
        await drain.async_drain(
            self._gateway,
            self._clock,
            self._cfg.bounds.shutdown_s,
            self._sharing.async_leave,
            self._signalled_at,
        )
        await self.async_stop()
        return self._exit_code

    def _reload(self) -> None:
        """Reloads the settings file without interrupting requests.

        Changed limits are applied. Addresses are used at the start only: they
        belong to the VM.
        """
        try:
            cfg = platform_settings.load(platform_settings.path())
        except exceptions.SettingsError as exc:
            events.write(events.Reloaded((), str(exc)))
            return
        changed = [
            field.name
            for field in dataclasses.fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        self._cfg = cfg
        self._local_copy.use_bounds(cfg.bounds)
        self._admission_controller.update_bounds(cfg.bounds)
        events.write(events.Reloaded(tuple(changed)))

    def _record_signal(self) -> None:
        if self._signalled_at is None:
            self._signalled_at = self._clock.monotonic()

    def _on_crash(self) -> None:
        self._exit_code = 1
        self._stop.set()


def run(cfg: platform_settings.Settings, tracer: spans.Tracer) -> int:
    """Runs a router; returns the exit code of the process."""
    log = queue_log.QueuedLog(cfg.node)
    log.start()

    async def async_main() -> int:
        return await PlatformRouter(cfg, tracer).async_run()

    with asyncio.Runner(loop_factory=headroom.make_loop) as loop_runner:
        code = loop_runner.run(async_main())
    loop_signals.ignore(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    tracer.close()
    if not log.stop():
        # A regular exit would wait for the log thread, which blocks while
        # nothing reads the process's output.
        os._exit(code)
    return code
