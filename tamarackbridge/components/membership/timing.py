"""Heartbeat and lease timing, by fleet size.

A small fleet exchanges heartbeats directly and can afford more of them, which
makes take-overs faster. In a larger fleet heartbeats pass through relays, so
evidence is older when it arrives.
"""

import dataclasses

from tamarackbridge import const as core_const

SMALL_FLEET = 9
"""Maximum members for which `FAST` keeps within the control traffic limits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and durations for one range of fleet sizes, in seconds.

    Attributes:
        heartbeat_s: Interval between two heartbeats to the same peer.
        dead_after_s: Silence after which a member of the own group is not
            live.
        settle_s: Time for which a holder must be absent before its shard is
            taken over, so that all losses of a network partition have been
            noticed by then.
        update_interval_s: Interval at which live members and evidence are
            updated.
        poll_age_s: Age of evidence above which the store is read to renew it.
        shard_lease_s: Time for which evidence lets the holder of a shard
            issue permits.
    """

    heartbeat_s: float
    dead_after_s: float
    settle_s: float
    update_interval_s: float
    poll_age_s: float
    shard_lease_s: float


FAST = Timing(0.15, 0.5, 0.17, 0.1, 0.35, 0.6)
RELAYED = Timing(0.4, 1.2, 1.0, 0.3, 1.4, core_const.LEASE_S)


def for_fleet_size(members: int) -> Timing:
    """Returns the timing of a fleet with this number of members."""
    return FAST if members <= SMALL_FLEET else RELAYED
