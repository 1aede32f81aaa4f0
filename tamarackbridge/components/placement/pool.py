"""Server pools: which servers of a service may get requests, and their load.

Load pattern: many requests are considered in each scheduling pass while hardly
anything about the servers has changed.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
import dataclasses
import functools
import heapq
import math
import statistics
from typing import Protocol, TypeAlias

import msgspec

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
)

CANDIDATES_PER_ORDER = 8
"""Engines that are scored because they rank first for a request's shared
blocks, and as many because they have the smallest prefill backlog. On any
further engine the shared blocks would be prefilled again without a shorter
wait."""

PLANNED_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory that requests may fill; beyond it, engines
begin to preempt running requests."""

POOL_LIFETIME_S = 0.02
"""Time for which a pool is reused while no server changes. Engines prefill a
sixth of a common prompt in it, and the margins of expired registrations are
twenty times as long."""

Candidates: TypeAlias = Sequence[tuple[state.RegisteredServer, int]]
"""Servers with their ranks for a request's shared blocks, best rank first."""

PoolVersion: TypeAlias = tuple[int, int, int, frozenset[str], int]
"""Change counters and the zones that get no new work; a pool is outdated when
any of them differs."""


class Rollouts(Protocol):
    """Rollout orders, which restrict the servers of their services.

    Attributes:
        changes: Number of changes after which other servers may be permitted.
    """

    changes: int

    @property
    def is_active(self) -> bool:
        """Whether any order is known."""
        ...

    def permitted(
        self,
        service: str,
        servers: Sequence[state.RegisteredServer],
        now: float,
    ) -> Sequence[state.RegisteredServer]:
        """Returns the servers at which all requests may be placed."""
        ...

    def canaries(
        self,
        service: str,
        servers: Sequence[state.RegisteredServer],
        now: float,
    ) -> Sequence[state.RegisteredServer]:
        """Returns the servers at which canary requests may be placed."""
        ...

    def prefers_canary(self, job: jobs.Job, now: float) -> bool:
        """Returns whether a request is to be placed as a canary request."""
        ...


class Load(msgspec.Struct, frozen=True, gc=False):
    """Average load of model engines.

    Attributes:
        engines: Number of engines.
        prefill_backlog_s: Time that they need for their prefill backlog.
        fill: Fraction of their slots, or of their memory if that is more, that
            is taken.
    """

    engines: int
    prefill_backlog_s: float
    fill: float


@dataclasses.dataclass(frozen=True)
class Pool:
    """The servers of a service at one time.

    Attributes:
        at: The time.
        version: Version of the data that it was made from.
        lasting: Usable servers that have not announced their shutdown.
        open: Of those, the ones that are not closed to this router.
        healthy: Of those, the ones whose circuit breaker is not open.
        is_unlimited: Whether none of the open ones is held to a warm-up rate
            or a limit of its own.
        limited: Names of those that have named a limit of their own.
        load_of: Returns the load of one of them.
        candidates: Servers to score, by the key of shared blocks; kept here
            only while the pool is unlimited.
    """

    at: float
    version: PoolVersion
    lasting: tuple[state.RegisteredServer, ...]
    open: tuple[state.RegisteredServer, ...]
    healthy: tuple[state.RegisteredServer, ...]
    is_unlimited: bool
    limited: frozenset[str]
    load_of: Callable[[state.RegisteredServer], Load]
    candidates: dict[str, Candidates] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def names(self) -> tuple[str, ...]:
        """Names of the healthy servers."""
        return tuple(self._by_name)

    @functools.cached_property
    def load(self) -> Load | None:
        """Average load of the healthy servers, or of the open ones if none is.

        Servers with a limit of their own don't count beside others: however
        little they do, they have no room. None if no server is open.
        """
        loads = self._loads if self.healthy else map(self.load_of, self.open)
        if not self.limited:
            return _mean(list(loads))
        servers = self.healthy or self.open
        unlimited = [
            load
            for load, registered in zip(loads, servers, strict=True)
            if registered.server.name not in self.limited
        ]
        return _mean(unlimited) or _mean(list(map(self.load_of, servers)))

    @functools.cached_property
    def least_loaded(self) -> tuple[str, ...]:
        """Names of the healthy servers with the smallest prefill backlogs."""
        loads = zip(self._loads, self.names, strict=True)
        smallest = heapq.nsmallest(CANDIDATES_PER_ORDER, loads, key=_backlog_s)
        return tuple(name for _, name in smallest)

    @functools.cached_property
    def _by_name(self) -> Mapping[str, state.RegisteredServer]:
        return {
            registered.server.name: registered for registered in self.healthy
        }

    @functools.cached_property
    def _loads(self) -> list[Load]:
        return [self.load_of(registered) for registered in self.healthy]

    def preferred(
        self, order: Collection[str]
    ) -> Iterable[state.RegisteredServer]:
        """Returns the servers named in an order, then the least loaded ones.

        Args:
            order: Names of healthy servers.
        """
        return (
            self._by_name[name]
            for name in dict.fromkeys((*order, *self.least_loaded))
        )


