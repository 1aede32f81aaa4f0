"""Quarantine of requests and prompt blocks that crash servers.

A crash is evidence against the requests that the server had barely begun to
answer, and against the blocks of their prompts. An answer that gets further
clears its request and all blocks of the prompt. What has enough evidence and no
such answer is quarantined: requests with it are rejected instead of crashing
the next server. In this module a request counts as one of its own blocks.

Load pattern: a poison pill. Callers and routers retry a request that crashes
its server, and others with the same content follow, at any router.
"""

import collections
from collections.abc import Callable, Collection, Iterable
import dataclasses
import math
from typing import TypeAlias

from tamarackbridge.components.placement import crash_evidence
from tamarackbridge.helpers import rendezvous

QUARANTINE_EVIDENCE = 2.0
"""Evidence from which on a block is quarantined. Two independent crashes with
an answer that had just begun, or four with a request that had no answer yet:
fewer than five crashes, after which the target allows no more."""

QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3_600.0
"""A block is quarantined for `QUARANTINE_S` after the last crash. Each crash
beyond the needed ones doubles the time, up to `MAX_QUARANTINE_S`."""

EVIDENCE_S = 60.0
"""Time after which a crash is no evidence against a block that is not
quarantined."""

TRIAL_S = 10.0
"""Interval between two trials of a block whose quarantine has ended, long
enough for the first one to produce an answer or a crash."""

CLEARANCE_S = 10.0
"""Time for which the other routers are informed that a block was cleared."""

MAX_SUSPECTS = 128
"""Suspects that are kept, those with the strongest evidence first."""

MAX_ANSWERED_BLOCKS = 8_192
"""Blocks whose last answer is remembered: the requests and shared blocks that
are answered within the time that a report of a crash takes."""

