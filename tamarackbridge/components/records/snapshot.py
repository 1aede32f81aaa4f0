"""Snapshots out of stored records of any known schema version."""

from collections.abc import Mapping

import result

from tamarackbridge.components.records import codec, models


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
        workspaces: dict[str, models.Workspace] = {}
        services: dict[str, models.Service] = {}
        servers: dict[str, models.BackendServer] = {}
        zones: dict[str, models.Zone] = {}
        for key, body in records.items():
            read = codec.decode(body, key)
            if isinstance(read, result.Err):
                raise ValueError(str(read.err_value))
            match read.ok_value.model:
                case models.Workspace() as workspace:
                    workspaces[workspace.name] = workspace
                case models.Service() as service:
                    services[service.name] = service
                case models.BackendServer() as server:
                    servers[server.name] = server
                case models.Zone() as zone:
                    zones[zone.name] = zone
        return models.Snapshot(generation, workspaces, services, servers, zones)
