"""Builds the snapshot of records that are in force together."""

from collections.abc import Iterable
from typing import Any

from tamarackbridge.components.records import const, models, schemas


def build(
    generation: int, records: Iterable[schemas.Record]
) -> models.Snapshot:
    """Returns the snapshot of one generation."""
    found: dict[str, dict[str, Any]] = {kind: {} for kind in const.KINDS}
    for record in records:
        found[record.kind][record.name] = record.model
    return models.Snapshot(
        generation=generation,
        workspaces=found[const.KIND_WORKSPACE],
        services=found[const.KIND_SERVICE],
        servers=found[const.KIND_SERVER],
        zones=found[const.KIND_ZONE],
    )
