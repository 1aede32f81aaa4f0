"""Tests of operators' changes under faults of the store and the network."""

import pytest

from tamarackbridge import const, core
from tamarackbridge.components.configuration import messages, stored
from tamarackbridge.components.membership import const as membership_const
from tamarackbridge.components.object_api import messages as store
from tests.components.membership import fleet

State = messages.ChangeState


def _ready(size: int = 5) -> fleet.Fleet:
    flt = fleet.Fleet(1, size)
    flt.run(4.0)
    flt.change("r0", "c1", fleet.zone_edit("a", False, expect=0))
    flt.run(4.0)
    return flt


def _head(flt: fleet.Fleet) -> stored.Head:
    return stored.decode_head(
        flt.store.objects[membership_const.KEY_CONFIG].value
    )


def _states(flt: fleet.Fleet, node: str) -> list[State]:
    return [report.state for report in flt.seen[node].reports]


def test_accepted_change_is_in_force_everywhere_within_four_seconds() -> None:
    flt = _ready(7)
    flt.change("r3", "c2", fleet.zone_edit("b", True))
    flt.run(4.0)

    assert _states(flt, "r3") == [State.ACCEPTED]
    assert {seen.generation for seen in flt.seen.values()} == {2}


def test_concurrent_changes_of_a_record_conflict() -> None:
    """The conflict report names the change and author that came first."""
    flt = _ready()
    flt.change("r1", "left", fleet.zone_edit("a", True, expect=1))
    flt.change("r2", "right", fleet.zone_edit("a", False, expect=1))
    flt.run(4.0)

    reports = [*flt.seen["r1"].reports, *flt.seen["r2"].reports]
    states = {report.state for report in reports}
    assert states == {State.ACCEPTED, State.CONFLICT}
    winner = next(r for r in reports if r.state is State.ACCEPTED)
    loser = next(r for r in reports if r.state is State.CONFLICT)
    assert winner.change_id in loser.detail
    assert "of operator in generation 2" in loser.detail
    assert _head(flt).generation == 2


def test_concurrent_changes_of_different_records_are_both_made() -> None:
    flt = _ready()
    flt.change("r1", "left", fleet.zone_edit("b", True, expect=0))
    flt.change("r2", "right", fleet.zone_edit("c", True, expect=0))
    flt.run(5.0)

    assert _states(flt, "r1") == _states(flt, "r2") == [State.ACCEPTED]
    assert _head(flt).generation == 3


@pytest.mark.parametrize("seed", range(6))
def test_lost_answers_never_make_a_change_twice(seed: int) -> None:
    """A write whose answer was lost is retried and may have taken effect."""
    flt = _ready()
    flt.bus.rng.seed(seed)
    flt.store.lose_answer = 0.6
    flt.change("r1", "c2", fleet.zone_edit("a", True, expect=1))
    flt.run(12.0)

    assert [change.change_id for change in _head(flt).changes] == ["c1", "c2"]
    assert _states(flt, "r1") == [State.ACCEPTED]


def test_retry_of_an_accepted_change_is_recognised() -> None:
    """An operator retries at another router because the first one failed."""
    flt = _ready()
    flt.change("r1", "c2", fleet.zone_edit("a", True, expect=1))
    flt.run(4.0)
    flt.bus.kill("r1")
    flt.change("r2", "c2", fleet.zone_edit("a", True, expect=1))
    flt.run(4.0)

    assert _states(flt, "r2") == [State.ACCEPTED]
    assert flt.seen["r2"].reports[0].generation == 2
    assert _head(flt).generation == 2


def test_change_is_reported_as_written_until_it_is_accepted() -> None:
    """Two of five routers are cut off, and one of them makes the change."""
    flt = _ready()
    flt.cut("r0", "r1")
    flt.change("r1", "c2", fleet.zone_edit("a", True))
    flt.run(9.0)
    assert _states(flt, "r1") == [State.WRITTEN]

    flt.bus.faults.heal()
    flt.change("r1", "c2", fleet.zone_edit("a", True))
    flt.run(4.0)
    assert _states(flt, "r1") == [State.WRITTEN, State.ACCEPTED]
    assert _head(flt).generation == 2


def test_store_cut_while_writing_leaves_the_state_unknown() -> None:
    """The connection fails after the write of the head was sent."""
    flt = _ready()
    head_writes: list[int] = []

    def cut_after_put(src: str, env: core.Envelope, now: float) -> None:
        put = isinstance(env.msg, store.StorePut)
        if src == "r1" and put and env.msg.key == membership_const.KEY_CONFIG:
            head_writes.append(1)
            flt.bus.faults.cut.add((const.STORE_NODE, "r1"))

    flt.bus.taps.append(cut_after_put)
    flt.change("r1", "c2", fleet.zone_edit("a", True))
    flt.run(9.0)

    assert head_writes
    assert _states(flt, "r1") == [State.UNKNOWN]


def test_invalid_records_are_not_written() -> None:
    flt = _ready()
    invalid_edit = messages.RecordEdit("planet/mars", b"{}")
    flt.change("r1", "c2", invalid_edit)
    flt.run(2.0)

    assert _states(flt, "r1") == [State.INVALID]
    assert "planet/mars" in flt.seen["r1"].reports[0].detail
    assert _head(flt).generation == 1


def test_only_a_few_old_generations_stay_in_the_store() -> None:
    flt = _ready(3)
    for index in range(2, 16):
        flt.change("r1", f"c{index}", fleet.zone_edit("b", index % 2 == 0))
        flt.run(1.5)
    stored_keys = [
        key for key in flt.store.objects if key.startswith("config/")
    ]

    assert _head(flt).generation == 15
    assert len(stored_keys) <= 9
