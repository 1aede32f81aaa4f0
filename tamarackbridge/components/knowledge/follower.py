"""Keeps one kind of data in the local copy up to date."""

import asyncio
from collections.abc import Callable
import math
import random

import result

from tamarackbridge import background_task, core
from tamarackbridge.components.knowledge import (
    applier,
    const,
    positions,
    source,
    state,
)
from tamarackbridge.components.telemetry import events


class Follower(core.Service):
    """Reads all data of one kind from the store, then watches for changes.

    It makes no calls while another router relays the data in time.
    """

    def __init__(
        self,
        kind: source.Kind,
        data_source: source.Source,
        local_copy: state.LocalCopy,
        update_applier: applier.Applier,
        clock: core.Clock,
        rng: random.Random,
        is_relayed: Callable[[source.Kind], bool],
        may_read_first: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes the follower.

        Args:
            kind: Kind of data that is followed.
            data_source: The store.
            local_copy: The local copy.
            update_applier: Applies updates to the local copy.
            clock: Clock of the copy's age.
            rng: Source of the spread of calls after a failure.
            is_relayed: Returns whether another router relays a kind.
            may_read_first: Returns whether data is read from the store that no
                other router has sent yet.
        """
        super().__init__()
        self._kind = kind
        self._source = data_source
        self._local_copy = local_copy
        self._clock = clock
        self._rng = rng
        self._applier = update_applier
        self._is_relayed = is_relayed
        self._may_read_first = may_read_first
        self._has_waited = False
        self._paused_s = 0.0
        self._lost_history = False
        self._retry_pause_s = const.RETRY_MIN_S
        self._unreachable_since: float | None = None
        self._grace_until = 0.0
        self._unconfirmed_until = 0.0
        self._restored_at = -math.inf
        self._task: asyncio.Task[None] | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._unreachable_since is not None

    async def on_start(self) -> None:
        """Starts the task that follows the store."""
        self._task = background_task.start(
            f"follower_{self._kind.value}", self._async_run
        )

    async def on_stop(self) -> None:
        """Cancels the task."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        while True:
            if self._relies_on_relay():
                # The last failure is outdated: the router that relays the data
                # reaches the store.
                self._unreachable_since = None
                self._local_copy.unreachable.discard(self._kind)
                self._applier.remove_expired()
                await asyncio.sleep(const.RELAYED_CHECK_INTERVAL_S)
            elif self._revision == 0 and not self._may_read_first():
                self._has_waited = True
                await asyncio.sleep(const.FIRST_READ_CHECK_INTERVAL_S)
            elif self._lost_history or self._revision == 0:
                await self._async_read_all()
            else:
                await self._async_watch()

    def _relies_on_relay(self) -> bool:
        """Returns whether another router relays the data in time."""
        if not self._is_relayed(self._kind):
            return False
        age_s = self._local_copy.age(self._kind, self._clock.monotonic())
        return (
            age_s
            < self._local_copy.watch_wait_s(self._kind)
            + const.RELAY_AGE_MARGIN_S
        )

    @property
    def _revision(self) -> int:
        return self._local_copy.version(self._kind).revision

    async def _async_read_all(self) -> None:
        due = self._restored_at + const.RESTORED_READ_INTERVAL_S
        if (wait_s := due - self._clock.monotonic()) > 0:
            await asyncio.sleep(wait_s * self._rng.uniform(1.0, 1.5))
        began = self._clock.monotonic()
        is_first = self._revision == 0
        answer = await self._source.async_all(self._kind)
        if isinstance(answer, result.Err):
            await self._async_handle_failure()
            return
        found = answer.ok_value
        era = positions.era(found.revision)
        known_era = positions.era(self._revision)
        if era < known_era:
            # Other routers have read a later one.
            await self._async_handle_failure()
            return
        self._handle_success()
        self._lost_history = False
        if is_first and found.revision < self._revision:
            # Another router has sent newer data in the meantime.
            return
        is_restored = self._revision > 0 and era > known_era
        if is_restored:
            self._handle_restored(found)
        self._applier.replace(
            self._kind, found.updates, self._grace_s(), is_restored
        )
        self._local_copy.record_full_read(self._kind, found.revision)
        self._confirm(began)
        self._applier.on_change()
        if is_first and self._has_waited:
            # A hub that relays the data may be found in the meantime.
            await self._async_pause()

    def _handle_restored(self, found: source.UpdateBatch) -> None:
        """Doubts what the store lacks after it came from an older copy.

        The operator and the servers write again what was lost.
        """
        now = self._restored_at = self._clock.monotonic()
        self._grace_until = now + const.EXPIRY_GRACE_S
        if not self._has_configuration_in_force(found):
            self._unconfirmed_until = now + const.EXPIRY_GRACE_S
        events.write(
            events.StoreRestored(
                self._kind.value,
                positions.era(found.revision),
                positions.revision(found.revision),
                positions.revision(self._revision),
            )
        )

    def _has_configuration_in_force(self, found: source.UpdateBatch) -> bool:
        """Returns whether no configuration is known to be missing."""
        in_force = self._local_copy.configuration
        if self._kind is not source.Kind.CONFIGURATION or in_force is None:
            return True
        return any(
            isinstance(update, source.ConfigurationUpdate)
            and update.configuration.version >= in_force.version
            for update in found.updates
        )

    def _confirm(self, at: float) -> None:
        """Confirms the copy, unless a newer state may have been lost."""
        if at >= self._unconfirmed_until:
            self._local_copy.confirm(self._kind, at)

    async def _async_watch(self) -> None:
        # After a pause the wait is shorter, so that the copy is confirmed no
        # later than without one.
        wait_s = self._local_copy.watch_wait_s(self._kind) - self._paused_s
        self._paused_s = 0.0
        began = self._clock.monotonic()
        answer = await self._source.async_changes(
            self._kind, self._revision, wait_s
        )
        if answer == result.Err(source.Failure.HISTORY_LOST):
            events.write(events.HistoryLost(self._kind.value))
            self._lost_history = True
            return
        if isinstance(answer, result.Err):
            await self._async_handle_failure()
            return
        self._handle_success()
        self._apply(answer.ok_value)
        waited = self._clock.monotonic() - began >= wait_s
        # An empty answer after the whole wait confirms the copy for the end of
        # the wait; any other answer only for the start of the call.
        quiet = waited and not answer.ok_value.updates
        self._confirm(began + wait_s if quiet else began)
        if answer.ok_value.updates and self._kind is source.Kind.SERVERS:
            await self._async_pause()

    async def _async_pause(self) -> None:
        """Pauses, and shortens the next watch by that time."""
        self._paused_s = self._local_copy.watch_pause_s()
        await asyncio.sleep(self._paused_s)

    def _apply(self, found: source.UpdateBatch) -> None:
        if found.updates and self._has_configuration_in_force(found):
            self._unconfirmed_until = 0.0
        for update in found.updates:
            self._applier.apply(update, self._grace_s())
        changed = bool(found.updates)
        self._local_copy.record_revision(self._kind, found.revision, changed)
        self._applier.remove_expired()
        if changed:
            self._applier.on_change()

    def _grace_s(self) -> float:
        """Returns how long servers are used after their registration ends."""
        return max(self._grace_until - self._clock.monotonic(), 0.0)

    async def _async_handle_failure(self) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = self._clock.monotonic()
            self._local_copy.unreachable.add(self._kind)
            events.write(events.StoreAway(self._kind.value, self._age()))
        await asyncio.sleep(self._retry_pause_s * self._rng.uniform(0.5, 1.0))
        self._retry_pause_s = min(self._retry_pause_s * 2, const.RETRY_MAX_S)

    def _handle_success(self) -> None:
        self._retry_pause_s = const.RETRY_MIN_S
        if self._unreachable_since is None:
            return
        now = self._clock.monotonic()
        unreachable_s = now - self._unreachable_since
        # If the store answered other routers until recently, servers could
        # renew their registrations too: those that ended are really gone.
        confirmed_at = self._local_copy.version(self._kind).confirmed_at
        recent_s = const.MIN_OUTAGE_S + self._local_copy.watch_wait_s(
            self._kind
        )
        was_up = (
            confirmed_at > self._unreachable_since
            and now - confirmed_at < recent_s
        )
        self._unreachable_since = None
        self._local_copy.unreachable.discard(self._kind)
        if unreachable_s > const.MIN_OUTAGE_S and not was_up:
            self._grace_until = now + const.EXPIRY_GRACE_S
        events.write(
            events.StoreBack(self._kind.value, round(unreachable_s, 3))
        )

    def _age(self) -> float:
        """Returns the age of the copy for the log; -1 before the first read."""
        age_s = self._local_copy.age(self._kind, self._clock.monotonic())
        return round(age_s, 3) if math.isfinite(age_s) else -1.0
