"""Derives liveness and evidence from store reads and members' reports."""

from tamarackbridge.components.membership import (
    const,
    evidence,
    heartbeats,
    messages,
    roster,
    timing,
)


class EvidenceTracker:
    """Tracks which members are live and how current the local copy is.

    Attributes:
        live: Members with a recent report, and this router itself.
        vms: Nodes in the VM list; None before it was first read.
        known_at: When this router's known version last increased.
        latest: The evidence computed last.
    """

    def __init__(
        self,
        node: str,
        reports: evidence.MemberReports,
        topology: heartbeats.Topology,
    ) -> None:
        self.live: frozenset[str] = frozenset()
        self.vms: frozenset[str] | None = None
        self.known_at = evidence.NEVER
        self.latest = messages.FleetEvidence(
            messages.ABSTAIN, evidence.NEVER, 0, False, evidence.NEVER
        )
        self._node = node
        self._reports = reports
        self._topology = topology
        self._last_read_at = evidence.NEVER
        self._read_version = 0
        self._store_evidence_at = evidence.NEVER

    def record_read(self, sent_at: float, version: int) -> None:
        """Records a read that showed nothing newer than `version`."""
        self._last_read_at = max(self._last_read_at, sent_at)
        self._read_version = version

    def evidence_age(self, now: float) -> float:
        """Returns the age of the newest evidence, in seconds."""
        return now - (self.latest.until - evidence.LEASE_USE_S)

    def needs_read_to_count_gone(
        self, current: roster.Roster, own_known: int
    ) -> bool:
        """Returns whether a store read would let gone members be counted.

        Members that are gone count as knowing a version only once the store
        was read after this router learned of that version.
        """
        read_outdated = self._store_evidence_at < self.known_at
        return (
            read_outdated
            and bool(self._gone(current))
            and self.latest.accepted < own_known
        )

    def update(
        self, current: roster.Roster, own_known: int, now: float
    ) -> messages.FleetEvidence:
        """Updates the live members and returns the new evidence.

        Args:
            current: The roster in use.
            own_known: Store version up to which this router knows every fleet
                object, or `ABSTAIN`.
            now: Monotonic time.
        """
        self.live = self._find_live(current, now)
        if own_known > messages.ABSTAIN and own_known >= self._read_version:
            self._store_evidence_at = max(
                self._store_evidence_at, self._last_read_at
            )
        majority_at = self._reports.majority_support_at(current, own_known, now)
        evidence_at = max(majority_at, self._store_evidence_at)
        until = evidence_at + evidence.LEASE_USE_S
        if own_known == messages.ABSTAIN:
            until = evidence.NEVER
        self.latest = messages.FleetEvidence(
            known=own_known,
            until=max(until, self.latest.until),
            accepted=self._accepted(current, own_known, now),
            majority=self._has_majority(current, now),
            store_read_at=self._store_evidence_at,
            lagging=self._lagging(own_known),
        )
        return self.latest

    def _has_majority(self, current: roster.Roster, now: float) -> bool:
        """Returns whether a majority is live or confirmed gone.

        The VM list confirms a loss only while a store read is recent.
        """
        counted = self.live
        if now - self._store_evidence_at < evidence.LEASE_USE_S:
            counted |= self._gone(current)
        return current.quorum_value(lambda node: node in counted) > 0

    def _accepted(
        self, current: roster.Roster, own_known: int, now: float
    ) -> int:
        gone = self._gone(current)
        if self._store_evidence_at <= self.known_at:
            gone = frozenset()
        return self._reports.accepted_version(current, own_known, gone, now)

    def _gone(self, current: roster.Roster) -> frozenset[str]:
        if self.vms is None:
            return frozenset()
        return (current.nodes | current.former_nodes) - self.vms - self.live

    def _lagging(self, own_known: int) -> tuple[str, ...]:
        behind = [
            node
            for node in sorted(self.live - {self._node})
            if self._reports.last_report(node).known < own_known
        ]
        return tuple(behind[: const.GROUP_SIZE])

    def _find_live(self, current: roster.Roster, now: float) -> frozenset[str]:
        group_peers = set(self._topology.group_peers(current))
        direct_s = timing.for_fleet_size(len(current.members)).dead_after_s
        live = {self._node} & (current.nodes | current.former_nodes)
        for node in (current.nodes | current.former_nodes) - {self._node}:
            dead_after_s = (
                direct_s if node in group_peers else const.RELAYED_DEAD_AFTER_S
            )
            if now - self._reports.last_report(node).at < dead_after_s:
                live.add(node)
        return frozenset(live)
