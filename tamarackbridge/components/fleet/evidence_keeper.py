"""Keeps the evidence behind quarantines when all routers stop at once."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from tamarackbridge import background_task, core
from tamarackbridge.components.placement import crash_evidence, quarantine
from tamarackbridge.components.telemetry import events

SAVE_INTERVAL_S = 0.25
"""Interval at which new evidence is looked for and saved."""

RELOAD_S = 10.0
"""Time from the first load to a second one. A load may lack the last seconds
before it, in which a router that crashed may have saved something."""

MS_PER_S = 1000

RETRY_S = 1.0
"""Interval between attempts to save or load; a call to the store takes that
long when it fails."""


class StoredSuspect(msgspec.Struct, frozen=True):
    """A suspect as it is stored.

    Attributes:
        server: Name of the server.
        started_ms: Unix milliseconds of its start; 0 where not stated.
        blocks: Shared blocks of the prompt.
        has_begun: Whether the head of the answer had been received.
        sent_ms: Time from sending the request to the crash.
        crashed_ms: Unix milliseconds of the crash.
    """

    server: str
    started_ms: int
    blocks: tuple[str, ...]
    has_begun: bool
    sent_ms: int
    crashed_ms: int


class EvidenceStore(Protocol):
    """The platform's store."""

    async def async_save(self, suspects: Sequence[StoredSuspect]) -> bool:
        """Saves the evidence of a quarantine; returns whether it is stored."""
        ...

    async def async_load(self) -> list[StoredSuspect] | None:
        """Returns all evidence, maybe without the last seconds.

        Returns None on failure.
        """
        ...

    async def async_delete_expired(
        self, before_ms: int, deletes: Callable[[str], bool]
    ) -> None:
        """Deletes the evidence that was loaded and is from before a time.

        Args:
            before_ms: Unix milliseconds; evidence with a later crash is kept.
            deletes: Returns whether this router deletes the evidence of a name.
        """
        ...


class EvidenceKeeper(core.Service):
    """Loads the evidence at the start and saves what this router adds."""

    def __init__(
        self,
        store: EvidenceStore,
        evidence: quarantine.BlockQuarantine,
        clock: core.Clock,
        deletes: Callable[[str], bool] = lambda name: True,
    ) -> None:
        """Initializes the keeper.

        Args:
            store: The platform's store.
            evidence: Evidence against prompt blocks.
            clock: Clock of crashes, and the time of day.
            deletes: Returns whether it is this router that deletes expired
                evidence of a name.
        """
        super().__init__()
        self._deletes = deletes
        self._store = store
        self._evidence = evidence
        self._clock = clock
        self._keeper_tasks: list[asyncio.Task[None]] = []

    async def on_start(self) -> None:
        """Starts to load and to save."""
        self._keeper_tasks = [
            background_task.start("evidence_load", self._async_keep_loaded),
            background_task.start("evidence_save", self._async_save_forever),
        ]

    async def on_stop(self) -> None:
        """Stops saving."""
        for task in self._keeper_tasks:
            task.cancel()

    async def _async_keep_loaded(self) -> None:
        """Loads the evidence twice; deletes what has expired once."""
        self._apply(await self._async_load())
        await asyncio.sleep(RELOAD_S)
        stored = await self._async_load()
        self._apply(stored)
        if stored:
            expired_s = self._clock.wall() - 2 * quarantine.MAX_QUARANTINE_S
            await self._store.async_delete_expired(
                int(expired_s * MS_PER_S), self._deletes
            )

    async def _async_save_forever(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            suspects = self._evidence.pop_unsaved()
            while suspects and not await self._async_save(suspects):
                await asyncio.sleep(RETRY_S)
                suspects = self._evidence.pop_unsaved() or suspects

    async def _async_load(self) -> list[StoredSuspect]:
        while True:
            stored = await self._store.async_load()
            if stored is not None:
                return stored
            await asyncio.sleep(RETRY_S)

    def _apply(self, stored: list[StoredSuspect]) -> None:
        now = self._clock.monotonic()
        newest_ms = max((entry.crashed_ms for entry in stored), default=0)
        # The clock by which a crash was saved may be ahead of this one.
        wall_s = max(self._clock.wall(), newest_ms / MS_PER_S)
        added = self._evidence.record_suspects(
            (_decode(entry, now - wall_s) for entry in stored), now
        )
        for block in added:
            events.write(events.BlockQuarantined(block))

    async def _async_save(
        self, suspects: Sequence[crash_evidence.Suspect]
    ) -> bool:
        now, wall_s = self._clock.monotonic(), self._clock.wall()
        return await self._store.async_save(
            [
                StoredSuspect(
                    server=suspect.server,
                    started_ms=suspect.started_ms,
                    blocks=tuple(sorted(suspect.blocks)),
                    has_begun=suspect.has_begun,
                    sent_ms=round(
                        (suspect.crashed_at - suspect.sent_at) * MS_PER_S
                    ),
                    crashed_ms=round(
                        (wall_s - now + suspect.crashed_at) * MS_PER_S
                    ),
                )
                for suspect in suspects
            ]
        )


def _decode(
    entry: StoredSuspect, clock_offset_s: float
) -> crash_evidence.Suspect:
    crashed_at = entry.crashed_ms / MS_PER_S + clock_offset_s
    return crash_evidence.Suspect(
        server=entry.server,
        started_ms=entry.started_ms,
        blocks=frozenset(entry.blocks),
        has_begun=entry.has_begun,
        sent_at=crashed_at - max(entry.sent_ms, 0) / MS_PER_S,
        crashed_at=crashed_at,
    )
