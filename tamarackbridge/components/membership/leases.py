"""Takes over, renews and hands over the leases of shards.

A take-over is one conditional write of the shard's object. The new holder
begins when a majority of the roster knows the new epoch and one lease has
passed since, so that the evidence of the previous holder has expired. A planned
hand-over needs no such wait: the holder writes the new epoch, continues for a
fixed time and stops. The next holder begins when the same time has passed since
it learned of the write, which is after the previous holder has stopped.

A holder renews its lease from the evidence of membership alone, without writes.
When the evidence expires, the lease expires. It resumes in the same epoch if
evidence returns and no other router has taken the shard over.
"""

from collections.abc import Sequence
import math
import random
from typing import ClassVar

from tamarackbridge import const as core_const
from tamarackbridge import core
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import (
    const,
    lease_state,
    messages,
    placement,
    shard_object,
    timing,
)
from tamarackbridge.components.membership import evidence as evidence_rules
from tamarackbridge.components.object_api import messages as store
from tamarackbridge.components.records import models

TAG_PREFIX = "leases:"

HAND_OVER_S = 0.5
"""Time for which a holder continues after it has written a hand-over."""

HAND_OVER_END_S = HAND_OVER_S * (1 - core_const.CLOCK_DRIFT_RATIO)
HAND_OVER_FENCE_S = HAND_OVER_S * lease_state.DRIFT_FACTOR


MAX_STORE_READ_AGE_S = 3.0
"""Maximum age of the last store read at which a hand-over is started.

A holder that starts a hand-over stops even if its write fails, so the store
must be reachable.
"""

PUT_TIMEOUT_S = 1.0
"""Timeout of a write to the store."""

PLACEMENT_STABLE_S = 3.0
"""Time for which a better placement must last before a shard is moved."""


