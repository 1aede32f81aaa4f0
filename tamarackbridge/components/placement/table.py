"""The servers of a service as one turn of decisions sees them.

Load pattern: many requests wait while little changes about the servers. What
does not depend on the request is worked out once for each server and turn, and
again only for a server that gets a request within the turn.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
import functools

import msgspec

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import pool
from tamarackbridge.helpers import rendezvous

KNOWN_ORDERS = 4_096
"""Sets of shared parts whose first engines are kept, at 200 bytes each."""


KNOWN_TIES = 4_096
"""Servers whose costs beside even ones are kept, at 200 bytes each."""


class Row(msgspec.Struct, frozen=True, gc=False):
    """One server.

    Attributes:
        known: The server.
        cost: What it costs any request of this router.
        is_far: Whether it is in another zone.
        is_full: Whether its slots are taken.
        requests: Requests that wait or run there.
        memory: Tokens taken in its memory.
        ahead: Prompt tokens that it reads before those of a new request.
        ahead_s: Time that reading them takes.
        first_s: Time to the first event of a request without any to read.
        speed: Prompt tokens that it reads in a second.
        pause_s: Usual time between two events of its streams.
        bears: Whether it bears one more request; cold servers are limited.
        is_limited: Whether it is such a server.
    """

    known: state.RegisteredServer
    cost: float
    is_far: bool
    is_full: bool
    requests: int
    memory: int
    ahead: int
    ahead_s: float
    first_s: float
    speed: float
    pause_s: float
    bears: bool
    is_limited: bool


class ServiceTable:
    """The servers of one service.

    Attributes:
        now: Time of the turn.
    """

    def __init__(
        self,
        servers: pool.Pool,
        is_model: bool,
        make_row: Callable[[state.RegisteredServer], Row],
        now: float,
    ) -> None:
        self.now = now
        self._pool = servers
        self._is_model = is_model
        self._make_row = make_row
        self._rows: dict[str, Row] = {}
        self._candidates = servers.candidates if servers.is_warm else {}

    def row(self, it: state.RegisteredServer) -> Row:
        """Returns the row of a server."""
        name = it.server.name
        row = self._rows.get(name)
        if row is None:
            row = self._rows[name] = self._make_row(it)
        return row

    def note_sent(self, server: str) -> None:
        """Drops what a sending has changed."""
        row = self._rows.pop(server, None)
        if row is not None and row.is_limited:
            self._candidates.clear()

    def candidates(self, key: str, avoid: Collection[str]) -> pool.Candidates:
        """Returns the servers to weigh for a request.

        Those that fail are left out unless all do.

        Args:
            key: What requests agree on that share all but their own part.
            avoid: Servers that the request is not to get.
        """
        if avoid:
            return self._find_candidates(key, avoid)
        found = self._candidates.get(key)
        if found is None:
            found = self._candidates[key] = self._find_candidates(key, ())
        return found

    def _find_candidates(
        self, key: str, avoid: Collection[str]
    ) -> pool.Candidates:
        servers = self._pool
        if not self._is_model:
            plain = self._bearing(servers.sound, avoid)
            plain = plain or self._bearing(servers.open, avoid)
            return [(it, 0) for it in plain]
        if len(servers.sound) > 2 * pool.FEW:
            order = _first(key, servers.names)
            few = self._bearing(servers.few(order), avoid)
            if few:
                return _placed(few, order)
        else:
            order = ()
            few = self._bearing(servers.sound, avoid)
        few = few or self._bearing(servers.open, avoid)
        order = order or _first(key, tuple(it.server.name for it in few))
        return _placed(few, order)

    def _bearing(
        self, servers: Iterable[state.RegisteredServer], avoid: Collection[str]
    ) -> list[state.RegisteredServer]:
        """Returns the servers that bear one more request."""
        if self._pool.is_warm and not avoid:
            return list(servers)
        return [
            it
            for it in servers
            if self.row(it).bears and it.server.name not in avoid
        ]


class View:
    """The servers of all services as one turn of decisions sees them."""

    def __init__(
        self, make: Callable[[knowledge.Service], ServiceTable]
    ) -> None:
        self._make = make
        self._tables: dict[knowledge.Service, ServiceTable] = {}

    def of(self, service: knowledge.Service) -> ServiceTable:
        """Returns the servers of a service."""
        found = self._tables.get(service)
        if found is None:
            found = self._tables[service] = self._make(service)
        return found

    def note_sent(self, server: str) -> None:
        """Drops what a sending to a server has changed."""
        for found in self._tables.values():
            found.note_sent(server)


def _placed(
    servers: Iterable[state.RegisteredServer], order: Sequence[str]
) -> pool.Candidates:
    """Returns servers with their places in an order of names."""
    known = {it.server.name: it for it in servers}
    found = [
        (known.pop(name), place)
        for place, name in enumerate(order)
        if name in known
    ]
    found.extend((it, pool.FEW) for it in known.values())
    return found


@functools.lru_cache(maxsize=KNOWN_ORDERS)
def _first(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the engines that come first for shared parts, best first."""
    if not key:
        return names[: pool.FEW]
    return tuple(rendezvous.rank(key, names)[: pool.FEW])


@functools.lru_cache(maxsize=KNOWN_TIES)
def tie(router: str, server: str) -> float:
    """Returns a cost below 1 that differs between routers.

    Load pattern: many routers see the same idle servers, and would all send to
    the first of them.
    """
    return rendezvous.share(router, server)
