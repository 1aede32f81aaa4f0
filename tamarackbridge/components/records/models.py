"""The internal form of records, independent of their schema version.

All other components use only this form. The modules beside this one read and
write the schema versions and convert between them and the internal form.
"""

from collections.abc import Mapping
import dataclasses
import enum
import functools


class CostRule(enum.Enum):
    """How the cost of a request is counted."""

    TOKENS = "tokens"
    """Input tokens plus weighted output tokens, for engines."""
    SERVER_MS = "server_ms"
    """Milliseconds that the backend server was busy, for plain services."""


class Protocol(enum.Enum):
    """Protocol of the backend servers of a service."""

    ENGINE = "engine"
    HTTP = "http"


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant and its share of capacity.

    Attributes:
        name: Name of the workspace.
        share: Weight relative to other workspaces; greater than zero.
        key_hashes: SHA-256 hashes, in lower-case hex, of the callers' keys.
        max_queued: Requests that may wait, per service, in the whole fleet.
        max_running: Requests that may run at once, per service.
        end_user_header: Header that identifies the end user; empty for none.
    """

    name: str
    share: float
    key_hashes: tuple[str, ...]
    max_queued: int
    max_running: int
    end_user_header: str


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One kind of request that a service answers.

    Attributes:
        name: Name of the route within its service.
        method: HTTP method.
        path: Exact path, or a prefix when it ends with `/*`.
        idempotent: Whether a request may be executed more than once.
        deadline_s: Time within which the answer must be complete, in seconds.
        empty_is_failure: Whether an empty answer counts as a failure.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    deadline_s: float
    empty_is_failure: bool

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request matches this route."""
        if method != self.method:
            return False
        if self.path.endswith("/*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that answer the same routes.

    Attributes:
        name: Name of the service.
        protocol: Protocol of its backend servers.
        cost_rule: How the cost of a request is counted.
        output_weight: Cost of one output token, in input tokens.
        max_cost: Largest cost of one request, in the unit of `cost_rule`; a
            request that exceeds it is visibly aborted.
        max_request_s: Longest time that one request may run, in seconds.
        shards: Number of shards that its backend servers are divided into.
        routes: Routes that it answers.
    """

    name: str
    protocol: Protocol
    cost_rule: CostRule
    output_weight: float
    max_cost: float
    max_request_s: float
    shards: int
    routes: tuple[Route, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server.

    Attributes:
        name: Name of the backend server.
        service: Name of the service it belongs to.
        zone: Name of its availability zone.
        address: `host:port`.
        limit_warm: Requests that it can run at once when warm.
        limit_cold: Requests that it can run at once during its warm-up.
        checks_fencing: Whether it refuses a request with an outdated fencing
            number.
        draining: Whether it is draining and gets no new work.
        load_lag_s: Greatest age of its load report, in seconds; 0 when it
            reports none.
    """

    name: str
    service: str
    zone: str
    address: str
    limit_warm: int
    limit_cold: int
    checks_fencing: bool
    draining: bool
    load_lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone; `out` if operators took it out of service."""

    name: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All records of one generation, in force together.

    Attributes:
        generation: Number of the accepted change that created it; 0 is the
            empty configuration, which is never in force.
    """

    generation: int
    workspaces: Mapping[str, Workspace]
    services: Mapping[str, Service]
    servers: Mapping[str, BackendServer]
    zones: Mapping[str, Zone]

    def is_usable(self, server: BackendServer) -> bool:
        """Returns whether new work may go to a backend server."""
        zone = self.zones.get(server.zone)
        return not server.draining and zone is not None and not zone.out

    def shard_names(self) -> list[str]:
        """Returns the names of all shards, `service/index`."""
        return [
            f"{svc.name}/{index}"
            for svc in self.services.values()
            for index in range(svc.shards)
        ]

    def shard_servers(self, shard: str) -> list[BackendServer]:
        """Returns the backend servers of one shard, usable or not."""
        service, _, index = shard.rpartition("/")
        if service not in self.services:
            return []
        shards = self.services[service].shards
        members = sorted(
            (srv for srv in self.servers.values() if srv.service == service),
            key=_server_name,
        )
        return [
            srv
            for place, srv in enumerate(members)
            if place % shards == int(index)
        ]


def _server_name(server: BackendServer) -> str:
    return server.name


@functools.cache
def empty_snapshot() -> Snapshot:
    """Returns the snapshot of generation 0."""
    return Snapshot(0, {}, {}, {}, {})
