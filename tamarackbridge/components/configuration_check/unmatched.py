"""Finds entries of a configuration that no request can use."""

from collections.abc import Iterator

from tamarackbridge.components.configuration_check import models
from tamarackbridge.components.knowledge import models as knowledge


def find(
    candidate: models.Candidate,
    deployment: models.Deployment,
    in_force: knowledge.Configuration | None = None,
) -> Iterator[models.Finding]:
    """Yields what can never match a request, or never get one."""
    yield from _routes(candidate.configuration)
    if in_force is not None:
        yield from _hosts(candidate.configuration, in_force)
    yield from _services(candidate, deployment)
    yield from _workspaces(candidate)


def _finding(text: str, *place: str | int) -> models.Finding:
    return models.Finding(models.Kind.NEVER_MATCHES, place, text)


def _routes(configuration: knowledge.Configuration) -> Iterator[models.Finding]:
    first: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.routes):
        # The port of a request's host is dropped before it is compared.
        if not route.host or ":" in route.host:
            text = f"route {route.name}: no request has the host {route.host!r}"
            yield _finding(text, "routes", index, "host")
        if not route.prefix.startswith("/"):
            text = f"route {route.name}: no path begins with {route.prefix!r}"
            yield _finding(text, "routes", index, "prefix")
        owner = first.setdefault((route.host.lower(), route.prefix), route.name)
        if owner is not route.name:
            text = (
                f"route {route.name}: route {owner} before it has the same "
                "host and prefix"
            )
            yield _finding(text, "routes", index, "prefix")


def _hosts(
    configuration: knowledge.Configuration, in_force: knowledge.Configuration
) -> Iterator[models.Finding]:
    kept = {route.host.lower() for route in configuration.routes}
    served = {route.host.lower() for route in in_force.routes}
    for host in sorted(served - kept):
        yield _finding(f"host {host} has no route any more", "routes")


def _services(
    candidate: models.Candidate, deployment: models.Deployment
) -> Iterator[models.Finding]:
    named: set[str] = set()
    for index, route in enumerate(candidate.configuration.routes):
        place = ("routes", index, "split")
        if not any(weight > 0 for _, weight in route.split):
            yield _finding(f"route {route.name}: no service", *place)
        for service, _ in route.split:
            named.add(service)
            if service not in candidate.configuration.services:
                text = f"route {route.name}: there is no service {service}"
                yield _finding(text, *place)
    # Routers use the last service of a name, and the last owner of a key.
    last = {name: index for index, name in enumerate(candidate.services)}
    for index, name in enumerate(candidate.services):
        problems = []
        if last[name] != index:
            problems.append("a later service of this name replaces it")
        if name not in named:
            problems.append("no route names it")
        if deployment.servers is not None and not deployment.servers.get(name):
            problems.append("no server is registered for it")
        for problem in problems:
            text = f"service {name}: {problem}"
            yield _finding(text, "services", index, "name")


def _workspaces(candidate: models.Candidate) -> Iterator[models.Finding]:
    owners = candidate.configuration.workspaces or {}
    for index, (name, keys) in enumerate(candidate.workspaces):
        if not keys:
            text = f"workspace {name}: no API key, so no request is its own"
            yield _finding(text, "workspaces", index, "name")
        for number, key in enumerate(keys):
            owner = owners.get(key, name)
            if owner != name:
                text = f"workspace {name}: workspace {owner} has this key too"
                yield _finding(text, "workspaces", index, "keys", number)
