"""Knowledge from the platform's store."""

import result

from tamarackbridge.components.knowledge import source
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import const, exceptions, records, store

_KINDS = {
    source.Kind.CONFIGURATION: const.KIND_CONFIGURATION,
    source.Kind.SERVERS: const.KIND_SERVERS,
    source.Kind.ZONES: const.KIND_EVACUATIONS,
}


class StoreSource:
    """Reads and follows the three kinds that routers need.

    Attributes:
        unreadable: Objects that could not be read.
    """

    def __init__(self, client: store.Store) -> None:
        self.unreadable = 0
        self._client = client

    async def async_all(self, kind: source.Kind) -> source.Answer:
        """Returns all facts of a kind."""
        page = await self._client.async_list(_KINDS[kind])
        return self._answer(kind, page)

    async def async_changes(
        self, kind: source.Kind, revision: int, wait_s: float
    ) -> source.Answer:
        """Returns what changed after a revision; waits for a change."""
        page = await self._client.async_watch(_KINDS[kind], revision, wait_s)
        return self._answer(kind, page)

    def _answer(self, kind: source.Kind, page: store.Paged) -> source.Answer:
        if isinstance(page, result.Err):
            if page.err_value is store.Failure.HISTORY_LOST:
                return result.Err(source.Trouble.HISTORY_LOST)
            return result.Err(source.Trouble.AWAY)
        found = page.ok_value
        facts = [self._fact(kind, item) for item in found.objects]
        known = tuple(fact for fact in facts if fact is not None)
        return result.Ok(source.Facts(known, found.revision))

    def _fact(
        self, kind: source.Kind, item: store.StoredObject
    ) -> source.Fact | None:
        if kind is source.Kind.SERVERS:
            return self._server(kind, item)
        if kind is source.Kind.ZONES:
            if item.deleted:
                return source.ZoneBack(item.name)
            return source.ZoneOut(item.name)
        if item.name != const.NAME_CONFIGURATION or item.deleted:
            return None
        try:
            return source.ConfigurationIs(records.configuration(item.spec))
        except exceptions.RecordError as exc:
            self._note(kind, item.name, exc)
            return None

    def _server(
        self, kind: source.Kind, item: store.StoredObject
    ) -> source.Fact:
        if item.deleted:
            return source.ServerGone(item.name)
        try:
            return source.ServerIs(records.server(item.name, item.spec))
        except exceptions.RecordError as exc:
            self._note(kind, item.name, exc)
            return source.ServerGone(item.name)

    def _note(
        self, kind: source.Kind, name: str, exc: exceptions.RecordError
    ) -> None:
        self.unreadable += 1
        events.write(events.RecordUnreadable(kind.value, name, str(exc)))
