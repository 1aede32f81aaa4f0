"""Memory for request bodies: what is charged, waits, is refused or cut off."""

import dataclasses

import pytest

from tamarackbridge.components.gateway import (
    body_budget,
    in_flight_limit,
    large_body,
)

MB = 1024 * 1024
LARGE = 4_000_000
SMALL = 12_000
_Verdict = body_budget.Verdict


@dataclasses.dataclass(slots=True, eq=False)
class Body:
    """A body that is being received."""

    budget: body_budget.BodyBudget
    address: str = "a"
    received: int = 0
    cuts: int = 0
    grants: int = 0
    holding: body_budget.Holding = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.holding = body_budget.Holding(
            self.address,
            received=lambda: self.received,
            cut=self._cut,
            grant=self._grant,
        )

    def _cut(self) -> None:
        self.cuts += 1

    def _grant(self) -> None:
        self.grants += 1

    def charge(self, size: int = LARGE) -> body_budget.Verdict:
        return self.budget.charge(self.holding, size)


def _budget_for_two() -> body_budget.BodyBudget:
    """Returns a budget with room for two large bodies."""
    return body_budget.BodyBudget(12 * MB)


def _pass_time(
    budget: body_budget.BodyBudget, begin: float, seconds: float
) -> None:
    for tick in range(int(seconds * 10) + 1):
        budget.tick(begin + tick * 0.1001)


def test_large_bodies_wait_and_small_ones_are_admitted() -> None:
    """Guards against large bodies that take the memory of small ones."""
    budget = _budget_for_two()
    assert Body(budget).charge() is _Verdict.GRANTED
    assert Body(budget).charge() is _Verdict.GRANTED
    assert Body(budget).charge() is _Verdict.WAIT
    verdicts = {Body(budget).charge(SMALL) for _ in range(200)}
    assert verdicts == {_Verdict.GRANTED}


def test_longer_queue_is_refused() -> None:
    budget = _budget_for_two()
    verdicts = [Body(budget).charge() for _ in range(5)]
    assert verdicts[2:] == [_Verdict.WAIT, _Verdict.WAIT, _Verdict.REFUSED]


def test_release_grants_growing_bodies_first() -> None:
    """Guards against begun bodies that keep memory and can't be finished."""
    budget = _budget_for_two()
    first, growing, new = Body(budget), Body(budget), Body(budget)
    assert first.charge(LARGE) is _Verdict.GRANTED
    assert growing.charge(LARGE) is _Verdict.GRANTED
    assert new.charge(LARGE) is _Verdict.WAIT
    assert growing.charge(LARGE + 2 * MB) is _Verdict.WAIT
    budget.release(first.holding)
    assert (growing.grants, new.grants) == (1, 0)
    budget.finish_reading(growing.holding, LARGE)
    assert new.grants == 1


def test_everything_is_released() -> None:
    """Guards against a budget that leaks until nothing is admitted."""
    budget = _budget_for_two()
    bodies = [Body(budget) for _ in range(4)]
    for body in bodies:
        body.charge()
    budget.abandon(bodies[3].holding)
    budget.finish_reading(bodies[0].holding, LARGE - 5)
    for body in bodies:
        budget.release(body.holding)
    assert budget.total_held == budget.waiting == 0
    assert [budget.held(use) for use in body_budget.Use] == [0, 0, 0]
    assert Body(budget).charge() is _Verdict.GRANTED


def test_body_without_progress_is_cut_off() -> None:
    budget = _budget_for_two()
    body = Body(budget, received=LARGE - 16)
    body.charge()
    _pass_time(budget, 0.0, 1.9)
    assert body.cuts == 0
    _pass_time(budget, 2.0, 1.0)
    assert body.cuts == budget.counts.stalled == 1


def test_body_at_the_ordinary_rate_is_never_cut_off() -> None:
    """Guards against cutting off 0.8 MB/s, the slowest link, under pressure."""
    budget = _budget_for_two()
    body, other = Body(budget), Body(budget, "b")
    body.charge()
    other.charge()
    Body(budget, "b").charge()
    for tick in range(50):
        budget.tick(tick * 0.1001)
        body.received += 80_000
        other.received += 80_000
    assert body.cuts == other.cuts == 0


def test_frozen_router_does_not_blame_its_callers() -> None:
    budget = _budget_for_two()
    body = Body(budget)
    body.charge()
    budget.tick(0.0)
    budget.tick(5.0)
    budget.tick(10.0)
    assert body.cuts == 0


def test_longest_without_progress_of_the_largest_address_goes_first() -> None:
    budget = body_budget.BodyBudget(20 * MB)
    lone = Body(budget, "b")
    older, newer = Body(budget), Body(budget)
    lone.charge()
    _pass_time(budget, 0.0, 0.5)
    older.charge()
    _pass_time(budget, 0.6, 0.3)
    newer.charge()
    _pass_time(budget, 1.0, 0.7)
    late = Body(budget, "c")
    assert late.charge(LARGE) is _Verdict.WAIT
    assert (lone.cuts, older.cuts, newer.cuts) == (0, 1, 0)
    _pass_time(budget, 1.8, 0.1)
    assert newer.cuts == 0  # The memory of the first is not free yet.
    budget.release(older.holding)
    assert late.grants == 1


@pytest.mark.parametrize("memory_mb", [256.0, 512.0])
def test_full_number_of_ordinary_requests_is_admitted(memory_mb: float) -> None:
    """Guards against a budget that ordinary callers meet."""
    assert in_flight_limit.max_in_flight(memory_mb) == 1_500
    budget = body_budget.BodyBudget(in_flight_limit.max_body_bytes(memory_mb))
    for _ in range(1_500):
        holding = body_budget.Holding("")
        assert budget.charge_complete(holding, SMALL)
    assert Body(budget).charge() is _Verdict.GRANTED


def test_single_large_body_fits_on_a_vm_of_any_size() -> None:
    budget = body_budget.BodyBudget(in_flight_limit.max_body_bytes(16.0))
    assert Body(budget).charge(4_194_304) is _Verdict.GRANTED


@pytest.mark.parametrize(
    ("descriptors", "allowed", "connections"),
    [
        (4_096, 20_000, 3_496),
        (600, 20_000, 64),
        (128, 128, 32),
        (4_096, 1_024, 768),
    ],
)
def test_connections_leave_descriptors_for_servers(
    descriptors: int, allowed: int, connections: int
) -> None:
    assert in_flight_limit.max_connections(descriptors, allowed) == connections


def test_memory_of_a_large_body_grows() -> None:
    """Guards against SIGBUS in memory that was mapped as shared."""
    body = large_body.LargeBody(65_536)
    body.append(b"a" * 65_536)
    body.resize(1_000_000)
    body.append(b"b" * 900_000)
    assert body[:] == b"a" * 65_536 + b"b" * 900_000
