"""Records of the configuration and of registered servers."""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """How far requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule for requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in the request.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be retried.
        timeout_s: Longest time that a caller waits for the response.
        target_s: Latency target for the response, or for a stream's first
            event.
        target_gap_s: Latency target for the pause between two events of a
            stream; 0 for none.
        priority: Scheduling priority; 0 is the most urgent.
        split: Services that get the requests, with their weights.
        max_attempts: Number of backend servers that one request may be sent
            to.
        public: Whether requests need no API key.
        sticky: Whether requests name the blocks of their prompt.
        resumable: Whether a broken stream may continue at another backend
            server.
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
    def is_retryable(self) -> bool:
        """Whether a request that may have run already may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that a server accepts from all routers
            together.
        cold_per_s: Requests per second that a warming server may get; 0 for
            no limit.
        slots: Requests that a model engine runs concurrently; 0 for a service
            without model engines.
        memory_tokens: Capacity of a model engine's memory in tokens; 0 for a
            service without model engines.
        event_tokens: Tokens in one event of a stream.
        token_bytes: Size of one token in a model engine's prefix cache; 0 if
            engines don't copy cached prompt blocks from each other.
        link_bytes_per_s: Rate at which an engine copies them.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float
    slots: int
    memory_tokens: int
    event_tokens: int
    token_bytes: int = 0
    link_bytes_per_s: float = 0.0

    @property
    def is_model(self) -> bool:
        """Whether the servers are model engines."""
        return self.slots > 0

    @property
    def copies_blocks(self) -> bool:
        """Whether engines copy cached prompt blocks from each other."""
        return self.token_bytes > 0 and self.link_bytes_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on caller requests, and the throughput shared by workspaces.

    Attributes:
        max_header_bytes: Largest request header.
        max_body_bytes: Largest request body.
        header_timeout_s: Time within which a caller must send the whole
            header.
        idle_timeout_s: Time after which an idle connection is closed.
        tokens_per_s: Throughput of all model engines together, where a
            generated token counts twice; 0 if it is not configured.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration that operators write.

    Attributes:
        version: Number that grows with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on caller requests.
        workspaces: Workspace names by API key; None if requests carry no
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
            host: tuple(sorted(routes, key=_longest_first))
            for host, routes in hosts.items()
        }

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if any."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """The registration of a backend server.

    Attributes:
        name: Name of the server.
        service: Name of the service that it belongs to.
        address: `host:port`.
        zone: Availability zone of the server.
        slots: Requests that it runs concurrently.
        draining: Whether it is shutting down and gets no new requests.
        cold_s: Seconds of warm-up that are left at the registration.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
            Distinguishes two processes registered under one name.
        version: Version of its software; empty if not stated.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    started_ms: int
    version: str = ""

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """Identifies one process of the server, from start to exit."""
        return (self.name, self.address, self.started_ms)


class RolloutState(enum.Enum):
    """State that the status of a rollout order names."""

    NONE = ""
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service to servers of another version.

    Attributes:
        name: Name of the stored object.
        service: Name of the service.
        target: The version.
        duration_s: Time from the order to its deadline.
        created: Revision of the store at which the order was created.
        revision: Revision of its last change.
        state: State of its status, if that belongs to this order.
        error: Why the order can't be carried out; empty if it can.
        status_error: Why its status was ignored; empty if it was not.
    """

    name: str
    service: str
    target: str
    duration_s: float
    created: int
    revision: int
    state: RolloutState = RolloutState.NONE
    error: str = ""
    status_error: str = ""