class ShardLeases:
    """Manages this router's leases and announces the holders of all shards."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        configuration.SnapshotInForce,
        messages.RosterChanged,
        messages.FleetObjects,
        messages.FleetEvidence,
        messages.LeaveFleet,
        store.StoreReply,
    )

    def __init__(self, node: str, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._snapshot = models.empty_snapshot()
        self._shards: dict[str, lease_state.ShardState] = {}
        self._unconfigured: dict[str, tuple[shard_object.ShardValue, int]] = {}
        self._roster = messages.RosterChanged((), ())
        self._evidence: messages.FleetEvidence | None = None
        self._majority_since = math.inf
        self._preferred_holders: dict[str, str] = {}
        self._max_shards = 1
        self._leaving = False
        self._attempt_count = 0
        self._attempt_prefix = f"{node}.{rng.getrandbits(48):x}."

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case configuration.SnapshotInForce():
                return self._handle_snapshot(delivery.msg.snapshot, now)
            case messages.RosterChanged():
                self._roster = delivery.msg
                self._update_placement()
            case messages.FleetObjects():
                return self._handle_objects(delivery.msg, now)
            case messages.FleetEvidence():
                self._evidence = delivery.msg
                self._record_majority(delivery.msg.majority, now)
                return self._review_shards(now)
            case messages.LeaveFleet():
                self._leaving = True
                self._update_placement()
            case store.StoreReply():
                self._handle_store_reply(delivery.msg)
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Ends leases that were handed over and announces the new holders.

        A lease without evidence needs no action: it expires at the end time
        that was announced with it.
        """
        out: list[core.Envelope] = []
        for state in self._shards.values():
            if state.held and now >= state.ends_at:
                out.extend(self._end_lease(state))
            if now >= state.announce_at:
                out.extend(self._announce(state))
        return out

    def _record_majority(self, majority: bool, now: float) -> None:
        if not majority:
            self._majority_since = math.inf
            return
        self._majority_since = min(self._majority_since, now)

    def _evidence_until(self, state: lease_state.ShardState) -> float:
        """Returns when the evidence for a shard's lease expires."""
        if self._evidence is None:
            return -math.inf
        lease_s = state.value.lease_s * (1 - core_const.CLOCK_DRIFT_RATIO)
        return self._evidence.until - evidence_rules.LEASE_USE_S + lease_s

    def _handle_snapshot(
        self, snapshot: models.Snapshot, now: float
    ) -> Sequence[core.Envelope]:
        self._snapshot = snapshot
        names = set(snapshot.shard_names())
        out: list[core.Envelope] = []
        for name in sorted(self._shards.keys() - names):
            state = self._shards.pop(name)
            self._unconfigured[name] = (state.value, state.version)
            if state.held:
                out.extend(self._end_lease(state))
        for name in sorted(names - self._shards.keys()):
            value = shard_object.ShardValue(name, 0, "", "")
            self._shards[name] = lease_state.ShardState(value)
            if name in self._unconfigured:
                out.extend(
                    self._apply_shard_value(*self._unconfigured.pop(name), now)
                )
        self._update_placement()
        return out

    def _handle_objects(
        self, changed: messages.FleetObjects, now: float
    ) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for obj in changed.objects:
            if not obj.key.startswith(const.SHARD_PREFIX):
                continue
            value = shard_object.decode(obj)
            if value is not None:
                out.extend(self._apply_shard_value(value, obj.version, now))
        return out

    def _apply_shard_value(
        self, value: shard_object.ShardValue, version: int, now: float
    ) -> Sequence[core.Envelope]:
        state = self._shards.get(value.shard)
        if state is None:
            self._unconfigured[value.shard] = (value, version)
            return ()
        if version <= state.version:
            return ()
        first_seen = state.version == 0
        own_write = value.attempt.startswith(self._attempt_prefix)
        own_hand_over = own_write and value.released
        out = (
            list(self._end_lease(state))
            if state.held and not own_hand_over
            else []
        )
        state.may_begin = own_write or (value.released and not first_seen)
        state.hand_over_sent = False
        state.value = value
        state.version = version
        state.learned_at = now
        state.accepted_at = math.inf
        state.write_pending_until = -math.inf
        state.holder_absent_since = math.inf
        state.other_preferred_since = math.inf
        state.holder_changed_at = [*state.holder_changed_at[-7:], now]
        if value.released and not first_seen:
            state.announce_at = now + HAND_OVER_S
            return out
        return [*out, *self._announce(state)]

    def _announce(
        self, state: lease_state.ShardState
    ) -> Sequence[core.Envelope]:
        state.announce_at = math.inf
        value = state.value
        announcement = dispatch.ShardHolder(
            value.shard, value.epoch, value.holder
        )
        return (_local(announcement),)

    def _update_placement(self) -> None:
        usable = frozenset(self._roster.live) - frozenset(self._roster.leaving)
        if self._leaving:
            usable -= {self._node}
        zone_by_node = placement.candidates(
            self._roster.members, usable, self._snapshot
        )
        self._preferred_holders = placement.preferred_holders(
            self._shards, zone_by_node, self._snapshot
        )
        self._max_shards = placement.max_shards_per_member(
            self._shards, zone_by_node
        )

    def _review_shards(self, now: float) -> Sequence[core.Envelope]:
        out: list[core.Envelope] = []
        for name in sorted(self._shards):
            out.extend(self._review_shard(name, self._shards[name], now))
        return out

    def _review_shard(
        self, name: str, state: lease_state.ShardState, now: float
    ) -> Sequence[core.Envelope]:
        evidence = self._evidence
        if evidence is None:
            return ()
        if evidence.accepted >= state.version > 0:
            state.accepted_at = min(state.accepted_at, now)
        if state.value.holder == self._node:
            return self._begin_or_renew(name, state, now)
        if self._may_take_over(name, state, now):
            value = self._next_value(state, self._node, False, now)
            return self._write(state, value, now)
        return ()

    def _begin_or_renew(
        self, name: str, state: lease_state.ShardState, now: float
    ) -> Sequence[core.Envelope]:
        until = self._evidence_until(state)
        if now >= until:
            return ()
        if not state.held:
            return self._begin(name, state, now)
        return self._renew(name, state, until, now)

    def _renew(
        self, name: str, state: lease_state.ShardState, until: float, now: float
    ) -> Sequence[core.Envelope]:
        if state.hand_over_sent:
            return ()
        epoch = state.value.epoch
        target = self._hand_over_to(name, state, now)
        if not target:
            held = dispatch.LeaseHeld(name, epoch, until, fresh=False)
            return (_local(held),)
        state.hand_over_sent = True
        state.ends_at = now + HAND_OVER_END_S
        lease_until = min(until, state.ends_at)
        held = dispatch.LeaseHeld(name, epoch, lease_until, fresh=False)
        value = self._next_value(state, target, True, now)
        return [_local(held), *self._write(state, value, now)]

    def _begin(
        self, name: str, state: lease_state.ShardState, now: float
    ) -> Sequence[core.Envelope]:
        if now < state.write_pending_until:
            return ()
        if state.hand_over_sent or not state.may_begin:
            value = self._next_value(
                state, self._node, state.hand_over_sent, now
            )
            return self._write(state, value, now)
        begins_at = (
            state.accepted_at + state.value.fence_s * lease_state.DRIFT_FACTOR
        )
        if state.value.released:
            begins_at = state.learned_at + HAND_OVER_FENCE_S
        if now < begins_at:
            return ()
        state.held = True
        state.ends_at = math.inf
        epoch = state.value.epoch
        state.held_epoch = epoch
        held = dispatch.LeaseHeld(
            name, epoch, self._evidence_until(state), fresh=True
        )
        return (_local(held),)

    def _end_lease(
        self, state: lease_state.ShardState
    ) -> Sequence[core.Envelope]:
        state.held = False
        state.ends_at = math.inf
        lost = dispatch.LeaseLost(state.value.shard, state.held_epoch)
        return (_local(lost),)

    def _may_take_over(
        self, name: str, state: lease_state.ShardState, now: float
    ) -> bool:
        evidence = self._evidence
        holder = state.value.holder
        absent = not holder or holder not in self._roster.live
        if not absent:
            state.holder_absent_since = math.inf
            return False
        state.holder_absent_since = min(state.holder_absent_since, now)
        if evidence is None or not evidence.majority or now >= evidence.until:
            return False
        if (
            self._preferred_holders.get(name) != self._node
            or now < state.write_pending_until
        ):
            return False
        fleet_timing = timing.for_fleet_size(len(self._roster.members))
        steady_since = max(self._majority_since, state.learned_at)
        if now - steady_since < fleet_timing.dead_after_s:
            return False
        wait_s = max(state.flap_damping_s(now), fleet_timing.settle_s)
        return now - state.holder_absent_since >= wait_s

    def _hand_over_to(
        self, name: str, state: lease_state.ShardState, now: float
    ) -> str:
        """Returns the member to hand a held shard over to, empty for none."""
        target = self._preferred_holders.get(name, "")
        if target in ("", self._node) or now < state.write_pending_until:
            state.other_preferred_since = math.inf
            return ""
        state.other_preferred_since = min(state.other_preferred_since, now)
        evidence = self._evidence
        if (
            evidence is None
            or now - evidence.store_read_at > MAX_STORE_READ_AGE_S
        ):
            return ""
        if self._must_hand_over():
            return target
        if self._count_held() <= self._max_shards:
            return ""
        if (
            now - state.other_preferred_since
            < PLACEMENT_STABLE_S + state.flap_damping_s(now)
        ):
            return ""
        return target

    def _count_held(self) -> int:
        return sum(
            state.held and not state.hand_over_sent
            for state in self._shards.values()
        )

    def _must_hand_over(self) -> bool:
        if self._leaving:
            return True
        zones = {m.node: m.zone for m in self._roster.members}
        zone = self._snapshot.zones.get(zones.get(self._node, ""))
        return zone is not None and zone.out

    def _next_value(
        self,
        state: lease_state.ShardState,
        holder: str,
        released: bool,
        now: float,
    ) -> shard_object.ShardValue:
        self._attempt_count += 1
        return shard_object.ShardValue(
            shard=state.value.shard,
            epoch=state.value.epoch + 1,
            holder=holder,
            attempt=f"{self._attempt_prefix}{self._attempt_count}",
            released=released,
            lease_s=timing.for_fleet_size(
                len(self._roster.members)
            ).shard_lease_s,
            fence_s=state.next_fence_s(released, now),
        )

    def _write(
        self,
        state: lease_state.ShardState,
        value: shard_object.ShardValue,
        now: float,
    ) -> Sequence[core.Envelope]:
        state.write_pending_until = now + PUT_TIMEOUT_S * self._rng.uniform(
            1.0, 1.5
        )
        request = store.StorePut(
            shard_object.key(value.shard),
            shard_object.encode(value),
            state.version,
            f"{TAG_PREFIX}{value.shard}",
        )
        return (core.Envelope(core_const.STORE_NODE, request),)

    def _handle_store_reply(self, reply: store.StoreReply) -> None:
        """Extends the wait for a write whose result is unknown.

        The result itself is learned from the next read of the shard's object.
        """
        if not reply.tag.startswith(TAG_PREFIX):
            return
        state = self._shards.get(reply.tag.removeprefix(TAG_PREFIX))
        if state is not None and reply.status is store.StoreStatus.UNKNOWN:
            state.write_pending_until += PUT_TIMEOUT_S


def _local(msg: core.Message) -> core.Envelope:
    return core.Envelope(core_const.LOCAL_NODE, msg)
