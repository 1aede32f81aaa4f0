"""Version reports of the other members, and what a majority of them proves.

A report `known` means: when it was sent, the member knew every fleet object up
to this store version and none beyond. A newer object is accepted only once a
majority has reported that it knows the object. Any two majorities share a
member, so a majority of reports at or below a router's own `known` proves that
nothing newer had been accepted when the oldest of these reports was sent.
"""

import dataclasses
import math

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import messages, roster

NEVER = -math.inf

LEASE_USE_S = core_const.LEASE_S * (1 - core_const.CLOCK_DRIFT_RATIO)
"""Time for which the router that gathered evidence relies on it.

Shorter than the lease by the clock drift, so that the router stops before
others, on their clocks, consider the lease ended.
"""


@dataclasses.dataclass(slots=True)
class MemberReport:
    """The last report of one member.

    Attributes:
        known: Store version up to which the member knew every fleet object.
        at: Lower bound on the time of sending, on the local clock.
        support_at: The same for the member's last report that was not ahead
            of this router.
        leaving: Whether the member is shutting down.
        incarnation: Incarnation of the member from its own heartbeats; 0 if
            there were none.
    """

    known: int = messages.ABSTAIN
    at: float = NEVER
    support_at: float = NEVER
    leaving: bool = False
    incarnation: int = 0


class MemberReports:
    """The last reports of all members."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._by_node: dict[str, MemberReport] = {}

    def last_report(self, node: str) -> MemberReport:
        """Returns the last report of one member, blank if there is none."""
        return self._by_node.setdefault(node, MemberReport())

    def record(
        self, node: str, known: int, at: float, own_known: int, leaving: bool
    ) -> None:
        """Records a report that was sent at or after time `at`.

        A report that is no newer than the recorded one is ignored.

        Args:
            node: The member that the report is about.
            known: Store version that the member reported, or `ABSTAIN`.
            at: Lower bound on the time of sending, on the local clock.
            own_known: Store version up to which this router knows every
                fleet object.
            leaving: Whether the member is shutting down.
        """
        report = self.last_report(node)
        if at <= report.at:
            return
        report.known = known
        report.at = at
        report.leaving = leaving
        if messages.ABSTAIN < known <= own_known:
            report.support_at = at

    def update_support(self, own_known: int) -> None:
        """Counts reports as support that this router has caught up with."""
        for report in self._by_node.values():
            if messages.ABSTAIN < report.known <= own_known:
                report.support_at = max(report.support_at, report.at)

    def retain(self, nodes: frozenset[str]) -> None:
        """Drops the reports of all members but these."""
        for node in self._by_node.keys() - nodes:
            del self._by_node[node]

    def highest_known(self) -> tuple[int, str]:
        """Returns the highest reported `known` and the member it is from."""
        highest = max(
            self._by_node.items(),
            key=lambda item: (item[1].known, item[1].at),
            default=None,
        )
        if highest is None:
            return messages.ABSTAIN, ""
        return highest[1].known, highest[0]

    def majority_support_at(
        self, current: roster.Roster, own_known: int, now: float
    ) -> float:
        """Returns when a majority last reported at most `own_known`."""

        def value(node: str) -> float:
            if node == self._node:
                return now if own_known > messages.ABSTAIN else NEVER
            report = self._by_node.get(node)
            return report.support_at if report else NEVER

        return current.quorum_value(value)

    def accepted_version(
        self,
        current: roster.Roster,
        own_known: int,
        gone: frozenset[str],
        now: float,
    ) -> int:
        """Returns the store version that a majority knows, at most `own_known`.

        Members in `gone` no longer serve, so no version has to reach them:
        they count as knowing every version.
        """
        horizon = now - LEASE_USE_S

        def value(node: str) -> float:
            if node == self._node:
                return own_known
            report = self._by_node.get(node)
            if node in gone:
                return math.inf
            if report is None or report.at < horizon:
                return messages.ABSTAIN
            return report.known

        version = min(current.quorum_value(value), own_known)
        return int(max(version, messages.ABSTAIN))
