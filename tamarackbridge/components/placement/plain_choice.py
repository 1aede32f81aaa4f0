"""Chooses among plain servers once the nearest ones have little room left.

Load pattern: many routers see the same servers with knowledge that is up to a
quarter of a second old. If each chose the least loaded one, all would send to
it at once.
"""

from collections.abc import Sequence
import random

from tamarackbridge.components.placement import scheduling_view

NEAR_LOADED = 0.5
"""Part of its limit that is in use at the least loaded server of the zone from
which on other servers are considered by their rates."""

MEAN_LOADED = 0.3
"""Part of the limits in use at all servers from which on servers are drawn: an
idle server beside busy ones attracts the requests of all routers."""

TWO_DRAWS_SERVERS = 8
"""Servers with room above which the better of two is chosen. Among few, the
least loaded one would nearly always be one of the two."""


def is_loaded(servers: Sequence[scheduling_view.ServerState]) -> bool:
    """Returns whether servers should be drawn instead of the best chosen."""
    if not servers:
        return False
    near = min(
        (server.load for server in servers if not server.is_in_other_zone),
        default=1.0,
    )
    mean = sum(server.load for server in servers) / len(servers)
    return mean >= MEAN_LOADED or near >= NEAR_LOADED


def draw(
    servers: Sequence[scheduling_view.ServerState], rng: random.Random
) -> scheduling_view.ServerState | None:
    """Draws a server, with a probability proportional to its free rate.

    Args:
        servers: Servers with room.
        rng: Source of randomness.
    """
    if not servers:
        return None
    weights = [server.free_rate for server in servers]
    if not any(weights):
        return rng.choice(servers)
    draws = 2 if len(servers) > TWO_DRAWS_SERVERS else 1
    drawn = rng.choices(servers, weights, k=draws)
    return min(drawn, key=lambda server: server.cost)
