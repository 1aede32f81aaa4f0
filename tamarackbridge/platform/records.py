"""Converts the store's objects to the router's models."""

from collections.abc import Callable, Mapping
import functools
import ipaddress
from typing import Annotated, Any

import msgspec

from tamarackbridge.components.knowledge import models
from tamarackbridge.platform import const, exceptions

_ROUTE_KINDS = {
    "idempotent": models.RouteKind.IDEMPOTENT,
    "non_idempotent": models.RouteKind.NON_IDEMPOTENT,
    "streaming": models.RouteKind.STREAM,
}


class _Weight(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[_Weight, ...] = ()
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    target_gap_ms: float = 0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity_tokens: int
    stride: int = 1  # Tokens per event of a stream.
    kv_token_bytes: int = 0
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000
    tokens_per_s: float = 0


class _Workspace(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Workspace, ...] | None = None


MAX_PORT_DIGITS = 5

MAX_NUMBER = 2**53
"""Largest number that is accepted; JSON represents larger ones inexactly."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)
    ] = 0
    # Unix time of the server's start, in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    # Version of the server's software.
    version: Any = ""


def configuration(spec: Any) -> models.Configuration:
    """Converts one version of the configuration.

    Raises:
        RecordError: A field is missing or has the wrong type.
    """
    found = _convert(spec, _Configuration)
    limits = found.limits
    return models.Configuration(
        version=found.version,
        routes=tuple(_route(item) for item in found.routes),
        services={item.name: _service(item) for item in found.services},
        limits=models.Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / const.MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / const.MS_PER_S,
            tokens_per_s=limits.tokens_per_s,
        ),
        workspaces=_workspaces(found.tenants),
    )


def find_errors(spec: Any) -> tuple[str, ...]:
    """Returns why a configuration can't be converted.

    Each text ends with the path of the error, in the form of msgspec.
    """
    if not isinstance(spec, dict):
        return _errors("", lambda: configuration(spec))
    parts = {"routes": _Route, "services": _Service, "tenants": _Workspace}
    found: list[str] = []
    rest = dict(spec)
    for name, record_type in parts.items():
        items = spec.get(name)
        if not isinstance(items, list):
            continue
        rest[name] = []
        for index, item in enumerate(items):
            convert = functools.partial(_part, item, record_type)
            found += _errors(f".{name}[{index}]", convert)
    found += _errors("", lambda: configuration(rest))
    return tuple(found)


def _part(item: Any, record_type: type[Any]) -> None:
    """Converts an entry of a configuration."""
    converted = _convert(item, record_type)
    if isinstance(converted, _Route):
        _route(converted)


def _errors(path: str, convert: Callable[[], Any]) -> tuple[str, ...]:
    """Returns the error of a conversion, with its path from the root."""
    try:
        convert()
    except exceptions.RecordError as exc:
        text = str(exc)
        if "`$" not in text:
            return (f"{text} - at `${path}`",)
        return (text.replace("`$", f"`${path}"),)
    return ()


def names(
    spec: Any,
) -> tuple[tuple[str, ...], tuple[tuple[str, tuple[str, ...]], ...]]:
    """Returns the services, and the workspaces with their keys, in order.

    A converted configuration lacks entries that share a name or a key.

    Raises:
        RecordError: A field is missing or has the wrong type.
    """
    found = _convert(spec, _Configuration)
    return (
        tuple(item.name for item in found.services),
        tuple((item.name, item.api_keys) for item in found.tenants or ()),
    )


def server(name: str, spec: Any) -> models.BackendServer:
    """Converts the registration of a backend server.

    Raises:
        RecordError: A field is missing or invalid.
    """
    found = _convert(spec, _Server)
    if found.state not in ("ready", "draining"):
        raise exceptions.RecordError(
            f"{name}: expected state ready or draining, got {found.state!r}"
        )
    if not is_address(found.address):
        raise exceptions.RecordError(
            f"{name}: expected address IPV4:PORT, got {found.address!r}"
        )
    return models.BackendServer(
        name=name,
        service=found.service,
        address=found.address,
        zone=found.zone,
        slots=found.slots,
        draining=found.state == "draining",
        cold_s=found.cold_remaining_ms / const.MS_PER_S,
        started_ms=found.born,
        # A server without a readable version may serve as any other.
        version=found.version if isinstance(found.version, str) else "",
    )


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) < 65_536


def _convert(spec: Any, record_type: type[Any]) -> Any:
    try:
        return msgspec.convert(spec, record_type)
    except (msgspec.ValidationError, RecursionError) as exc:
        raise exceptions.RecordError(str(exc)) from exc


def _route(item: _Route) -> models.Route:
    if item.kind not in _ROUTE_KINDS:
        raise exceptions.RecordError(
            f"route {item.name}: unknown kind {item.kind!r} - at `$.kind`"
        )
    split = tuple(
        (target.service, target.weight) for target in item.traffic_split
    )
    if item.service is not None:
        split = ((item.service, 1.0),)
    return models.Route(
        name=item.name,
        host=item.host,
        prefix=item.path_prefix,
        kind=_ROUTE_KINDS[item.kind],
        timeout_s=item.timeout_ms / const.MS_PER_S,
        target_s=item.target_latency_ms / const.MS_PER_S,
        target_gap_s=item.target_gap_ms / const.MS_PER_S,
        priority=item.priority,
        split=split,
        max_attempts=max(item.max_attempts, 1),
        public=item.public,
        sticky=item.sticky,
        resumable=item.resumable,
    )


def _service(item: _Service) -> models.Service:
    engine = item.engine
    return models.Service(
        name=item.name,
        health_path=item.health_path,
        max_connections=item.max_connections,
        cold_per_s=item.cold_per_s,
        slots=engine.slots if engine else 0,
        memory_tokens=engine.kv_capacity_tokens if engine else 0,
        event_tokens=engine.stride if engine else 1,
        token_bytes=engine.kv_token_bytes if engine else 0,
        link_bytes_per_s=(
            engine.link_mbps * const.BYTES_PER_MEGABIT if engine else 0.0
        ),
    )


def _workspaces(
    workspaces: tuple[_Workspace, ...] | None,
) -> Mapping[str, str] | None:
    """Returns the names of workspaces by API key."""
    if workspaces is None:
        return None
    return {key: item.name for item in workspaces for key in item.api_keys}
