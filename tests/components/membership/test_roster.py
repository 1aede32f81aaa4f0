"""Tests of the roster, its majorities and its groups."""

import hypothesis
from hypothesis import strategies as st

from tamarackbridge.components.membership import const, messages, roster
from tamarackbridge.components.object_api import messages as store

NAMES = [f"r{index}" for index in range(9)]
nodes = st.sets(st.sampled_from(NAMES), min_size=1)


def _roster(members: set[str], before: set[str]) -> roster.Roster:
    return roster.Roster(
        1,
        tuple(messages.Member(node, "a") for node in sorted(members)),
        tuple(messages.Member(node, "a") for node in sorted(before)),
    )


def _has_majority(current: roster.Roster, voters: set[str]) -> bool:
    return current.quorum_value(lambda node: float(node in voters)) == 1.0


@hypothesis.given(nodes, nodes, st.sets(st.sampled_from(NAMES)))
def test_majorities_of_neighbours_share_a_member(
    old: set[str], new: set[str], voters: set[str]
) -> None:
    """Two disjoint majorities could accept contradictory versions.

    Neighbours are the rosters before and after one step of a change.
    """
    others = set(NAMES) - voters
    settled_old = _roster(old, old)
    joint = _roster(new, old)
    settled_new = _roster(new, new)

    for first, second in ((settled_old, joint), (joint, settled_new)):
        assert not (
            _has_majority(first, voters) and _has_majority(second, others)
        )


@hypothesis.given(st.integers(1, 9), st.data())
def test_enough_peers_meet_every_majority_without_the_restarted(
    size: int, data: st.DataObject
) -> None:
    """A restarted router must not miss a version that it helped to accept.

    The peers whose state it gets must include one of every majority, even if
    the router itself was the last member of that majority.
    """
    names = NAMES[:size]
    current = _roster(set(names), set(names))
    others = names[1:]
    hypothesis.assume(len(others) >= current.peers_to_establish)
    order = data.draw(st.permutations(others))
    replied = set(order[: current.peers_to_establish])
    majority = set(order[len(order) - size // 2 :]) | {names[0]}

    assert _has_majority(current, majority)
    assert replied & majority or size == 1


@hypothesis.given(st.integers(1, 120), st.integers(1, 4))
def test_groups_hold_each_member_once_and_stay_small(
    size: int, zones: int
) -> None:
    """Each member is in one group of limited size within one zone."""
    members = tuple(
        messages.Member(f"r{index}", f"z{index % zones}")
        for index in range(size)
    )
    current = roster.Roster(1, members, members)

    grouped = [node for group in current.groups for node in group]

    assert sorted(grouped) == sorted(current.nodes)
    assert max(map(len, current.groups)) <= const.GROUP_SIZE
    if len(current.groups) > 1:
        zone = {member.node: member.zone for member in members}
        assert all(
            len({zone[n] for n in group}) == 1 for group in current.groups
        )


def test_round_trip_and_unreadable() -> None:
    """A roster survives encoding; an invalid one decodes to None."""
    members = (messages.Member("r0", "a", "10.0.0.1:1", 7),)
    value = roster.encode(members, ())
    obj = store.StoredObject(const.KEY_ROSTER, 5, value)

    assert roster.decode(obj) == roster.Roster(5, members, ())
    bad = store.StoredObject(const.KEY_ROSTER, 6, b"{}")
    assert roster.decode(bad) is None
