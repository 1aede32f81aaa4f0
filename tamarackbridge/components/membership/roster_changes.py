"""Decides on changes of the roster."""

import dataclasses
import math
import random

from tamarackbridge.components.membership import (
    const,
    messages,
    pace,
    roster,
)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The inputs of a decision on the roster.

    Attributes:
        current: The roster in use.
        accepted: Whether a majority knows this roster.
        first: Whether this router is the first live member.
        silent_s: Seconds since the last report, by node.
        leaving: Members that have announced their shutdown.
        vms: Nodes in the VM list; None before it was first read.
    """

    current: roster.Roster
    accepted: bool
    first: bool
    silent_s: dict[str, float]
    leaving: frozenset[str]
    vms: frozenset[str] | None


class RosterChanges:
    """Collects join requests and proposes the next roster."""

    def __init__(self, me: messages.Member, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._joining: dict[str, messages.Member] = {}
        self._due = math.inf
        self._alone_since = math.inf

    def join(self, member: messages.Member, first: bool, now: float) -> None:
        """Records a router's request to join the roster.

        The first live member writes the change; the others wait longer, at a
        random time, and write it only if the first did not.
        """
        self._joining[member.node] = member
        wait = const.JOIN_BATCH_S * (1 if first else 2 + self._rng.random())
        self._due = min(self._due, now + wait)

    def propose(self, view: View, now: float) -> bytes | None:
        """Returns the encoded next roster, None if no change is due."""
        if self._me.node not in view.current.nodes:
            return self._found(view, now)
        if not view.accepted:
            return None
        if not view.current.settled:
            return self._settle(view)
        if now < self._due and not (view.first and self._removed(view)):
            return None
        return self._change(view)

    def _settle(self, view: View) -> bytes | None:
        if not view.first:
            return None
        members = view.current.members
        return roster.encode(members, members)

    def _change(self, view: View) -> bytes | None:
        self._due = math.inf
        gone = self._removed(view) if view.first else frozenset()
        members = {m.node: m for m in view.current.members}
        for node in gone:
            members.pop(node, None)
        for node, member in self._joining.items():
            members[node] = member
        self._joining.clear()
        chosen = tuple(members[node] for node in sorted(members))
        if chosen == view.current.members:
            return None
        return roster.encode(chosen, view.current.members)

    def _removed(self, view: View) -> frozenset[str]:
        return frozenset(
            node
            for node in view.current.nodes - {self._me.node}
            if self._is_gone(node, view)
        )

    def _is_gone(self, node: str, view: View) -> bool:
        silent_s = view.silent_s.get(node, math.inf)
        if node in view.leaving:
            return silent_s > pace.RELAYED.dead_after_s
        confirmed = view.vms is not None and node not in view.vms
        return confirmed and silent_s > const.REMOVE_AFTER_S

    def _found(self, view: View, now: float) -> bytes | None:
        """Returns a roster of this router alone if there is no usable one.

        That is when no roster exists, or when all members of the existing one
        have been gone for `RESET_AFTER_S`.
        """
        if view.current.version == 0:
            return roster.encode((self._me,), (self._me,))
        if not self._all_gone(view):
            self._alone_since = math.inf
            return None
        self._alone_since = min(self._alone_since, now)
        if now - self._alone_since < const.RESET_AFTER_S:
            return None
        return roster.encode((self._me,), (self._me,))

    def _all_gone(self, view: View) -> bool:
        if view.vms is None or view.vms & view.current.nodes:
            return False
        silent = view.silent_s.values()
        return all(found > const.REMOVE_AFTER_S for found in silent)
