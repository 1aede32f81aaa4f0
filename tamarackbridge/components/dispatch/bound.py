"""The bound on the service gap between workspaces, from the records alone.

The service gap is the difference in normalised service that two backlogged
workspaces received. docs/FAIRNESS.md derives the bound. Gaps are in cost units
per unit of share.
"""

import itertools
import math

from tamarackbridge.components.dispatch import const
from tamarackbridge.components.records import models


def max_permits(
    snapshot: models.Snapshot, service: models.Service, workspace: str
) -> int:
    """Returns how many permits a workspace can hold at once."""
    record = snapshot.workspaces.get(workspace)
    total = 0
    for index in range(service.shards):
        servers = snapshot.shard_servers(f"{service.name}/{index}")
        limit = sum(srv.limit_warm for srv in servers)
        if record is not None:
            limit = min(limit, math.ceil(record.max_running / service.shards))
        total += limit
    return total


def burst(
    snapshot: models.Snapshot, service: models.Service, workspace: str
) -> float:
    """Returns the greatest cost of the permits held at once, by share."""
    record = snapshot.workspaces.get(workspace)
    share = record.share if record else 1.0
    permits = max_permits(snapshot, service, workspace)
    return permits * service.max_cost / share


def pair_gap(
    snapshot: models.Snapshot, service: models.Service, a: str, b: str
) -> float:
    """Returns the bound on the gap between two workspaces on one shard."""
    bursts = burst(snapshot, service, a) + burst(snapshot, service, b)
    return (1 + const.MAX_ESTIMATE_RATIO) * bursts


def service_gap(snapshot: models.Snapshot, service: models.Service) -> float:
    """Returns the bound on the gap between any two workspaces on one shard."""
    pairs = itertools.combinations(snapshot.workspaces, 2)
    gaps = [pair_gap(snapshot, service, a, b) for a, b in pairs]
    return max(gaps, default=0.0)


def exchange_term(
    snapshot: models.Snapshot, rate: float, delay_s: float
) -> float:
    """Returns what an exchange between several shards adds to the bound.

    Args:
        snapshot: The records.
        rate: Cost that all servers of the service complete in a second.
        delay_s: Longest delay of a message between two routers.
    """
    staleness_s = (
        const.EXCHANGE_INTERVAL_S + const.PROGRESS_INTERVAL_S + delay_s
    )
    shares = sorted(record.share for record in snapshot.workspaces.values())
    return rate * staleness_s * sum(1 / share for share in shares[:2])


def gap_after_losses(one_shard: float, losses: int) -> float:
    """Returns the bound for an interval in which dispatchers were lost.

    Args:
        one_shard: The bound without losses.
        losses: How many dispatchers were lost in the interval.
    """
    return (losses + 1) * one_shard


def longest_wait_s(
    snapshot: models.Snapshot, service: models.Service, rate: float
) -> float:
    """Returns the longest time that a backlogged workspace waits, in seconds.

    Args:
        snapshot: The records.
        service: The service.
        rate: Cost that all servers of the service complete in a second.
    """
    bursts = {
        name: burst(snapshot, service, name) for name in snapshot.workspaces
    }
    estimate_factor = 1 + const.MAX_ESTIMATE_RATIO
    longest = 0.0
    for name in bursts:
        cost = sum(
            record.share * estimate_factor * (bursts[name] + bursts[other])
            for other, record in snapshot.workspaces.items()
            if other != name
        )
        longest = max(longest, cost / rate)
    return longest
