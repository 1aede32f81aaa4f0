"""Builders of configurations and registrations for tests."""

from tamarackbridge.components.fleet import models as fleet
from tamarackbridge.components.knowledge import models

BOUNDS = fleet.Bounds(
    server_leave_s=2.0,
    shutdown_s=8.0,
    configuration_s=2.0,
    revocation_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50.0,
    cold_overage=1.5,
    cold_slack=5.0,
    share_window_s=4.0,
    reuse_window_s=10.0,
    heartbeat_s=1.2,
)


def server(
    name: str,
    service: str = "lm",
    zone: str = "z1",
    address: str = "127.0.0.1:1",
    draining: bool = False,
    cold_s: float = 0.0,
    slots: int = 64,
) -> models.BackendServer:
    return models.BackendServer(
        name, service, address, zone, slots, draining, cold_s, 0
    )


def route(
    kind: models.RouteKind = models.RouteKind.STREAM,
    service: str = "lm",
    max_attempts: int = 1,
    public: bool = False,
    resumable: bool = False,
    target_s: float = 0.6,
    prefix: str = "/x/",
    timeout_s: float = 12.0,
) -> models.Route:
    return models.Route(
        name="r",
        host="a.example",
        prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_s=target_s,
        target_gap_s=0.3,
        priority=1,
        split=((service, 1.0),),
        max_attempts=max_attempts,
        public=public,
        sticky=True,
        resumable=resumable,
    )


def model_service(
    name: str = "lm", cold_per_s: float = 16.0, slots: int = 64
) -> models.Service:
    return models.Service(name, "/health", 360, cold_per_s, slots, 668_304, 7)


def plain_service(name: str = "app") -> models.Service:
    return models.Service(name, "/health", 100, 0.0, 0, 0, 1)


def configuration(
    version: int = 1,
    routes: tuple[models.Route, ...] = (),
    keys: dict[str, str] | None = None,
    tokens_per_s: float = 145_000.0,
    slots: int = 64,
) -> models.Configuration:
    services = (model_service(slots=slots), plain_service())
    return models.Configuration(
        version=version,
        routes=routes or (route(),),
        services={service.name: service for service in services},
        limits=models.Limits(tokens_per_s=tokens_per_s),
        workspaces={"key": "w"} if keys is None else keys,
    )
