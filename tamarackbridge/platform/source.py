"""Reads the data of the local copy from the platform's store."""

import result

from tamarackbridge.components.knowledge import positions, source
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import (
    const,
    exceptions,
    records,
    rollouts,
    store,
)

_STORE_KINDS = {
    source.Kind.CONFIGURATION: const.KIND_CONFIGURATION,
    source.Kind.SERVERS: const.KIND_SERVERS,
    source.Kind.ZONES: const.KIND_EVACUATIONS,
    source.Kind.ROLLOUTS: const.KIND_ROLLOUTS,
}


class StoreSource:
    """Source of configuration, servers and zones in the platform's store.

    Attributes:
        unreadable: Number of malformed objects so far.
    """

    def __init__(self, client: store.Store) -> None:
        self.unreadable = 0
        self._client = client

    async def async_all(self, kind: source.Kind) -> source.Answer:
        """Returns all data of a kind."""
        page = await self._client.async_list(_STORE_KINDS[kind])
        return self._convert_page(kind, page)

    async def async_changes(
        self, kind: source.Kind, revision: int, wait_s: float
    ) -> source.Answer:
        """Returns the changes after a position.

        Waits for the first change, for at most `wait_s` seconds.
        """
        page = await self._client.async_watch(
            _STORE_KINDS[kind],
            positions.revision(revision),
            wait_s,
            positions.era(revision),
        )
        return self._convert_page(kind, page)

    def _convert_page(
        self, kind: source.Kind, page: store.Paged
    ) -> source.Answer:
        if isinstance(page, result.Err):
            if page.err_value is store.Failure.HISTORY_LOST:
                return result.Err(source.Failure.HISTORY_LOST)
            return result.Err(source.Failure.UNREACHABLE)
        found = page.ok_value
        updates = [self._convert_object(kind, item) for item in found.objects]
        readable = tuple(update for update in updates if update is not None)
        position = positions.make(found.era, found.revision)
        return result.Ok(source.UpdateBatch(readable, position))

    def _convert_object(
        self, kind: source.Kind, item: store.StoredObject
    ) -> source.Update | None:
        """Converts an object; returns None if it must be ignored."""
        if kind is source.Kind.SERVERS:
            return self._convert_server(kind, item)
        if kind is source.Kind.ZONES:
            if item.deleted:
                return source.ZoneReturn(item.name)
            return source.ZoneEvacuation(item.name)
        if kind is source.Kind.ROLLOUTS:
            if item.deleted:
                return source.RolloutRemoval(item.name)
            return source.RolloutUpdate(rollouts.order(item))
        if item.name != const.NAME_CONFIGURATION or item.deleted:
            return None
        try:
            return source.ConfigurationUpdate(records.configuration(item.spec))
        except exceptions.RecordError as exc:
            self._log_unreadable(kind, item.name, exc)
            return None

    def _convert_server(
        self, kind: source.Kind, item: store.StoredObject
    ) -> source.Update:
        """Converts a registration; a malformed one counts as removed."""
        if item.deleted:
            return source.ServerRemoval(item.name)
        try:
            return source.ServerUpdate(records.server(item.name, item.spec))
        except exceptions.RecordError as exc:
            self._log_unreadable(kind, item.name, exc)
            return source.ServerRemoval(item.name)

    def _log_unreadable(
        self, kind: source.Kind, name: str, exc: exceptions.RecordError
    ) -> None:
        self.unreadable += 1
        events.write(events.RecordUnreadable(kind.value, name, str(exc)))
