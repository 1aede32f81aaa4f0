"""Slopes of the dispatcher and of the permit client."""

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
FAR = 1e9
MANY = 1_000_000


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
    places = [
        _server(index, services[index % len(services)].name, limit)
        for index in range(servers)
    ]
    return models.Snapshot(
        1,
        {
            name: models.Workspace(name, 1.0, (), MANY, MANY, "")
            for name in names
        },
        {svc.name: svc for svc in services},
        {srv.name: srv for srv in places},
        {"one": models.Zone("one", False)},
    )


class _Shard:
    """A dispatcher with all permits out and a backlog."""

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
        self.give(configuration.SnapshotInForce(self.snapshot))
        self.give(membership.RosterChanged(members, (ENTRY,)))
        self.give(dispatch.LeaseHeld(SHARD, 1, FAR, True))
        for _ in range(servers * limit + backlog):
            self.ask()

    def give(self, msg: core.Message) -> None:
        """Delivers one message and keeps the grants."""
        delivery = core.Delivery(ENTRY, msg)
        for env in self.decider.handle(delivery, self.now):
            if isinstance(env.msg, dispatch.Grant):
                self.running.append(env.msg)

    def ask(self) -> None:
        """One more request waits."""
        number = next(self._numbers)
        name = self.names[number % len(self.names)]
        request_id = f"{number:032x}"
        self.give(dispatch.Ask(SHARD, request_id, name, "u", "go", 100.0, FAR))

    def cycle(self) -> None:
        """One request ends, the next starts and another one comes."""
        grant = self.running.pop(0)
        self.give(
            dispatch.Finish(
                SHARD, 1, grant.number, 300.0, dispatch.Outcome.OK, 0.1
            )
        )
        self.ask()

    def tick(self) -> None:
        """A short time passes."""
        self.now += 1e-6
        self.decider.tick(self.now)

    def progress(self) -> None:
        """An entry tells what three permits have used."""
        used = tuple((grant.number, 10.0) for grant in self.running[:3])
        self.give(dispatch.Progress(SHARD, 1, used, 0.0))

    def load(self) -> None:
        """A backend server reports its load."""
        name = next(iter(self.snapshot.servers))
        self.give(dispatch.LoadReport(name, 4, False, 1.0, "b"))

    def costs(self) -> dict[str, float]:
        """Returns processor time and state."""
        return {
            "cycle_cpu_us": slopes_fit.cpu_us(self.cycle, CYCLES),
            "tick_cpu_us": slopes_fit.cpu_us(self.tick, TICKS),
            "progress_cpu_us": slopes_fit.cpu_us(self.progress, TICKS),
            "load_report_cpu_us": slopes_fit.cpu_us(self.load, TICKS),
            "state_bytes": float(slopes_fit.deep_bytes(self.decider)),
        }


def workspaces(size: int) -> dict[str, float]:
    """All `size` workspaces are backlogged; 2,048 requests wait."""
    return _Shard(size, 2048, 8, 8).costs()


def backlog(size: int) -> dict[str, float]:
    """`size` requests of 16 workspaces wait."""
    return _Shard(16, size, 8, 8).costs()


def servers(size: int) -> dict[str, float]:
    """One shard has `size` backend servers."""
    return _Shard(16, 500, size, 4).costs()


def permits(size: int) -> dict[str, float]:
    """`size` permits are out."""
    return _Shard(16, 200, 8, size // 8).costs()


class _Entry:
    """A permit client with running requests spread over all shards."""

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
        self.give(configuration.SnapshotInForce(snapshot))
        for name in self.names:
            for index in range(SHARDS):
                news = dispatch.ShardHolder(f"{name}/{index}", 1, "r0")
                self.give(news)
        self.open = [self.start() for _ in range(running)]

    def give(self, msg: core.Message) -> list[core.Envelope]:
        """Delivers one message."""
        return list(self.decider.handle(core.Delivery("r0", msg), self.now))

    def start(self) -> str:
        """One request wants to run and is permitted."""
        number = next(self._numbers)
        request_id = f"{number:032x}"
        name = self.names[number % len(self.names)]
        (env,) = self.give(
            dispatch.Want(
                name, request_id, "workspace-00001", "u", "go", 10.0, 60.0
            )
        )
        assert isinstance(env.msg, dispatch.Ask)
        grant = dispatch.Grant(
            env.msg.shard, 1, number, request_id, "s", 0.5, 60.0, 1.0
        )
        self.give(grant)
        return request_id

    def cycle(self) -> None:
        """The oldest request ends and another one starts."""
        request_id = self.open.pop(0)
        self.give(dispatch.Done(request_id, 300.0, dispatch.Outcome.OK))
        self.open.append(self.start())

    def report(self) -> list[core.Envelope]:
        """The time of the next progress report has come."""
        self.now += const.PROGRESS_INTERVAL_S * 1.001
        return list(self.decider.tick(self.now))

    def costs(self) -> dict[str, float]:
        """Returns processor time, state and traffic."""
        cycle_us = slopes_fit.cpu_us(self.cycle, 500)
        self.now += 5.0
        self.report()
        self.now += 5.0
        report_us = slopes_fit.cpu_us(self.report, 10)
        sent = [messages.encode_message(env.msg) for env in self.report()]
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
    """An entry has `size` running requests; 124 servers."""
    return _Entry(size, 2 * SERVICES * SHARDS).costs()


def known_servers(size: int) -> dict[str, float]:
    """An entry knows `size` backend servers of 31 services."""
    return _Entry(150, size).costs()


def message_sizes() -> dict[str, float]:
    """Returns the bytes of the messages of one request."""
    request_id = f"{7:032x}"
    finish = dispatch.Finish(SHARD, 7, 123456, 300.0, dispatch.Outcome.OK, 0.1)
    each: dict[str, core.Message] = {
        "ask": dispatch.Ask(
            "lm-01/1", request_id, "workspace-00001", "u", "go", 10.0, 60.0
        ),
        "grant": dispatch.Grant(
            "lm-01/1", 7, 123456, request_id, "lm-0001", 0.5, 60.0, 1.5
        ),
        "finish": finish,
    }
    found = {
        name: float(len(messages.encode_message(msg)))
        for name, msg in each.items()
    }
    empty = slopes_fit.EMPTY_BATCH
    return found | {"batch": float(len(messages.encode_batch(empty)))}
