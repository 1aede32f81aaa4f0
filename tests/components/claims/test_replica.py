"""Tests of the journal: sealed segments, retention, corruption, memory."""

import tracemalloc

import pytest

from tamarackbridge.components.claims import const, messages, replica, segment
from tests.components.claims import fleet as fleet_lib

_STATE = messages.ClaimState
MAX_CLAIM_BYTES = 1024
RETENTION_S = 100.0


def _use_small_segments(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(const, "SEGMENT_BYTES", 400)


def test_outcome_in_an_archived_segment_is_replayed_by_any_keeper(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _use_small_segments(monkeypatch)
    fleet = fleet_lib.Fleet()
    first = [fleet.pay("r1", f"k{n}") for n in range(60)]
    fleet.advance(5)
    for node in fleet.nodes:
        fleet.bus.kill(node)
        fleet.start(node)
    again = [fleet.pay("r2", f"k{n}") for n in range(60)]
    fleet.advance(5)

    assert [fleet.answer(request_id) for request_id in again] == ["replay"] * 60
    assert fleet.wrong_bodies() == []
    assert [fleet.answers[request_id].body for request_id in again] == [
        fleet.answers[request_id].body for request_id in first
    ]
    archives = [key for key in fleet.store.objects if "tail" not in key]
    assert len(archives) >= const.RANGE_COUNT


def test_segments_are_deleted_after_retention_and_not_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _use_small_segments(monkeypatch)
    fleet = fleet_lib.Fleet(retention_s=RETENTION_S)
    for n in range(40):
        fleet.pay("r1", f"k{n}")
    fleet.advance(RETENTION_S * 0.95)
    kept = fleet.pay("r2", "k1")
    fleet.advance(5)
    assert fleet.answer(kept) == "replay"

    fleet.advance(RETENTION_S * 1.5)

    assert not [key for key in fleet.store.objects if "tail" not in key]
    assert sum(keeper.claims_held for keeper in fleet.keepers.values()) == 0
    late = fleet.pay("r2", "k1")
    fleet.advance(5)
    assert fleet.answer(late) == "run"


def test_claim_of_work_that_outlasts_retention_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(const, "UNSETTLED_KEEP_S", 2 * RETENTION_S)
    fleet = fleet_lib.Fleet(retention_s=RETENTION_S)
    fleet.run_s = 2 * RETENTION_S
    fleet.pay("r1", "k")
    fleet.advance(RETENTION_S * 1.5)
    during = fleet.pay("r2", "k", wait_s=1.0)
    fleet.advance(RETENTION_S)
    after = fleet.pay("r2", "k")
    fleet.advance(5)

    assert fleet.answer(during) == "in_progress"
    assert fleet.answer(after) == "replay"
    assert len(fleet.runs["k"]) == 1


def test_outcome_over_the_size_limit_is_answered_as_not_kept() -> None:
    fleet = fleet_lib.Fleet()
    key = "k" * fleet_lib.MAX_OUTCOME_BYTES
    fleet.pay("r1", key)
    fleet.advance(1)
    again = fleet.pay("r2", key)
    fleet.advance(1)

    assert fleet.answer(again) == "outcome_not_kept"


def test_corrupt_journal_answers_unavailable_and_runs_nothing() -> None:
    fleet = fleet_lib.Fleet()
    fleet.pay("r1", "k")
    fleet.advance(1)
    for key, stored in fleet.store.objects.items():
        corrupt = type(stored)(stored.key, stored.version, b"\xff")
        fleet.store.objects[key] = corrupt
    for node in fleet.nodes:
        fleet.bus.kill(node)
        fleet.start(node)
    again = fleet.pay("r2", "k")
    fleet.advance(fleet_lib.WAIT_S)

    assert fleet.answer(again) == "unavailable"
    assert len(fleet.runs["k"]) == 1


def test_memory_of_one_claim_is_bounded() -> None:
    copy = replica.Replica(600.0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    count = 0
    for number in range(4):
        raws = []
        for n in range(1000):
            key = f"{number:04d}{n:028d}"
            for state in (_STATE.CLAIMED, _STATE.FINISHED):
                body = b"x" * 10_000 if state is _STATE.FINISHED else b""
                record = segment.Record(
                    key, "h" * 32, f"router-1.1.{n}", state, 200, "", body
                )
                raws.append(segment.encode_record(record))
            count += 1
        data = segment.encode(
            segment.Segment(number=number, sealed=True, records=tuple(raws))
        )
        del raws
        copy.add_archive(segment.decode(data))
        del data
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    assert len(copy.entries) == count
    assert (after - before) / count < MAX_CLAIM_BYTES
