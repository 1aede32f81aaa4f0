"""Checks that records which are in force together fit each other."""

from collections.abc import Iterable

from tamarackbridge.components.records import (
    const,
    exceptions,
    models,
    schemas,
    snapshots,
)

_Misfit = exceptions.RecordError | None


def check(records: Iterable[schemas.Record]) -> _Misfit:
    """Returns the first misfit, or `None` when all records fit."""
    snapshot = snapshots.build(0, records)
    return (
        _check_servers(snapshot)
        or _check_routes(snapshot)
        or _check_keys(snapshot)
    )


def _check_servers(snapshot: models.Snapshot) -> _Misfit:
    for name, server in snapshot.servers.items():
        place = f"{const.KIND_SERVER}/{name}"
        if server.service not in snapshot.services:
            allowed = f"no record {const.KIND_SERVICE}/{server.service} exists"
            return exceptions.RecordError(place, "service", allowed)
        if server.zone not in snapshot.zones:
            allowed = f"no record {const.KIND_ZONE}/{server.zone} exists"
            return exceptions.RecordError(place, "zone", allowed)
        if server.limit_cold > server.limit_warm:
            allowed = f"at most limit_warm, {server.limit_warm}"
            return exceptions.RecordError(place, "limit_cold", allowed)
    return None


def _check_routes(snapshot: models.Snapshot) -> _Misfit:
    for name, service in snapshot.services.items():
        seen: set[str] = set()
        for index, route in enumerate(service.routes):
            if route.name in seen:
                place = f"{const.KIND_SERVICE}/{name}"
                key = f"routes.{index}.name"
                allowed = "each route name stands once in its service"
                return exceptions.RecordError(place, key, allowed)
            seen.add(route.name)
    return None


def _check_keys(snapshot: models.Snapshot) -> _Misfit:
    owners: dict[str, str] = {}
    for name, workspace in snapshot.workspaces.items():
        for index, digest in enumerate(workspace.key_hashes):
            owner = owners.setdefault(digest, name)
            if owner != name:
                place = f"{const.KIND_WORKSPACE}/{name}"
                key = f"key_hashes.{index}"
                allowed = f"workspace {owner} has this key already"
                return exceptions.RecordError(place, key, allowed)
    return None
