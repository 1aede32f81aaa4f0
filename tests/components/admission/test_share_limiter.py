"""Shares enforced by many routers whose usage reports are late."""

import collections
import math
import random

import pytest

from tamarackbridge.components.admission import (
    observed_load,
    share_limiter,
    shares,
)

WINDOW_S = 2.0
NOMINAL = 1_000_000.0
STEP_S = 0.02
COST = 4_000.0
TARGET_S = 0.4


class Fleet:
    """Share limiters in front of one engine, with delayed usage reports."""

    def __init__(
        self,
        routers: int,
        age_s: float,
        sent_fractions: dict[str, float] | None = None,
    ) -> None:
        """Creates a fleet.

        Args:
            routers: Number of routers.
            age_s: Delay of their usage reports.
            sent_fractions: Fraction of a workspace's admitted requests that is
                sent; 1 for workspaces without an entry.
        """
        self._sent_fractions = sent_fractions or {}
        self._rng = random.Random(routers)
        self._limiters = [
            share_limiter.ShareLimiter(random.Random(number))
            for number in range(routers)
        ]
        self._windows = [shares.UsageWindow(WINDOW_S) for _ in range(routers)]
        self._reports: collections.deque[list[dict[str, shares.Usage]]]
        self._reports = collections.deque(maxlen=max(round(age_s / STEP_S), 1))
        self._now = 0.0
        self._backlog = 0.0
        self._headrooms = collections.deque([1.0], self._reports.maxlen)
        self.sent: list[tuple[float, str]] = []

    def play(self, per_s: dict[str, float], seconds: float) -> None:
        """Simulates requests at random routers.

        Args:
            per_s: Rate of each workspace, in requests a second.
            seconds: Duration.
        """
        for _ in range(round(seconds / STEP_S)):
            self._now += STEP_S
            self._backlog = max(self._backlog - NOMINAL * STEP_S, 0.0)
            load = observed_load.ObservedLoad(1, self._backlog / NOMINAL, 0.0)
            self._headrooms.append(load.headroom(TARGET_S))
            self._refresh()
            for workspace, rate in per_s.items():
                due = rate * STEP_S
                count = int(due) + (self._rng.random() < due % 1.0)
                for _ in range(count):
                    self._simulate_request(workspace)

    def rate(self, workspace: str, begin: float, end: float) -> float:
        """Returns the tokens a second that were sent for a workspace."""
        count = sum(
            name == workspace and begin <= at < end for at, name in self.sent
        )
        return count * COST / (end - begin)

    def _refresh(self) -> None:
        own = [dict(window.sums(self._now)) for window in self._windows]
        self._reports.append(own)
        delayed = self._reports[0]
        total = _total(delayed)
        for limiter, own_now, own_delayed in zip(
            self._limiters, own, delayed, strict=True
        ):
            usage = dict(total)
            for name in own_now.keys() | own_delayed.keys():
                others = usage.get(name, shares.NO_USAGE).minus(
                    own_delayed.get(name, shares.NO_USAGE)
                )
                usage[name] = others.plus(own_now.get(name, shares.NO_USAGE))
            limiter.refresh(usage, WINDOW_S, NOMINAL, self._headrooms[0])

    def _simulate_request(self, workspace: str) -> None:
        number = self._rng.randrange(len(self._limiters))
        self._windows[number].record_request(workspace, COST, self._now)
        if self._limiters[number].admits(workspace):
            self._windows[number].record_admitted(workspace, COST, self._now)
            if self._rng.random() >= self._sent_fractions.get(workspace, 1.0):
                return
            self._windows[number].record_served(workspace, COST, self._now)
            self.sent.append((self._now, workspace))
            self._backlog += COST


def _total(uses: list[dict[str, shares.Usage]]) -> dict[str, shares.Usage]:
    sums: dict[str, shares.Usage] = {}
    for use in uses:
        for name, usage in use.items():
            sums[name] = sums.get(name, shares.NO_USAGE).plus(usage)
    return sums


LOW_LOAD = {"flood": 20.0, "other": 400.0, "small": 30.0}
FLOOD = {"flood": 500.0, "other": 400.0, "small": 30.0}


