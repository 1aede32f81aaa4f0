"""Who is live, how old the evidence is, and what a majority knows."""

from tamarackbridge.components.membership import (
    beats,
    const,
    evidence,
    messages,
    pace,
    roster,
)


class Outlook:
    """Weighs what the store and the other members have said.

    Attributes:
        live: Members that are heard, the own node included.
        vms: Nodes in the VM list; None while it was never read.
        known_at: When the own knowledge last grew.
        news: The last evidence that was worked out.
    """

    def __init__(
        self, node: str, ledger: evidence.Ledger, topology: beats.Topology
    ) -> None:
        self.live: frozenset[str] = frozenset()
        self.vms: frozenset[str] | None = None
        self.known_at = evidence.NEVER
        self.news = messages.FleetEvidence(
            messages.ABSTAIN, evidence.NEVER, 0, False, evidence.NEVER
        )
        self._node = node
        self._ledger = ledger
        self._topology = topology
        self._read_at = evidence.NEVER
        self._read_cut = 0
        self._store_at = evidence.NEVER

    def note_read(self, sent_at: float, cut: int) -> None:
        """Records an answered read that showed nothing newer than `cut`."""
        self._read_at = max(self._read_at, sent_at)
        self._read_cut = cut

    def evidence_age(self, now: float) -> float:
        """Returns how old the newest evidence is, in seconds."""
        return now - (self.news.until - evidence.LEASE_USE_S)

    def waits_on_gone(self, lst: roster.Roster, known: int) -> bool:
        """Tells whether a read would let members that are gone count."""
        unread = self._store_at < self.known_at
        return unread and bool(self._gone(lst)) and self.news.accepted < known

    def weigh(
        self, lst: roster.Roster, known: int, now: float
    ) -> messages.FleetEvidence:
        """Works out the evidence anew.

        Args:
            lst: The roster in use.
            known: What this router knows, or `ABSTAIN`.
            now: Monotonic time.
        """
        self.live = self._find_live(lst, now)
        if known > messages.ABSTAIN and known >= self._read_cut:
            self._store_at = max(self._store_at, self._read_at)
        majority_at = self._ledger.support_at(lst, known, now)
        at = max(majority_at, self._store_at)
        until = at + evidence.LEASE_USE_S
        if known == messages.ABSTAIN:
            until = evidence.NEVER
        self.news = messages.FleetEvidence(
            known=known,
            until=max(until, self.news.until),
            accepted=self._accepted(lst, known, now),
            majority=self._has_majority(lst, now),
            store_read_at=self._store_at,
            lagging=self._lagging(known),
        )
        return self.news

    def _has_majority(self, lst: roster.Roster, now: float) -> bool:
        """Tells whether all but a minority are live, or gone for certain."""
        counted = self.live
        if now - self._store_at < evidence.LEASE_USE_S:
            counted |= self._gone(lst)
        return lst.quorum_value(lambda node: node in counted) > 0

    def _accepted(self, lst: roster.Roster, known: int, now: float) -> int:
        gone = self._gone(lst)
        if self._store_at <= self.known_at:
            gone = frozenset()
        return self._ledger.accepted(lst, known, gone, now)

    def _gone(self, lst: roster.Roster) -> frozenset[str]:
        if self.vms is None:
            return frozenset()
        return (lst.nodes | lst.former) - self.vms - self.live

    def _lagging(self, known: int) -> tuple[str, ...]:
        behind = [
            node
            for node in sorted(self.live - {self._node})
            if self._ledger.row(node).known < known
        ]
        return tuple(behind[: const.GROUP_SIZE])

    def _find_live(self, lst: roster.Roster, now: float) -> frozenset[str]:
        own = set(self._topology.group_peers(lst))
        direct_s = pace.of(len(lst.members)).dead_after_s
        live = {self._node} & (lst.nodes | lst.former)
        for node in (lst.nodes | lst.former) - {self._node}:
            limit = direct_s if node in own else const.GROUP_DEAD_AFTER_S
            if now - self._ledger.row(node).at < limit:
                live.add(node)
        return frozenset(live)
