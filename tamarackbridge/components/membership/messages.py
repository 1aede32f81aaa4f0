"""Messages about which routers there are and what they know."""

import msgspec

from tamarackbridge import core
from tamarackbridge.components.object_api import messages as store

ABSTAIN = -1
"""Value of `known` of a router that can't yet speak for what it knows."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One router of the fleet.

    Attributes:
        address: Where other routers reach it, `host:port`.
        incarnation: Number that grows with each start of the process.
    """

    node: str
    zone: str
    address: str = ""
    incarnation: int = 0


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Members of one group that know the same.

    Attributes:
        known: Store version up to which they know every fleet object, or
            `ABSTAIN`.
        mask: Bit i is set for the group's i-th member.
        age_ms: Upper bound on the age of what each of them said.
    """

    known: int
    mask: int
    age_ms: int


class GroupSummary(msgspec.Struct, frozen=True, array_like=True):
    """What the relay of a group heard from its live members.

    Attributes:
        group: Index of the group in the roster's groups.
        leaving: Mask of the members that are shutting down.
    """

    group: int
    leaving: int
    tallies: tuple[Tally, ...]


class Heartbeat(core.Message, frozen=True, tag=True):
    """Tells a peer that the sender lives and what it knows.

    Attributes:
        roster: Store version of the roster that the sender uses; 0 for none.
        known: Store version up to which the sender knows every fleet object.
        incarnation: Incarnation of the sender.
        leaving: Whether the sender is shutting down.
        joining: The sender itself when the roster lacks it.
        groups: Summaries of groups, from a relay; valid for `roster` only.
    """

    roster: int
    known: int
    incarnation: int
    leaving: bool = False
    joining: Member | None = None
    groups: tuple[GroupSummary, ...] = ()


class StateAsk(core.Message, frozen=True, tag=True):
    """Asks a peer for the fleet objects that changed after `since`."""

    since: int


class StateReply(core.Message, frozen=True, tag=True):
    """Answers a `StateAsk` with all fleet objects newer than `since`.

    Attributes:
        known: What the sender knows; `ABSTAIN` makes the reply worthless.
    """

    since: int
    known: int
    objects: tuple[store.StoredObject, ...]


class RosterChanged(core.Message, frozen=True, tag=True):
    """Local news: the member list or who of it is live has changed.

    Attributes:
        members: The roster, the own router included once it has joined.
        live: Nodes of the roster that are live, the own node included.
        leaving: Live nodes that are shutting down.
    """

    members: tuple[Member, ...]
    live: tuple[str, ...]
    leaving: tuple[str, ...] = ()


class FleetObjects(core.Message, frozen=True, tag=True):
    """Local news: fleet objects that are new to this router."""

    objects: tuple[store.StoredObject, ...]


class FleetEvidence(core.Message, frozen=True, tag=True):
    """Local news: how current this router's knowledge is.

    Attributes:
        known: Store version up to which this router knows every object.
        until: Monotonic time until which nothing newer can be accepted.
        accepted: Store version that a majority of the roster knows.
        majority: Whether a majority of the roster is live, or its VMs are
            certainly gone.
        store_read_at: When the last read of the store that was answered was
            sent; minus infinity for never.
        lagging: Live members known to be behind `known`, a few of them.
    """

    known: int
    until: float
    accepted: int
    majority: bool
    store_read_at: float
    lagging: tuple[str, ...] = ()


class ConfigApplied(core.Message, frozen=True, tag=True):
    """Local news: the configuration of a store version is in force."""

    version: int


class VmListRead(core.Message, frozen=True, tag=True):
    """Local news: the platform's VM list, which lags.

    Attributes:
        live: Nodes whose VM is listed as live or leaving.
    """

    live: tuple[str, ...]


class LeaveFleet(core.Message, frozen=True, tag=True):
    """Local order: this router shuts down; hand over and leave the roster."""
