"""Messages of fleet membership, between routers and within one."""

import msgspec

from tamarackbridge import core
from tamarackbridge.components.object_api import messages as store

ABSTAIN = -1
"""Value of `known` of a router that isn't established yet.

After a start a router doesn't know which versions its previous process had
confirmed, so it must not count towards a majority.
"""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One router of the fleet.

    Attributes:
        address: Address for connections of other routers, `host:port`.
        incarnation: Number that increases with each start of the process.
    """

    node: str
    zone: str
    address: str = ""
    incarnation: int = 0


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """The live members of one group that report the same `known`.

    Attributes:
        known: Store version up to which these members know every fleet
            object, or `ABSTAIN`.
        mask: Bit mask of the members; bit i stands for the group's i-th.
        age_ms: Upper bound on the age of their reports, in milliseconds.
    """

    known: int
    mask: int
    age_ms: int


class GroupSummary(msgspec.Struct, frozen=True, array_like=True):
    """The reports of one group's live members, as forwarded by relays.

    Attributes:
        group: Index of the group in the roster's groups.
        leaving: Bit mask of the members that are shutting down.
    """

    group: int
    leaving: int
    tallies: tuple[Tally, ...]


class Heartbeat(core.Message, frozen=True, tag=True):
    """Reports to a peer that the sender is live and which version it knows.

    Attributes:
        roster: Store version of the roster that the sender uses; 0 for none.
        known: Store version up to which the sender knows every fleet object.
        incarnation: Incarnation of the sender.
        leaving: Whether the sender is shutting down.
        joining: The sender's own entry when the roster lacks it.
        groups: Summaries of groups, from a relay. Their group indexes and
            masks refer to the roster of version `roster`.
    """

    roster: int
    known: int
    incarnation: int
    leaving: bool = False
    joining: Member | None = None
    groups: tuple[GroupSummary, ...] = ()


class StateAsk(core.Message, frozen=True, tag=True):
    """Asks a peer for the fleet objects newer than store version `since`."""

    since: int


class StateReply(core.Message, frozen=True, tag=True):
    """Answers a `StateAsk` with all fleet objects newer than `since`.

    Attributes:
        known: Store version up to which the sender knows every fleet object.
            A reply with `ABSTAIN` is ignored.
    """

    since: int
    known: int
    objects: tuple[store.StoredObject, ...]


class RosterChanged(core.Message, frozen=True, tag=True):
    """Local message: the roster or the set of live members has changed.

    Attributes:
        members: The roster, with this router once it has joined.
        live: Nodes of the roster that are live, this router included.
        leaving: Live nodes that are shutting down.
    """

    members: tuple[Member, ...]
    live: tuple[str, ...]
    leaving: tuple[str, ...] = ()


class FleetObjects(core.Message, frozen=True, tag=True):
    """Local message: fleet objects that are new to this router."""

    objects: tuple[store.StoredObject, ...]


class FleetEvidence(core.Message, frozen=True, tag=True):
    """Local message: how current this router's copy of the fleet objects is.

    Attributes:
        known: Store version up to which this router knows every fleet
            object, or `ABSTAIN`.
        until: Monotonic time until which no newer version can be accepted.
        accepted: Store version up to which a majority of the roster knows
            every fleet object.
        majority: Whether a majority of the roster is either live or
            confirmed gone by the VM list.
        store_read_at: Monotonic time at which the last successful read of
            the store was sent; minus infinity before the first.
        lagging: Live members that report less than `known`; at most
            `GROUP_SIZE` of them.
    """

    known: int
    until: float
    accepted: int
    majority: bool
    store_read_at: float
    lagging: tuple[str, ...] = ()


class ConfigApplied(core.Message, frozen=True, tag=True):
    """Local message: the configuration of a store version is in force."""

    version: int


class VmListRead(core.Message, frozen=True, tag=True):
    """Local message: the platform's VM list, which may be out of date.

    Attributes:
        live: Nodes whose VM is listed as live or leaving.
    """

    live: tuple[str, ...]


class LeaveFleet(core.Message, frozen=True, tag=True):
    """Local message: shut down; hand shards over and leave the roster."""
