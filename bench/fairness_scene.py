"""Simulation of routers, servers and demand under one sharing policy."""

from collections.abc import Callable
import dataclasses
import random

from bench import (
    fairness_meter,
    fairness_network,
    fairness_records,
    fake_lease,
    fake_server,
)
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import (
    dispatcher,
    messages,
    permit_client,
    waiting,
)
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.records import models

SAMPLE_S = 0.2
DEADLINE_S = 300.0
USERS = 5


class FifoOrder(waiting.FairOrder):
    """Queue in order of arrival."""

    def pop_next(
        self, allowed: waiting.MayRun, fits: waiting.CanRun
    ) -> waiting.QueuedRequest | None:
        """Removes and returns the oldest request that may start."""
        for item in self:
            if allowed(item.ask.workspace) and fits(item):
                return self.remove(item.ask.request_id)
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One policy of sharing.

    Attributes:
        order: Creates the queue of waiting requests.
        shared: Whether one dispatcher serves all routers; else each router
            dispatches its own part of the server limits.
        quotas: Whether each workspace has a fixed number of permits.
    """

    order: Callable[[], waiting.Order] = waiting.FairOrder
    shared: bool = True
    quotas: bool = False


POLICIES = {
    "fleet": Policy(),
    "fifo": Policy(order=FifoOrder),
    "per_router": Policy(shared=False),
    "static": Policy(order=FifoOrder, quotas=True),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    Attributes:
        demand: Demand that it belongs to.
        node: Router that received it.
        queued_at: Time of its arrival.
    """

    demand: fairness_records.Demand
    node: str
    queued_at: float


