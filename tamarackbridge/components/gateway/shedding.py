"""Which requests a router takes up while it has more to do than it can.

Load pattern: callers are spread by a hash, so that one workspace can send ten
times of what one small VM bears through it. What is taken up and not finished
in time is lost twice: its caller comes back, and it kept others from being
finished. So the router limits how many requests it takes up, by the delay of
its event loop: the least delay over an interval tells a standing queue from a
burst (Nichols and Jacobson, Controlling Queue Delay, 2012), and the limit is
shared among workspaces before anything is read (Zhou and others, Overload
Control for Scaling WeChat Microservices, 2018).
"""

import collections
from collections.abc import Callable
import math
import random

from tamarackbridge.components.admission import shares

STANDING_S = 0.04
"""Delay of the event loop that may stand: a tenth of the shortest target of a
stream."""

INTERVAL_S = 0.1
"""Time for which a delay has to be above that; a burst of arrivals is worked
off within it."""

DECREASE = 0.85
"""Factor of the limit for a cut, once for each time that the delay is above
what may stand."""

MOST_TIMES = 4.0
"""Most times that it is applied at once."""

EFFECT_S = 0.25
"""Time after which a cut shows in the delay: what was taken up before it has
been decided on and sent by then."""

INCREASE = 0.02
"""Part by which the limit grows in an interval without a standing delay: slow
against the time that a stream takes, in which its work is still to come."""

INCREASE_PER_S = 1.0
"""Requests a second that are added to that, so that a low limit grows too."""

LEAST_PER_S = 5.0
"""Lowest limit, at which a router finds out whether it can do more."""

RELIEVED_S = 2.0
"""The limit is dropped after this long without a request shed."""

CAME_S = 0.3
"""Time over which arrivals are averaged: a few intervals, in which a flood is
known for what it is."""

ENDED_S = 1.0
"""Time over which ended requests are averaged: what a stream takes."""

OFFLOAD_WORK = 0.25
"""Work of a request that a peer serves, as a part of that of serving it."""

UNSEEN_PER_S = 0.01
"""Rate below which a workspace is forgotten."""

MOST_CREDIT = 2.0
"""Requests that a workspace may catch up on after none of its were taken."""

RETRY_MIN_S = 0.25
RETRY_MAX_S = 4.0
"""Bounds of the advice when to come back: callers may reach the same router
again, where refusing them takes from serving others. They wait from 1 to 12 s,
and take at most a third of what they have left."""

SPREAD = 0.5
"""Part by which the advice varies, so that callers don't return together."""


