"""Memory of connections and bodies: who gets it, and who is closed for it."""

import dataclasses

import pytest

from tamarackbridge.components.gateway import (
    body_budget,
    in_flight_limit,
    memory_account,
)

MB = 1024 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Caller:
    """A connection that is charged to an account."""

    account: memory_account.MemoryAccount
    address: str = "a"
    is_busy: bool = False
    closed: int = 0
    entry: memory_account.Entry = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.entry = memory_account.Entry(
            self.address, lambda: not self.is_busy, self._close
        )

    def _close(self) -> None:
        self.closed += 1

    def hold(self, size: int, now: float = 0.0) -> None:
        assert self.account.open(self.entry, now)
        self.account.set_held(self.entry, size, now)


@pytest.fixture
def account() -> memory_account.MemoryAccount:
    """Returns an account with room for 6 MB of connections without bodies."""
    return memory_account.MemoryAccount(8 * MB, 2 * MB, 64 * MB, 100 * MB)


def test_inactive_connection_is_closed_for_a_new_one(
    account: memory_account.MemoryAccount,
) -> None:
    first, second, busy = (Caller(account) for _ in range(3))
    busy.is_busy = True
    for number, caller in enumerate((busy, first, second)):
        caller.hold(2 * MB - 1_024, now=number)
    assert not account.open(Caller(account).entry, 1.2)
    assert account.open(Caller(account).entry, 3.0)
    assert (busy.closed, first.closed, second.closed) == (0, 1, 0)
    assert account.counts == memory_account.Counts(refused=1, closed=1)


def test_address_that_holds_most_makes_room_for_others(
    account: memory_account.MemoryAccount,
) -> None:
    """Guards against one address that leaves no room for ordinary callers."""
    crowd = [Caller(account) for _ in range(6)]
    for caller in crowd:
        caller.hold(MB - 512)
    assert account.open(Caller(account, "b").entry, 0.1)
    assert [caller.closed for caller in crowd] == [1, 0, 0, 0, 0, 0]


def test_connections_leave_memory_to_bodies_and_bodies_to_them(
    account: memory_account.MemoryAccount,
) -> None:
    budget = body_budget.BodyBudget(6 * MB, account)
    held = body_budget.Holding("a")
    Caller(account).hold(6 * MB)
    assert not account.fits_connection(1)
    assert not budget.charge_complete(held, 2 * MB)
    assert budget.charge_complete(held, 2 * MB - body_budget.TRANSIT_BYTES)
    budget.release(held)
    assert account.bodies == 0


def test_resident_memory_lowers_the_limit(
    account: memory_account.MemoryAccount,
) -> None:
    """Guards against memory that no part of the account knows."""
    account.update_resident(60 * MB, 0)
    assert account.limit == 8 * MB
    account.update_resident(85 * MB, 0)
    assert account.limit == 5 * MB
    account.update_resident(200 * MB, 0)
    assert account.limit == 2 * MB
    account.bodies = 6 * MB
    caller = Caller(account)
    caller.hold(MB // 4)
    assert account.fits_connection(MB // 4)
    assert not account.fits_connection(MB // 2)


def test_memory_is_reclaimed_again_only_after_it_has_grown(
    account: memory_account.MemoryAccount,
) -> None:
    assert not account.should_reclaim(64 * MB, 0, 10.0)
    assert account.should_reclaim(70 * MB, 0, 10.0)
    account.record_reclaimed(68 * MB, 0)
    assert not account.should_reclaim(80 * MB, 0, 10.5)
    assert not account.should_reclaim(70 * MB, 0, 20.0)
    assert account.should_reclaim(72 * MB, 0, 20.0)
    account.record_reclaimed(72 * MB, 0)
    assert not account.should_reclaim(72 * MB, 0, 39.0)
    assert account.should_reclaim(72 * MB, 0, 40.0)


@pytest.mark.parametrize("memory_mb", [0.0, 70.0, 150.0, 200.0])
def test_large_body_fits_beside_a_request_on_a_vm_of_any_size(
    memory_mb: float,
) -> None:
    account = in_flight_limit.account(memory_mb)
    budget = body_budget.BodyBudget(
        in_flight_limit.max_body_bytes(memory_mb), account
    )
    Caller(account).hold(100_000)
    held = body_budget.Holding("a")
    assert budget.charge(held, 4_194_304) is body_budget.Verdict.GRANTED
