"""What a router takes up of more than it can do, on a virtual clock."""

import collections
from collections.abc import Mapping
import heapq
import math
import random

import pytest

from tamarackbridge.components.gateway import shedding

SERVED_S = 0.008
"""Processor time of a request that is taken up."""

SHED_S = 0.0001
"""Processor time of one that is not."""

PROBE_S = 0.025
EVENTS = 6
"""Events of a stream; half of its processor time goes to them."""


ADMITTED_IN_TURN = 8
SHED_IN_TURN = 200


class _Router:
    """An event loop that takes up what waits, a bounded part in each turn."""

    def __init__(
        self, shedder: shedding.Shedder, stream_s: float = 0.0
    ) -> None:
        self.shedder = shedder
        self.stream_s = stream_s
        self.events: list[tuple[float, int]] = []
        self.now = 0.0
        self.probe_at = 0.0
        self.waiting: collections.deque[tuple[float, str]] = collections.deque()
        self.done: list[tuple[float, str, float]] = []

    def run(self, rates: Mapping[str, float], seconds: float) -> None:
        """Lets requests come at steady rates."""
        due = {name: self.now + 1 / it for name, it in rates.items()}
        ends = self.now + seconds
        while self.now < ends:
            name = min(due, key=lambda it: due[it])
            while due[name] <= self.now:
                self.waiting.append((due[name], name))
                due[name] += 1 / rates[name]
                name = min(due, key=lambda it: due[it])
            waited_s = self._turn()
            if self.now >= self.probe_at:
                late_s = self.now - self.probe_at
                self.shedder.note_delay(max(late_s, waited_s), self.now)
                self.probe_at = self.now + PROBE_S
            if not self.waiting:
                next_at = min(due[name], self.probe_at)
                if self.events:
                    next_at = min(next_at, self.events[0][0])
                self.now = max(self.now, next_at)

    def _turn(self) -> float:
        """Takes up some requests; returns how long the last one waited."""
        admitted = shed = 0
        waited_s = 0.0
        while self.events and self.events[0][0] <= self.now:
            self._pass_event(heapq.heappop(self.events)[1])
        while self.waiting:
            if admitted == ADMITTED_IN_TURN or shed == SHED_IN_TURN:
                return waited_s
            came, name = self.waiting.popleft()
            waited_s = self.now - came
            if self.shedder.admits(name, self.now):
                admitted += 1
                self._serve(name, came)
            else:
                shed += 1
                self.now += SHED_S
        return 0.0

    def _serve(self, name: str, came: float) -> None:
        if not self.stream_s:
            self.now += SERVED_S
            self.shedder.note_ended()
        else:
            self.now += SERVED_S / 2
            self._expect(EVENTS)
        self.done.append((self.now, name, self.now - came))

    def _expect(self, left: int) -> None:
        """Lets the next of a stream's last events come."""
        at = self.now + self.stream_s / EVENTS
        heapq.heappush(self.events, (at, left))

    def _pass_event(self, left: int) -> None:
        self.now += SERVED_S / 2 / EVENTS
        if left > 1:
            self._expect(left - 1)
        else:
            self.shedder.note_ended()

    def in_time(self, name: str, since: float) -> int:
        """Returns how many were answered within 0.3 s."""
        found = [it for it in self.done if it[0] >= since and it[1] == name]
        return sum(it[2] <= 0.3 for it in found)


def _shedder(parts: Mapping[str, float] | None = None) -> shedding.Shedder:
    due = parts or {}
    return shedding.Shedder(lambda name: due.get(name, 1.0), random.Random(1))


KNEE_PER_S = 1 / SERVED_S


def test_nothing_is_shed_below_the_knee() -> None:
    router = _Router(_shedder())
    router.run({"a": KNEE_PER_S * 0.9}, 20.0)
    assert router.shedder.shed == 0
    assert not router.shedder.active


