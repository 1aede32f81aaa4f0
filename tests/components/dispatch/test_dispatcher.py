"""Tests of dispatcher and permit client together in the harness."""

from tests.components.dispatch import builders


def test_ask_grant_finish() -> None:
    records = builders.snapshot(
        [builders.workspace("a")], [builders.server("s0", limit_cold=1)]
    )
    fleet = builders.Fleet(records)
    fleet.lease("r0", 1)

    fleet.want("r1", "q1", "a")
    fleet.run(0.1)
    fleet.want("r1", "q2", "a")
    fleet.run(0.1)
    assert [it.request_id for it in fleet.entries["r1"].permitted] == ["q1"]

    fleet.done("r1", "q1")
    fleet.run(0.1)
    granted = [it.request_id for it in fleet.entries["r1"].permitted]
    assert granted == ["q1", "q2"]
