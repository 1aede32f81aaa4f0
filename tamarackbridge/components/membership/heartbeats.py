"""Heartbeat topology: groups, their relays and the summaries relays send.

Members of one group exchange heartbeats directly. The first live member of a
group is its relay: it sends the group's summary to the relays of the other
groups and forwards their summaries to its own group. The heartbeat traffic of
a router therefore grows with the size of its group and, for a relay, with the
number of groups.
"""

import math
import random

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import (
    const,
    evidence,
    messages,
    roster,
)


def relay_of(group: tuple[str, ...], live: frozenset[str]) -> str:
    """Returns the relay of a group, empty if no member is live."""
    return next((node for node in group if node in live), "")


def summarize_group(
    current: roster.Roster,
    index: int,
    reports: evidence.MemberReports,
    now: float,
) -> messages.GroupSummary:
    """Summarizes the reports of the live members of one group."""
    mask_by_known: dict[int, int] = {}
    age_by_known: dict[int, float] = {}
    leaving = 0
    for position, node in enumerate(current.groups[index]):
        report = reports.last_report(node)
        age = now - report.at
        if age > const.RELAYED_DEAD_AFTER_S:
            continue
        mask_by_known[report.known] = (
            mask_by_known.get(report.known, 0) | 1 << position
        )
        age_by_known[report.known] = max(
            age_by_known.get(report.known, 0.0), age
        )
        leaving |= report.leaving << position
    tallies = tuple(
        messages.Tally(known, mask, _age_ms(age_by_known[known]))
        for known, mask in mask_by_known.items()
    )
    return messages.GroupSummary(index, leaving, tallies)


def record_summary(
    current: roster.Roster,
    summary: messages.GroupSummary,
    reports: evidence.MemberReports,
    own_known: int,
    sent_at: float,
) -> None:
    """Records the reports in a group summary received from a relay.

    Args:
        current: Roster that the summary refers to.
        summary: The summary.
        reports: Where the reports are recorded.
        own_known: Store version up to which this router knows every fleet
            object.
        sent_at: Local time at which the relay sent the summary.
    """
    if not 0 <= summary.group < len(current.groups):
        return
    for tally in summary.tallies:
        at = sent_at - tally.age_ms / core_const.MS_PER_S
        for position, node in enumerate(current.groups[summary.group]):
            if tally.mask >> position & 1:
                leaving = bool(summary.leaving >> position & 1)
                reports.record(node, tally.known, at, own_known, leaving)


class Topology:
    """Selects the peers that one router exchanges heartbeats with."""

    def __init__(self, node: str, rng: random.Random) -> None:
        self._node = node
        self._rng = rng

    def group_peers(self, current: roster.Roster) -> list[str]:
        """Returns the other members of this router's group."""
        index = current.group_of.get(self._node)
        if index is None:
            return []
        return [node for node in current.groups[index] if node != self._node]

    def is_relay(self, current: roster.Roster, live: frozenset[str]) -> bool:
        """Returns whether this router is the relay of its group.

        A single group needs no relay.
        """
        index = current.group_of.get(self._node)
        if index is None or len(current.groups) == 1:
            return False
        return relay_of(current.groups[index], live) == self._node

    def other_relays(
        self, current: roster.Roster, live: frozenset[str]
    ) -> list[str]:
        """Returns the member of each other group to send summaries to.

        For a group without live members, a random member is tried.
        """
        own_index = current.group_of[self._node]
        return [
            relay_of(group, live) or self._rng.choice(group)
            for index, group in enumerate(current.groups)
            if index != own_index
        ]

    def join_targets(self, current: roster.Roster) -> list[str]:
        """Returns the members that a router outside the roster asks to join.

        These are the first three, one of which usually writes the change,
        and one of the others at random.
        """
        nodes = sorted(current.nodes - {self._node})
        return nodes[:3] + self._rng.sample(nodes[3:], min(1, len(nodes[3:])))

    def gossip(
        self,
        current: roster.Roster,
        reports: evidence.MemberReports,
        now: float,
    ) -> tuple[messages.GroupSummary, ...]:
        """Returns the summaries that a relay sends to other relays.

        Besides its own group it summarizes a random one, so that two relays
        that can't reach each other get reports of each other through a third.
        """
        own_index = current.group_of[self._node]
        other_index = self._rng.randrange(len(current.groups))
        return tuple(
            summarize_group(current, index, reports, now)
            for index in {own_index, other_index}
        )

    def digest(
        self,
        current: roster.Roster,
        reports: evidence.MemberReports,
        now: float,
    ) -> tuple[messages.GroupSummary, ...]:
        """Returns the summaries of all other groups, for the own group."""
        own_index = current.group_of[self._node]
        return tuple(
            summarize_group(current, index, reports, now)
            for index in range(len(current.groups))
            if index != own_index
        )


def _age_ms(age_s: float) -> int:
    return math.ceil(age_s * core_const.MS_PER_S)
