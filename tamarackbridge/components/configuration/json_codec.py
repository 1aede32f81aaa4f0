"""Records as the plain JSON of their internal form."""

from collections.abc import Mapping
import dataclasses

import msgspec

from tamarackbridge.components.records import models

KINDS: dict[str, type] = {
    "workspace": models.Workspace,
    "service": models.Service,
    "server": models.BackendServer,
    "zone": models.Zone,
}
"""Data class of the internal form, by record kind."""


class JsonCodec:
    """Decodes records that are stored as their plain internal form."""

    def decode(
        self, generation: int, records: Mapping[str, bytes]
    ) -> models.Snapshot:
        """Decodes all records of a generation.

        Raises:
            ValueError: A record is not readable or has an unknown kind.
        """
        found: dict[str, dict[str, object]] = {kind: {} for kind in KINDS}
        for key, body in records.items():
            kind, _, name = key.partition("/")
            if kind not in KINDS:
                raise ValueError(f"{key!r} has an unknown kind")
            found[kind][name] = msgspec.json.decode(body, type=KINDS[kind])
        return models.Snapshot(
            generation,
            found["workspace"],  # type: ignore[arg-type]
            found["service"],  # type: ignore[arg-type]
            found["server"],  # type: ignore[arg-type]
            found["zone"],  # type: ignore[arg-type]
        )


def encode(record: object) -> bytes:
    """Serializes one record of the internal form."""
    if not dataclasses.is_dataclass(record):
        raise TypeError(type(record))
    return msgspec.json.encode(record)
