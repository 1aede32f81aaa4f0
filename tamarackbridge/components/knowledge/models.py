"""Configuration and registrations as the routers use them."""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host that callers name.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time for which a caller is kept waiting.
        target_s: Time to the answer, or a stream's first event, that counts
            as in time.
        target_gap_s: Longest pause between events that counts as in time;
            0 where there is none.
        priority: Rank; 0 is the most urgent.
        split: Services with their weights.
        max_attempts: Backend servers to which one request may be sent.
        public: Whether no key is needed.
        sticky: Whether requests name the parts of their prompt.
        resumable: Whether a stream may go on at another backend server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    target_gap_s: float
    priority: int
    split: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool
    sticky: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of backend servers.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections a server takes from all routers.
        cold_per_s: Requests a second that a cold server bears; 0 for no
            limit.
        slots: Requests that a model engine runs at once; 0 for a plain
            service.
        memory_tokens: Tokens that a model engine's memory holds; 0 for a
            plain service.
        event_tokens: Tokens in one event of a stream.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float
    slots: int
    memory_tokens: int
    event_tokens: int

    @property
    def is_model(self) -> bool:
        """Whether its servers are model engines."""
        return self.slots > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers, and the throughput that workspaces share.

    Attributes:
        max_header_bytes: Largest header.
        max_body_bytes: Largest body.
        header_timeout_s: Time to send a whole header.
        idle_timeout_s: Time for which a connection may stay idle.
        tokens_per_s: Throughput of all model engines; a generated token
            counts twice. 0 where none is stated.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Higher is newer.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
        workspaces: Names of workspaces by key; None where requests carry no
            keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    workspaces: Mapping[str, str] | None

    @functools.cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(sorted(found, key=_longest_first))
            for host, found in hosts.items()
        }

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One registration of a backend server.

    Attributes:
        name: Name under which it is registered.
        service: The service that it belongs to.
        address: `host:port`.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
        cold_s: Seconds for which it stays cold from the registration on.
        started_ms: Unix milliseconds of its start; 0 where not stated. Tells
            two lives under one name apart.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    started_ms: int

    @property
    def life(self) -> tuple[str, str, int]:
        """Identifies one life of the server."""
        return (self.name, self.address, self.started_ms)
