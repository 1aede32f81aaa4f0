"""Tests load shedding in a simulated event loop with a virtual clock."""

import collections
from collections.abc import Mapping
import heapq
import math
import random

import pytest

from tamarackbridge.components.gateway import shedding

SERVED_S = 0.008
"""Processor time of a request that is admitted."""

SHED_S = 0.0001
"""Processor time of a request that is shed."""

PROBE_S = 0.025
EVENTS = 6
"""Number of events of a stream; they take half of its processor time."""


ADMITTED_PER_ITERATION = 8
SHED_PER_ITERATION = 200


class _Router:
    """An event loop that handles a bounded number of requests per iteration."""

    def __init__(
        self, shedder: shedding.Shedder, stream_s: float = 0.0
    ) -> None:
        self.shedder = shedder
        self.stream_s = stream_s
        self.events: list[tuple[float, int]] = []
        self.now = 0.0
        self.probe_at = 0.0
        self.waiting: collections.deque[tuple[float, str]] = collections.deque()
        self.finished: list[tuple[float, str, float]] = []

    def run(self, rates: Mapping[str, float], seconds: float) -> None:
        """Runs the loop with requests arriving at steady rates.

        Args:
            rates: Requests a second by workspace.
            seconds: Duration of the run.
        """
        next_arrivals = {
            name: self.now + 1 / rate for name, rate in rates.items()
        }
        end = self.now + seconds
        while self.now < end:
            name = min(
                next_arrivals, key=lambda workspace: next_arrivals[workspace]
            )
            while next_arrivals[name] <= self.now:
                self.waiting.append((next_arrivals[name], name))
                next_arrivals[name] += 1 / rates[name]
                name = min(
                    next_arrivals,
                    key=lambda workspace: next_arrivals[workspace],
                )
            waited_s = self._run_iteration()
            if self.now >= self.probe_at:
                lag_s = self.now - self.probe_at
                self.shedder.update_delay(max(lag_s, waited_s), self.now)
                self.probe_at = self.now + PROBE_S
            if not self.waiting:
                next_at = min(next_arrivals[name], self.probe_at)
                if self.events:
                    next_at = min(next_at, self.events[0][0])
                self.now = max(self.now, next_at)

    def _run_iteration(self) -> float:
        """Runs one iteration.

        Returns:
            How long the last handled request has waited, in seconds; 0 if none
            waits any more.
        """
        admitted = shed = 0
        waited_s = 0.0
        while self.events and self.events[0][0] <= self.now:
            self._relay_event(heapq.heappop(self.events)[1])
        while self.waiting:
            if admitted == ADMITTED_PER_ITERATION or shed == SHED_PER_ITERATION:
                return waited_s
            arrived, name = self.waiting.popleft()
            waited_s = self.now - arrived
            if self.shedder.admits(name, self.now):
                admitted += 1
                self._serve(name, arrived)
            else:
                shed += 1
                self.now += SHED_S
        return 0.0

    def _serve(self, name: str, arrived: float) -> None:
        if not self.stream_s:
            self.now += SERVED_S
            self.shedder.record_completion()
        else:
            self.now += SERVED_S / 2
            self._schedule_event(EVENTS)
        self.finished.append((self.now, name, self.now - arrived))

    def _schedule_event(self, left: int) -> None:
        """Schedules the next event of a stream that has some left."""
        at = self.now + self.stream_s / EVENTS
        heapq.heappush(self.events, (at, left))

    def _relay_event(self, left: int) -> None:
        self.now += SERVED_S / 2 / EVENTS
        if left > 1:
            self._schedule_event(left - 1)
        else:
            self.shedder.record_completion()

    def answered_in_time(self, name: str, since: float) -> int:
        """Returns how many requests were answered within 0.3 s."""
        answered = [
            answer
            for answer in self.finished
            if answer[0] >= since and answer[1] == name
        ]
        return sum(answer[2] <= 0.3 for answer in answered)


def _shedder(
    in_share_fractions: Mapping[str, float] | None = None,
) -> shedding.Shedder:
    fractions = in_share_fractions or {}
    return shedding.Shedder(
        lambda name: fractions.get(name, 1.0), random.Random(1)
    )


CAPACITY_PER_S = 1 / SERVED_S


def test_nothing_is_shed_below_capacity() -> None:
    router = _Router(_shedder())
    router.run({"a": CAPACITY_PER_S * 0.9}, 20.0)
    assert router.shedder.shed_count == 0
    assert not router.shedder.active


