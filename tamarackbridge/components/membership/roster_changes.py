"""Decides on changes of the roster."""

import dataclasses
import math
import random

from tamarackbridge.components.membership import (
    const,
    messages,
    roster,
    timing,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """The inputs of a decision on the roster.

    Attributes:
        current: The roster in use.
        accepted: Whether a majority knows this roster.
        is_first: Whether this router is the first live member.
        silent_s: Seconds since the last report, by node.
        leaving: Members that have announced their shutdown.
        vms: Nodes in the VM list; None before it was first read.
    """

    current: roster.Roster
    accepted: bool
    is_first: bool
    silent_s: dict[str, float]
    leaving: frozenset[str]
    vms: frozenset[str] | None


class RosterChanges:
    """Collects join requests and proposes the next roster."""

    def __init__(self, own_member: messages.Member, rng: random.Random) -> None:
        self._own_member = own_member
        self._rng = rng
        self._joining: dict[str, messages.Member] = {}
        self._change_due_at = math.inf
        self._all_gone_since = math.inf

    def join(self, member: messages.Member, is_first: bool, now: float) -> None:
        """Records a router's request to join the roster.

        The first live member writes the change; the others wait longer, at a
        random time, and write it only if the first did not.
        """
        self._joining[member.node] = member
        wait = const.JOIN_BATCH_S * (1 if is_first else 2 + self._rng.random())
        self._change_due_at = min(self._change_due_at, now + wait)

    def propose(self, inputs: Inputs, now: float) -> bytes | None:
        """Returns the encoded next roster, None if no change is due."""
        if self._own_member.node not in inputs.current.nodes:
            return self._create_roster(inputs, now)
        if not inputs.accepted:
            return None
        if not inputs.current.settled:
            return self._finish_change(inputs)
        if now < self._change_due_at and not (
            inputs.is_first and self._find_removable(inputs)
        ):
            return None
        return self._start_change(inputs)

    def _finish_change(self, inputs: Inputs) -> bytes | None:
        if not inputs.is_first:
            return None
        members = inputs.current.members
        return roster.encode(members, members)

    def _start_change(self, inputs: Inputs) -> bytes | None:
        self._change_due_at = math.inf
        removed = (
            self._find_removable(inputs) if inputs.is_first else frozenset()
        )
        members = {m.node: m for m in inputs.current.members}
        for node in removed:
            members.pop(node, None)
        for node, member in self._joining.items():
            members[node] = member
        self._joining.clear()
        new_members = tuple(members[node] for node in sorted(members))
        if new_members == inputs.current.members:
            return None
        return roster.encode(new_members, inputs.current.members)

    def _find_removable(self, inputs: Inputs) -> frozenset[str]:
        return frozenset(
            node
            for node in inputs.current.nodes - {self._own_member.node}
            if self._is_removable(node, inputs)
        )

    def _is_removable(self, node: str, inputs: Inputs) -> bool:
        silent_s = inputs.silent_s.get(node, math.inf)
        if node in inputs.leaving:
            return silent_s > timing.RELAYED.dead_after_s
        confirmed = inputs.vms is not None and node not in inputs.vms
        return confirmed and silent_s > const.REMOVE_MEMBER_AFTER_S

    def _create_roster(self, inputs: Inputs, now: float) -> bytes | None:
        """Returns a roster of this router alone if there is no usable one.

        That is when no roster exists, or when all members of the existing one
        have been gone for `RESET_ROSTER_AFTER_S`.
        """
        if inputs.current.version == 0:
            return roster.encode((self._own_member,), (self._own_member,))
        if not self._all_gone(inputs):
            self._all_gone_since = math.inf
            return None
        self._all_gone_since = min(self._all_gone_since, now)
        if now - self._all_gone_since < const.RESET_ROSTER_AFTER_S:
            return None
        return roster.encode((self._own_member,), (self._own_member,))

    def _all_gone(self, inputs: Inputs) -> bool:
        if inputs.vms is None or inputs.vms & inputs.current.nodes:
            return False
        silences = inputs.silent_s.values()
        return all(
            silent_s > const.REMOVE_MEMBER_AFTER_S for silent_s in silences
        )
