"""Builds snapshots from records of any known schema version."""

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
    """Decodes all records of one generation into their internal form.

    It doesn't check that the records are consistent, so that a router applies
    what a router of another release has accepted. Records that are unchanged
    since the last decoded generation are not parsed again.
    """

    def __init__(self) -> None:
        self._previous: dict[str, tuple[bytes, schemas.Record]] = {}

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Decodes all records of a generation.

        Args:
            generation: Number of the generation.
            records: Stored records by `kind/name`.

        Raises:
            ValueError: A record is not readable; its message says which.
        """
        found = {
            key: (body, self._decode_record(key, body))
            for key, body in records.items()
        }
        self._previous = found
        return build(generation, (record for _, record in found.values()))

    def _decode_record(self, key: str, body: bytes) -> schemas.Record:
        previous = self._previous.get(key)
        if previous is not None and previous[0] == body:
            return previous[1]
        decoded = codec.decode(body, key)
        if isinstance(decoded, result.Err):
            raise ValueError(str(decoded.err_value))
        return decoded.ok_value
