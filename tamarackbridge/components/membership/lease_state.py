"""A router's view of one shard and its lease."""

import dataclasses
import math

from tamarackbridge import const as core_const
from tamarackbridge.components.membership import shard_object

DRIFT_FACTOR = 1 + core_const.CLOCK_DRIFT_RATIO
"""Factor on a duration after which it has passed on every router's clock."""

FLAP_WINDOW_S = 30.0
"""Period within which changes of holder delay the next change."""

MAX_FLAP_DAMPING_S = 8.0
"""Maximum delay of a change of holder because of flapping."""


@dataclasses.dataclass(slots=True)
class ShardState:
    """This router's view of one shard.

    Attributes:
        value: The shard's object as last read.
        version: Store version of the shard's object.
        learned_at: When this router learned of `version`.
        accepted_at: When a majority was first seen to know `version`.
        may_begin: Whether this process may begin the epoch: it wrote the epoch
            or saw it handed over. False after a restart.
        hand_over_sent: Whether this router has sent a hand-over of this
            version, which may take effect at any time.
        held: Whether this router holds the shard's lease and dispatches it.
        held_epoch: Epoch of the lease.
        ends_at: When this router stops because of a hand-over.
        announce_at: When the holder is announced to the other deciders.
        write_pending_until: Time until which this router waits for the
            result of its last write.
        holder_absent_since: Since when the holder has not been live.
        other_preferred_since: Since when another member is the preferred
            holder.
        holder_changed_at: Times of the last changes of holder, at most eight.
    """

    value: shard_object.ShardValue
    version: int = 0
    learned_at: float = -math.inf
    accepted_at: float = math.inf
    may_begin: bool = False
    hand_over_sent: bool = False
    held: bool = False
    held_epoch: int = 0
    ends_at: float = math.inf
    announce_at: float = math.inf
    write_pending_until: float = -math.inf
    holder_absent_since: float = math.inf
    other_preferred_since: float = math.inf
    holder_changed_at: list[float] = dataclasses.field(default_factory=list)

    def flap_damping_s(self, now: float) -> float:
        """Returns the delay of a change of holder, in seconds.

        It is 0 up to two changes within `FLAP_WINDOW_S`, then doubles with
        each further one up to `MAX_FLAP_DAMPING_S`.
        """
        recent = [
            at for at in self.holder_changed_at if now - at < FLAP_WINDOW_S
        ]
        if len(recent) < 3:
            return 0.0
        return min(0.5 * 2.0 ** (len(recent) - 3), MAX_FLAP_DAMPING_S)

    def next_fence_s(self, released: bool, now: float) -> float:
        """Returns the longest lease that may still run after the next write.

        The first epoch waits too: a router with an older configuration may
        still hold the shard's backend servers as part of another shard.
        """
        current = self.value
        earlier_ended = now - self.accepted_at > current.fence_s * DRIFT_FACTOR
        if released or earlier_ended or not self.version:
            return current.lease_s
        return max(current.lease_s, current.fence_s)
