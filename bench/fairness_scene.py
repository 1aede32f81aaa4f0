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

SAMPLE_INTERVAL_S = 0.2
DEADLINE_S = 300.0
USERS_PER_WORKSPACE = 5


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
        self.records = fairness_records.mela_records(shards)
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
        self._request_count = 0
        for node in fairness_records.NODES:
            self.start_node(node)
        shard_names = self.records.shard_names()
        self.leases = self._create_leases(shard_names)
        for server_fake in self.servers.values():
            server_fake.listeners = self._shard_holders
        for demand in self.demands:
            self._start_demand(demand)
        self.bus.at(SAMPLE_INTERVAL_S, self._sample)

    # Routers.

    def start_node(self, node: str) -> None:
        """Starts a router with empty state."""
        rng = random.Random(self.rng.random())
        entry = fake_server.FakeEntry(self.bus, node, self.servers)
        entry.permitted = self._on_start
        entry.ended = self._on_end
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
            self._grant_all_shards(node)

    def kill_node(self, node: str) -> None:
        """Stops a router at once; its callers retry at other routers."""
        self.bus.kill(node)
        for request_id, request in list(self.requests.items()):
            if request.node == node:
                self._remove_request(request_id)
                self._submit_later(request.demand, 0.1)

    def _records_of(self, node: str) -> models.Snapshot:
        if self.policy.quotas:
            return fairness_records.fixed_quotas(self.records)
        if self.policy.shared:
            return self.records
        index = fairness_records.NODES.index(node)
        return fairness_records.split_limits(self.records, index)

    def _create_leases(self, shards: list[str]) -> fake_lease.FakeLeases:
        nodes = list(fairness_records.NODES)
        leased = shards if self.policy.shared else []
        return fake_lease.FakeLeases(self.bus, nodes, leased)

    def _grant_all_shards(self, node: str) -> None:
        for shard in self.records.shard_names():
            held = messages.LeaseHeld(shard, 1, float("inf"), True)
            self.bus.inject(node, held)
            self.bus.inject(node, messages.ShardHolder(shard, 1, node))

    def _shard_holders(self) -> list[str]:
        if self.policy.shared:
            return sorted(set(self.leases.holders.values()))
        return []

    # Demand.

    def _start_demand(self, demand: fairness_records.Demand) -> None:
        for _ in range(demand.outstanding):
            self._submit_later(demand, self.rng.random())
        if demand.rate:
            self.arrive(demand, demand.rate, float("inf"))

    def arrive(
        self, demand: fairness_records.Demand, rate: float, until: float
    ) -> None:
        """Lets requests arrive at random until virtual time `until`."""

        def submit_next() -> None:
            if self.bus.now < until:
                self.submit(demand)
                self.bus.at(
                    self.bus.now + self.rng.expovariate(rate), submit_next
                )

        self.bus.at(self.bus.now + self.rng.expovariate(rate), submit_next)

    def submit(self, demand: fairness_records.Demand) -> None:
        """Sends one request to a random router of the workspace."""
        candidates = [node for node in demand.entries if self.bus.alive(node)]
        candidates = candidates or [
            node for node in fairness_records.NODES if self.bus.alive(node)
        ]
        node = self.rng.choice(candidates)
        self._request_count += 1
        request_id = f"q{self._request_count}"
        cost = demand.draw_cost(self.rng)
        hint = cost * 10 ** self.rng.uniform(-1, 1)
        self.requests[request_id] = Request(demand, node, self.bus.now)
        self.entries[node].costs[request_id] = cost
        self._meter(demand).record_queued(demand.workspace, self.bus.now)
        want = messages.Want(
            service=demand.service,
            request_id=request_id,
            workspace=demand.workspace,
            end_user=f"u{self.rng.randrange(USERS_PER_WORKSPACE)}",
            route="main",
            hint_cost=hint,
            deadline_s=DEADLINE_S,
        )
        self.bus.inject(node, want)

    def _submit_later(
        self, demand: fairness_records.Demand, after_s: float
    ) -> None:
        if demand.outstanding:
            when = self.bus.now + after_s
            self.bus.at(when, lambda: self.submit(demand))

    # Callbacks of the entries.

    def _on_start(self, request_id: str, server: str) -> None:
        request = self.requests[request_id]
        self.running[request_id] = server
        waited_s = self.bus.now - request.queued_at
        workspace = request.demand.workspace
        self._meter(request.demand).record_start(
            workspace, waited_s, self.bus.now
        )

    def _on_end(self, request_id: str, used: float, reason: str) -> None:
        request = self.requests.get(request_id)
        if request is None:
            return
        meter = self._meter(request.demand)
        meter.settled[request.demand.workspace] += used
        if request_id not in self.running:
            meter.refused[reason] += 1
        self._remove_request(request_id)
        self._submit_later(request.demand, 0.0 if used else 1.0)

    def _remove_request(self, request_id: str) -> None:
        request = self.requests.pop(request_id)
        if self.running.pop(request_id, None) is None:
            workspace = request.demand.workspace
            self._meter(request.demand).record_left(workspace, self.bus.now)

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
                self._cost_by_workspace(servers),
                sum(len(srv.runs) for srv in servers),
                sum(srv.concurrency_limit() for srv in servers),
                self._unreachable_workspaces(service),
            )
        self.bus.at(self.bus.now + SAMPLE_INTERVAL_S, self._sample)

    def _cost_by_workspace(
        self, servers: list[fake_server.FakeServer]
    ) -> dict[str, float]:
        costs: dict[str, float] = {}
        for server in servers:
            for request_id in server.runs:
                if request_id in self.requests:
                    workspace = self.requests[request_id].demand.workspace
                    cost = server.used(request_id)
                    costs[workspace] = costs.get(workspace, 0.0) + cost
        return costs

    def _unreachable_workspaces(self, service: str) -> set[str]:
        cut_pairs = self.bus.faults.cut
        if not cut_pairs:
            return set()
        holders = [
            holder
            for shard, holder in self.leases.holders.items()
            if shard.startswith(service + "/")
        ]
        reachable_workspaces: set[str] = set()
        waiting_workspaces: set[str] = set()
        for request_id, request in self.requests.items():
            if request_id in self.running or request.demand.service != service:
                continue
            waiting_workspaces.add(request.demand.workspace)
            if all(
                (request.node, holder) not in cut_pairs for holder in holders
            ):
                reachable_workspaces.add(request.demand.workspace)
        return waiting_workspaces - reachable_workspaces
