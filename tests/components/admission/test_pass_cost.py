"""Cost of a scheduling pass, counted in evaluated requests and servers.

If a pass cost more the more requests wait, a busy router would have no time
left to send any of them.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
from unittest import mock

import pytest

from tamarackbridge.components.admission import scheduling_pass, share_tracker
from tamarackbridge.components.placement import ledger, prefix_cache
from tests.components.admission import load_replay

ENGINES = 8
BUSY_WORK = ledger.Work(8, 90_000, 100_000)
STEP_S = 0.012
"""Time between two passes: longer than `BLOCKED_RECHECK_S`, so that no request
class is skipped because it was evaluated a moment ago."""


@dataclasses.dataclass(slots=True)
class Counts:
    """Calls counted in a scheduling pass.

    Attributes:
        lookups: Look-ups of the work at a server.
        compared: Comparisons of a server for a request.
        share_states: Computations of a request's share state.
        prompts: The prompts for which servers were compared.
    """

    lookups: int = 0
    compared: int = 0
    share_states: int = 0
    prompts: set[object] = dataclasses.field(default_factory=set)


@contextlib.contextmanager
def counting() -> Iterator[Counts]:
    """Counts the calls within the context."""
    counts = Counts()
    at, share_state = (
        ledger.ReservationLedger.at,
        share_tracker.ShareTracker.share_state,
    )
    prefill_tokens = prefix_cache.PrefixCacheIndex.prefill_tokens

    def count_at(*args: object) -> object:
        counts.lookups += 1
        return at(*args)  # type: ignore[arg-type]

    def count_compared(*args: object) -> object:
        counts.compared += 1
        counts.prompts.add(args[2])
        return prefill_tokens(*args)  # type: ignore[arg-type]

    def count_share_state(*args: object) -> object:
        counts.share_states += 1
        return share_state(*args)  # type: ignore[arg-type]

    with contextlib.ExitStack() as stack:
        for owner, name, wrapped in (
            (ledger.ReservationLedger, "at", count_at),
            (prefix_cache.PrefixCacheIndex, "prefill_tokens", count_compared),
            (share_tracker.ShareTracker, "share_state", count_share_state),
        ):
            stack.enter_context(mock.patch.object(owner, name, wrapped))
        yield counts


class LongQueue:
    """Waiting requests in front of engines with a second of backlog."""

    def __init__(self) -> None:
        self.replay = load_replay.RouterReplay(ENGINES, tokens_per_s=1e9)
        self.records: list[load_replay.RequestRecord] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.report_work(BUSY_WORK)

    def report_work(self, work: ledger.Work) -> None:
        work_by_engine = dict.fromkeys(self.replay.engines, work)
        now = self.replay.clock.now
        self.replay.work.apply_report(
            "r2", ledger.WorkReport(work_by_engine, now)
        )

    async def async_arrive(
        self, count: int, subjects: int, prompt: int = 12_000
    ) -> None:
        """Adds requests of five workspaces that arrive a microsecond apart.

        Args:
            count: Number of requests.
            subjects: Number of subjects; requests of one share a prompt block.
            prompt: Prompt tokens of each request.
        """
        for number in range(count):
            arrival = load_replay.Arrival(
                self.replay.clock.now,
                f"w{number % 5}",
                prompt,
                100,
                f"subject{number % subjects}",
            )
            record = load_replay.RequestRecord(arrival)
            self.records.append(record)
            admit = self.replay._async_admit(record, len(self.tasks))
            self.tasks.append(asyncio.create_task(admit))
            self.replay.clock.now += 1e-6
        await asyncio.sleep(0)

    def run_pass(self) -> Counts:
        """Runs one scheduling pass; the engines' backlog has not shrunk."""
        self.replay.clock.now += STEP_S
        self.report_work(BUSY_WORK)
        with counting() as counts:
            self.replay.controller.dispatch_waiting()
        return counts

    async def async_disconnect(self) -> None:
        """Disconnects all callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _async_count_pass(
    count: int, subjects: int, prompt: int = 12_000
) -> Counts:
    long_queue = LongQueue()
    await long_queue.async_arrive(count, subjects, prompt)
    assert long_queue.replay.controller.waiting == count
    counts = long_queue.run_pass()
    assert long_queue.replay.controller.waiting == count
    await long_queue.async_disconnect()
    assert long_queue.replay.controller.waiting == 0
    return counts


@pytest.mark.parametrize("subjects", [1, 1_500])
async def test_pass_costs_the_same_however_many_requests_wait(
    subjects: int,
) -> None:
    few = await _async_count_pass(30, subjects)
    many = await _async_count_pass(1_500, subjects)
    assert few.compared > 0
    assert many.lookups <= few.lookups
    assert many.compared <= few.compared
    assert many.share_states <= few.share_states


async def test_work_of_an_engine_is_looked_up_at_most_twice_a_pass() -> None:
    """Once to find the open servers, and once to compare their costs."""
    counts = await _async_count_pass(30, 30)
    assert counts.lookups <= 2 * ENGINES


async def test_requests_of_one_class_are_evaluated_together() -> None:
    """Two of each class are evaluated: the oldest, and the oldest in time."""
    counts = await _async_count_pass(1_000, 1)
    assert counts.compared <= 5 * 2 * ENGINES


async def test_all_waiting_requests_are_evaluated_before_long() -> None:
    """The requests that are evaluated first can't be sent, pass after pass."""
    long_queue = LongQueue()
    count = 20 * scheduling_pass.MAX_EVALUATED
    await long_queue.async_arrive(count, count)
    evaluated_prompts: set[object] = set()
    for _ in range(2 * count // scheduling_pass.MAX_EVALUATED):
        evaluated_prompts |= long_queue.run_pass().prompts
    assert len(evaluated_prompts) == count
    await long_queue.async_disconnect()


async def test_thousands_of_requests_beyond_their_share_are_rejected_soon() -> (
    None
):
    """Requests beyond their share are rejected in the first pass that is due.

    Servers are not compared for every one of them.
    """
    long_queue = LongQueue()
    replay = long_queue.replay
    replay.controller.share_tracker.record_request = lambda *args: False  # type: ignore[method-assign]
    await long_queue.async_arrive(3_000, 3_000)
    begin = replay.clock.now
    with counting() as counts:
        while replay.controller.waiting and replay.clock.now - begin < 1.0:
            replay.clock.now += 0.005
            long_queue.report_work(BUSY_WORK)
            replay.controller.dispatch_waiting()
            await asyncio.sleep(0)
    rejection_times = [
        record.rejected_at - record.arrival.at
        for record in long_queue.records
        if record.rejected_at is not None
    ]
    assert len(rejection_times) == 3_000
    assert max(rejection_times) <= load_replay.TARGET_S / 4
    assert counts.compared < 3_000 * ENGINES