class Shedder:
    """Limits the requests that a router takes up, and shares the limit.

    A workspace is due no more than the part of its requests that is within its
    share of the engines. What the due requests leave is shared by the others.

    Attributes:
        limit_per_s: Requests a second that are taken up; infinite while the
            router bears what comes.
        shed: Requests that were not taken up.
    """

    def __init__(
        self, due_part: Callable[[str], float], rng: random.Random
    ) -> None:
        self.limit_per_s = math.inf
        self.shed = 0
        self._due_part = due_part
        self._rng = rng
        self._rolled_at = -math.inf
        self._above_since = math.inf
        self._cut_at = -math.inf
        self._filled_at = 0.0
        self._tokens = 0.0
        self._shed_at = -math.inf
        self._came: collections.Counter[str] = collections.Counter()
        self._came_per_s: dict[str, float] = {}
        self._ended = 0.0
        self._ended_per_s = 0.0
        self._offload_room_per_s: Callable[[], float] = lambda: 0.0
        self._taken = 0
        self._parts: dict[str, float] = {}
        self._credits: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether requests may be shed."""
        return math.isfinite(self.limit_per_s)

    def admits(self, workspace: str, now: float) -> bool:
        """Decides on a request that arrives."""
        self._came[workspace] += 1
        part = self._parts.get(workspace, 1.0)
        if not self.active:
            self._taken += 1
            return True
        if part < 1.0 and not self._is_in_part(workspace, part, now):
            self.shed += 1
            self._shed_at = now
            return False
        self._tokens -= 1.0
        return True

    def _is_in_part(self, workspace: str, part: float, now: float) -> bool:
        """Whether a request is in the part that is taken up."""
        credit = self._credits.get(workspace)
        if credit is None:
            credit = self._rng.random()
        credit = min(credit + part, MOST_CREDIT)
        self._credits[workspace] = credit
        self._fill(now)
        if credit < 1.0 or self._tokens < 0.0:
            return False
        self._credits[workspace] = credit - 1.0
        return True

    def _fill(self, now: float) -> None:
        """Lets the limit's tokens grow; they bound what a burst takes."""
        burst = self.limit_per_s * INTERVAL_S
        grown = (now - self._filled_at) * self.limit_per_s
        self._tokens = min(max(self._tokens, -burst) + grown, burst)
        self._filled_at = now

    def note_ended(self) -> None:
        """Counts a request that was taken up and has its answer."""
        self._ended += 1

    @property
    def work_per_s(self) -> float:
        """Requests a second that ended here, or a part for each at a peer."""
        return self._ended_per_s

    def use_peers(self, room_per_s: Callable[[], float]) -> None:
        """Names what tells how many requests a second peers have room for."""
        self._offload_room_per_s = room_per_s

    def may_offload(self, now: float) -> bool:
        """Whether a request that is not taken up may go to a peer.

        That takes work too, so it counts against the limit.
        """
        if not self.active:
            return True
        self._fill(now)
        return self._tokens >= 0.0

    def note_offloaded(self) -> None:
        """Counts a request that goes to a peer."""
        if self.active:
            self._tokens -= OFFLOAD_WORK
        self._ended += OFFLOAD_WORK

    def retry_s(self, workspace: str) -> float:
        """Returns when a shed request of a workspace may come back."""
        part = self._parts.get(workspace, 1.0)
        seconds = RETRY_MIN_S / max(part, RETRY_MIN_S / RETRY_MAX_S)
        return seconds * self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)

    def note_delay(self, delay_s: float, now: float) -> None:
        """Takes the delay of the event loop, several times in an interval."""
        if delay_s < STANDING_S:
            self._above_since = math.inf
        elif math.isinf(self._above_since):
            self._above_since = now
            self._taken = 0
        stands = now - self._above_since >= INTERVAL_S
        rolls = now - self._rolled_at >= INTERVAL_S
        if rolls:
            self._roll(now)
        if stands and now - self._cut_at >= max(EFFECT_S, delay_s):
            self._cut(delay_s, now)
        elif self.active and rolls and not stands:
            self._relieve(now)
        if rolls or stands:
            self._share()

    def _roll(self, now: float) -> None:
        """Brings rates up to date."""
        seconds = now - self._rolled_at
        self._rolled_at = now
        if math.isinf(seconds):
            return
        weight = 1.0 - math.exp(-seconds / CAME_S)
        rates = self._came_per_s
        for name in rates.keys() | self._came.keys():
            before = rates.get(name, 0.0)
            rate = before + weight * (self._came[name] / seconds - before)
            if rate < UNSEEN_PER_S:
                rates.pop(name, None)
                self._credits.pop(name, None)
            else:
                rates[name] = rate
        weight = 1.0 - math.exp(-seconds / ENDED_S)
        ended_per_s = self._ended / seconds
        self._ended_per_s += weight * (ended_per_s - self._ended_per_s)
        self._came.clear()
        self._ended = 0.0

    def _cut(self, delay_s: float, now: float) -> None:
        taken_per_s = self.limit_per_s
        if not self.active:
            # Streams end long after they show what they cost.
            taken_per_s = self._taken / (now - self._above_since)
            self._shed_at = now
        times = min(delay_s / STANDING_S, MOST_TIMES)
        cut_per_s = taken_per_s * DECREASE**times
        # What ended lately can be done.
        least_per_s = max(self._ended_per_s * DECREASE, LEAST_PER_S)
        self.limit_per_s = max(cut_per_s, least_per_s)
        self._cut_at = now
        self._fill(now)

    def _relieve(self, now: float) -> None:
        if now - self._shed_at >= RELIEVED_S:
            self.limit_per_s = math.inf
            self._credits.clear()
        else:
            self.limit_per_s *= 1.0 + INCREASE
            self.limit_per_s += INCREASE_PER_S

    def _served_limit_per_s(self, came_per_s: float) -> float:
        """Returns how much of the limit is for requests that are served here.

        The rest is for those that peers serve, of which it bears more. What
        peers have no room for is served here.
        """
        if came_per_s <= self.limit_per_s:
            return self.limit_per_s
        most = (self.limit_per_s - OFFLOAD_WORK * came_per_s) / (
            1.0 - OFFLOAD_WORK
        )
        room_per_s = self._offload_room_per_s()
        least = self.limit_per_s - OFFLOAD_WORK * room_per_s
        return max(most, least, LEAST_PER_S)

    def _share(self) -> None:
        """Shares the limit among workspaces, those within their share first."""
        self._parts = {}
        if not self.active:
            return
        came = self._came_per_s
        limit_per_s = self._served_limit_per_s(sum(came.values()))
        due = {name: it * self._due_part(name) for name, it in came.items()}
        left = max(limit_per_s - sum(due.values()), 0.0)
        level = shares.max_min_limit(due, limit_per_s)
        beyond = {name: it - due[name] for name, it in came.items()}
        beyond_level = shares.max_min_limit(beyond, left)
        for name, per_s in came.items():
            taken = min(due[name], level) + min(beyond[name], beyond_level)
            self._parts[name] = taken / per_s
