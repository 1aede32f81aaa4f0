"""Keeps the claims of idempotency keys.

Any router can keep any range at any time: what may run is decided by the
conditional writes of the range's journal alone. That one router keeps a
range is for efficiency.
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
    """Keeps the ranges that this router owns or is asked about."""

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
        self._tag_base = f"{const.TAG_PREFIX}/{rng.getrandbits(48):x}"
        self._tags = 0
        self._ranges: dict[int, claim_range.ClaimRange] = {}
        self._owned: frozenset[int] = frozenset()
        self._incarnations: dict[str, int] = {}

    @property
    def claims_held(self) -> int:
        """Number of keys in memory."""
        return sum(len(r.journal.copy.entries) for r in self._ranges.values())

    @property
    def writes(self) -> int:
        """Number of conditional writes of tails so far."""
        return sum(r.journal.writes for r in self._ranges.values())

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Takes one message in."""
        match delivery.msg:
            case messages.ClaimAsk(key=key) as ask:
                self._range_of(key, now).ask(delivery.src, ask, now)
            case messages.ClaimSettle(key=key) as settle:
                self._range_of(key, now).settle(delivery.src, settle, now)
            case store.StoreReply() as reply:
                self._take_reply(reply, now)
            case membership.RosterChanged() as roster:
                self._take_roster(roster, now)
        return self._flush()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Writes what has gathered and unloads what is not used."""
        for number, held in list(self._ranges.items()):
            if self._is_idle(number, held, now):
                del self._ranges[number]
            else:
                held.tick(now)
        return self._flush()

    def _flush(self) -> list[core.Envelope]:
        return [env for held in self._ranges.values() for env in held.take()]

    def _is_idle(
        self, number: int, held: claim_range.ClaimRange, now: float
    ) -> bool:
        if number in self._owned or held.is_busy:
            return False
        return now - held.used >= const.IDLE_RANGE_S

    def _range_of(self, key: str, now: float) -> claim_range.ClaimRange:
        return self._range(ranges.range_of(key), now)

    def _range(self, number: int, now: float) -> claim_range.ClaimRange:
        held = self._ranges.get(number)
        if held is None:
            held = claim_range.ClaimRange(
                number=number,
                retention_s=self._retention_s,
                max_outcome_bytes=self._max_outcome_bytes,
                new_tag=self._new_tag,
                is_gone=self._is_gone,
                now=now,
            )
            self._ranges[number] = held
        return held

    def _new_tag(self) -> str:
        self._tags += 1
        return f"{self._tag_base}/{self._tags}"

    def _is_gone(self, attempt: str) -> bool:
        """Tells whether an attempt's router has ended, as far as is known."""
        if not self._incarnations:
            return False
        node, incarnation = client.origin(attempt)
        return self._incarnations.get(node) != incarnation

    def _take_reply(self, reply: store.StoreReply, now: float) -> None:
        if not reply.tag.startswith(self._tag_base):
            return
        for held in self._ranges.values():
            if held.reply(reply, now):
                return

    def _take_roster(
        self, roster: membership.RosterChanged, now: float
    ) -> None:
        self._incarnations = {
            member.node: member.incarnation
            for member in roster.members
            if member.node in roster.live
        }
        self._owned = frozenset(
            number
            for number in range(const.RANGES)
            if ranges.keeper_of(number, ranges.keepers(roster)) == self._node
        )
        for number in self._owned:
            self._range(number, now).used = now
        for held in self._ranges.values():
            held.roster_changed()
