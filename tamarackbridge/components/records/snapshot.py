"""Snapshots out of records of any known schema version."""

from collections.abc import Iterable, Mapping
from typing import Any

import result

from tamarackbridge.components.records import codec, const, models, schemas


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


class SnapshotCodec:
    """Reads all records of one generation into their internal form.

    It doesn't check that records fit each other, so that a router goes on
    with what a router of another version has accepted. What is unchanged
    since the last generation that was read isn't parsed again.
    """

    def __init__(self) -> None:
        self._known: dict[str, tuple[bytes, schemas.Record]] = {}

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Reads all records of a generation.

        Args:
            generation: Number of the generation.
            records: Stored records by `kind/name`.

        Raises:
            ValueError: A record is not readable; its message says which.
        """
        found = {
            key: (body, self._read(key, body)) for key, body in records.items()
        }
        self._known = found
        return build(generation, (record for _, record in found.values()))

    def _read(self, key: str, body: bytes) -> schemas.Record:
        known = self._known.get(key)
        if known is not None and known[0] == body:
            return known[1]
        read = codec.decode(body, key)
        if isinstance(read, result.Err):
            raise ValueError(str(read.err_value))
        return read.ok_value
