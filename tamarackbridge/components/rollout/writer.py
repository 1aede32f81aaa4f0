"""Updates the rollout orders and writes their status to the store."""

import asyncio
import math
from typing import Protocol

import result

from tamarackbridge import background_task, core
from tamarackbridge.components.knowledge import applier, models, source
from tamarackbridge.components.rollout import gate
from tamarackbridge.components.telemetry import events

TICK_INTERVAL_S = 0.1
"""Interval at which orders are updated: less than half of that of the reports,
and one hundredth of the shortest order's deadline in use."""

IDLE_INTERVAL_S = 0.25
"""Interval at which it is checked whether there is an order."""

RETRY_S = 1.0
MAX_RETRY_S = 4.0
"""Interval between attempts to write while the store does not take them, at
first and at most. In a long outage all routers come to try, one after the other
by their ranks."""


class StatusStore(Protocol):
    """The platform's store."""

    async def async_write_status(
        self, order: models.RolloutOrder, state: models.RolloutState
    ) -> result.Result[models.RolloutOrder, source.StatusFailure]:
        """Writes a status if the order has not changed since it was read.

        Returns:
            The order as it is stored now, or why nothing was written.
        """
        ...

    async def async_read(self) -> source.Answer:
        """Returns all orders."""
        ...


class StatusWriter(core.Service):
    """Writes the status of the orders for which this router is due."""

    def __init__(
        self,
        store: StatusStore,
        rollouts: gate.Gate,
        update_applier: applier.Applier,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._store = store
        self._rollouts = rollouts
        self._applier = update_applier
        self._clock = clock
        self._retry_at = -math.inf
        self._retry_s = RETRY_S
        self._task: asyncio.Task[None] | None = None
        self._writing: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts to update orders."""
        self._task = background_task.start("rollouts", self._async_run)

    async def on_stop(self) -> None:
        """Stops updating orders."""
        for task in (self._task, self._writing):
            if task is not None:
                task.cancel()

    async def _async_run(self) -> None:
        while True:
            if not self._rollouts.orders:
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            now = self._clock.monotonic()
            self._rollouts.sync(now)
            self._rollouts.tick(now)
            is_idle = self._writing is None or self._writing.done()
            if is_idle and now >= self._retry_at:
                # Ticks go on while the store is slow.
                self._writing = background_task.start(
                    "rollout_writes", self.async_write_due
                )
            await asyncio.sleep(TICK_INTERVAL_S)

    async def async_write_due(self) -> None:
        """Makes the writes that are due now."""
        for order, state in self._rollouts.due_writes(self._clock.monotonic()):
            await self._async_write(order, state)

    async def _async_write(
        self, order: models.RolloutOrder, state: models.RolloutState
    ) -> None:
        written = await self._store.async_write_status(order, state)
        outcome = "stored"
        if isinstance(written, result.Ok):
            self._applier.apply(source.RolloutUpdate(written.ok_value), 0.0)
            self._applier.on_change()
        elif written.err_value is source.StatusFailure.CONFLICT:
            outcome = "conflict"
            await self._async_read()
        else:
            outcome = "failed"
        events.write(
            events.RolloutWritten(
                order.service, order.target, state.value, outcome
            )
        )
        if outcome != "stored":
            self._retry_at = self._clock.monotonic() + self._retry_s
        self._retry_s = (
            min(self._retry_s * 2, MAX_RETRY_S)
            if outcome == "failed"
            else RETRY_S
        )

    async def _async_read(self) -> None:
        """Reads the orders again, as one was changed by somebody else."""
        answer = await self._store.async_read()
        if isinstance(answer, result.Ok):
            self._applier.replace(
                source.Kind.ROLLOUTS, answer.ok_value.updates, 0.0
            )
            self._applier.on_change()