class Pools:
    """The pools of all services, each reused for a short time."""

    def __init__(
        self,
        local_copy: state.LocalCopy,
        work: ledger.ReservationLedger,
        breakers: health.CircuitBreakers,
        estimator: estimate.Estimator,
        server_notices: notices.ServerNotices,
        rollouts: Rollouts | None = None,
    ) -> None:
        self._rollouts = rollouts
        self._local_copy = local_copy
        self._work = work
        self._breakers = breakers
        self._estimator = estimator
        self._notices = server_notices
        self._pools: dict[str, Pool] = {}
        self._canary_pools: dict[str, Pool] = {}

    def opens_in_s(
        self,
        service: str,
        excluded_servers: Collection[str],
        now: float,
        is_canary: bool = False,
    ) -> float:
        """Returns the seconds until a server of a service is open.

        0 if one is open now, whatever its load; infinite if there is none.

        Args:
            service: Name of the service.
            excluded_servers: Names of servers that don't count.
            now: The time.
            is_canary: Whether the servers for canary requests count as well.
        """
        pools = [self.of(service, now)]
        if is_canary:
            pools.append(self.canaries(service, now))
        if any(
            registered.server.name not in excluded_servers
            for pool in pools
            for registered in pool.open
        ):
            return 0.0
        return min(
            (
                self._notices.closed_s(registered.server, now)
                for pool in pools
                for registered in pool.lasting
                if registered.server.name not in excluded_servers
            ),
            default=math.inf,
        )

    def load(self, now: float) -> Load | None:
        """Returns the average load of all model engines; None without any."""
        cfg = self._local_copy.configuration
        services = cfg.services.values() if cfg is not None else ()
        loads = (
            self.of(service.name, now).load
            for service in services
            if service.is_model
        )
        return _mean([load for load in loads if load is not None])

    def of(self, service: str, now: float) -> Pool:
        """Returns the pool of a service."""
        return self._kept_or_made(self._pools, service, False, now)

    def canaries(self, service: str, now: float) -> Pool:
        """Returns the pool for the canary requests of a service."""
        return self._kept_or_made(self._canary_pools, service, True, now)

    def _kept_or_made(
        self, pools: dict[str, Pool], service: str, is_canary: bool, now: float
    ) -> Pool:
        version = (
            self._local_copy.changes,
            self._notices.changes,
            self._breakers.changes,
            self._local_copy.zones_out,
            self._rollouts.changes if self._rollouts is not None else 0,
        )
        kept = pools.get(service)
        if (
            kept is not None
            and now - kept.at < POOL_LIFETIME_S
            and kept.version == version
        ):
            return kept
        usable: Sequence[state.RegisteredServer]
        usable = self._local_copy.usable(service, now)
        rollouts = self._rollouts
        if rollouts is not None:
            choose = rollouts.canaries if is_canary else rollouts.permitted
            usable = choose(service, usable, now)
        made = pools[service] = self._make_pool(service, usable, version, now)
        return made

    def _make_pool(
        self,
        service: str,
        usable: Sequence[state.RegisteredServer],
        version: PoolVersion,
        now: float,
    ) -> Pool:
        server_notices = self._notices
        lasting = tuple(
            registered
            for registered in usable
            if not server_notices.is_shutting_down(registered.server)
        )
        opened = tuple(
            registered
            for registered in lasting
            if not server_notices.closed_s(registered.server, now)
        )
        healthy = tuple(
            registered
            for registered in opened
            if not self._breakers.is_open(registered.server.name, now)
        )
        limited = frozenset(
            registered.server.name
            for registered in opened
            if server_notices.limits.per_s(registered.server, now) is not None
        )
        return Pool(
            at=now,
            version=version,
            lasting=lasting,
            open=opened,
            healthy=healthy,
            is_unlimited=not any(
                now < registered.warm_at
                or server_notices.is_reopening(registered.server, now)
                for registered in opened
            )
            and not limited,
            limited=limited,
            load_of=lambda registered: self._load(registered, service, now),
        )

    def _load(
        self, registered: state.RegisteredServer, service: str, now: float
    ) -> Load:
        """Returns the load of one engine."""
        name = registered.server.name
        tokens_per_s = self._estimator.prefill_tokens_per_s(name)
        work = self._work.at(name, now, tokens_per_s)
        cfg = self._local_copy.configuration
        model = cfg.services.get(service) if cfg is not None else None
        if model is None or not model.is_model:
            return Load(1, work.pending_prefill_tokens / tokens_per_s, 0.0)
        fill = work.requests / max(model.slots, 1)
        if model.memory_tokens:
            room = model.memory_tokens * PLANNED_MEMORY_FRACTION
            fill = max(fill, work.memory / room)
        return Load(
            1, work.pending_prefill_tokens / tokens_per_s, min(fill, 1.0)
        )


def _backlog_s(load_and_name: tuple[Load, str]) -> float:
    return load_and_name[0].prefill_backlog_s


def _mean(loads: Collection[Load]) -> Load | None:
    engines = [load.engines for load in loads]
    if not engines:
        return None
    return Load(
        sum(engines),
        statistics.fmean((load.prefill_backlog_s for load in loads), engines),
        statistics.fmean((load.fill for load in loads), engines),
    )
