"""Logs the calls to the store by cause."""

import asyncio
import collections

from tamarackbridge import background_task, core
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import store

LOG_INTERVAL_S = 60.0
"""Interval between two log events."""


class StoreCallLog(core.Service):
    """Logs once a minute how many calls each cause made."""

    def __init__(self, client: store.Store) -> None:
        super().__init__()
        self._client = client
        self._logged: collections.Counter[tuple[str, store.Operation]]
        self._logged = collections.Counter()
        self._task: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts logging."""
        self._task = background_task.start("store_calls", self._async_run)

    async def on_stop(self) -> None:
        """Logs the calls since the last event and stops."""
        if self._task is not None:
            self._task.cancel()
            self._log()

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self._log()

    def _log(self) -> None:
        calls = self._client.calls_by_cause.copy()
        since = calls - self._logged
        self._logged = calls
        by_cause = {
            f"{kind} {operation.value}": count
            for (kind, operation), count in sorted(
                since.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        }
        events.write(events.StoreCalls(since.total(), by_cause))
