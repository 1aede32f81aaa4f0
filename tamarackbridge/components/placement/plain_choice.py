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

MAX_FULL_LOAD = 1.5
MIN_ROOM = 0.6
"""A server is drawn by its rate up to a load of `MAX_FULL_LOAD` less 1, and by
`MIN_ROOM` of it from `MAX_FULL_LOAD` less `MIN_ROOM` on."""

TWO_DRAWS_SERVERS = 8
"""Servers with room above which the better of two is chosen. Among few, the
least loaded one would nearly always be one of the two."""


def free_rate(limit: float, requests: float, slowness: float) -> float:
    """Returns the weight with which a server is drawn.

    It is its rate up to half of its limit, and falls to 0.6 of it beyond.
    A weight that fell to 0 at the limit would follow late reports so strongly
    that routers send to the servers in turn.
    """
    room = min(max(MAX_FULL_LOAD - requests / limit, MIN_ROOM), 1.0)
    return limit / slowness * room


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
    draws = 2 if len(servers) > TWO_DRAWS_SERVERS else 1
    drawn = rng.choices(servers, weights, k=draws)
    return min(drawn, key=lambda server: server.cost)
