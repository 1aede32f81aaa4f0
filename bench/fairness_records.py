"""Records and demand of the `mela` deployment's size."""

import dataclasses
import math
import random

from tamarackbridge.components.records import models

NODES = [f"r{index}" for index in range(7)]
ZONES = ("lahore", "faisalabad", "multan")
LARGE_WORKSPACES = ("sahiwal", "jhang", "okara")
SMALL_WORKSPACES = tuple(f"pen-{index:02}" for index in range(13))
ENGINE = "mela-lm"
APP = "mela-app"
RATES = {ENGINE: 400.0, APP: 1000.0}
"""Cost that one running request uses in a second."""

MAX_COST = {ENGINE: 8000.0, APP: 3000.0}
LOAD_LAG_S = 0.4
FLOODED_WORKSPACE = "pen-12"


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one workspace for one service.

    Attributes:
        outstanding: Requests that its callers keep open; 0 if requests arrive
            independently of answers.
        rate: Independent arrivals a second.
        costs: Minimum and maximum cost of a request.
        entries: Routers that receive its requests.
    """

    workspace: str
    service: str
    outstanding: int
    rate: float
    costs: tuple[float, float]
    entries: tuple[str, ...]

    def draw_cost(self, rng: random.Random) -> float:
        """Draws a cost whose logarithm is uniformly distributed."""
        low, high = self.costs
        return math.exp(rng.uniform(math.log(low), math.log(high)))


def mela_records(shards: int = 1) -> models.Snapshot:
    """Returns the records of the `mela` deployment's size."""
    workspaces = [_workspace(name, 4.0, 24) for name in LARGE_WORKSPACES]
    workspaces += [_workspace(name, 1.0, 12) for name in SMALL_WORKSPACES]
    services = {
        ENGINE: _service(ENGINE, models.Protocol.ENGINE, shards),
        APP: _service(APP, models.Protocol.HTTP, 1),
    }
    servers = [_server(f"lm-{index}", ENGINE, index) for index in range(5)]
    servers += [_server(f"app-{index}", APP, index) for index in range(3)]
    return models.Snapshot(
        1,
        {item.name: item for item in workspaces},
        services,
        {item.name: item for item in servers},
        {zone: models.Zone(zone, False) for zone in ZONES},
    )


def split_limits(records: models.Snapshot, index: int) -> models.Snapshot:
    """Returns the records with one router's part of each server limit.

    They are for routers that don't share a dispatcher.
    """
    servers = {}
    for position, (name, server) in enumerate(sorted(records.servers.items())):
        limit, remainder = divmod(server.limit_warm, len(NODES))
        limit += (index + position) % len(NODES) < remainder
        servers[name] = dataclasses.replace(
            server, limit_warm=limit, limit_cold=limit, load_lag_s=0.0
        )
    return dataclasses.replace(records, servers=servers)


def fixed_quotas(records: models.Snapshot) -> models.Snapshot:
    """Returns the records with a fixed number of permits for each workspace."""
    total = sum(item.share for item in records.workspaces.values())
    permits = min(
        sum(
            srv.limit_warm
            for srv in records.servers.values()
            if srv.service == name
        )
        for name in records.services
    )
    workspaces = {
        name: dataclasses.replace(
            item, max_running=max(int(permits * item.share / total), 1)
        )
        for name, item in records.workspaces.items()
    }
    return dataclasses.replace(records, workspaces=workspaces)


def demands(records: models.Snapshot, rng: random.Random) -> list[Demand]:
    """Returns the demand of all workspaces for all services.

    The 3 large workspaces and 5 small ones are backlogged; the others use 0.4
    of their share.
    """
    demand_list: list[Demand] = []
    for service in sorted(records.services):
        for position, name in enumerate(records.workspaces):
            demand_list.append(_demand(records, service, name, position, rng))
    return demand_list


def _demand(
    records: models.Snapshot,
    service: str,
    name: str,
    position: int,
    rng: random.Random,
) -> Demand:
    max_cost = MAX_COST[service]
    cost_ranges = (
        (max_cost / 100, max_cost),
        (max_cost / 10, max_cost),
        (max_cost / 100, max_cost / 10),
    )
    costs = cost_ranges[position % len(cost_ranges)]
    outstanding = 48 if name in LARGE_WORKSPACES else 24 if position < 8 else 0
    entries = {0: (NODES[0],), 1: tuple(NODES)}.get(
        position, tuple(rng.sample(NODES, rng.randint(1, 3)))
    )
    return Demand(
        name,
        service,
        outstanding,
        0.0 if outstanding else 0.4 * _fair_rate(records, service, costs),
        costs,
        entries,
    )


def _fair_rate(
    records: models.Snapshot, service: str, costs: tuple[float, float]
) -> float:
    low, high = costs
    mean = (high - low) / math.log(high / low)
    total = sum(item.share for item in records.workspaces.values())
    return capacity(records, service) / total / mean


def capacity(records: models.Snapshot, service: str) -> float:
    """Returns the cost that the servers of a service process in a second."""
    slots = sum(
        srv.limit_warm
        for srv in records.servers.values()
        if srv.service == service
    )
    return slots * RATES[service]


def _workspace(name: str, share: float, running: int) -> models.Workspace:
    return models.Workspace(name, share, (), 64, running, "")


def _service(
    name: str, protocol: models.Protocol, shards: int
) -> models.Service:
    engine = protocol is models.Protocol.ENGINE
    cost_rule = models.CostRule.TOKENS if engine else models.CostRule.SERVER_MS
    return models.Service(
        name, protocol, cost_rule, 1.0, MAX_COST[name], 60.0, shards, ()
    )


def _server(name: str, service: str, position: int) -> models.BackendServer:
    return models.BackendServer(
        name=name,
        service=service,
        zone=ZONES[position % len(ZONES)],
        address="127.0.0.1:1",
        limit_warm=8,
        limit_cold=2,
        checks_fencing=position % 2 == 0,
        draining=False,
        load_lag_s=LOAD_LAG_S,
    )
