"""The servers of each service as one scheduling pass sees them.

What does not depend on the request is computed once for each server and pass,
and again only for a server that gets a request within the pass.

Load pattern: many requests are queued while little changes about the servers.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
import functools

import msgspec

from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import block_copies, pool
from tamarackbridge.helpers import rendezvous

MAX_CACHED_ORDERS = 4_096
"""Keys of shared blocks whose first engines are cached, at 200 bytes each."""


MAX_CACHED_TIE_BREAKS = 4_096
"""Servers whose tie-breaking costs are cached, at 200 bytes each."""


class ServerState(msgspec.Struct, frozen=True, gc=False):
    """One server, as far as it is the same for all requests of a pass.

    Attributes:
        registered: The server.
        cost: Its cost for any request of this router.
        is_in_other_zone: Whether it is in another zone than this router.
        is_full: Whether its slots are taken.
        requests: Requests that are queued or running there.
        memory: Tokens occupied in its memory.
        tokens_ahead: Prompt tokens that it prefills before those of a new
            request.
        tokens_ahead_s: Time that their prefill takes.
        first_event_s: Time to the first event of a request that needs no
            prefill.
        prefill_tokens_per_s: Prompt tokens that it prefills in a second.
        pause_s: Average time between two events of its streams.
        may_send: Whether one more request may be sent to it; only a rate that
            is used up prevents it.
        is_limited: Whether it is held to its warm-up rate or to a limit of its
            own.
        load: Requests over the number that it handles well at once.
        free_rate: Weight with which it is drawn among plain servers.
        probes_only: Whether it was slow and gets single requests until it has
            shown its speed again.
        may_probe: Whether this router may send such a request now.
    """

    registered: state.RegisteredServer
    cost: float
    is_in_other_zone: bool
    is_full: bool
    requests: int
    memory: int
    tokens_ahead: int
    tokens_ahead_s: float
    first_event_s: float
    prefill_tokens_per_s: float
    pause_s: float
    may_send: bool
    is_limited: bool
    load: float = 0.0
    free_rate: float = 0.0
    probes_only: bool = False
    may_probe: bool = True


class ServiceView:
    """The servers of one service.

    Attributes:
        now: Time of the scheduling pass.
        holders: Engines that hold shared prompt blocks, by the key of the
            blocks, as far as they were looked up in this pass.
    """

    def __init__(
        self,
        servers: pool.Pool,
        is_model: bool,
        make_state: Callable[[state.RegisteredServer], ServerState],
        now: float,
    ) -> None:
        self.now = now
        self.holders: dict[str, block_copies.Holder | None] = {}
        self._pool = servers
        self._is_model = is_model
        self._make_state = make_state
        self._states: dict[str, ServerState] = {}
        self._candidates = servers.candidates if servers.is_unlimited else {}

    def state_of(self, registered: state.RegisteredServer) -> ServerState:
        """Returns the state of a server."""
        name = registered.server.name
        found = self._states.get(name)
        if found is None:
            found = self._states[name] = self._make_state(registered)
        return found

    def invalidate(self, server: str) -> None:
        """Drops what a request sent to a server has made outdated."""
        dropped = self._states.pop(server, None)
        if dropped is not None and dropped.is_limited:
            self._candidates.clear()

    def candidates(
        self, key: str, excluded_servers: Collection[str]
    ) -> pool.Candidates:
        """Returns the servers to score for a request.

        Servers whose breaker is open are left out unless no other can be used.

        Args:
            key: Equal for requests whose shared prompt blocks are equal.
            excluded_servers: Names of servers that the request must not be
                sent to.
        """
        if excluded_servers:
            return self._find_candidates(key, excluded_servers)
        found = self._candidates.get(key)
        if found is None:
            found = self._candidates[key] = self._find_candidates(key, ())
        return found

    def _find_candidates(
        self, key: str, excluded_servers: Collection[str]
    ) -> pool.Candidates:
        servers = self._pool
        if not self._is_model:
            plain = self._permitted(servers.healthy, excluded_servers)
            plain = plain or self._permitted(servers.open, excluded_servers)
            return [(registered, 0) for registered in plain]
        if len(servers.healthy) > 2 * pool.CANDIDATES_PER_ORDER:
            order = _first_ranked(key, servers.names)
            engines = self._permitted(
                servers.preferred(order), excluded_servers
            )
            if engines:
                return _with_ranks(engines, order)
        else:
            order = ()
            engines = self._permitted(servers.healthy, excluded_servers)
        engines = engines or self._permitted(servers.open, excluded_servers)
        order = order or _first_ranked(
            key, tuple(registered.server.name for registered in engines)
        )
        return _with_ranks(engines, order)

    def _permitted(
        self,
        servers: Iterable[state.RegisteredServer],
        excluded_servers: Collection[str],
    ) -> list[state.RegisteredServer]:
        """Returns the servers to which one more request may be sent."""
        if self._pool.is_unlimited and not excluded_servers:
            return list(servers)
        return [
            registered
            for registered in servers
            if self.state_of(registered).may_send
            and registered.server.name not in excluded_servers
        ]


class SchedulingView:
    """The servers of all services as one scheduling pass sees them."""

    def __init__(
        self, make_view: Callable[[knowledge.Service, bool], ServiceView]
    ) -> None:
        """Creates the view.

        Args:
            make_view: Returns the servers of a service, or those for its
                canary requests.
        """
        self._make_view = make_view
        self._views: dict[knowledge.Service, ServiceView] = {}
        self._canary_views: dict[knowledge.Service, ServiceView] = {}

    def of(self, service: knowledge.Service) -> ServiceView:
        """Returns the servers of a service."""
        found = self._views.get(service)
        if found is None:
            found = self._views[service] = self._make_view(service, False)
        return found

    def canaries(self, service: knowledge.Service) -> ServiceView:
        """Returns the servers for the canary requests of a service."""
        found = self._canary_views.get(service)
        if found is None:
            found = self._make_view(service, True)
            self._canary_views[service] = found
        return found

    def invalidate(self, server: str) -> None:
        """Drops what a request sent to a server has made outdated."""
        for view in self._views.values():
            view.invalidate(server)
        for view in self._canary_views.values():
            view.invalidate(server)


def _with_ranks(
    servers: Iterable[state.RegisteredServer], order: Sequence[str]
) -> pool.Candidates:
    """Returns servers with their ranks in an order of names.

    Servers that are not in the order come last, all with the same rank.
    """
    unranked = {registered.server.name: registered for registered in servers}
    ranked = [
        (unranked.pop(name), rank)
        for rank, name in enumerate(order)
        if name in unranked
    ]
    ranked.extend(
        (registered, pool.CANDIDATES_PER_ORDER)
        for registered in unranked.values()
    )
    return ranked


@functools.lru_cache(maxsize=MAX_CACHED_ORDERS)
def _first_ranked(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the engines that rank first for shared blocks, best first."""
    if not key:
        return names[: pool.CANDIDATES_PER_ORDER]
    return tuple(rendezvous.rank(key, names)[: pool.CANDIDATES_PER_ORDER])


@functools.lru_cache(maxsize=MAX_CACHED_TIE_BREAKS)
def tie_break(router: str, server: str) -> float:
    """Returns a cost below 1 that differs between routers.

    Load pattern: many routers see the same idle servers, and would all send to
    the first of them.
    """
    return rendezvous.share(router, server)
