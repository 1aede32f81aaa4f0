"""Cost of the dispatcher and of the permit client by several sizes."""

import itertools
import random

from bench import slopes_fit, slopes_fleet
from tamarackbridge import core, messages
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    const,
    dispatcher,
    permit_client,
)
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models

SHARD = "lm/0"
ENTRY = "r1"
CYCLES = 1000
TICKS = 20
SERVICES = 31
SHARDS = 2
FAR_FUTURE_S = 1e9
NO_LIMIT = 1_000_000


def _server(index: int, name: str, limit: int) -> models.BackendServer:
    return models.BackendServer(
        name=f"{name}-{index:04d}",
        service=name,
        zone="one",
        address=f"10.0.{index % 256}.1:8000",
        limit_warm=limit,
        limit_cold=limit,
        checks_fencing=True,
        draining=False,
        load_lag_s=1.0,
    )


def _snapshot(
    workspaces: int, services: list[models.Service], servers: int, limit: int
) -> models.Snapshot:
    names = [f"workspace-{index:05d}" for index in range(workspaces)]
    server_records = [
        _server(index, services[index % len(services)].name, limit)
        for index in range(servers)
    ]
    return models.Snapshot(
        1,
        {
            name: models.Workspace(name, 1.0, (), NO_LIMIT, NO_LIMIT, "")
            for name in names
        },
        {svc.name: svc for svc in services},
        {srv.name: srv for srv in server_records},
        {"one": models.Zone("one", False)},
    )


class _BusyDispatcher:
    """Dispatcher of one shard with all permits granted and a backlog."""

    def __init__(
        self, workspaces: int, backlog: int, servers: int, limit: int
    ) -> None:
        self.names = [f"workspace-{i:05d}" for i in range(workspaces)]
        self.decider = dispatcher.Dispatcher("r0", random.Random(1))
        self.running: list[dispatch.Grant] = []
        self.now = 1.0
        self._numbers = itertools.count()
        services = [slopes_fleet.service("lm")]
        self.snapshot = _snapshot(workspaces, services, servers, limit)
        members = (membership.Member(ENTRY, "one"),)
        self.deliver(configuration.SnapshotInForce(self.snapshot))
        self.deliver(membership.RosterChanged(members, (ENTRY,)))
        self.deliver(dispatch.LeaseHeld(SHARD, 1, FAR_FUTURE_S, True))
        for _ in range(servers * limit + backlog):
            self.queue_request()

    def deliver(self, msg: core.Message) -> None:
        """Delivers one message and stores the resulting grants."""
        delivery = core.Delivery(ENTRY, msg)
        for env in self.decider.handle(delivery, self.now):
            if isinstance(env.msg, dispatch.Grant):
                self.running.append(env.msg)

    def queue_request(self) -> None:
        """Adds a request to the backlog."""
        number = next(self._numbers)
        name = self.names[number % len(self.names)]
        request_id = f"{number:032x}"
        self.deliver(
            dispatch.Ask(
                SHARD, request_id, name, "u", "go", 100.0, FAR_FUTURE_S
            )
        )

    def cycle(self) -> None:
        """Ends the oldest request, so that one starts, and adds another."""
        grant = self.running.pop(0)
        self.deliver(
            dispatch.Finish(
                SHARD, 1, grant.number, 300.0, dispatch.Outcome.OK, 0.1
            )
        )
        self.queue_request()

    def tick(self) -> None:
        """Advances the time by a microsecond."""
        self.now += 1e-6
        self.decider.tick(self.now)

    def report_progress(self) -> None:
        """Delivers a progress report on three permits."""
        used = tuple((grant.number, 10.0) for grant in self.running[:3])
        self.deliver(dispatch.Progress(SHARD, 1, used, 0.0))

    def report_load(self) -> None:
        """Delivers the load report of one backend server."""
        name = next(iter(self.snapshot.servers))
        self.deliver(dispatch.LoadReport(name, 4, False, 1.0, "b"))

    def costs(self) -> dict[str, float]:
        """Returns the processor time of each step and the size of the state."""
        return {
            "cycle_cpu_us": slopes_fit.cpu_us(self.cycle, CYCLES),
            "tick_cpu_us": slopes_fit.cpu_us(self.tick, TICKS),
            "progress_cpu_us": slopes_fit.cpu_us(self.report_progress, TICKS),
            "load_report_cpu_us": slopes_fit.cpu_us(self.report_load, TICKS),
            "state_bytes": float(slopes_fit.deep_bytes(self.decider)),
        }


def workspaces(size: int) -> dict[str, float]:
    """Measures a shard with 2,048 queued requests of `size` workspaces."""
    return _BusyDispatcher(size, 2048, 8, 8).costs()


