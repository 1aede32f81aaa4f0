"""Claims through keepers and clients of several routers."""

import pytest

from tests.components.claims import fleet as fleet_lib


@pytest.fixture
def fleet() -> fleet_lib.Fleet:
    return fleet_lib.Fleet()


def test_first_runs_and_retry_on_each_router_is_replayed(
    fleet: fleet_lib.Fleet,
) -> None:
    first = fleet.pay("r1", "k")
    fleet.pass_s(1)
    retries = [fleet.pay(node, "k") for node in fleet.nodes]
    fleet.pass_s(1)

    assert fleet.answer(first) == "run"
    assert len(fleet.runs["k"]) == 1
    for retry in retries:
        assert fleet.answer(retry) == "replay"
        assert fleet.seen[retry].body == fleet.seen[first].body


def test_same_key_at_once_runs_once_and_all_get_its_outcome(
    fleet: fleet_lib.Fleet,
) -> None:
    asked = [fleet.pay(node, "k") for node in fleet.nodes]
    fleet.pass_s(2)

    assert len(fleet.runs["k"]) == 1
    assert sorted(fleet.answer(name) for name in asked) == [
        "replay",
        "replay",
        "run",
    ]
    assert len({fleet.seen[name].body for name in asked}) == 1


def test_other_body_under_the_same_key_is_refused(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.run_s = 1.0
    fleet.pay("r1", "k", "b1")
    fleet.pass_s(0.3)
    while_running = fleet.pay("r2", "k", "b2")
    fleet.pass_s(2)
    after = fleet.pay("r3", "k", "b2")
    fleet.pass_s(1)

    assert fleet.answer(while_running) == "mismatch"
    assert fleet.answer(after) == "mismatch"
    assert len(fleet.runs["k"]) == 1
