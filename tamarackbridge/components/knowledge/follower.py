"""Keeps a router's knowledge current by following its source."""

import asyncio
from collections.abc import Callable
import math
import random

import result

from tamarackbridge import core
from tamarackbridge.components.knowledge import applier, const, source, state
from tamarackbridge.components.telemetry import events


class Follower(core.Service):
    """Follows one kind: reads all of it, then each change.

    It rests while another router tells what it would read.
    """

    def __init__(
        self,
        kind: source.Kind,
        origin: source.Source,
        known: state.Knowledge,
        taking: applier.Applier,
        clock: core.Clock,
        rng: random.Random,
        told: Callable[[source.Kind], bool],
    ) -> None:
        super().__init__()
        self._kind = kind
        self._origin = origin
        self._known = known
        self._clock = clock
        self._rng = rng
        self._taking = taking
        self._told = told
        self._lost_history = False
        self._pause_s = const.RETRY_MIN_S
        self._away_since: float | None = None
        self._grace_until = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def away(self) -> bool:
        """Whether the last call gave nothing."""
        return self._away_since is not None

    async def on_start(self) -> None:
        """Begins to follow."""
        self._task = asyncio.create_task(self._async_run())

    async def on_stop(self) -> None:
        """Ends following."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        while True:
            if self._rests():
                # The store may be well again: whoever tells this router knows.
                self._away_since = None
                self._known.away.discard(self._kind)
                self._taking.drop_lapsed()
                await asyncio.sleep(const.REST_S)
            elif self._lost_history or self._revision == 0:
                await self._async_read()
            else:
                await self._async_follow()

    def _rests(self) -> bool:
        """Whether another router tells in time what is to be known."""
        if not self._told(self._kind):
            return False
        age_s = self._known.age(self._kind, self._clock.monotonic())
        return age_s < self._known.wait_s(self._kind) + const.TOLD_MARGIN_S

    @property
    def _revision(self) -> int:
        return self._known.edition(self._kind).revision

    async def _async_read(self) -> None:
        began = self._clock.monotonic()
        answer = await self._origin.async_all(self._kind)
        if isinstance(answer, result.Err):
            await self._async_pause()
            return
        self._came_back()
        self._lost_history = False
        found = answer.ok_value
        self._taking.replace(self._kind, found.facts, self._grace_s())
        self._known.restart(self._kind, found.revision)
        self._known.confirm(self._kind, began)
        self._taking.changed()

    async def _async_follow(self) -> None:
        wait_s = self._known.wait_s(self._kind)
        began = self._clock.monotonic()
        answer = await self._origin.async_changes(
            self._kind, self._revision, wait_s
        )
        if answer == result.Err(source.Trouble.HISTORY_LOST):
            events.write(events.HistoryLost(self._kind.value))
            self._lost_history = True
            return
        if isinstance(answer, result.Err):
            await self._async_pause()
            return
        self._came_back()
        self._take(answer.ok_value)
        waited = self._clock.monotonic() - began >= wait_s
        # An empty answer after the whole wait speaks for the wait's end.
        quiet = waited and not answer.ok_value.facts
        self._known.confirm(self._kind, began + wait_s if quiet else began)

    def _take(self, found: source.Facts) -> None:
        for fact in found.facts:
            self._taking.apply(fact, self._grace_s())
        changed = bool(found.facts)
        self._known.advance(self._kind, found.revision, changed)
        self._taking.drop_lapsed()
        if changed:
            self._taking.changed()

    def _grace_s(self) -> float:
        """Returns for how long ended registrations are still used."""
        return max(self._grace_until - self._clock.monotonic(), 0.0)

    async def _async_pause(self) -> None:
        if self._away_since is None:
            self._away_since = self._clock.monotonic()
            self._known.away.add(self._kind)
            events.write(events.StoreAway(self._kind.value, self._age()))
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, const.RETRY_MAX_S)

    def _came_back(self) -> None:
        self._pause_s = const.RETRY_MIN_S
        if self._away_since is None:
            return
        now = self._clock.monotonic()
        away_s = now - self._away_since
        # Others were answered until lately: what lapsed has been gone for them.
        heard_at = self._known.edition(self._kind).at
        recent_s = const.OUTAGE_S + self._known.wait_s(self._kind)
        was_up = heard_at > self._away_since and now - heard_at < recent_s
        self._away_since = None
        self._known.away.discard(self._kind)
        if away_s > const.OUTAGE_S and not was_up:
            self._grace_until = now + const.LAPSE_GRACE_S
        events.write(events.StoreBack(self._kind.value, round(away_s, 3)))

    def _age(self) -> float:
        """Returns the age of what is known of this kind; -1 for nothing."""
        age_s = self._known.age(self._kind, self._clock.monotonic())
        return round(age_s, 3) if math.isfinite(age_s) else -1.0
