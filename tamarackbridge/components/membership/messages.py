"""Messages about which routers there are."""

from tamarackbridge import core


class Member(core.Message, frozen=True, tag=True):
    """One router of the fleet.

    Attributes:
        node: Identifier of the router.
        zone: Availability zone that it is in.
        address: `host:port` at which other routers reach it.
        incarnation: Number that grows with each start of the router.
    """

    node: str
    zone: str
    address: str
    incarnation: int


class RosterChanged(core.Message, frozen=True, tag=True):
    """Local news: who is in the fleet and who answers.

    Attributes:
        members: The roster.
        live: Nodes of the members that this router hears from, itself
            included.
    """

    members: tuple[Member, ...]
    live: tuple[str, ...]
