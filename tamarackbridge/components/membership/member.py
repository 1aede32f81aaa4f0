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
    beats,
    const,
    evidence,
    fleet_state,
    messages,
    outlook,
    pace,
    roster,
    roster_changes,
    store_reader,
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
        self._me = messages.Member(node, zone, address, incarnation)
        self._node = node
        self._rng = rng
        self._ledger = evidence.Ledger(node)
        self._state = fleet_state.FleetState()
        self._reader = store_reader.StoreReader(rng)
        self._topology = beats.Topology(node, rng)
        self._outlook = outlook.Outlook(node, self._ledger, self._topology)
        self._changes = roster_changes.RosterChanges(self._me, rng)
        self._roster = roster.EMPTY
        self._established = False
        self._told: set[str] = set()
        self._started_at = math.inf
        self._leaving = False
        self._holds: set[str] = set()
        self._heard: dict[str, float] = {}
        self._news_told: messages.RosterChanged | None = None
        self._next_beat = 0.0
        self._last_beat = evidence.NEVER
        self._told_known = messages.ABSTAIN
        self._next_evidence = 0.0
        self._next_look = 0.0
        self._next_ask = 0.0
        self._behind_since = math.inf
        self._put_until = evidence.NEVER

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case messages.Heartbeat():
                return self._on_heartbeat(
                    delivery.src, delivery.msg, delivery.age_s, now
                )
            case messages.StateAsk():
                return self._on_state_ask(delivery.src, delivery.msg)
            case messages.StateReply():
                return self._on_state_reply(delivery.src, delivery.msg, now)
            case messages.ConfigApplied():
                self._state.applied(delivery.msg.version)
                return self._advance(now)
            case messages.VmListRead():
                self._outlook.vms = frozenset(delivery.msg.live)
            case messages.LeaveFleet():
                self._leaving = True
                self._next_beat = now
            case dispatch.LeaseHeld():
                self._holds.add(delivery.msg.shard)
            case dispatch.LeaseLost():
                self._holds.discard(delivery.msg.shard)
            case store.StoreReply():
                return self._on_store_reply(delivery.msg, now)
        return ()

    def known_by(self, node: str) -> int:
        """Returns the store version up to which a router knows all objects.

        `ABSTAIN` if the router has not reported one.
        """
        return self._ledger.row(node).known

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Returns the messages that are due."""
        self._started_at = min(self._started_at, now)
        out: list[core.Envelope] = []
        if now >= self._next_evidence:
            self._next_evidence = now + self._pace.weigh_s
            out.extend(self._weigh(now))
            out.extend(self._change_roster(now))
        if now >= self._next_look:
            self._next_look = now + BEHIND_GRACE_S
            out.extend(self._catch_up(now))
        out.extend(self._read_store(now))
        out.extend(self._beat(now))
        return out

    @property
    def _pace(self) -> pace.Pace:
        return pace.of(len(self._roster.members))

    @property
    def _known(self) -> int:
        if not self._established:
            return messages.ABSTAIN
        return self._state.known

    def _on_heartbeat(
        self, src: str, beat: messages.Heartbeat, age_s: float, now: float
    ) -> Sequence[core.Envelope]:
        self._heard[src] = now
        if beat.joining is not None and beat.joining.node == src:
            self._changes.join(beat.joining, self._is_first(), now)
        sent_at = now - age_s
        self._ledger.note(src, beat.known, sent_at, self._known, beat.leaving)
        row = self._ledger.row(src)
        row.incarnation = max(row.incarnation, beat.incarnation)
        if beat.roster == self._roster.version:
            for found in beat.groups:
                beats.note_summary(
                    self._roster, found, self._ledger, self._known, sent_at
                )
        return ()

    def _on_state_ask(
        self, src: str, ask: messages.StateAsk
    ) -> Sequence[core.Envelope]:
        objects = self._state.since(ask.since)
        reply = messages.StateReply(ask.since, self._known, objects)
        return (core.Envelope(src, reply),)

    def _on_state_reply(
        self, src: str, reply: messages.StateReply, now: float
    ) -> Sequence[core.Envelope]:
        if reply.known == messages.ABSTAIN or reply.since > self._state.cut:
            return ()
        if now - self._started_at > ESTABLISH_WAIT_S:
            self._told.add(src)
        out = self._merge(reply.objects, now)
        self._establish_by_peers()
        return out

    def _establish_by_peers(self) -> None:
        need = self._roster.peers_to_establish if self._roster.version else 0
        lists = (self._roster.nodes, self._roster.former)
        told = min(len(self._told & nodes) for nodes in lists)
        if need and told >= need:
            self._established = True

    def _on_store_reply(
        self, reply: store.StoreReply, now: float
    ) -> Sequence[core.Envelope]:
        if reply.tag == PUT_TAG:
            self._put_until = now
            self._next_evidence = now
            return ()
        read = self._reader.take(reply, now)
        if read is None:
            return ()
        out = self._merge(read.objects, now)
        self._established = True
        self._outlook.note_read(read.sent_at, self._state.cut)
        self._next_evidence = now
        return out

    def _merge(
        self, objects: tuple[store.StoredObject, ...], now: float
    ) -> Sequence[core.Envelope]:
        news = self._state.merge(objects)
        out: list[core.Envelope] = []
        if news:
            out.append(_local(messages.FleetObjects(news)))
        out.extend(self._advance(now))
        return out

    def _advance(self, now: float) -> Sequence[core.Envelope]:
        """Applies changed fleet objects to the roster and the reports."""
        obj = self._state.get(const.KEY_ROSTER)
        usable = not self._established or self._state.known >= (
            obj.version if obj else 0
        )
        if obj is not None and usable and obj.version > self._roster.version:
            found = roster.decode(obj)
            self._state.unreadable = 0 if found else obj.version
            self._roster = found or self._roster
            self._ledger.keep(self._roster.nodes | self._roster.former)
        self._ledger.promote(self._known)
        if self._known > self._told_known:
            self._outlook.known_at = now
            self._next_evidence = now
        return ()

    def _read_store(self, now: float) -> Sequence[core.Envelope]:
        old = self._outlook.evidence_age(now) > self._pace.poll_age_s
        gone = self._outlook.waits_on_gone(self._roster, self._known)
        poll = old or gone or not self._established
        return self._reader.tick(now, self._state.cut, self._watches(), poll)

    def _watches(self) -> bool:
        if len(self._roster.groups) <= 1 or self._holds:
            return True
        return self._topology.is_relay(self._roster, self._outlook.live)

    def _weigh(self, now: float) -> Sequence[core.Envelope]:
        """Updates live members and evidence, and announces them."""
        self._advance(now)
        news = self._outlook.weigh(self._roster, self._known, now)
        return [*self._tell_roster(), _local(news)]

    def _tell_roster(self) -> Sequence[core.Envelope]:
        live = tuple(sorted(self._outlook.live & self._roster.nodes))
        leaving = tuple(
            node
            for node in live
            if (
                self._leaving
                if node == self._node
                else self._ledger.row(node).leaving
            )
        )
        members = tuple(map(self._as_heard, self._roster.members))
        news = messages.RosterChanged(members, live, leaving)
        if news == self._news_told:
            return ()
        self._news_told = news
        return (_local(news),)

    def _as_heard(self, member: messages.Member) -> messages.Member:
        """Returns a member with the newest incarnation that it has reported."""
        if member.node == self._node:
            return self._me
        heard = self._ledger.row(member.node).incarnation
        if heard <= member.incarnation:
            return member
        return msgspec.structs.replace(member, incarnation=heard)

    def _catch_up(self, now: float) -> Sequence[core.Envelope]:
        """Asks a peer with a higher version if the store read is slower."""
        if not self._established:
            return self._ask_all(now)
        highest, node = self._ledger.highest()
        if highest <= self._state.cut:
            self._behind_since = math.inf
            return ()
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since < BEHIND_GRACE_S or now < self._next_ask:
            return ()
        self._next_ask = now + const.ASK_S
        return (core.Envelope(node, messages.StateAsk(self._state.cut)),)

    def _ask_all(self, now: float) -> Sequence[core.Envelope]:
        if now < self._next_ask:
            return ()
        self._next_ask = now + 2 * const.ASK_S
        ask = messages.StateAsk(self._state.cut)
        nodes = sorted((set(self._heard) | self._roster.nodes) - {self._node})
        return [core.Envelope(node, ask) for node in nodes]

    def _is_first(self) -> bool:
        return min(self._outlook.live, default="") == self._node

    def _change_roster(self, now: float) -> Sequence[core.Envelope]:
        if not self._established or self._leaving or now < self._put_until:
            return ()
        current = self._roster
        if self._state.get(const.KEY_ROSTER) and current.version == 0:
            return ()
        rows = {node: self._ledger.row(node) for node in current.nodes}
        view = roster_changes.View(
            current=current,
            accepted=self._outlook.news.accepted >= current.version,
            first=self._is_first(),
            silent_s={node: now - row.at for node, row in rows.items()},
            leaving=frozenset(n for n, row in rows.items() if row.leaving),
            vms=self._outlook.vms,
        )
        value = self._changes.propose(view, now)
        if value is None:
            return ()
        self._put_until = now + const.READ_TIMEOUT_S
        put = store.StorePut(const.KEY_ROSTER, value, current.version, PUT_TAG)
        return (core.Envelope(core_const.STORE_NODE, put),)

    def _beat(self, now: float) -> Sequence[core.Envelope]:
        news = self._known != self._told_known
        prompt = news and now - self._last_beat >= const.PROMPT_HEARTBEAT_S
        if now < self._next_beat and not prompt:
            return ()
        jitter = self._rng.uniform(0.9, 1.0)
        self._next_beat = now + self._pace.heartbeat_s * jitter
        self._last_beat = now
        self._told_known = self._known
        if self._node not in self._roster.nodes | self._roster.former:
            return self._beat_to_join()
        return self._beat_to_peers(now)

    def _beat_to_join(self) -> Sequence[core.Envelope]:
        if self._leaving:
            return ()
        beat = self._heartbeat((), self._me)
        targets = self._topology.join_targets(self._roster)
        return [core.Envelope(node, beat) for node in targets]

    def _beat_to_peers(self, now: float) -> Sequence[core.Envelope]:
        lst = self._roster
        relay = self._topology.is_relay(lst, self._outlook.live)
        own = self._ledger.row(self._node)
        own.known, own.at, own.leaving = self._known, now, self._leaving
        digest = self._topology.digest(lst, self._ledger, now) if relay else ()
        joining = None if self._me in lst.members else self._me
        beat = self._heartbeat(digest, joining)
        out = [
            core.Envelope(node, beat)
            for node in self._topology.group_peers(lst)
        ]
        if relay:
            news = self._topology.gossip(lst, self._ledger, now)
            gossip = self._heartbeat(news, None)
            relays = self._topology.other_relays(lst, self._outlook.live)
            out.extend(core.Envelope(node, gossip) for node in relays)
        return out

    def _heartbeat(
        self,
        groups: tuple[messages.GroupSummary, ...],
        joining: messages.Member | None,
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            roster=self._roster.version,
            known=self._known,
            incarnation=self._me.incarnation,
            leaving=self._leaving,
            joining=joining,
            groups=groups,
        )


def _local(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.LOCAL_NODE, msg)
