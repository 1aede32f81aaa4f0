"""Tests of the evidence that follows from reports of other members."""

import math

import pytest

from tamarackbridge.components.membership import evidence, messages, roster

NOW = 100.0
MEMBERS = tuple(messages.Member(f"r{index}", "a") for index in range(5))
ROSTER = roster.Roster(1, MEMBERS, MEMBERS)

# Reports of r1 to r4 as (known, age in seconds), version known to r0; expected
# age of the evidence in seconds and accepted version.
TABLE = [
    ("all agree", ((5, 0.1), (5, 0.2), (5, 0.3), (5, 0.4)), 5, 0.2, 5),
    ("two agree", ((5, 0.1), (5, 0.2), None, None), 5, 0.2, 5),
    ("one agrees", ((5, 0.1), None, None, None), 5, math.inf, -1),
    ("others are ahead", ((6, 0.1), (6, 0.1), (6, 0.1), None), 5, math.inf, 5),
    ("one is ahead", ((6, 0.1), (5, 0.3), (5, 0.5), None), 5, 0.5, 5),
    ("others are behind", ((4, 0.1), (4, 0.2), (4, 0.1), None), 5, 0.1, 4),
    (
        "restarted abstain",
        ((-1, 0.1), (-1, 0.1), (5, 0.1), None),
        5,
        math.inf,
        -1,
    ),
    ("old reports", ((5, 9.0), (5, 9.0), (5, 0.1), None), 5, 9.0, -1),
]


@pytest.mark.parametrize(
    ("reported", "own_known", "age_s", "accepted"),
    [row[1:] for row in TABLE],
    ids=[row[0] for row in TABLE],
)
def test_majority(
    reported: tuple[tuple[int, float] | None, ...],
    own_known: int,
    age_s: float,
    accepted: int,
) -> None:
    """Evidence and acceptance need a majority, and not of old reports.

    Otherwise a router could act on a version that others have replaced, or
    count a version as accepted that a majority may not have.
    """
    reports = evidence.MemberReports("r0")
    for index, item in enumerate(reported, start=1):
        if item is not None:
            known, age = item
            reports.record(f"r{index}", known, NOW - age, own_known, False)

    at = reports.majority_support_at(ROSTER, own_known, NOW)
    assert NOW - at == pytest.approx(age_s)
    assert (
        reports.accepted_version(ROSTER, own_known, frozenset(), NOW)
        == accepted
    )


def test_support_before_others_went_ahead_still_counts_until_it_ages() -> None:
    """A report ahead of this router doesn't void the member's earlier support.

    Each new version would otherwise interrupt the evidence of all routers that
    don't know it yet.
    """
    reports = evidence.MemberReports("r0")
    for node in ("r1", "r2"):
        reports.record(node, 5, NOW - 1.0, 5, False)
        reports.record(node, 6, NOW - 0.1, 5, False)

    assert reports.majority_support_at(ROSTER, 5, NOW) == NOW - 1.0
    reports.update_support(6)
    assert reports.majority_support_at(ROSTER, 6, NOW) == NOW - 0.1


def test_gone_members_count_for_acceptance_only_when_listed() -> None:
    """Silent members don't count as knowing a version unless they are gone.

    A member that is only silent may still serve with an older version.
    """
    reports = evidence.MemberReports("r0")
    reports.record("r1", 5, NOW, 5, False)

    assert reports.accepted_version(ROSTER, 5, frozenset(), NOW) == -1
    gone = frozenset(("r2", "r3", "r4"))
    assert reports.accepted_version(ROSTER, 5, gone, NOW) == 5


def test_a_report_that_arrives_late_is_ignored() -> None:
    """A report that is overtaken by a newer one must not replace it.

    Reports come directly and through relays, so they can arrive out of order.
    """
    reports = evidence.MemberReports("r0")
    reports.record("r1", 7, NOW - 0.1, 5, False)
    reports.record("r1", 5, NOW - 0.2, 5, False)

    assert reports.highest_known() == (7, "r1")
