"""Claim keeper: decides which attempt may run the work of a key.

Any router can keep any range at any time, because only a conditional write to
the journal of the range decides what may run. Assigning each range to one
router is an optimization.
"""

from collections.abc import Sequence
import random
from typing import ClassVar

from tamarackbridge import core
from tamarackbridge.components.claims import (
    claim_range,
    client,
    const,
    messages,
    ranges,
)
from tamarackbridge.components.membership import messages as membership
from tamarackbridge.components.object_api import messages as store


class Keeper:
    """Keeps the ranges that this router owns or receives messages for."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        messages.ClaimAsk,
        messages.ClaimSettle,
        store.StoreReply,
        membership.RosterChanged,
    )

    def __init__(
        self,
        node: str,
        rng: random.Random,
        retention_s: float,
        max_outcome_bytes: int,
    ) -> None:
        self._node = node
        self._retention_s = retention_s
        self._max_outcome_bytes = max_outcome_bytes
        self._tag_prefix = f"{const.TAG_PREFIX}/{rng.getrandbits(48):x}"
        self._tag_count = 0
        self._ranges: dict[int, claim_range.ClaimRange] = {}
        self._owned: frozenset[int] = frozenset()
        self._incarnations: dict[str, int] = {}

    @property
    def claims_held(self) -> int:
        """Number of keys whose state is in memory."""
        return sum(
            len(key_range.journal.replica.entries)
            for key_range in self._ranges.values()
        )

    @property
    def writes(self) -> int:
        """Number of conditional writes of tails by the loaded ranges."""
        return sum(
            key_range.journal.writes for key_range in self._ranges.values()
        )

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Handles one message."""
        match delivery.msg:
            case messages.ClaimAsk(key=key) as ask:
                self._range_for_key(key, now).handle_ask(delivery.src, ask, now)
            case messages.ClaimSettle(key=key) as settle:
                self._range_for_key(key, now).handle_settle(
                    delivery.src, settle, now
                )
            case store.StoreReply() as reply:
                self._handle_store_reply(reply, now)
            case membership.RosterChanged() as roster:
                self._handle_roster(roster, now)
        return self._drain_outboxes()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Starts due writes and unloads unused ranges."""
        for number, key_range in list(self._ranges.items()):
            if self._is_idle(number, key_range, now):
                del self._ranges[number]
            else:
                key_range.tick(now)
        return self._drain_outboxes()

    def _drain_outboxes(self) -> list[core.Envelope]:
        return [
            envelope
            for key_range in self._ranges.values()
            for envelope in key_range.drain_outbox()
        ]

    def _is_idle(
        self, number: int, key_range: claim_range.ClaimRange, now: float
    ) -> bool:
        if number in self._owned or key_range.is_busy:
            return False
        return now - key_range.last_used_at >= const.RANGE_IDLE_TIMEOUT_S

    def _range_for_key(self, key: str, now: float) -> claim_range.ClaimRange:
        return self._get_range(ranges.range_of(key), now)

    def _get_range(self, number: int, now: float) -> claim_range.ClaimRange:
        key_range = self._ranges.get(number)
        if key_range is None:
            key_range = claim_range.ClaimRange(
                number=number,
                retention_s=self._retention_s,
                max_outcome_bytes=self._max_outcome_bytes,
                new_tag=self._new_tag,
                has_router_ended=self._has_router_ended,
                now=now,
            )
            self._ranges[number] = key_range
        return key_range

    def _new_tag(self) -> str:
        self._tag_count += 1
        return f"{self._tag_prefix}/{self._tag_count}"

    def _has_router_ended(self, attempt: str) -> bool:
        """Returns whether the router of an attempt is known to have ended."""
        if not self._incarnations:
            return False
        node, incarnation = client.attempt_origin(attempt)
        return self._incarnations.get(node) != incarnation

    def _handle_store_reply(self, reply: store.StoreReply, now: float) -> None:
        if not reply.tag.startswith(self._tag_prefix):
            return
        for key_range in self._ranges.values():
            if key_range.handle_store_reply(reply, now):
                return

    def _handle_roster(
        self, roster: membership.RosterChanged, now: float
    ) -> None:
        self._incarnations = {
            member.node: member.incarnation
            for member in roster.members
            if member.node in roster.live
        }
        self._owned = frozenset(
            number
            for number in range(const.RANGE_COUNT)
            if ranges.keeper_of(number, ranges.keepers(roster)) == self._node
        )
        for number in self._owned:
            self._get_range(number, now).last_used_at = now
        for key_range in self._ranges.values():
            key_range.handle_roster_change()
