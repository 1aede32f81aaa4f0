"""Checks that records which are in force together fit each other."""

from collections.abc import Iterable, Mapping

from tamarackbridge.components.records import (
    const,
    exceptions,
    models,
    schemas,
)


def check(
    records: Iterable[schemas.Record],
) -> exceptions.RecordError | None:
    """Returns the first misfit, or `None` when all records fit."""
    found: dict[str, dict[str, schemas.Model]] = {
        kind: {} for kind in const.KINDS
    }
    for record in records:
        found[record.kind][record.name] = record.model
    return _check_servers(found) or _check_services(found) or _check_keys(found)


_ByKind = Mapping[str, Mapping[str, schemas.Model]]


def _check_servers(found: _ByKind) -> exceptions.RecordError | None:
    for name, model in found[const.KIND_SERVER].items():
        if not isinstance(model, models.BackendServer):
            continue
        place = f"{const.KIND_SERVER}/{name}"
        for kind, value in (
            (const.KIND_SERVICE, model.service),
            (const.KIND_ZONE, model.zone),
        ):
            if value not in found[kind]:
                allowed = f"no record {kind}/{value} exists"
                return exceptions.RecordError(place, kind, allowed)
        if model.limit_cold > model.limit_warm:
            allowed = f"at most limit_warm, {model.limit_warm}"
            return exceptions.RecordError(place, "limit_cold", allowed)
    return None


def _check_services(found: _ByKind) -> exceptions.RecordError | None:
    for name, model in found[const.KIND_SERVICE].items():
        if not isinstance(model, models.Service):
            continue
        seen: set[str] = set()
        for index, route in enumerate(model.routes):
            if route.name in seen:
                place = f"{const.KIND_SERVICE}/{name}"
                key = f"routes.{index}.name"
                allowed = "each route name stands once in its service"
                return exceptions.RecordError(place, key, allowed)
            seen.add(route.name)
    return None


def _check_keys(found: _ByKind) -> exceptions.RecordError | None:
    owners: dict[str, str] = {}
    for name, model in found[const.KIND_WORKSPACE].items():
        if not isinstance(model, models.Workspace):
            continue
        for index, digest in enumerate(model.key_hashes):
            owner = owners.setdefault(digest, name)
            if owner != name:
                place = f"{const.KIND_WORKSPACE}/{name}"
                key = f"key_hashes.{index}"
                allowed = f"workspace {owner} has this key already"
                return exceptions.RecordError(place, key, allowed)
    return None