@pytest.mark.parametrize("stream_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("times", [1.5, 3, 10])
def test_goodput_does_not_fall_above_capacity(
    times: float, stream_s: float
) -> None:
    router = _Router(_shedder(), stream_s)
    router.run({"a": CAPACITY_PER_S * times}, 20.0)
    assert router.answered_in_time("a", 5.0) >= 15 * CAPACITY_PER_S * 0.75


@pytest.mark.parametrize("stream_s", [0.0, 0.5, 2.0])
def test_workspace_with_few_requests_is_not_shed(stream_s: float) -> None:
    router = _Router(_shedder(), stream_s)
    router.run({"hot": CAPACITY_PER_S * 10, "calm": CAPACITY_PER_S * 0.1}, 20.0)
    assert (
        router.answered_in_time("calm", 5.0) >= 15 * CAPACITY_PER_S * 0.1 * 0.95
    )
    assert router.answered_in_time("hot", 5.0) >= 15 * CAPACITY_PER_S * 0.6


def test_requests_beyond_the_fair_share_are_shed_first() -> None:
    router = _Router(_shedder({"flood": 0.05}))
    rates = {"flood": CAPACITY_PER_S * 4, "even": CAPACITY_PER_S * 1.5}
    router.run(rates, 20.0)
    fair = router.answered_in_time("even", 5.0)
    flood = router.answered_in_time("flood", 5.0)
    assert fair >= 3 * flood
    # The requests within the fair share are admitted nevertheless.
    assert flood >= 15 * CAPACITY_PER_S * 4 * 0.05 * 0.75


def test_one_long_step_sheds_nothing() -> None:
    shedder = _shedder()
    shedder.update_delay(0.0, 0.0)
    shedder.update_delay(2.0, 2.0)
    shedder.update_delay(0.01, 2.1)
    assert not shedder.active
    assert shedder.admits("a", 2.2)


def test_limit_is_removed_after_a_flood() -> None:
    router = _Router(_shedder())
    router.run({"a": CAPACITY_PER_S * 10}, 5.0)
    assert router.shedder.active
    router.run({"a": CAPACITY_PER_S * 0.5}, 10.0)
    shed = router.shedder.shed_count
    router.run({"a": CAPACITY_PER_S * 0.5}, 5.0)
    assert router.shedder.shed_count == shed
    assert math.isinf(router.shedder.limit_per_s)


def test_retry_after_grows_with_the_excess_and_varies() -> None:
    little_excess, much_excess = _Router(_shedder()), _Router(_shedder())
    little_excess.run({"a": CAPACITY_PER_S * 1.5}, 10.0)
    much_excess.run({"a": CAPACITY_PER_S * 6}, 10.0)
    retry_times = [
        sorted(router.shedder.retry_after_s("a") for _ in range(99))
        for router in (little_excess, much_excess)
    ]
    assert retry_times[0][50] < retry_times[1][50]
    for seconds in retry_times:
        assert seconds[-1] >= 2 * seconds[0]
        assert seconds[-1] <= shedding.RETRY_MAX_S * (1 + shedding.RETRY_JITTER)


def test_first_limit_follows_the_admitted_requests() -> None:
    """Guards against a first limit that is far too low.

    The streams of a flood have not ended yet when it overloads the router, so
    the completion rate is still low.
    """
    shedder = _shedder()
    now = 0.0
    for step in range(160):
        now += PROBE_S
        if step % 4 == 0:
            shedder.admits("calm", now)
            shedder.record_completion()
        shedder.update_delay(0.0, now)
    while not shedder.active:
        now += PROBE_S
        for _ in range(4):
            shedder.admits("flood", now)
        shedder.update_delay(1.5 * shedding.MAX_STANDING_DELAY_S, now)
    assert shedder.limit_per_s >= 0.5 * 4 / PROBE_S


def test_burst_leaves_bounded_token_debt() -> None:
    """Guards against a token debt that starves other workspaces.

    Requests of a workspace that is not known yet are all admitted. A burst of
    them would otherwise leave the others a debt to wait for.
    """
    shedder = _shedder()
    shedder.limit_per_s = 30.0
    shedder._admitted_fractions["other"] = 0.5
    now = 1.0
    for _ in range(100):
        shedder.admits("unknown", now)
    admitted = 0
    for _ in range(120):
        now += 1 / 60
        admitted += shedder.admits("other", now)
    assert admitted >= 0.75 * 30.0 * 2.0
