"""Records and nodes for the tests of this component."""

import random
from typing import ClassVar

from bench import harness
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    dispatcher,
    messages,
    permit_client,
)
from tamarackbridge.components.records import models

SERVICE = "lm"
SHARD = "lm/0"


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


class Entry:
    """Records what the permit client tells the entry."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.Permitted,
        messages.Refused,
    )

    def __init__(self) -> None:
        self.permitted: list[messages.Permitted] = []
        self.refused: list[messages.Refused] = []

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> list[core.Envelope]:
        if isinstance(delivery.msg, messages.Permitted):
            self.permitted.append(delivery.msg)
        if isinstance(delivery.msg, messages.Refused):
            self.refused.append(delivery.msg)
        return []

    def tick(self, now: float) -> list[core.Envelope]:
        return []


class Fleet:
    """Routers in the harness, with the first as dispatcher of one shard."""

    def __init__(self, records: models.Snapshot, nodes: int = 2) -> None:
        self.bus = harness.Harness(1)
        self.records = records
        self.entries: dict[str, Entry] = {}
        self.dispatchers: dict[str, dispatcher.Dispatcher] = {}
        for index in range(nodes):
            self.start(f"r{index}")

    def start(self, node: str) -> None:
        rng = random.Random(node)
        self.entries[node] = Entry()
        self.dispatchers[node] = dispatcher.Dispatcher(node, rng)
        deciders: list[core.Decider] = [
            self.dispatchers[node],
            permit_client.PermitClient(node, rng),
            self.entries[node],
        ]
        self.bus.start(core.DeciderGroup(node, deciders))
        news = configuration.SnapshotInForce(self.records)
        self.bus.inject(node, news)

    def lease(self, node: str, epoch: int, length_s: float = 1e6) -> None:
        until = self.bus.now + length_s
        held = messages.LeaseHeld(SHARD, epoch, until, True)
        self.bus.inject(node, held)
        for other in self.entries:
            news = messages.ShardHolder(SHARD, epoch, node)
            self.bus.inject(other, news)

    def want(
        self, node: str, request_id: str, name: str, **changes: object
    ) -> None:
        fields: dict[str, object] = {
            "end_user": "",
            "route": "chat",
            "hint_cost": 10.0,
            "deadline_s": 30.0,
        }
        want = messages.Want(
            SERVICE,
            request_id,
            name,
            **(fields | changes),  # type: ignore[arg-type]
        )
        self.bus.inject(node, want)

    def done(
        self,
        node: str,
        request_id: str,
        used: float = 10.0,
        outcome: messages.Outcome = messages.Outcome.OK,
    ) -> None:
        self.bus.inject(node, messages.Done(request_id, used, outcome))

    def run(self, seconds: float) -> None:
        self.bus.run_until(self.bus.now + seconds)
