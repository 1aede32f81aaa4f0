"""Tests of the behaviour of a router in each combination of failures.

The same table is in docs/design/fleet.md. Router r0 of five is kept in a state
for ten seconds; the routers on its side of a partition have the same access to
the store.
"""

import pytest

from tamarackbridge import const
from tamarackbridge.components.configuration import const as configuration_const
from tests.components.membership import fleet

STARTING = configuration_const.REASON_STARTING
NO_EVIDENCE = configuration_const.REASON_NO_EVIDENCE
SERVES = ""

SIDES = {
    "majority": ("r0", "r1", "r2", "r3", "r4"),
    "minority": ("r0", "r1"),
    "none": ("r0",),
}

# State of the store, reachable members, local configuration, own zone; expected
# reason for not serving (empty if it serves), whether the router dispatches its
# shard, and state of a new change.
TABLE = [
    ("ok", "majority", "known", "in", SERVES, True, "accepted"),
    ("ok", "majority", "known", "out", SERVES, False, "accepted"),
    ("ok", "majority", "empty", "in", SERVES, True, "accepted"),
    ("ok", "majority", "empty", "out", SERVES, False, "accepted"),
    ("ok", "minority", "known", "in", SERVES, False, "written"),
    ("ok", "minority", "known", "out", SERVES, False, "written"),
    ("ok", "minority", "empty", "in", SERVES, False, "written"),
    ("ok", "minority", "empty", "out", SERVES, False, "written"),
    ("ok", "none", "known", "in", SERVES, False, "written"),
    ("ok", "none", "known", "out", SERVES, False, "written"),
    ("ok", "none", "empty", "in", SERVES, False, "written"),
    ("ok", "none", "empty", "out", SERVES, False, "written"),
    ("down", "majority", "known", "in", SERVES, True, "not_written"),
    ("down", "majority", "known", "out", SERVES, False, "not_written"),
    ("down", "majority", "empty", "in", SERVES, False, "not_written"),
    ("down", "majority", "empty", "out", SERVES, False, "not_written"),
    ("down", "minority", "known", "in", NO_EVIDENCE, False, "not_written"),
    ("down", "minority", "known", "out", NO_EVIDENCE, False, "not_written"),
    ("down", "minority", "empty", "in", STARTING, False, "not_written"),
    ("down", "minority", "empty", "out", STARTING, False, "not_written"),
    ("down", "none", "known", "in", NO_EVIDENCE, False, "not_written"),
    ("down", "none", "known", "out", NO_EVIDENCE, False, "not_written"),
    ("down", "none", "empty", "in", STARTING, False, "not_written"),
    ("down", "none", "empty", "out", STARTING, False, "not_written"),
    ("slow", "majority", "known", "in", SERVES, True, "not_written"),
    ("slow", "majority", "known", "out", SERVES, False, "not_written"),
    ("slow", "majority", "empty", "in", SERVES, False, "not_written"),
    ("slow", "majority", "empty", "out", SERVES, False, "not_written"),
    ("slow", "minority", "known", "in", NO_EVIDENCE, False, "not_written"),
    ("slow", "minority", "known", "out", NO_EVIDENCE, False, "not_written"),
    ("slow", "minority", "empty", "in", NO_EVIDENCE, False, "not_written"),
    ("slow", "minority", "empty", "out", NO_EVIDENCE, False, "not_written"),
    ("slow", "none", "known", "in", NO_EVIDENCE, False, "not_written"),
    ("slow", "none", "known", "out", NO_EVIDENCE, False, "not_written"),
    ("slow", "none", "empty", "in", NO_EVIDENCE, False, "not_written"),
    ("slow", "none", "empty", "out", NO_EVIDENCE, False, "not_written"),
]


def _start_fleet(zone_out: bool) -> fleet.Fleet:
    flt = fleet.Fleet(1, 5)
    flt.run(4.0)
    flt.change("r1", "c1", fleet.service_edit("lm", 5))
    flt.run(6.0)
    flt.change("r1", "c2", fleet.zone_edit("a", zone_out))
    flt.run(6.0)
    return flt


def _inject_faults(flt: fleet.Fleet, store: str, side: tuple[str, ...]) -> None:
    flt.cut(*side)
    if store == "down":
        for node in side:
            flt.bus.faults.cut_both(node, const.STORE_NODE)
    if store == "slow":
        flt.store.slow_s = 3.0


@pytest.mark.parametrize(
    ("store", "seen", "config", "zone", "reason", "holds", "change"), TABLE
)
def test_router_state(
    store: str,
    seen: str,
    config: str,
    zone: str,
    reason: str,
    holds: bool,
    change: str,
) -> None:
    flt = _start_fleet(zone_out=zone == "out")
    assert bool(flt.seen["r0"].held) is (zone == "in")
    _inject_faults(flt, store, SIDES[seen])
    if config == "empty":
        flt.bus.kill("r0")
        flt.start("r0")

    flt.run(10.0)

    subject = flt.seen["r0"]
    assert (subject.serving.serving, subject.serving.reason) == (
        reason == SERVES,
        reason,
    )
    active = [h for h in subject.held.values() if h.until > flt.bus.now]
    assert bool(active) is holds

    flt.change("r0", "c3", fleet.zone_edit("b", False))
    flt.run(9.0)
    assert [report.state.value for report in subject.reports] == [change]


def test_table_has_each_cell() -> None:
    """A combination that is missing or listed twice fails."""
    cells = {row[:4] for row in TABLE}
    assert len(cells) == len(TABLE) == 3 * 3 * 2 * 2