@pytest.mark.parametrize("stream_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("times", [1.5, 3, 10])
def test_what_is_done_in_time_does_not_fall_beyond_the_knee(
    times: float, stream_s: float
) -> None:
    router = _Router(_shedder(), stream_s)
    router.run({"a": KNEE_PER_S * times}, 20.0)
    assert router.in_time("a", 5.0) >= 15 * KNEE_PER_S * 0.75


@pytest.mark.parametrize("stream_s", [0.0, 0.5, 2.0])
def test_workspace_that_asks_for_little_is_not_shed(stream_s: float) -> None:
    router = _Router(_shedder(), stream_s)
    router.run({"hot": KNEE_PER_S * 10, "calm": KNEE_PER_S * 0.1}, 20.0)
    assert router.in_time("calm", 5.0) >= 15 * KNEE_PER_S * 0.1 * 0.95
    assert router.in_time("hot", 5.0) >= 15 * KNEE_PER_S * 0.6


def test_what_is_beyond_its_share_is_shed_first() -> None:
    router = _Router(_shedder({"flood": 0.05}))
    rates = {"flood": KNEE_PER_S * 4, "even": KNEE_PER_S * 1.5}
    router.run(rates, 20.0)
    even = router.in_time("even", 5.0)
    flood = router.in_time("flood", 5.0)
    assert even >= 3 * flood
    # The part that is due is taken all the same.
    assert flood >= 15 * KNEE_PER_S * 4 * 0.05 * 0.75


def test_one_long_step_sheds_nothing() -> None:
    shedder = _shedder()
    shedder.note_delay(0.0, 0.0)
    shedder.note_delay(2.0, 2.0)
    shedder.note_delay(0.01, 2.1)
    assert not shedder.active
    assert shedder.admits("a", 2.2)


def test_all_is_taken_again_when_the_flood_is_over() -> None:
    router = _Router(_shedder())
    router.run({"a": KNEE_PER_S * 10}, 5.0)
    assert router.shedder.active
    router.run({"a": KNEE_PER_S * 0.5}, 10.0)
    shed = router.shedder.shed
    router.run({"a": KNEE_PER_S * 0.5}, 5.0)
    assert router.shedder.shed == shed
    assert math.isinf(router.shedder.limit_per_s)


def test_advice_grows_with_the_excess_and_spreads() -> None:
    few, many = _Router(_shedder()), _Router(_shedder())
    few.run({"a": KNEE_PER_S * 1.5}, 10.0)
    many.run({"a": KNEE_PER_S * 6}, 10.0)
    advised = [
        sorted(it.shedder.retry_s("a") for _ in range(99)) for it in (few, many)
    ]
    assert advised[0][50] < advised[1][50]
    for seconds in advised:
        assert seconds[-1] >= 2 * seconds[0]
        assert seconds[-1] <= shedding.RETRY_MAX_S * (1 + shedding.SPREAD)


def test_first_cut_goes_by_what_was_taken_up() -> None:
    """Streams of a flood have not ended yet when it is too much."""
    shedder = _shedder()
    now = 0.0
    for number in range(160):
        now += PROBE_S
        if number % 4 == 0:
            shedder.admits("calm", now)
            shedder.note_ended()
        shedder.note_delay(0.0, now)
    while not shedder.active:
        now += PROBE_S
        for _ in range(4):
            shedder.admits("flood", now)
        shedder.note_delay(1.5 * shedding.STANDING_S, now)
    assert shedder.limit_per_s >= 0.5 * 4 / PROBE_S


def test_clump_leaves_no_debt_beyond_a_burst() -> None:
    """What an unknown workspace sent at once is taken from others after it."""
    shedder = _shedder()
    shedder.limit_per_s = 30.0
    shedder._admitted_fractions["other"] = 0.5
    now = 1.0
    for _ in range(100):
        shedder.admits("unknown", now)
    taken = 0
    for _ in range(120):
        now += 1 / 60
        taken += shedder.admits("other", now)
    assert taken >= 0.75 * 30.0 * 2.0