@pytest.mark.parametrize("age_s", [0.1, 0.2, 0.4])
@pytest.mark.parametrize("routers", [8, 58, 195, 500])
def test_admissions_of_all_routers_add_up_to_the_share(
    routers: int, age_s: float
) -> None:
    """A workspace begins to flood beside another one that is as large.

    A usage report takes 0.1 s for each of up to three links, and as long again
    until it is applied.
    """
    fleet = Fleet(routers, age_s)
    fleet.play(LOW_LOAD, 4.0)
    fleet.play(FLOOD, 12.0)
    flood = fleet.rate("flood", 8.0, 16.0)
    assert fleet.rate("other", 8.0, 16.0) == pytest.approx(flood, rel=0.1)
    assert fleet.rate("small", 4.0, 16.0) == pytest.approx(30 * COST, rel=0.1)
    names = ("flood", "other", "small")
    total = sum(fleet.rate(name, 4.0, 16.0) for name in names)
    assert total == pytest.approx(NOMINAL, rel=0.1)
    # A workspace may get twice what another one with the same demand gets.
    share = (NOMINAL - 30 * COST) / 2
    for begin in range(4, 12):
        assert fleet.rate("flood", begin, begin + 4.0) <= 2 * share


@pytest.mark.parametrize("age_s", [0.1, 0.4])
@pytest.mark.parametrize("routers", [8, 58, 195])
def test_workspace_with_unsent_requests_gets_its_share(
    routers: int, age_s: float
) -> None:
    """Only 60 % of the admitted requests of one large workspace are sent.

    Its callers left, or their routers had no processor time.
    """
    fleet = Fleet(routers, age_s, {"other": 0.6})
    fleet.play(LOW_LOAD, 4.0)
    fleet.play(FLOOD | {"other": 900.0}, 16.0)
    flood = fleet.rate("flood", 8.0, 16.0)
    assert fleet.rate("other", 8.0, 16.0) == pytest.approx(flood, rel=0.1)
    # Before that, the engines work off the backlog from the start of the flood.
    names = ("flood", "other", "small")
    total = sum(fleet.rate(name, 12.0, 20.0) for name in names)
    assert total == pytest.approx(NOMINAL, rel=0.1)


def test_workspace_with_resumed_requests_gets_twice_its_limit() -> None:
    """Hardly any of its admitted requests were sent, and now all are again.

    Until the usage reports show that, it gets no more than twice its limit.
    """
    limiter = share_limiter.ShareLimiter(random.Random(1))
    use = {"w": shares.Usage(4_000_000.0, 20_000.0, 2_000_000.0)}
    limiter.refresh(use, WINDOW_S, NOMINAL, 0.0)
    assert limiter.admitted_fraction("w") == pytest.approx(
        2 * limiter.limit / 2_000_000.0
    )


def test_requests_are_admitted_alike_whatever_their_size() -> None:
    limiter = share_limiter.ShareLimiter(random.Random(1))
    use = {
        "w": shares.Usage(4_000_000.0, 0.0),
        "v": shares.Usage(500_000.0, 0.0),
    }
    limiter.refresh(use, WINDOW_S, NOMINAL, 0.0)
    assert limiter.admitted_fraction("v") == 1.0
    assert limiter.admitted_fraction("w") == pytest.approx(0.375)
    assert sum(limiter.admits("w") for _ in range(800)) in range(299, 302)


def test_demand_below_the_capacity_is_not_limited() -> None:
    limiter = share_limiter.ShareLimiter(random.Random(1))
    limiter.refresh({"w": shares.Usage(900_000.0, 0.0)}, WINDOW_S, NOMINAL, 0.0)
    assert math.isinf(limiter.limit)
    limiter.refresh({"w": shares.Usage(9e9, 0.0)}, WINDOW_S, 0.0, -1.0)
    assert limiter.admitted_fraction("w") == 1.0


@pytest.mark.parametrize(
    ("served", "headroom", "least", "most"),
    [
        (400.0, 0.5, 1_000.0, 1_250.0),
        (2_000.0, 1.0, 2_000.0, 2_500.0),
        (2_000.0, 0.0, 2_000.0, 2_000.0),
        (400.0, -1.0, 0.25 * 400.0, 550.0),
        (0.0, -1.0, 100.0, 1_000.0),
    ],
)
def test_distributed_capacity_follows_served_throughput(
    served: float, headroom: float, least: float, most: float
) -> None:
    """The nominal throughput is 1,000 tokens a second."""
    assert (
        least
        <= share_limiter.distributed_rate(1_000.0, served, headroom)
        <= most
    )


def test_shed_requests_count_for_the_limit() -> None:
    """Others must not get the share of a workspace at an overloaded router."""
    limiter = share_limiter.ShareLimiter(random.Random(1))
    use = {
        "strained": shares.Usage(
            requested=0.2 * NOMINAL, served=0.2 * NOMINAL, shed=0.8 * NOMINAL
        ),
        "other": shares.Usage(requested=1.5 * NOMINAL, served=0.8 * NOMINAL),
    }
    limiter.refresh(use, 1.0, NOMINAL, 0.0)
    assert limiter.limit == pytest.approx(0.5 * NOMINAL)
    assert limiter.admitted_fraction("other") == pytest.approx(1.0 / 3.0)
    assert limiter.admitted_fraction("strained") == 1.0
