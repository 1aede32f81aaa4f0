"""Checks that records which are in force together fit each other."""

from collections.abc import Mapping

from tamarackbridge.components.records import (
    const,
    exceptions,
    models,
    snapshot,
)

_Misfit = exceptions.RecordError | None


class CheckedCodec:
    """Reads records of one generation and checks that they fit each other.

    What writes configuration uses it; what applies it doesn't. Both may share
    the codec that reads.
    """

    def __init__(self, reading: snapshot.SnapshotCodec) -> None:
        self._reading = reading

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Reads all records of a generation.

        Raises:
            ValueError: A record is not readable, or they don't fit.
        """
        found = self._reading.decode(generation, records)
        misfit = check(found)
        if misfit is not None:
            raise ValueError(str(misfit))
        return found


def check(snap: models.Snapshot) -> _Misfit:
    """Returns the first misfit, or `None` when all records fit."""
    return _check_servers(snap) or _check_routes(snap) or _check_keys(snap)


def _check_servers(snap: models.Snapshot) -> _Misfit:
    for name, server in snap.servers.items():
        place = f"{const.KIND_SERVER}/{name}"
        if server.service not in snap.services:
            allowed = f"no record {const.KIND_SERVICE}/{server.service} exists"
            return exceptions.RecordError(place, "service", allowed)
        if server.zone not in snap.zones:
            allowed = f"no record {const.KIND_ZONE}/{server.zone} exists"
            return exceptions.RecordError(place, "zone", allowed)
        if server.limit_cold > server.limit_warm:
            allowed = f"at most limit_warm, {server.limit_warm}"
            return exceptions.RecordError(place, "limit_cold", allowed)
    return None


def _check_routes(snap: models.Snapshot) -> _Misfit:
    for name, service in snap.services.items():
        seen: set[str] = set()
        for index, route in enumerate(service.routes):
            if route.name in seen:
                place = f"{const.KIND_SERVICE}/{name}"
                key = f"routes.{index}.name"
                allowed = "each route name stands once in its service"
                return exceptions.RecordError(place, key, allowed)
            seen.add(route.name)
    return None


def _check_keys(snap: models.Snapshot) -> _Misfit:
    owners: dict[str, str] = {}
    for name, workspace in snap.workspaces.items():
        for index, digest in enumerate(workspace.key_hashes):
            owner = owners.setdefault(digest, name)
            if owner != name:
                place = f"{const.KIND_WORKSPACE}/{name}"
                key = f"key_hashes.{index}"
                allowed = f"workspace {owner} has this key already"
                return exceptions.RecordError(place, key, allowed)
    return None