def backlog(size: int) -> dict[str, float]:
    """Measures a shard with `size` queued requests of 16 workspaces."""
    return _BusyDispatcher(16, size, 8, 8).costs()


def servers(size: int) -> dict[str, float]:
    """Measures a shard with `size` backend servers."""
    return _BusyDispatcher(16, 500, size, 4).costs()


def permits(size: int) -> dict[str, float]:
    """Measures a shard with `size` granted permits."""
    return _BusyDispatcher(16, 200, 8, size // 8).costs()


class _BusyEntry:
    """Permit client of an entry with running requests on all shards."""

    def __init__(self, running: int, servers: int) -> None:
        self.decider = permit_client.PermitClient(ENTRY, random.Random(1))
        self.now = 1.0
        self._numbers = itertools.count()
        services = [
            slopes_fleet.service(f"lm-{index:02d}", SHARDS)
            for index in range(SERVICES)
        ]
        self.names = [svc.name for svc in services]
        snapshot = _snapshot(16, services, servers, 64)
        self.deliver(configuration.SnapshotInForce(snapshot))
        for name in self.names:
            for index in range(SHARDS):
                holder = dispatch.ShardHolder(f"{name}/{index}", 1, "r0")
                self.deliver(holder)
        self.running = [self.start_request() for _ in range(running)]

    def deliver(self, msg: core.Message) -> list[core.Envelope]:
        """Delivers one message."""
        return list(self.decider.handle(core.Delivery("r0", msg), self.now))

    def start_request(self) -> str:
        """Requests and receives a permit; returns the request ID."""
        number = next(self._numbers)
        request_id = f"{number:032x}"
        name = self.names[number % len(self.names)]
        (env,) = self.deliver(
            dispatch.Want(
                name, request_id, "workspace-00001", "u", "go", 10.0, 60.0
            )
        )
        assert isinstance(env.msg, dispatch.Ask)
        grant = dispatch.Grant(
            env.msg.shard, 1, number, request_id, "s", 0.5, 60.0, 1.0
        )
        self.deliver(grant)
        return request_id

    def cycle(self) -> None:
        """Ends the oldest request and starts another one."""
        request_id = self.running.pop(0)
        self.deliver(dispatch.Done(request_id, 300.0, dispatch.Outcome.OK))
        self.running.append(self.start_request())

    def report_progress(self) -> list[core.Envelope]:
        """Advances the time to the next progress report and returns it."""
        self.now += const.PROGRESS_INTERVAL_S * 1.001
        return list(self.decider.tick(self.now))

    def costs(self) -> dict[str, float]:
        """Returns processor times, size of the state and report traffic."""
        cycle_us = slopes_fit.cpu_us(self.cycle, 500)
        self.now += 5.0
        self.report_progress()
        self.now += 5.0
        report_us = slopes_fit.cpu_us(self.report_progress, 10)
        sent = [
            messages.encode_message(env.msg) for env in self.report_progress()
        ]
        return {
            "cycle_cpu_us": cycle_us,
            "report_cpu_us": report_us,
            "report_messages": float(len(sent)),
            "report_bytes": float(sum(len(raw) for raw in sent)),
            "state_bytes": float(
                slopes_fit.deep_bytes(
                    *(
                        getattr(self.decider, name)
                        for name in ("_permits", "_pending", "_directory")
                    )
                )
            ),
        }


def open_requests(size: int) -> dict[str, float]:
    """Measures an entry with `size` running requests and 124 servers."""
    return _BusyEntry(size, 2 * SERVICES * SHARDS).costs()


def known_servers(size: int) -> dict[str, float]:
    """Measures an entry that knows `size` backend servers of 31 services."""
    return _BusyEntry(150, size).costs()


def message_sizes() -> dict[str, float]:
    """Returns the encoded size, in bytes, of the messages of one request."""
    request_id = f"{7:032x}"
    finish = dispatch.Finish(SHARD, 7, 123456, 300.0, dispatch.Outcome.OK, 0.1)
    examples: dict[str, core.Message] = {
        "ask": dispatch.Ask(
            "lm-01/1", request_id, "workspace-00001", "u", "go", 10.0, 60.0
        ),
        "grant": dispatch.Grant(
            "lm-01/1", 7, 123456, request_id, "lm-0001", 0.5, 60.0, 1.5
        ),
        "finish": finish,
    }
    sizes = {
        name: float(len(messages.encode_message(msg)))
        for name, msg in examples.items()
    }
    empty = slopes_fit.EMPTY_BATCH
    return sizes | {"batch": float(len(messages.encode_batch(empty)))}
