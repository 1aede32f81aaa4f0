"""Derives liveness and evidence from store reads and members' reports."""

from tamarackbridge.components.membership import (
    beats,
    const,
    evidence,
    messages,
    pace,
    roster,
)


class Outlook:
    """Tracks which members are live and how current the local copy is.

    Attributes:
        live: Members with a recent report, and this router itself.
        vms: Nodes in the VM list; None before it was first read.
        known_at: When this router's known version last increased.
        news: The evidence computed last.
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
        """Records a successful read that showed nothing newer than `cut`."""
        self._read_at = max(self._read_at, sent_at)
        self._read_cut = cut

    def evidence_age(self, now: float) -> float:
        """Returns the age of the newest evidence, in seconds."""
        return now - (self.news.until - evidence.LEASE_USE_S)

    def waits_on_gone(self, lst: roster.Roster, known: int) -> bool:
        """Returns whether a store read would let gone members be counted.

        Members that are gone count as knowing a version only once the store
        was read after this router learned of that version.
        """
        unread = self._store_at < self.known_at
        return unread and bool(self._gone(lst)) and self.news.accepted < known

    def weigh(
        self, lst: roster.Roster, known: int, now: float
    ) -> messages.FleetEvidence:
        """Updates the live members and returns the new evidence.

        Args:
            lst: The roster in use.
            known: Store version up to which this router knows every fleet
                object, or `ABSTAIN`.
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
        """Returns whether a majority is live or confirmed gone."""
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
