"""What the other members said they know, and what follows from it.

A member's statement `known` says: at the time of sending, the member knew
every fleet object up to this store version and none beyond. Whoever has
accepted a newer object has heard a majority say that it knows it, so a
majority of recent statements at or below one's own `known` shows that nothing
newer had been accepted when the oldest of them was sent.
"""

import dataclasses
import math

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import messages, roster

NEVER = -math.inf

LEASE_USE_S = core_const.LEASE_S * (1 - core_const.CLOCK_DRIFT_RATIO)
"""How long evidence is used by the router that gathered it."""


@dataclasses.dataclass(slots=True)
class Statement:
    """The last that was heard of one member.

    Attributes:
        known: What it knew.
        at: Latest time, on the own clock, at which it can't have known less.
        support_at: The same for its last statement that was not ahead of
            the own router.
        leaving: Whether it is shutting down.
        incarnation: Its incarnation where it was heard directly, else 0.
    """

    known: int = messages.ABSTAIN
    at: float = NEVER
    support_at: float = NEVER
    leaving: bool = False
    incarnation: int = 0


class Ledger:
    """The statements of all other members."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._rows: dict[str, Statement] = {}

    def row(self, node: str) -> Statement:
        """Returns what is known of one member."""
        return self._rows.setdefault(node, Statement())

    def note(
        self, node: str, known: int, at: float, own: int, leaving: bool
    ) -> None:
        """Records a statement that was sent at or after time `at`."""
        row = self.row(node)
        if at <= row.at:
            return
        row.known = known
        row.at = at
        row.leaving = leaving
        if messages.ABSTAIN < known <= own:
            row.support_at = at

    def promote(self, own: int) -> None:
        """Counts statements as support that the own router caught up with."""
        for row in self._rows.values():
            if messages.ABSTAIN < row.known <= own:
                row.support_at = max(row.support_at, row.at)

    def keep(self, nodes: frozenset[str]) -> None:
        """Forgets all members but these."""
        for node in self._rows.keys() - nodes:
            del self._rows[node]

    def highest(self) -> tuple[int, str]:
        """Returns the highest `known` that was heard, and from whom."""
        best = max(
            self._rows.items(),
            key=lambda item: (item[1].known, item[1].at),
            default=None,
        )
        if best is None:
            return messages.ABSTAIN, ""
        return best[1].known, best[0]

    def support_at(self, lst: roster.Roster, own: int, now: float) -> float:
        """Returns when a majority last said nothing newer than `own`."""

        def value(node: str) -> float:
            if node == self._node:
                return now if own > messages.ABSTAIN else NEVER
            found = self._rows.get(node)
            return found.support_at if found else NEVER

        return lst.quorum_value(value)

    def accepted(
        self, lst: roster.Roster, own: int, gone: frozenset[str], now: float
    ) -> int:
        """Returns the store version that a majority knows.

        Members in `gone` can't serve any more and miss nothing.
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
