"""Finds limits of a configuration that contradict each other."""

from collections.abc import Iterator

from tamarackbridge.components.configuration_check import models
from tamarackbridge.components.knowledge import models as knowledge


def find(
    candidate: models.Candidate,
    deployment: models.Deployment,
    in_force: knowledge.Configuration | None = None,
) -> Iterator[models.Finding]:
    """Yields the limits that exclude each other or can't be kept."""
    configuration = candidate.configuration
    if in_force is not None and configuration.version <= in_force.version:
        text = (
            f"version {configuration.version} is not above the one in force, "
            f"{in_force.version}"
        )
        yield _finding(text, "version")
    for index, route in enumerate(configuration.routes):
        yield from _route(route, index, deployment)
    # Routers use the last service of a name.
    last = {name: index for index, name in enumerate(candidate.services)}
    for name, index in last.items():
        yield from _service(configuration.services[name], index, deployment)
    memory = deployment.request_memory_bytes
    body = configuration.limits.max_body_bytes
    if memory is not None and body > memory:
        text = f"one body of {body} bytes, memory for all of them {memory}"
        yield _finding(text, "limits", "max_body_bytes")


def _finding(text: str, *place: str | int) -> models.Finding:
    return models.Finding(models.Kind.CONTRADICTION, place, text)


def _route(
    route: knowledge.Route, index: int, deployment: models.Deployment
) -> Iterator[models.Finding]:
    place = ("routes", index)
    for attribute in ("target_s", "target_gap_s"):
        target_s = getattr(route, attribute)
        if target_s > route.timeout_s:
            text = (
                f"route {route.name}: latency target of {target_s:g} s above "
                f"the time limit of {route.timeout_s:g} s"
            )
            yield _finding(text, *place, attribute)
    if deployment.servers is None:
        return
    services = {name for name, weight in route.split if weight > 0}
    servers = sum(deployment.servers.get(name, 0) for name in services)
    if route.max_attempts > max(servers, 1):
        text = (
            f"route {route.name}: {route.max_attempts} attempts at "
            f"{servers} servers"
        )
        yield _finding(text, *place, "max_attempts")


def _service(
    service: knowledge.Service, index: int, deployment: models.Deployment
) -> Iterator[models.Finding]:
    descriptors = deployment.max_descriptors
    if descriptors is None or service.max_connections <= descriptors:
        return
    text = (
        f"service {service.name}: {service.max_connections} connections to "
        f"one server, and a router has {descriptors} descriptors"
    )
    yield _finding(text, "services", index, "max_connections")
