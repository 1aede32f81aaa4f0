"""Schema version 1 of every record kind.

Each class has the keys of a record as operators write them, without `kind` and
`schema_version`, and converts to and from the internal form.
"""

import dataclasses
from typing import Annotated, Any, Literal

import pydantic
from pydantic import dataclasses as checked

from tamarackbridge.components.records import const, models

CONFIG = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

Name = Annotated[str, pydantic.Field(pattern=const.NAME_PATTERN)]
Sha256 = Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")]
HeaderName = Annotated[str, pydantic.Field(pattern="^[A-Za-z0-9-]{0,64}$")]
Share = Annotated[float, pydantic.Field(gt=0, le=1_000_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Path = Annotated[
    str,
    pydantic.Field(
        pattern=r'^/[!"$-)+->@-~]*(/\*)?$|^/\*$',
        max_length=512,
    ),
]
Address = Annotated[
    str,
    pydantic.Field(
        pattern="^([A-Za-z0-9.-]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$",
        max_length=262,
    ),
]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@checked.dataclass(frozen=True, slots=True, config=CONFIG)
class WorkspaceV1:
    """A tenant and its share of capacity.

    Attributes:
        name: Name of the workspace.
        share: Weight relative to other workspaces.
        key_hashes: SHA-256 hashes, in lower-case hex, of the callers' keys.
        max_queued: Requests that may wait, per service, in the whole fleet.
        max_running: Requests that may run at once, per service.
        end_user_header: Header that identifies the end user; empty for none.
    """

    name: Name
    share: Share
    key_hashes: Annotated[
        tuple[Sha256, ...], pydantic.Field(min_length=1, max_length=16)
    ]
    max_queued: Count = 256
    max_running: Count = 64
    end_user_header: HeaderName = ""

    def to_model(self) -> models.Workspace:
        """Converts to the internal form."""
        return models.Workspace(
            name=self.name,
            share=self.share,
            key_hashes=self.key_hashes,
            max_queued=self.max_queued,
            max_running=self.max_running,
            end_user_header=self.end_user_header,
        )

    @classmethod
    def from_model(cls, model: models.Workspace) -> "WorkspaceV1":
        """Converts from the internal form."""
        return cls(**_field_values(model))


@checked.dataclass(frozen=True, slots=True, config=CONFIG)
class RouteV1:
    """One kind of request that a service answers.

    Attributes:
        name: Name of the route within its service.
        method: HTTP method.
        path: Exact path, or a prefix when it ends with `/*`.
        idempotent: Whether a request may be executed more than once.
        deadline_s: Time within which the answer must be complete, in seconds.
        empty_is_failure: Whether an empty answer counts as a failure.
    """

    name: Name
    method: Method
    path: Path
    idempotent: bool
    deadline_s: Seconds = 60.0
    empty_is_failure: bool = False


@checked.dataclass(frozen=True, slots=True, config=CONFIG)
class ServiceV1:
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

    name: Name
    protocol: Literal["engine", "http"]
    cost_rule: Literal["tokens", "server_ms"]
    max_cost: Annotated[float, pydantic.Field(gt=0, le=1e9)]
    routes: Annotated[
        tuple[RouteV1, ...], pydantic.Field(min_length=1, max_length=256)
    ]
    output_weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    max_request_s: Seconds = 120.0
    shards: Annotated[int, pydantic.Field(ge=1, le=256)] = 1

    def to_model(self) -> models.Service:
        """Converts to the internal form."""
        return models.Service(
            name=self.name,
            protocol=models.Protocol(self.protocol),
            cost_rule=models.CostRule(self.cost_rule),
            output_weight=self.output_weight,
            max_cost=self.max_cost,
            max_request_s=self.max_request_s,
            shards=self.shards,
            routes=tuple(
                models.Route(**_field_values(route)) for route in self.routes
            ),
        )

    @classmethod
    def from_model(cls, model: models.Service) -> "ServiceV1":
        """Converts from the internal form."""
        values = _field_values(model)
        values["protocol"] = model.protocol.value
        values["cost_rule"] = model.cost_rule.value
        values["routes"] = tuple(
            RouteV1(**_field_values(route)) for route in model.routes
        )
        return cls(**values)


@checked.dataclass(frozen=True, slots=True, config=CONFIG)
class ServerV1:
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

    name: Name
    service: Name
    zone: Name
    address: Address
    limit_warm: Count
    limit_cold: Count = 1
    checks_fencing: bool = False
    draining: bool = False
    load_lag_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0

    def to_model(self) -> models.BackendServer:
        """Converts to the internal form."""
        return models.BackendServer(**_field_values(self))

    @classmethod
    def from_model(cls, model: models.BackendServer) -> "ServerV1":
        """Converts from the internal form."""
        return cls(**_field_values(model))


@checked.dataclass(frozen=True, slots=True, config=CONFIG)
class ZoneV1:
    """An availability zone.

    Attributes:
        name: Name of the availability zone.
        out: Whether operators have taken it out of service.
    """

    name: Name
    out: bool = False

    def to_model(self) -> models.Zone:
        """Converts to the internal form."""
        return models.Zone(**_field_values(self))

    @classmethod
    def from_model(cls, model: models.Zone) -> "ZoneV1":
        """Converts from the internal form."""
        return cls(**_field_values(model))


def _field_values(source: Any) -> dict[str, Any]:
    fields = dataclasses.fields(source)
    return {field.name: getattr(source, field.name) for field in fields}
