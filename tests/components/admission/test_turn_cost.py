"""What a turn of the desk costs, counted in looks at requests and servers.

A turn that costs more the more requests wait leaves a router that many come to
no time for placing any of them.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
from unittest import mock

import pytest

from tamarackbridge.components.admission import rounds, standings
from tamarackbridge.components.placement import ledger, parts
from tests.components.admission import load_replay

ENGINES = 8
FULL = ledger.Work(8, 90_000, 100_000)
STEP_S = 0.012
"""Turns are so far apart that nothing is passed over for having been looked at
a moment ago."""


@dataclasses.dataclass(slots=True)
class Counts:
    """How often something was done in a turn."""

    ledger: int = 0
    weighed: int = 0
    standings: int = 0
    prompts: set[object] = dataclasses.field(default_factory=set)


@contextlib.contextmanager
def counting() -> Iterator[Counts]:
    """Counts what is looked up and weighed."""
    counts = Counts()
    at, of = ledger.Ledger.at, standings.Standings.of
    unread = parts.HeldParts.unread

    def count_at(*args: object) -> object:
        counts.ledger += 1
        return at(*args)  # type: ignore[arg-type]

    def count_weighed(*args: object) -> object:
        counts.weighed += 1
        counts.prompts.add(args[2])
        return unread(*args)  # type: ignore[arg-type]

    def count_of(*args: object) -> object:
        counts.standings += 1
        return of(*args)  # type: ignore[arg-type]

    with contextlib.ExitStack() as stack:
        for owner, name, wrapped in (
            (ledger.Ledger, "at", count_at),
            (parts.HeldParts, "unread", count_weighed),
            (standings.Standings, "of", count_of),
        ):
            stack.enter_context(mock.patch.object(owner, name, wrapped))
        yield counts


class Crowd:
    """Requests that wait before engines which have work for a second."""

    def __init__(self) -> None:
        self.replay = load_replay.Replay(ENGINES, tokens_per_s=1e9)
        self.fates: list[load_replay.Fate] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.tell(FULL)

    def tell(self, work: ledger.Work) -> None:
        told = dict.fromkeys(self.replay.engines, work)
        now = self.replay.clock.now
        self.replay.work.hear("r2", ledger.Told(told, now))

    async def async_arrive(
        self, count: int, subjects: int, prompt: int = 12_000
    ) -> None:
        """Lets requests of five workspaces arrive, a microsecond apart."""
        for number in range(count):
            arrival = load_replay.Arrival(
                self.replay.clock.now,
                f"w{number % 5}",
                prompt,
                100,
                f"subject{number % subjects}",
            )
            fate = load_replay.Fate(arrival)
            self.fates.append(fate)
            admit = self.replay._async_admit(fate, len(self.tasks))
            self.tasks.append(asyncio.create_task(admit))
            self.replay.clock.now += 1e-6
        await asyncio.sleep(0)

    def turn(self) -> Counts:
        """Lets one turn pass in which nothing has been read."""
        self.replay.clock.now += STEP_S
        self.tell(FULL)
        with counting() as counts:
            self.replay.desk.pump()
        return counts

    async def async_leave(self) -> None:
        """Lets all callers leave."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _async_turn(
    count: int, subjects: int, prompt: int = 12_000
) -> Counts:
    crowd = Crowd()
    await crowd.async_arrive(count, subjects, prompt)
    assert crowd.replay.desk.waiting == count
    counts = crowd.turn()
    assert crowd.replay.desk.waiting == count
    await crowd.async_leave()
    assert crowd.replay.desk.waiting == 0
    return counts


@pytest.mark.parametrize("subjects", [1, 1_500])
async def test_turn_costs_the_same_however_many_wait(subjects: int) -> None:
    few = await _async_turn(30, subjects)
    many = await _async_turn(1_500, subjects)
    assert few.weighed > 0
    assert many.ledger <= few.ledger
    assert many.weighed <= few.weighed
    assert many.standings <= few.standings


async def test_work_of_an_engine_is_summed_once_a_turn() -> None:
    """Once for whom it is open to, and once for what it costs."""
    counts = await _async_turn(30, 30)
    assert counts.ledger <= 2 * ENGINES


async def test_requests_that_stand_alike_are_decided_together() -> None:
    """Two of each workspace stand for all: the oldest, and one in time."""
    counts = await _async_turn(1_000, 1)
    assert counts.weighed <= 5 * 2 * ENGINES


async def test_each_of_many_that_wait_is_looked_at_before_long() -> None:
    """Those that are looked at first can't go, turn after turn."""
    crowd = Crowd()
    count = 20 * rounds.MAX_EVALUATED
    await crowd.async_arrive(count, count)
    looked_at: set[object] = set()
    for _ in range(2 * count // rounds.MAX_EVALUATED):
        looked_at |= crowd.turn().prompts
    assert len(looked_at) == count
    await crowd.async_leave()


async def test_thousands_beyond_their_share_are_refused_soon() -> None:
    """Requests beyond their share are refused in the turn that is due."""
    crowd = Crowd()
    replay = crowd.replay
    replay.desk.standings.ask = lambda *args: False  # type: ignore[method-assign]
    await crowd.async_arrive(3_000, 3_000)
    begin = replay.clock.now
    with counting() as counts:
        while replay.desk.waiting and replay.clock.now - begin < 1.0:
            replay.clock.now += 0.005
            crowd.tell(FULL)
            replay.desk.pump()
            await asyncio.sleep(0)
    held = [
        it.refused_at - it.arrival.at
        for it in crowd.fates
        if it.refused_at is not None
    ]
    assert len(held) == 3_000
    assert max(held) <= load_replay.TARGET_S / 4
    assert counts.weighed < 3_000 * ENGINES
