"""Tests of claims under single faults.

Each case causes one fault and states how often the work must run and which
answers the first request and its retry must get. They guard against a payment
that runs twice or is reported as not run although it ran. An empty answer
means that the router of the request ended, or the caller left, before the
answer.
"""

from collections.abc import Callable
import dataclasses

import pytest

from tamarackbridge import const
from tamarackbridge.components.claims import messages, ranges
from tests.components.claims import fleet as fleet_lib

_STATE = messages.ClaimState


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """A fault and the expected result.

    Attributes:
        act: Causes the fault; returns the first request and its retry.
        runs: Expected number of runs.
        first: Expected answer to the first request.
        retry: Expected answer to the retry.
    """

    name: str
    act: Callable[[fleet_lib.Fleet], tuple[str, str]]
    runs: int
    first: str
    retry: str


def _keep_all_ranges_on_each_router(fleet: fleet_lib.Fleet) -> None:
    for node in fleet.nodes:
        fleet.announce_roster(node, (node,))


def _retry(fleet: fleet_lib.Fleet, node: str = "r2") -> str:
    retry = fleet.pay(node, "k", wait_s=5.0)
    fleet.advance(6)
    return retry


def _killed_before_claim(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    first = fleet.pay("r1", "k")
    fleet.bus.kill("r1")
    fleet.bus.faults.cut_both("r1", const.STORE_NODE)
    fleet.advance(1)
    return first, _retry(fleet)


def _killed_after_claim(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    first = fleet.pay("r1", "k")
    while not fleet.store.objects:
        fleet.advance(0.0001)
    fleet.bus.kill("r1")
    return first, _retry(fleet)


def _killed_after_send(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.run_s = 5.0
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    fleet.bus.kill("r1")
    return first, _retry(fleet)


def _restarted_after_send(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.run_s = 5.0
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    fleet.bus.kill("r1")
    fleet.start("r1")
    for node in fleet.nodes:
        fleet.announce_roster(node, fleet.nodes)
    return first, _retry(fleet)


def _killed_before_outcome_is_stored(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    fleet.run_s = 0.5
    first = fleet.pay("r1", "k")
    fleet.advance(0.2)
    fleet.bus.faults.cut_both("r1", const.STORE_NODE)
    fleet.advance(1)
    fleet.bus.kill("r1")
    return first, _retry(fleet)


def _killed_while_the_retry_waits(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.run_s = 1.0
    first = fleet.pay("r1", "k")
    fleet.advance(0.2)
    fleet.pay("r2", "k")
    fleet.advance(0.2)
    fleet.bus.kill("r2")
    fleet.advance(2)
    return first, _retry(fleet, "r3")


def _claim_answer_lost(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.store.lose_answer = 1.0
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    fleet.store.lose_answer = 0.0
    fleet.advance(6)
    return first, _retry(fleet)


def _claim_write_lost(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    fleet.advance(0.5)
    fleet.store.down = True
    first = fleet.pay("r1", "k")
    fleet.advance(4.5)
    fleet.store.down = False
    fleet.bus.faults.cut_both("r1", const.STORE_NODE)
    fleet.advance(6)
    return first, _retry(fleet)


def _store_down_for_a_minute(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.store.down = True
    first = fleet.pay("r1", "k")
    fleet.advance(60)
    fleet.store.down = False
    fleet.advance(5)
    return first, _retry(fleet)


def _store_down_before_the_outcome(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.run_s = 0.5
    first = fleet.pay("r1", "k")
    fleet.advance(0.2)
    fleet.store.down = True
    fleet.advance(60)
    fleet.store.down = False
    fleet.advance(10)
    return first, _retry(fleet)


def _store_slow(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.store.slow_s = 2.0
    first = fleet.pay("r1", "k")
    fleet.advance(12)
    fleet.store.slow_s = 0.0
    return first, _retry(fleet)


def _keeper_cut_off_from_the_store(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    keeper = ranges.keeper_of(ranges.range_of("k"), fleet.nodes)
    fleet.bus.faults.cut_both(keeper, const.STORE_NODE)
    first = fleet.pay("r1", "k")
    fleet.advance(12)
    return first, _retry(fleet)


def _abandoned_claim_arrives_after_its_router_ended(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    fleet.announce_roster("r1", ("r2",))
    fleet.bus.faults.delay_s = (2.0, 2.0)
    first = fleet.pay("r1", "k", wait_s=0.1)
    fleet.bus.faults.delay_s = (0.0005, 0.0015)
    fleet.announce_roster("r1", ("r3",))
    fleet.advance(1)
    fleet.bus.kill("r1")
    fleet.advance(2)
    return first, _retry(fleet)


def _two_keepers_at_once(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    fleet.advance(0.5)
    request_ids = [fleet.pay(node, "k") for node in ("r1", "r2")]
    fleet.advance(4)
    request_ids.sort(key=fleet.answer, reverse=True)
    return request_ids[0], request_ids[1]


def _keeper_paused_and_resumed(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    fleet.advance(0.5)
    fleet.bus.pause("r1")
    stale = fleet.pay("r1", "k")
    first = fleet.pay("r2", "k")
    fleet.advance(60)
    fleet.bus.resume("r1")
    fleet.advance(2)
    return first, stale


def _entry_paused_after_run_was_sent(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    fleet.announce_roster("r1", ("r2",))
    first = fleet.pay("r1", "k")
    fleet.advance(0.001)
    fleet.bus.pause("r1")
    fleet.advance(60)
    fleet.bus.resume("r1")
    fleet.advance(2)
    return first, _retry(fleet)


def _caller_gone_before_claim(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    first = fleet.pay("r1", "k")
    close = messages.ClaimClose(first, _STATE.ABANDONED)
    fleet.bus.inject("r1", close)
    fleet.advance(1)
    return first, _retry(fleet)


def _caller_gone_while_the_store_is_slow(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    _keep_all_ranges_on_each_router(fleet)
    fleet.advance(0.5)
    fleet.store.slow_s = 2.0
    first = fleet.pay("r1", "k", wait_s=0.5)
    fleet.advance(10)
    fleet.store.slow_s = 0.0
    return first, _retry(fleet)


def _abandon_overtakes_the_claim(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.announce_roster("r1", ("r2",))
    fleet.bus.faults.delay_s = (1.0, 1.0)
    first = fleet.pay("r1", "k", wait_s=0.1)
    fleet.advance(0.2)
    fleet.bus.faults.delay_s = (0.0005, 0.0015)
    fleet.announce_roster("r1", ("r3",))
    fleet.advance(3)
    return first, _retry(fleet)


def _not_started(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.work_refused = True
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    fleet.work_refused = False
    return first, _retry(fleet)


def _outcome_not_known(fleet: fleet_lib.Fleet) -> tuple[str, str]:
    fleet.outcome_state = _STATE.UNKNOWN
    first = fleet.pay("r1", "k")
    fleet.advance(1)
    return first, _retry(fleet)


def _settled_through_another_keeper(
    fleet: fleet_lib.Fleet,
) -> tuple[str, str]:
    fleet.run_s = 1.0
    first = fleet.pay("r1", "k")
    fleet.advance(0.2)
    _keep_all_ranges_on_each_router(fleet)
    retry = fleet.pay("r2", "k")
    fleet.advance(5)
    return first, retry


_CASES = (
    FaultCase("killed before claim", _killed_before_claim, 1, "", "run"),
    FaultCase(
        "killed after claim", _killed_after_claim, 0, "", "outcome_unknown"
    ),
    FaultCase("killed after send", _killed_after_send, 1, "", "in_progress"),
    FaultCase("restarted", _restarted_after_send, 1, "", "outcome_unknown"),
    FaultCase(
        "killed before the outcome is stored",
        _killed_before_outcome_is_stored,
        1,
        "run",
        "outcome_unknown",
    ),
    FaultCase(
        "killed while the retry waits",
        _killed_while_the_retry_waits,
        1,
        "run",
        "replay",
    ),
    FaultCase("claim's answer lost", _claim_answer_lost, 1, "run", "replay"),
    FaultCase("claim's write lost", _claim_write_lost, 1, "unavailable", "run"),
    FaultCase("store down", _store_down_for_a_minute, 1, "unavailable", "run"),
    FaultCase(
        "store down before the outcome",
        _store_down_before_the_outcome,
        1,
        "run",
        "replay",
    ),
    FaultCase("store slow", _store_slow, 1, "run", "replay"),
    FaultCase(
        "keeper cut off from the store",
        _keeper_cut_off_from_the_store,
        1,
        "run",
        "replay",
    ),
    FaultCase(
        "abandoned claim arrives after its router ended",
        _abandoned_claim_arrives_after_its_router_ended,
        1,
        "unavailable",
        "run",
    ),
    FaultCase("two keepers", _two_keepers_at_once, 1, "run", "replay"),
    FaultCase("keeper paused", _keeper_paused_and_resumed, 1, "run", "replay"),
    FaultCase(
        "entry paused after RUN was sent",
        _entry_paused_after_run_was_sent,
        1,
        "unavailable",
        "run",
    ),
    FaultCase("caller gone", _caller_gone_before_claim, 1, "", "run"),
    FaultCase(
        "caller gone while the store is slow",
        _caller_gone_while_the_store_is_slow,
        1,
        "unavailable",
        "run",
    ),
    FaultCase(
        "abandon overtakes the claim",
        _abandon_overtakes_the_claim,
        1,
        "unavailable",
        "run",
    ),
    FaultCase("not started", _not_started, 1, "unavailable", "run"),
    FaultCase(
        "outcome not known", _outcome_not_known, 1, "run", "outcome_unknown"
    ),
    FaultCase(
        "settled through another keeper",
        _settled_through_another_keeper,
        1,
        "run",
        "replay",
    ),
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("case", _CASES, ids=[case.name for case in _CASES])
def test_fault(case: FaultCase, seed: int) -> None:
    fleet = fleet_lib.Fleet(seed)
    fleet.advance(0.5)

    first, retry = case.act(fleet)

    assert len(fleet.runs.get("k", [])) == case.runs
    assert fleet.answer(first) == case.first
    assert fleet.answer(retry) == case.retry
    assert fleet.false_rejections == []
    assert fleet.wrong_bodies() == []


def test_mismatch_is_checked_against_a_fresh_read() -> None:
    """A keeper with an outdated replica must not reject a body as different.

    The key was claimed with body b1, released, and claimed again with body b2
    through another keeper. The outdated replica still has the
    claim with b1.
    """
    fleet = fleet_lib.Fleet()
    _keep_all_ranges_on_each_router(fleet)
    fleet.work_refused = True
    fleet.store.slow_s = 0.05
    fleet.pay("r1", "k", "b1")
    fleet.advance(0.12)
    fleet.bus.kill("r3")
    fleet.start("r3")
    fleet.announce_roster("r3", ("r3",))
    fleet.advance(1)
    fleet.work_refused = False
    fleet.store.slow_s = 0.0
    first = fleet.pay("r2", "k", "b2")
    fleet.advance(1)
    retry = fleet.pay("r3", "k", "b2")
    fleet.advance(1)

    assert fleet.answer(first) == "run"
    assert fleet.answer(retry) == "replay"


def test_load_while_keepers_change_runs_each_key_once() -> None:
    fleet = fleet_lib.Fleet()
    request_ids = []
    for step in range(40):
        node = fleet.nodes[step % 3]
        request_ids.append(fleet.pay(node, f"k{step}"))
        request_ids.append(fleet.pay("r2", f"k{step}"))
        fleet.advance(0.02)
        fleet.announce_roster(node, fleet.nodes[: 1 + step % 3])
    fleet.advance(3)

    assert all(len(runs) == 1 for runs in fleet.runs.values())
    assert len(fleet.runs) == 40
    answers = [fleet.answer(request_id) for request_id in request_ids]
    assert sorted(set(answers)) == ["replay", "run"]
    assert answers.count("run") == 40