class Scene:
    """Routers, servers and demand under one policy.

    Attributes:
        meters: Meter of each service.
        requests: Open requests.
        running: Server of each running request.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int,
        shards: int = 1,
        cold_s: float = 0.0,
    ) -> None:
        self.policy = policy
        self.records = fairness_records.mela(shards)
        self.bus = fairness_network.BatchingHarness(seed)
        self.rng = random.Random(seed)
        shares = {
            name: item.share for name, item in self.records.workspaces.items()
        }
        self.meters = {
            name: fairness_meter.ServiceMeter(shares)
            for name in self.records.services
        }
        self.servers = {
            name: fake_server.FakeServer(
                self.bus,
                server,
                fairness_records.RATES[server.service],
                cold_s,
            )
            for name, server in self.records.servers.items()
        }
        self.requests: dict[str, Request] = {}
        self.running: dict[str, str] = {}
        self.entries: dict[str, fake_server.FakeEntry] = {}
        self.demands = fairness_records.demands(self.records, self.rng)
        self._number = 0
        for node in fairness_records.NODES:
            self.start_node(node)
        shard_names = self.records.shard_names()
        self.leases = self._give_leases(shard_names)
        for server_fake in self.servers.values():
            server_fake.listeners = self._dispatching
        for demand in self.demands:
            self._begin(demand)
        self.bus.at(SAMPLE_S, self._sample)

    # Nodes.

    def start_node(self, node: str) -> None:
        """Starts a router with empty state."""
        rng = random.Random(self.rng.random())
        entry = fake_server.FakeEntry(self.bus, node, self.servers)
        entry.permitted = self._permitted
        entry.ended = self._ended
        self.entries[node] = entry
        deciders: list[core.Decider] = [
            dispatcher.Dispatcher(node, rng, self.policy.order),
            permit_client.PermitClient(node, rng),
            entry,
        ]
        self.bus.start(core.DeciderGroup(node, deciders))
        records = self._records_of(node)
        self.bus.inject(node, configuration.SnapshotInForce(records))
        nodes = fairness_records.NODES if self.policy.shared else [node]
        members = tuple(membership.Member(name, "", "", 1) for name in nodes)
        roster = membership.RosterChanged(members, tuple(nodes))
        self.bus.inject(node, roster)
        if not self.policy.shared:
            self._hold_alone(node)

    def kill_node(self, node: str) -> None:
        """Stops a router at once; its callers retry at other routers."""
        self.bus.kill(node)
        for name, request in list(self.requests.items()):
            if request.node == node:
                self._forget(name)
                self._come_again(request.demand, 0.1)

    def _records_of(self, node: str) -> models.Snapshot:
        if self.policy.quotas:
            return fairness_records.quotas(self.records)
        if self.policy.shared:
            return self.records
        index = fairness_records.NODES.index(node)
        return fairness_records.split(self.records, index)

    def _give_leases(self, shards: list[str]) -> fake_lease.FakeLeases:
        nodes = list(fairness_records.NODES)
        given = shards if self.policy.shared else []
        return fake_lease.FakeLeases(self.bus, nodes, given)

    def _hold_alone(self, node: str) -> None:
        for shard in self.records.shard_names():
            held = messages.LeaseHeld(shard, 1, float("inf"), True)
            self.bus.inject(node, held)
            self.bus.inject(node, messages.ShardHolder(shard, 1, node))

    def _dispatching(self) -> list[str]:
        if self.policy.shared:
            return sorted(set(self.leases.holders.values()))
        return []

    # Demand.

    def _begin(self, demand: fairness_records.Demand) -> None:
        for _ in range(demand.outstanding):
            self._come_again(demand, self.rng.random())
        if demand.rate:
            self.arrive(demand, demand.rate, float("inf"))

    def arrive(
        self, demand: fairness_records.Demand, rate: float, until: float
    ) -> None:
        """Lets requests arrive at random until virtual time `until`."""

        def next_one() -> None:
            if self.bus.now < until:
                self.submit(demand)
                self.bus.at(self.bus.now + self.rng.expovariate(rate), next_one)

        self.bus.at(self.bus.now + self.rng.expovariate(rate), next_one)

    def submit(self, demand: fairness_records.Demand) -> None:
        """Sends one request to a random router of the workspace."""
        fit = [node for node in demand.entries if self.bus.alive(node)]
        fit = fit or [
            node for node in fairness_records.NODES if self.bus.alive(node)
        ]
        node = self.rng.choice(fit)
        self._number += 1
        name = f"q{self._number}"
        cost = demand.draw_cost(self.rng)
        hint = cost * 10 ** self.rng.uniform(-1, 1)
        self.requests[name] = Request(demand, node, self.bus.now)
        self.entries[node].costs[name] = cost
        self._meter(demand).queued(demand.workspace, self.bus.now)
        want = messages.Want(
            service=demand.service,
            request_id=name,
            workspace=demand.workspace,
            end_user=f"u{self.rng.randrange(USERS)}",
            route="main",
            hint_cost=hint,
            deadline_s=DEADLINE_S,
        )
        self.bus.inject(node, want)

    def _come_again(
        self, demand: fairness_records.Demand, after_s: float
    ) -> None:
        if demand.outstanding:
            when = self.bus.now + after_s
            self.bus.at(when, lambda: self.submit(demand))

    # Callbacks of the entries.

    def _permitted(self, name: str, server: str) -> None:
        request = self.requests[name]
        self.running[name] = server
        waited_s = self.bus.now - request.queued_at
        workspace = request.demand.workspace
        self._meter(request.demand).granted(workspace, waited_s, self.bus.now)

    def _ended(self, name: str, used: float, reason: str) -> None:
        request = self.requests.get(name)
        if request is None:
            return
        meter = self._meter(request.demand)
        meter.settled[request.demand.workspace] += used
        if name not in self.running:
            meter.refused[reason] += 1
        self._forget(name)
        self._come_again(request.demand, 0.0 if used else 1.0)

    def _forget(self, name: str) -> None:
        request = self.requests.pop(name)
        if self.running.pop(name, None) is None:
            workspace = request.demand.workspace
            self._meter(request.demand).left(workspace, self.bus.now)

    def _meter(
        self, demand: fairness_records.Demand
    ) -> fairness_meter.ServiceMeter:
        return self.meters[demand.service]

    # Samples.

    def _sample(self) -> None:
        for service, meter in self.meters.items():
            servers = [
                srv
                for srv in self.servers.values()
                if srv.record.service == service
            ]
            meter.sample(
                self.bus.now,
                self._used(servers),
                sum(len(srv.runs) for srv in servers),
                sum(srv.bears() for srv in servers),
                self._unreachable(service),
            )
        self.bus.at(self.bus.now + SAMPLE_S, self._sample)

    def _used(self, servers: list[fake_server.FakeServer]) -> dict[str, float]:
        used: dict[str, float] = {}
        for server in servers:
            for name in server.runs:
                if name in self.requests:
                    workspace = self.requests[name].demand.workspace
                    cost = server.used(name)
                    used[workspace] = used.get(workspace, 0.0) + cost
        return used

    def _unreachable(self, service: str) -> set[str]:
        cut = self.bus.faults.cut
        if not cut:
            return set()
        holders = [
            holder
            for shard, holder in self.leases.holders.items()
            if shard.startswith(service + "/")
        ]
        reachable: set[str] = set()
        waiting_names: set[str] = set()
        for name, request in self.requests.items():
            if name in self.running or request.demand.service != service:
                continue
            waiting_names.add(request.demand.workspace)
            if all((request.node, holder) not in cut for holder in holders):
                reachable.add(request.demand.workspace)
        return waiting_names - reachable
