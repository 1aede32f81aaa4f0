"""Snapshots out of stored records of any known schema version."""

from collections.abc import Mapping

import result

from tamarackbridge.components.records import codec, models, schemas, snapshots


class SnapshotCodec:
    """Reads all records of one generation into their internal form."""

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
        found: list[schemas.Record] = []
        for key, body in records.items():
            read = codec.decode(body, key)
            if isinstance(read, result.Err):
                raise ValueError(str(read.err_value))
            found.append(read.ok_value)
        return snapshots.build(generation, found)
