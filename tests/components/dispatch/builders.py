"""Records and simulated routers for the tests of this component."""

import itertools
import random
from typing import ClassVar

from bench import fake_lease, fake_server, harness
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    dispatcher,
    messages,
    permit_client,
)
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models

SERVICE = "lm"
SHARD = "lm/0"
RATE = 100.0
"""Cost that one running request completes in a second."""


def workspace(name: str, **changes: object) -> models.Workspace:
    fields: dict[str, object] = {
        "share": 1.0,
        "key_hashes": (),
        "max_queued": 50,
        "max_running": 8,
        "end_user_header": "",
    }
    return models.Workspace(name, **(fields | changes))  # type: ignore[arg-type]


def server(name: str, **changes: object) -> models.BackendServer:
    fields: dict[str, object] = {
        "service": SERVICE,
        "zone": "lahore",
        "address": "127.0.0.1:1",
        "limit_warm": 4,
        "limit_cold": 2,
        "checks_fencing": False,
        "draining": False,
        "load_lag_s": 0.4,
    }
    return models.BackendServer(name, **(fields | changes))  # type: ignore[arg-type]


def snapshot(
    workspaces: list[models.Workspace],
    servers: list[models.BackendServer],
    shards: int = 1,
    max_cost: float = 1000.0,
) -> models.Snapshot:
    service = models.Service(
        SERVICE,
        models.Protocol.ENGINE,
        models.CostRule.TOKENS,
        1.0,
        max_cost,
        60.0,
        shards,
        (),
    )
    return models.Snapshot(
        1,
        {item.name: item for item in workspaces},
        {SERVICE: service},
        {item.name: item for item in servers},
        {"lahore": models.Zone("lahore", False)},
    )


class Settled:
    """Records the permits whose `Finish` reached a dispatcher."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (messages.Finish,)

    def __init__(self) -> None:
        self.keys: set[tuple[int, int]] = set()

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        if isinstance(delivery.msg, messages.Finish):
            self.keys.add((delivery.msg.epoch, delivery.msg.number))
        return []

    def tick(self, now: float) -> list[core.Envelope]:
        return []


class Fleet:
    """Routers with real deciders, fake servers and a fake lease.

    Attributes:
        granted: Requests that got a permit, in order; `granted_at` has the
            times.
        ended: Result of each request that ended.
        workspaces: Workspace of each request.
        served: Cost of the ended requests of each workspace.
        waiting: Requests without a permit, by workspace.
        emptied: Workspaces whose last waiting request left; a test clears it.
        finished: Permits for which a `Finish` was sent.
    """

    def __init__(self, records: models.Snapshot, nodes: int = 3) -> None:
        self.bus = harness.Harness(1)
        self.records = records
        self.nodes = [f"r{index}" for index in range(nodes)]
        self.servers = {
            name: fake_server.FakeServer(self.bus, item, RATE)
            for name, item in records.servers.items()
        }
        self.entries: dict[str, fake_server.FakeEntry] = {}
        self.dispatchers: dict[str, dispatcher.Dispatcher] = {}
        self._numbers = itertools.count()
        self.granted: list[str] = []
        self.granted_at: list[float] = []
        self.ended: dict[str, str] = {}
        self.workspaces: dict[str, str] = {}
        self.served: dict[str, float] = {}
        self.waiting: dict[str, int] = {}
        self.emptied: set[str] = set()
        self.finished: set[tuple[int, int]] = set()
        self.settled = Settled()
        self.bus.taps.append(self._record_finish)
        for node in self.nodes:
            self.start(node)
        self.leases = fake_lease.FakeLeases(
            self.bus, self.nodes, records.shard_names()
        )
        for item in self.servers.values():
            item.listeners = lambda: sorted(set(self.leases.holders.values()))

    def start(self, node: str) -> None:
        rng = random.Random(node)
        entry = fake_server.FakeEntry(self.bus, node, self.servers)
        entry.permitted = self._permitted
        entry.ended = self._ended
        self.entries[node] = entry
        self.dispatchers[node] = dispatcher.Dispatcher(node, rng)
        client = permit_client.PermitClient(node, rng)
        group = core.DeciderGroup(
            node, [self.dispatchers[node], client, entry, self.settled]
        )
        self.bus.start(group)
        change = configuration.SnapshotInForce(self.records)
        self.bus.inject(node, change)
        members = tuple(
            membership.Member(name, "lahore", "", 1) for name in self.nodes
        )
        roster = membership.RosterChanged(members, tuple(self.nodes))
        self.bus.inject(node, roster)

    def want(
        self,
        node: str,
        request_id: str,
        name: str,
        cost: float = 100.0,
        **changes: object,
    ) -> None:
        fields: dict[str, object] = {
            "end_user": "",
            "route": "chat",
            "hint_cost": 10.0,
            "deadline_s": 100.0,
        }
        want = messages.Want(
            SERVICE,
            request_id,
            name,
            **(fields | changes),  # type: ignore[arg-type]
        )
        self.entries[node].costs[request_id] = cost
        self.workspaces[request_id] = name
        self.waiting[name] = self.waiting.get(name, 0) + 1
        self.bus.inject(node, want)

    def flow(self, node: str, name: str, outstanding: int, cost: float) -> None:
        """Keeps a number of requests of one workspace open at one router."""
        for index in range(outstanding):
            self.want(node, f"{node}.{name}:{cost}:{index}", name, cost)

    def cut_off(self, node: str) -> None:
        """Isolates a router from all others, also from renewing its lease."""
        others = [name for name in self.nodes if name != node]
        self.bus.faults.isolate([node], others)
        self.leases.ready = lambda name: name != node and self.bus.alive(name)
        cut = self.bus.faults.cut
        self.leases.reaches = lambda a, b: (a, b) not in cut

    def run(self, seconds: float) -> None:
        self.bus.run_until(self.bus.now + seconds)

    def violations(self) -> int:
        return sum(item.violations for item in self.servers.values())

    def held(self) -> int:
        holder = self.leases.holders[SHARD]
        return len(self.dispatchers[holder].shards[SHARD].permits)

    def unsettled(self) -> int:
        """Returns the number of ended permits whose `Finish` got lost."""
        return len(self.finished - self.settled.keys)

    def _record_not_waiting(self, request_id: str) -> None:
        name = self.workspaces[request_id]
        self.waiting[name] -= 1
        if not self.waiting[name]:
            self.emptied.add(name)

    def _permitted(self, request_id: str, server: str) -> None:
        self.granted.append(request_id)
        self.granted_at.append(self.bus.now)
        self._record_not_waiting(request_id)

    def _ended(self, request_id: str, used: float, reason: str) -> None:
        name = self.workspaces[request_id]
        if request_id not in self.granted:
            self._record_not_waiting(request_id)
        self.ended[request_id] = reason
        self.served[name] = self.served.get(name, 0.0) + used
        node, _, rest = request_id.partition(".")
        if not used or not rest or not self.bus.alive(node):
            return
        name, cost, _ = rest.split(":")
        next_id = f"{node}.{name}:{cost}:n{next(self._numbers)}"
        self.bus.at(
            self.bus.now, lambda: self.want(node, next_id, name, float(cost))
        )

    def _record_finish(self, src: str, env: core.Envelope, now: float) -> None:
        if isinstance(env.msg, messages.Finish):
            self.finished.add((env.msg.epoch, env.msg.number))
