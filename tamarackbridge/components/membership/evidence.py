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
class Statement:
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


class Ledger:
    """The last reports of all members."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._rows: dict[str, Statement] = {}

    def row(self, node: str) -> Statement:
        """Returns the last report of one member, blank if there is none."""
        return self._rows.setdefault(node, Statement())

    def note(
        self, node: str, known: int, at: float, own: int, leaving: bool
    ) -> None:
        """Records a report that was sent at or after time `at`.

        A report that is no newer than the recorded one is ignored.

        Args:
            node: The member that the report is about.
            known: Store version that the member reported, or `ABSTAIN`.
            at: Lower bound on the time of sending, on the local clock.
            own: Store version up to which this router knows every object.
            leaving: Whether the member is shutting down.
        """
        row = self.row(node)
        if at <= row.at:
            return
        row.known = known
        row.at = at
        row.leaving = leaving
        if messages.ABSTAIN < known <= own:
            row.support_at = at

    def promote(self, own: int) -> None:
        """Counts reports as support that this router has caught up with."""
        for row in self._rows.values():
            if messages.ABSTAIN < row.known <= own:
                row.support_at = max(row.support_at, row.at)

    def keep(self, nodes: frozenset[str]) -> None:
        """Drops the reports of all members but these."""
        for node in self._rows.keys() - nodes:
            del self._rows[node]

    def highest(self) -> tuple[int, str]:
        """Returns the highest reported `known` and the member it is from."""
        best = max(
            self._rows.items(),
            key=lambda item: (item[1].known, item[1].at),
            default=None,
        )
        if best is None:
            return messages.ABSTAIN, ""
        return best[1].known, best[0]

    def support_at(self, lst: roster.Roster, own: int, now: float) -> float:
        """Returns when a majority last reported nothing newer than `own`."""

        def value(node: str) -> float:
            if node == self._node:
                return now if own > messages.ABSTAIN else NEVER
            found = self._rows.get(node)
            return found.support_at if found else NEVER

        return lst.quorum_value(value)

    def accepted(
        self, lst: roster.Roster, own: int, gone: frozenset[str], now: float
    ) -> int:
        """Returns the store version that a majority knows, at most `own`.

        Members in `gone` no longer serve, so no version has to reach them:
        they count as knowing every version.
        """
        horizon = now - LEASE_USE_S

        def value(node: str) -> float:
            if node == self._node:
                return own
            found = self._rows.get(node)
            if node in gone:
                return math.inf
            if found is None or found.at < horizon:
                return messages.ABSTAIN
            return found.known

        found = min(lst.quorum_value(value), own)
        return int(max(found, messages.ABSTAIN))