_Key: TypeAlias = tuple[tuple[str, int], frozenset[str]]
"""Crash and blocks of a suspect. Suspects of one crash with the same blocks are
one piece of evidence."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Quarantine:
    """Quarantine of one block.

    Attributes:
        companions: Blocks that were in all suspects with the block and were not
            cleared, itself included. Any of them may be the cause, so only
            requests with all of them are rejected. A request has none, and is
            none.
        until: Time at which the quarantine ends.
        forget_at: Time at which the evidence is dropped.
    """

    companions: frozenset[str]
    until: float
    forget_at: float


class BlockQuarantine:
    """Evidence against prompt blocks, and the blocks that are quarantined.

    Attributes:
        changes: Counts new quarantines, so that readers notice that results
            they keep are outdated.
    """

    def __init__(self, router: str) -> None:
        """Creates a quarantine without evidence.

        Args:
            router: Address of this router.
        """
        self.changes = 0
        self._router = router
        self._suspects: dict[_Key, crash_evidence.Suspect] = {}
        self._suspected: frozenset[str] = frozenset()
        self._quarantines: dict[str, _Quarantine] = {}
        self._trial_at: dict[str, float] = {}
        self._answered_at: collections.OrderedDict[str, float]
        self._answered_at = collections.OrderedDict()
        self._cleared_at: dict[str, float] = {}
        self._has_unsent = False
        self._unsaved: set[str] = set()

    def record_suspects(
        self, suspects: Iterable[crash_evidence.Suspect], now: float
    ) -> list[str]:
        """Records suspects of another router, or saved ones.

        They are evaluated together: those of a long quarantine are too old to
        be kept one by one.

        Returns:
            The blocks that are quarantined as a result and were not before.
        """
        self._drop_expired(now)
        changed: set[str] = set()
        for suspect in suspects:
            changed |= self._add(suspect, now)
        added = self._update(changed)
        self._suspected |= changed
        self._trim()
        return added

    def record_own_crash(
        self, suspect: crash_evidence.Suspect, now: float
    ) -> list[str]:
        """Records a suspect of this router, which saves what follows from it.

        Returns:
            The blocks that are quarantined as a result and were not before.
        """
        added = self.record_suspects((suspect,), now)
        self._unsaved |= self._quarantines.keys() & suspect.blocks
        return added

    def pop_unsaved(self) -> tuple[crash_evidence.Suspect, ...]:
        """Returns the evidence that this router has to save, once."""
        unsaved, self._unsaved = self._unsaved, set()
        return tuple(
            suspect
            for suspect in self._suspects.values()
            if suspect.blocks & unsaved
        )

    def record_answer(self, blocks: Collection[str], now: float) -> list[str]:
        """Clears the blocks of a request whose answer makes progress.

        Returns:
            The blocks whose quarantine ends.
        """
        for block in blocks:
            self._answered_at[block] = now
            self._answered_at.move_to_end(block)
        while len(self._answered_at) > MAX_ANSWERED_BLOCKS:
            self._answered_at.popitem(last=False)
        ended: list[str] = []
        for block in self._suspected.intersection(blocks):
            ended += self.apply_clearance(block, now)
        return ended

    def apply_clearance(self, block: str, answered_at: float) -> list[str]:
        """Clears a block that was part of a prompt with an answer.

        Returns:
            The block if its quarantine ends.
        """
        last = self._answered_at.get(block, -math.inf)
        self._answered_at[block] = max(last, answered_at)
        if self._cleared_at.get(block, -math.inf) >= answered_at:
            return []
        affected = {block}
        is_suspected = False
        for key, suspect in list(self._suspects.items()):
            if block not in suspect.blocks or suspect.crashed_at >= answered_at:
                continue
            is_suspected = True
            affected |= suspect.blocks
            del self._suspects[key]
            rest = suspect.blocks - {block}
            if rest:
                self._keep(dataclasses.replace(suspect, blocks=rest))
        if not is_suspected:
            return []
        self._collect_suspected()
        self._cleared_at[block] = answered_at
        self._has_unsent = True
        was_quarantined = block in self._quarantines
        self._update(affected)
        ended = was_quarantined and block not in self._quarantines
        return [block] if ended else []

    def remaining_s(
        self,
        blocks: Callable[[], Collection[str]],
        routers: Callable[[], Iterable[str]],
        now: float,
    ) -> float:
        """Returns for how long requests with these blocks are rejected.

        After the end of a quarantine one router sends one request with the
        block at a time, until one is answered.

        Args:
            blocks: Returns the shared blocks of the request.
            routers: Returns the routers that may be sending, this one included.
            now: The time.
        """
        if not self._quarantines:
            return 0.0
        names = blocks()
        longest_s = 0.0
        for block in names:
            found = self._quarantines.get(block)
            if found is None or not found.companions.issubset(names):
                continue
            ends_at = found.until
            if now >= ends_at:
                ends_at = self._next_trial_at(block, routers(), now)
            longest_s = max(longest_s, ends_at - now)
        return longest_s

    def record_sent(self, blocks: Collection[str], now: float) -> None:
        """Records that a request was sent; it may be a trial."""
        for block in self._quarantines.keys() & blocks:
            self._trial_at[block] = now

    def is_quarantined(self, block: str, now: float) -> bool:
        """Returns whether a block's quarantine has not ended."""
        found = self._quarantines.get(block)
        return found is not None and now < found.until

    def quarantined(self) -> int:
        """Returns the number of blocks that are quarantined or on trial."""
        return len(self._quarantines)

    def suspects(self, now: float) -> list[crash_evidence.Suspect]:
        """Returns the suspects, for the other routers."""
        self._drop_expired(now)
        return list(self._suspects.values())

    def clearances(self, now: float) -> dict[str, float]:
        """Returns when blocks were cleared lately, for the other routers."""
        for block, cleared_at in list(self._cleared_at.items()):
            if now - cleared_at > CLEARANCE_S:
                del self._cleared_at[block]
        return dict(self._cleared_at)

    def pop_unsent_change(self) -> bool:
        """Returns whether the evidence changed since this was last called."""
        has_unsent, self._has_unsent = self._has_unsent, False
        return has_unsent

    def _add(
        self, suspect: crash_evidence.Suspect, now: float
    ) -> frozenset[str]:
        """Stores what is not cleared of a suspect.

        Returns:
            The blocks with new evidence against them.
        """
        uncleared = sorted(
            block
            for block in suspect.blocks
            if not self._is_cleared(block, suspect.crashed_at, now)
        )
        blocks = frozenset(uncleared[: crash_evidence.MAX_BLOCKS])
        if not blocks or now - suspect.crashed_at > MAX_QUARANTINE_S:
            return frozenset()
        if not self._keep(dataclasses.replace(suspect, blocks=blocks)):
            return frozenset()
        self._has_unsent = True
        return blocks

    def _keep(self, suspect: crash_evidence.Suspect) -> bool:
        """Stores a suspect; returns whether it adds evidence.

        A known one is not replaced by its like: its times would drift as they
        are passed between routers.
        """
        key = (suspect.crash, suspect.blocks)
        known = self._suspects.get(key)
        if known is not None and known.has_begun >= suspect.has_begun:
            return False
        self._suspects[key] = suspect
        return True

    def _is_cleared(self, block: str, crashed_at: float, now: float) -> bool:
        """Returns whether a block had an answer after a crash."""
        answered_at = self._answered_at.get(block, -math.inf)
        if answered_at <= crashed_at:
            return False
        # The router that reported the crash may not know of the answer.
        if now - answered_at <= CLEARANCE_S:
            self._cleared_at[block] = answered_at
            self._has_unsent = True
        return True

    def _next_trial_at(
        self, block: str, routers: Iterable[str], now: float
    ) -> float:
        if rendezvous.owner(block, routers) != self._router:
            return now + TRIAL_S
        return max(self._trial_at.get(block, -math.inf) + TRIAL_S, now)

    def _update(self, blocks: Iterable[str]) -> list[str]:
        """Evaluates blocks anew; returns those that are newly quarantined."""
        added = []
        for block in blocks:
            found = self._evaluate(block)
            if found is None:
                self._quarantines.pop(block, None)
                self._trial_at.pop(block, None)
                continue
            if block not in self._quarantines:
                added.append(block)
                self.changes += 1
            self._quarantines[block] = found
        return added

    def _evaluate(self, block: str) -> _Quarantine | None:
        """Returns the quarantine of a block by the evidence against it."""
        independent = crash_evidence.independent_suspects(
            suspect
            for suspect in self._suspects.values()
            if block in suspect.blocks
        )
        evidence = 0.0
        needed = 0
        for suspect in independent:
            if evidence < QUARANTINE_EVIDENCE:
                needed += 1
            evidence += suspect.evidence
        if evidence < QUARANTINE_EVIDENCE:
            return None
        seconds = min(
            math.ldexp(QUARANTINE_S, len(independent) - needed),
            MAX_QUARANTINE_S,
        )
        last_at = max(suspect.crashed_at for suspect in independent)
        if crash_evidence.is_request(block):
            companions = frozenset((block,))
        else:
            # All crashes may be due to one request that was sent again. Others
            # with its blocks are rejected even so: a crash costs more.
            common = frozenset.intersection(
                *(each.blocks for each in independent)
            )
            companions = frozenset(
                each for each in common if not crash_evidence.is_request(each)
            )
        return _Quarantine(
            companions,
            until=last_at + seconds,
            forget_at=last_at + 2 * seconds,
        )

    def _drop_expired(self, now: float) -> None:
        """Drops evidence that is too old."""
        forgotten = [
            block
            for block, found in self._quarantines.items()
            if now >= found.forget_at
        ]
        for block in forgotten:
            del self._quarantines[block]
            self._trial_at.pop(block, None)
        self._drop(
            key
            for key, suspect in self._suspects.items()
            if now - suspect.crashed_at > EVIDENCE_S
            and not self._quarantines.keys() & suspect.blocks
        )

    def _trim(self) -> None:
        """Drops the weakest evidence beyond the limit."""
        if len(self._suspects) > MAX_SUSPECTS:
            by_strength = sorted(
                self._suspects, key=self._strength, reverse=True
            )
            self._drop(by_strength[MAX_SUSPECTS:])

    def _drop(self, keys: Iterable[_Key]) -> None:
        for key in list(keys):
            del self._suspects[key]
        self._collect_suspected()

    def _collect_suspected(self) -> None:
        self._suspected = frozenset().union(
            *(suspect.blocks for suspect in self._suspects.values())
        )

    def _strength(self, key: _Key) -> tuple[bool, float, float]:
        suspect = self._suspects[key]
        return (
            bool(self._quarantines.keys() & suspect.blocks),
            suspect.evidence,
            suspect.crashed_at,
        )
