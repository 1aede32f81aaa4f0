"""Checks that the records of one generation are consistent."""

from collections.abc import Mapping

from tamarackbridge.components.records import (
    const,
    exceptions,
    models,
    snapshot,
)

_Inconsistency = exceptions.RecordError | None


class CheckedCodec:
    """Decodes the records of one generation and checks their consistency.

    It is used where configuration is written, not where it is applied. Both
    may share the underlying codec.
    """

    def __init__(self, codec: snapshot.SnapshotCodec) -> None:
        self._codec = codec

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Decodes all records of a generation.

        Raises:
            ValueError: A record is not readable, or the records are not
                consistent.
        """
        found = self._codec.decode(generation, records)
        error = find_inconsistency(found)
        if error is not None:
            raise ValueError(str(error))
        return found


def find_inconsistency(snap: models.Snapshot) -> _Inconsistency:
    """Returns the first inconsistency, or `None` if there is none."""
    return _check_servers(snap) or _check_routes(snap) or _check_keys(snap)


def _check_servers(snap: models.Snapshot) -> _Inconsistency:
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


def _check_routes(snap: models.Snapshot) -> _Inconsistency:
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


def _check_keys(snap: models.Snapshot) -> _Inconsistency:
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
