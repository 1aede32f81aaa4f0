"""Decider that passes the addresses of the routers to the transport."""

from collections.abc import Callable, Sequence
from typing import ClassVar

from tamarackbridge import core
from tamarackbridge.components.membership import messages as membership


class AddressPort:
    """Passes the addresses of each new roster to the transport."""

    handles: ClassVar[tuple[type[core.Message], ...]] = (
        membership.RosterChanged,
    )

    def __init__(self, set_addresses: Callable[[dict[str, str]], None]) -> None:
        self._set_addresses = set_addresses

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        """Passes on the addresses of a new roster."""
        del now
        if isinstance(delivery.msg, membership.RosterChanged):
            members = delivery.msg.members
            self._set_addresses(
                {member.node: member.address for member in members}
            )
        return ()

    def tick(self, now: float) -> Sequence[core.Envelope]:
        """Does nothing."""
        del now
        return ()
