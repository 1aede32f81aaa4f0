"""Heartbeat topology: groups, their relays and the summaries relays send.

Members of one group exchange heartbeats directly. The first live member of a
group is its relay: it sends the group's summary to the relays of the other
groups and forwards their summaries to its own group. The heartbeat traffic of
a router therefore grows with the size of its group and, for a relay, with the
number of groups, but not with the size of the fleet.
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


def summary(
    lst: roster.Roster, index: int, ledger: evidence.Ledger, now: float
) -> messages.GroupSummary:
    """Summarizes the reports of the live members of one group."""
    masks: dict[int, int] = {}
    ages: dict[int, float] = {}
    leaving = 0
    for place, node in enumerate(lst.groups[index]):
        row = ledger.row(node)
        age = now - row.at
        if age > const.GROUP_DEAD_AFTER_S:
            continue
        masks[row.known] = masks.get(row.known, 0) | 1 << place
        ages[row.known] = max(ages.get(row.known, 0.0), age)
        leaving |= row.leaving << place
    tallies = tuple(
        messages.Tally(known, mask, _age_ms(ages[known]))
        for known, mask in masks.items()
    )
    return messages.GroupSummary(index, leaving, tallies)


def note_summary(
    lst: roster.Roster,
    found: messages.GroupSummary,
    ledger: evidence.Ledger,
    own: int,
    sent_at: float,
) -> None:
    """Records the reports in a group summary received from a relay.

    Args:
        lst: Roster that the summary refers to.
        found: The summary.
        ledger: Where the reports are recorded.
        own: Store version up to which this router knows every fleet object.
        sent_at: Local time at which the relay sent the summary.
    """
    if not 0 <= found.group < len(lst.groups):
        return
    for tally in found.tallies:
        at = sent_at - tally.age_ms / core_const.MS_PER_S
        for place, node in enumerate(lst.groups[found.group]):
            if tally.mask >> place & 1:
                leaving = bool(found.leaving >> place & 1)
                ledger.note(node, tally.known, at, own, leaving)


class Topology:
    """Selects the peers that one router exchanges heartbeats with."""

    def __init__(self, node: str, rng: random.Random) -> None:
        self._node = node
        self._rng = rng

    def group_peers(self, lst: roster.Roster) -> list[str]:
        """Returns the other members of this router's group."""
        index = lst.group_of.get(self._node)
        if index is None:
            return []
        return [node for node in lst.groups[index] if node != self._node]

    def is_relay(self, lst: roster.Roster, live: frozenset[str]) -> bool:
        """Returns whether this router is the relay of its group.

        A single group needs no relay.
        """
        index = lst.group_of.get(self._node)
        if index is None or len(lst.groups) == 1:
            return False
        return relay_of(lst.groups[index], live) == self._node

    def other_relays(
        self, lst: roster.Roster, live: frozenset[str]
    ) -> list[str]:
        """Returns the member of each other group to send summaries to.

        For a group without live members, a random member is tried.
        """
        own = lst.group_of[self._node]
        return [
            relay_of(group, live) or self._rng.choice(group)
            for index, group in enumerate(lst.groups)
            if index != own
        ]

    def join_targets(self, lst: roster.Roster) -> list[str]:
        """Returns the members that a router outside the roster asks to join.

        These are the first three, one of which usually writes the change,
        and one of the others at random.
        """
        nodes = sorted(lst.nodes - {self._node})
        return nodes[:3] + self._rng.sample(nodes[3:], min(1, len(nodes[3:])))

    def gossip(
        self, lst: roster.Roster, ledger: evidence.Ledger, now: float
    ) -> tuple[messages.GroupSummary, ...]:
        """Returns the summaries that a relay sends to other relays.

        Besides its own group it summarizes a random one, so that two relays
        that can't reach each other get reports of each other through a third.
        """
        own = lst.group_of[self._node]
        other = self._rng.randrange(len(lst.groups))
        return tuple(summary(lst, index, ledger, now) for index in {own, other})

    def digest(
        self, lst: roster.Roster, ledger: evidence.Ledger, now: float
    ) -> tuple[messages.GroupSummary, ...]:
        """Returns the summaries of all other groups, for the own group."""
        own = lst.group_of[self._node]
        return tuple(
            summary(lst, index, ledger, now)
            for index in range(len(lst.groups))
            if index != own
        )


def _age_ms(age_s: float) -> int:
    return math.ceil(age_s * core_const.MS_PER_S)
