"""How often members speak, and how long a shard's lease lasts.

A small fleet exchanges heartbeats directly and can afford more of them, which
makes take-overs faster. A larger one relays them, so evidence is older.
"""

import dataclasses

from tamarackbridge import const as core_const

SMALL_FLEET = 9
"""Members up to which the fast pace fits the control limits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Times of one fleet size, in seconds.

    Attributes:
        heartbeat_s: Interval between two heartbeats to the same peer.
        dead_after_s: Silence after which a directly heard member is not live.
        settle_s: Time for which a death must stand before it has effects, so
            that a split is seen whole.
        weigh_s: Interval at which live members and evidence are worked out.
        poll_age_s: Age of evidence at which the store is read for more.
        shard_lease_s: How long evidence lets a dispatcher issue permits.
    """

    heartbeat_s: float
    dead_after_s: float
    settle_s: float
    weigh_s: float
    poll_age_s: float
    shard_lease_s: float


FAST = Pace(0.15, 0.5, 0.17, 0.1, 0.35, 0.6)
RELAYED = Pace(0.4, 1.2, 1.0, 0.3, 1.4, core_const.LEASE_S)


def of(members: int) -> Pace:
    """Returns the pace of a fleet with so many members."""
    return FAST if members <= SMALL_FLEET else RELAYED
