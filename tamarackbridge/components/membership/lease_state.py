"""What a router knows of one shard and its holder."""

import dataclasses
import math

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import shard_object

DRIFT_FACTOR = 1 + core_const.CLOCK_DRIFT_RATIO
"""Factor on a time after which it has passed on every router."""

FLAP_WINDOW_S = 30.0
"""Time within which changes of holder make the next one wait longer."""

FLAP_MAX_S = 8.0
"""Longest time that a take-over waits for flapping to end."""


@dataclasses.dataclass(slots=True)
class ShardState:
    """What this router knows of one shard.

    Attributes:
        version: Store version of the shard's object.
        learned_at: When this router learned of `version`.
        recognised_at: When a majority was first seen to know `version`.
        mine: Whether this process may begin the epoch: it wrote it, or saw
            it handed over. False after a restart.
        surrendered: Whether a hand-over of this version was sent, which may
            take effect at any time.
        held: Whether this router dispatches the shard.
        held_epoch: The epoch in which it does.
        ends_at: When it stops because of a hand-over.
        announce_at: When the holder is to be told to the other deciders.
        put_until: Time until which a write of this router is on the way.
        absent_since: Since when the holder is missed.
        better_since: Since when another member is the preferred holder.
        changed_at: When the holder last changed, a few times back.
    """

    value: shard_object.ShardValue
    version: int = 0
    learned_at: float = -math.inf
    recognised_at: float = math.inf
    mine: bool = False
    surrendered: bool = False
    held: bool = False
    held_epoch: int = 0
    ends_at: float = math.inf
    announce_at: float = math.inf
    put_until: float = -math.inf
    absent_since: float = math.inf
    better_since: float = math.inf
    changed_at: list[float] = dataclasses.field(default_factory=list)

    def damping_s(self, now: float) -> float:
        """Returns the wait before a change of holder, longer after many."""
        recent = [at for at in self.changed_at if now - at < FLAP_WINDOW_S]
        if len(recent) < 3:
            return 0.0
        return min(0.5 * 2.0 ** (len(recent) - 3), FLAP_MAX_S)

    def next_fence_s(self, released: bool, now: float) -> float:
        """Returns the longest lease that may still run after the next write.

        The first epoch waits for a router that has the shard's backend
        servers in another shard, by an older configuration.
        """
        before = self.value
        ended = now - self.recognised_at > before.fence_s * DRIFT_FACTOR
        if released or ended or not self.version:
            return before.lease_s
        return max(before.lease_s, before.fence_s)
