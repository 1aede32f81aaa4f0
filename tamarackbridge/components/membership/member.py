"""Maintains this router's membership and its copy of the fleet objects."""

from collections.abc import Sequence
import math
import random
from typing import ClassVar

import msgspec

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import (
    const,
    evidence,
    evidence_tracker,
    fleet_state,
    heartbeats,
    messages,
    roster,
    roster_changes,
    store_reader,
    timing,
)
from tamarackbridge.components.object_api import messages as store

PUT_TAG = "membership:roster"

ESTABLISH_WAIT_S = core_const.LEASE_S * (1 + 2 * core_const.CLOCK_DRIFT_RATIO)
"""Time after a start until reports of the previous process have expired."""

BEHIND_GRACE_S = 0.1
"""Time for which a router waits for its own read before it asks a peer."""


class MemberDecider:
    """Exchanges heartbeats, syncs fleet objects and publishes evidence.

    After a start the router abstains from majorities until it is established:
    by a store read, or by the state of enough peers.
    """

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.Heartbeat,
        messages.StateAsk,
        messages.StateReply,
        messages.ConfigApplied,
        messages.VmListRead,
        messages.LeaveFleet,
        dispatch.LeaseHeld,
        dispatch.LeaseLost,
        store.StoreReply,
    )

    def __init__(
        self,
        node: str,
        zone: str,
        address: str,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self._own_member = messages.Member(node, zone, address, incarnation)
        self._node = node
        self._rng = rng
        self._reports = evidence.MemberReports(node)
        self._fleet_state = fleet_state.FleetState()
        self._reader = store_reader.StoreReader(rng)
        self._topology = heartbeats.Topology(node, rng)
        self._tracker = evidence_tracker.EvidenceTracker(
            node, self._reports, self._topology
        )
        self._changes = roster_changes.RosterChanges(self._own_member, rng)
        self._roster = roster.EMPTY
        self._established = False
        self._replied_peers: set[str] = set()
        self._started_at = math.inf
        self._leaving = False
        self._held_shards: set[str] = set()
        self._last_heartbeat_from: dict[str, float] = {}
        self._announced_roster: messages.RosterChanged | None = None
        self._next_heartbeat_at = 0.0
        self._last_heartbeat_at = evidence.NEVER
        self._announced_known = messages.ABSTAIN
        self._next_update_at = 0.0
        self._next_catch_up_at = 0.0
        self._next_state_ask_at = 0.0
        self._behind_since = math.inf
        self._roster_write_until = evidence.NEVER

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case messages.Heartbeat():
                return self._handle_heartbeat(
                    delivery.src, delivery.msg, delivery.age_s, now
                )
            case messages.StateAsk():
                return self._handle_state_ask(delivery.src, delivery.msg)
            case messages.StateReply():
                return self._handle_state_reply(delivery.src, delivery.msg, now)
            case messages.ConfigApplied():
                self._fleet_state.record_applied(delivery.msg.version)
                return self._apply_state(now)
            case messages.VmListRead():
                self._tracker.vms = frozenset(delivery.msg.live)
            case messages.LeaveFleet():
                self._leaving = True
                self._next_heartbeat_at = now
            case dispatch.LeaseHeld():
                self._held_shards.add(delivery.msg.shard)
            case dispatch.LeaseLost():
                self._held_shards.discard(delivery.msg.shard)
            case store.StoreReply():
                return self._handle_store_reply(delivery.msg, now)
        return ()

    def known_by(self, node: str) -> int:
        """Returns the store version up to which a router knows all objects.

        `ABSTAIN` if the router has not reported one.
        """
        return self._reports.last_report(node).known

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Returns the messages that are due."""
        self._started_at = min(self._started_at, now)
        out: list[core.Envelope] = []
        if now >= self._next_update_at:
            self._next_update_at = now + self._timing.update_interval_s
            out.extend(self._update_evidence(now))
            out.extend(self._change_roster(now))
        if now >= self._next_catch_up_at:
            self._next_catch_up_at = now + BEHIND_GRACE_S
            out.extend(self._catch_up(now))
        out.extend(self._read_store(now))
        out.extend(self._send_heartbeats(now))
        return out

    @property
    def _timing(self) -> timing.Timing:
        return timing.for_fleet_size(len(self._roster.members))

    @property
    def _known(self) -> int:
        if not self._established:
            return messages.ABSTAIN
        return self._fleet_state.known

    def _handle_heartbeat(
        self, src: str, heartbeat: messages.Heartbeat, age_s: float, now: float
    ) -> Sequence[core.Envelope]:
        self._last_heartbeat_from[src] = now
        if heartbeat.joining is not None and heartbeat.joining.node == src:
            self._changes.join(heartbeat.joining, self._is_first_live(), now)
        sent_at = now - age_s
        self._reports.record(
            src, heartbeat.known, sent_at, self._known, heartbeat.leaving
        )
        report = self._reports.last_report(src)
        report.incarnation = max(report.incarnation, heartbeat.incarnation)
        if heartbeat.roster == self._roster.version:
            for summary in heartbeat.groups:
                heartbeats.record_summary(
                    self._roster, summary, self._reports, self._known, sent_at
                )
        return ()

    def _handle_state_ask(
        self, src: str, ask: messages.StateAsk
    ) -> Sequence[core.Envelope]:
        objects = self._fleet_state.changed_since(ask.since)
        reply = messages.StateReply(ask.since, self._known, objects)
        return (core.Envelope(src, reply),)

    def _handle_state_reply(
        self, src: str, reply: messages.StateReply, now: float
    ) -> Sequence[core.Envelope]:
        if (
            reply.known == messages.ABSTAIN
            or reply.since > self._fleet_state.version
        ):
            return ()
        if now - self._started_at > ESTABLISH_WAIT_S:
            self._replied_peers.add(src)
        out = self._merge(reply.objects, now)
        self._establish_by_peers()
        return out

    def _establish_by_peers(self) -> None:
        needed = self._roster.peers_to_establish if self._roster.version else 0
        node_lists = (self._roster.nodes, self._roster.former_nodes)
        replied = min(len(self._replied_peers & nodes) for nodes in node_lists)
        if needed and replied >= needed:
            self._established = True

    def _handle_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if reply.tag == PUT_TAG:
            self._roster_write_until = now
            self._next_update_at = now
            return ()
        read = self._reader.handle_store_reply(reply, now)
        if read is None:
            return ()
        out = self._merge(read.objects, now)
        self._established = True
        self._tracker.record_read(read.sent_at, self._fleet_state.version)
        self._next_update_at = now
        return out

    def _merge(
        self, objects: tuple[store.StoredObject, ...], now: float
    ) -> Sequence[core.Envelope]:
        changed = self._fleet_state.merge(objects)
        out: list[core.Envelope] = []
        if changed:
            out.append(_local(messages.FleetObjects(changed)))
        out.extend(self._apply_state(now))
        return out

    def _apply_state(self, now: float) -> Sequence[core.Envelope]:
        """Applies changed fleet objects to the roster and the reports."""
        obj = self._fleet_state.get(const.KEY_ROSTER)
        may_apply = not self._established or self._fleet_state.known >= (
            obj.version if obj else 0
        )
        if obj is not None and may_apply and obj.version > self._roster.version:
            decoded = roster.decode(obj)
            self._fleet_state.unreadable = 0 if decoded else obj.version
            self._roster = decoded or self._roster
            self._reports.retain(self._roster.nodes | self._roster.former_nodes)
        self._reports.update_support(self._known)
        if self._known > self._announced_known:
            self._tracker.known_at = now
            self._next_update_at = now
        return ()

    def _read_store(self, now: float) -> Sequence[core.Envelope]:
        evidence_old = self._tracker.evidence_age(now) > self._timing.poll_age_s
        gone_uncounted = self._tracker.needs_read_to_count_gone(
            self._roster, self._known
        )
        poll = evidence_old or gone_uncounted or not self._established
        return self._reader.tick(
            now, self._fleet_state.version, self._needs_watch(), poll
        )

    def _needs_watch(self) -> bool:
        if len(self._roster.groups) <= 1 or self._held_shards:
            return True
        return self._topology.is_relay(self._roster, self._tracker.live)

    def _update_evidence(self, now: float) -> Sequence[core.Envelope]:
        """Updates live members and evidence, and announces them."""
        self._apply_state(now)
        latest = self._tracker.update(self._roster, self._known, now)
        return [*self._announce_roster(), _local(latest)]

    def _announce_roster(self) -> Sequence[core.Envelope]:
        live = tuple(sorted(self._tracker.live & self._roster.nodes))
        leaving = tuple(
            node
            for node in live
            if (
                self._leaving
                if node == self._node
                else self._reports.last_report(node).leaving
            )
        )
        members = tuple(
            map(self._with_current_incarnation, self._roster.members)
        )
        message = messages.RosterChanged(members, live, leaving)
        if message == self._announced_roster:
            return ()
        self._announced_roster = message
        return (_local(message),)

    def _with_current_incarnation(
        self, member: messages.Member
    ) -> messages.Member:
        """Returns a member with the newest incarnation that it has reported."""
        if member.node == self._node:
            return self._own_member
        incarnation = self._reports.last_report(member.node).incarnation
        if incarnation <= member.incarnation:
            return member
        return msgspec.structs.replace(member, incarnation=incarnation)

    def _catch_up(self, now: float) -> Sequence[core.Envelope]:
        """Asks a peer with a higher version if the store read is slower."""
        if not self._established:
            return self._ask_all(now)
        highest, node = self._reports.highest_known()
        if highest <= self._fleet_state.version:
            self._behind_since = math.inf
            return ()
        self._behind_since = min(self._behind_since, now)
        if (
            now - self._behind_since < BEHIND_GRACE_S
            or now < self._next_state_ask_at
        ):
            return ()
        self._next_state_ask_at = now + const.STATE_ASK_INTERVAL_S
        return (
            core.Envelope(node, messages.StateAsk(self._fleet_state.version)),
        )

    def _ask_all(self, now: float) -> Sequence[core.Envelope]:
        if now < self._next_state_ask_at:
            return ()
        self._next_state_ask_at = now + 2 * const.STATE_ASK_INTERVAL_S
        ask = messages.StateAsk(self._fleet_state.version)
        nodes = sorted(
            (set(self._last_heartbeat_from) | self._roster.nodes) - {self._node}
        )
        return [core.Envelope(node, ask) for node in nodes]

    def _is_first_live(self) -> bool:
        return min(self._tracker.live, default="") == self._node

    def _change_roster(self, now: float) -> Sequence[core.Envelope]:
        if (
            not self._established
            or self._leaving
            or now < self._roster_write_until
        ):
            return ()
        current = self._roster
        if self._fleet_state.get(const.KEY_ROSTER) and current.version == 0:
            return ()
        reports = {
            node: self._reports.last_report(node) for node in current.nodes
        }
        inputs = roster_changes.Inputs(
            current=current,
            accepted=self._tracker.latest.accepted >= current.version,
            is_first=self._is_first_live(),
            silent_s={
                node: now - report.at for node, report in reports.items()
            },
            leaving=frozenset(
                n for n, report in reports.items() if report.leaving
            ),
            vms=self._tracker.vms,
        )
        value = self._changes.propose(inputs, now)
        if value is None:
            return ()
        self._roster_write_until = now + const.READ_TIMEOUT_S
        put = store.StorePut(const.KEY_ROSTER, value, current.version, PUT_TAG)
        return (core.Envelope(core_const.STORE_NODE, put),)

    def _send_heartbeats(self, now: float) -> Sequence[core.Envelope]:
        known_changed = self._known != self._announced_known
        announce_now = (
            known_changed
            and now - self._last_heartbeat_at >= const.MIN_HEARTBEAT_INTERVAL_S
        )
        if now < self._next_heartbeat_at and not announce_now:
            return ()
        jitter = self._rng.uniform(0.9, 1.0)
        self._next_heartbeat_at = now + self._timing.heartbeat_s * jitter
        self._last_heartbeat_at = now
        self._announced_known = self._known
        if self._node not in self._roster.nodes | self._roster.former_nodes:
            return self._heartbeats_to_join()
        return self._heartbeats_to_peers(now)

    def _heartbeats_to_join(self) -> Sequence[core.Envelope]:
        if self._leaving:
            return ()
        heartbeat = self._heartbeat((), self._own_member)
        targets = self._topology.join_targets(self._roster)
        return [core.Envelope(node, heartbeat) for node in targets]

    def _heartbeats_to_peers(self, now: float) -> Sequence[core.Envelope]:
        current = self._roster
        is_relay = self._topology.is_relay(current, self._tracker.live)
        own_report = self._reports.last_report(self._node)
        own_report.known, own_report.at, own_report.leaving = (
            self._known,
            now,
            self._leaving,
        )
        digest = (
            self._topology.digest(current, self._reports, now)
            if is_relay
            else ()
        )
        joining = (
            None if self._own_member in current.members else self._own_member
        )
        heartbeat = self._heartbeat(digest, joining)
        out = [
            core.Envelope(node, heartbeat)
            for node in self._topology.group_peers(current)
        ]
        if is_relay:
            summaries = self._topology.gossip(current, self._reports, now)
            relay_heartbeat = self._heartbeat(summaries, None)
            relays = self._topology.other_relays(current, self._tracker.live)
            out.extend(core.Envelope(node, relay_heartbeat) for node in relays)
        return out

    def _heartbeat(
        self,
        groups: tuple[messages.GroupSummary, ...],
        joining: messages.Member | None,
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            roster=self._roster.version,
            known=self._known,
            incarnation=self._own_member.incarnation,
            leaving=self._leaving,
            joining=joining,
            groups=groups,
        )


def _local(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.LOCAL_NODE, msg)
