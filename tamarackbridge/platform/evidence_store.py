"""Evidence against prompt blocks, kept in the platform's store."""

from collections.abc import Callable, Sequence

import msgspec
import result

from tamarackbridge.components.fleet import evidence_keeper
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import const, store


class _Quarantine(msgspec.Struct):
    suspects: tuple[evidence_keeper.StoredSuspect, ...]


class StoreEvidence:
    """Evidence with one object per quarantine, named after its last server."""

    def __init__(self, client: store.Store) -> None:
        self._client = client
        self._crashed_ms: dict[str, int] = {}

    async def async_save(
        self, suspects: Sequence[evidence_keeper.StoredSuspect]
    ) -> bool:
        """Saves the evidence of a quarantine; returns whether it is stored."""
        last = max(suspects, key=_crashed_ms)
        content = msgspec.to_builtins(_Quarantine(tuple(suspects)))
        answer = await self._client.async_put(
            const.KIND_QUARANTINES, last.server, content
        )
        return isinstance(answer, result.Ok)

    async def async_load(
        self,
    ) -> list[evidence_keeper.StoredSuspect] | None:
        """Returns all evidence, maybe without the last seconds.

        Malformed objects are left. Returns None on failure.
        """
        page = await self._client.async_list(
            const.KIND_QUARANTINES, allow_stale=True
        )
        if isinstance(page, result.Err):
            return None
        self._crashed_ms.clear()
        found: list[evidence_keeper.StoredSuspect] = []
        for item in page.ok_value.objects:
            try:
                suspects = msgspec.convert(item.spec, _Quarantine).suspects
            except msgspec.ValidationError as exc:
                events.write(
                    events.RecordUnreadable(
                        const.KIND_QUARANTINES, item.name, str(exc)
                    )
                )
                continue
            found += suspects
            self._crashed_ms[item.name] = max(
                (suspect.crashed_ms for suspect in suspects), default=0
            )
        return found

    async def async_delete_expired(
        self, before_ms: int, deletes: Callable[[str], bool]
    ) -> None:
        """Deletes the evidence that was loaded and is from before a time.

        Args:
            before_ms: Unix milliseconds; evidence with a later crash is kept.
            deletes: Returns whether this router deletes the evidence of a name.
        """
        for name, crashed_ms in list(self._crashed_ms.items()):
            if crashed_ms < before_ms and deletes(name):
                await self._client.async_delete(const.KIND_QUARANTINES, name)
                del self._crashed_ms[name]


def _crashed_ms(suspect: evidence_keeper.StoredSuspect) -> int:
    return suspect.crashed_ms
