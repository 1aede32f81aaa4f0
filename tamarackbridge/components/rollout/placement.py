"""Which servers of a service requests may be placed at during an order.

Load pattern: a new version is bad under load only, so its few requests must not
be spread thinly over all of its servers.
"""

from collections.abc import Collection, Iterable, Sequence
import math

from tamarackbridge.components.knowledge import state
from tamarackbridge.components.rollout import const, models
from tamarackbridge.helpers import rendezvous

Servers = Sequence[state.RegisteredServer]

_Phase = models.Phase


def split(
    servers: Iterable[state.RegisteredServer], target: str
) -> tuple[list[state.RegisteredServer], list[state.RegisteredServer]]:
    """Returns the servers of other versions, and those of the target."""
    old: list[state.RegisteredServer] = []
    new: list[state.RegisteredServer] = []
    for registered in servers:
        is_new = registered.server.version == target
        (new if is_new else old).append(registered)
    return old, new


def permitted(
    phase: models.Phase,
    servers: Servers,
    target: str,
    is_informed: bool,
    has_old: bool,
    has_new: bool,
) -> list[state.RegisteredServer]:
    """Returns the servers at which all requests may be placed.

    Canary requests may be placed at others.

    Args:
        phase: Phase of the order.
        servers: The servers that may get new work otherwise.
        target: The target version.
        is_informed: Whether this router knows what the others do.
        has_old: Whether any server of another version is registered.
        has_new: Whether any server of the target is registered.
    """
    old, new = split(servers, target)
    if phase is _Phase.SUCCEEDED:
        return new if has_new else old
    if phase is _Phase.MOVING and is_informed and has_new:
        return new
    if phase < _Phase.BAD and not has_old:
        # No other version is left to which the target could be compared.
        return new
    return old


def canaries(
    servers: Servers, target: str, share: float, now: float
) -> list[state.RegisteredServer]:
    """Returns the servers that get canary requests.

    They are as many as keep them at the load of the old ones.

    Args:
        servers: The servers that may get new work otherwise.
        target: The target version.
        share: Share of the requests that are canary requests.
        now: The time.
    """
    old, new = split(servers, target)
    warm = [registered for registered in new if registered.warm_at <= now]
    usable = {registered.server.name: registered for registered in warm or new}
    count = max(math.ceil(share * len(old)), const.MIN_CANARY_SERVERS)
    return [usable[name] for name in _first(target, usable, count)]


def _first(key: str, names: Collection[str], count: int) -> list[str]:
    return rendezvous.rank(key, names)[:count]
