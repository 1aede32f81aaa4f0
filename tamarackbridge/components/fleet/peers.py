"""The other routers of the fleet and their liveness."""

from collections.abc import Iterable
import dataclasses
import math

SILENT_S = 1.0
"""A router without a message for this long is taken to have no work; four
consecutive messages are not lost without a cause."""

LIVE_S = 6.0
"""A router counts as live for this long after its last message or listing.
This covers the replacement of several hubs that are lost at once, each
detected after 0.7 s, while no hub lists the routers of their groups."""

UNRESPONSIVE_S = 15.0
"""A hub whose messages do not arrive is not relied on for this long, unless
one arrives after all: the duration of a common network partition."""

BUDGET_S = 60.0
"""A router counts in the division of budgets for this long after its last
message or listing, so that the others do not use the budget of a router that
is only cut off from them."""

NEW_S = 6.0
"""A router that is only known by name counts there for this long, in which it
or its hub sends a message: a router that has just started knows the others from
the directory alone, and all may have started with it."""

GONE_S = 300.0
"""A router without a message or listing for this long has been replaced:
zone outages last minutes."""


@dataclasses.dataclass(slots=True)
class _Peer:
    zone: str
    known_since: float
    received_at: float = -math.inf
    listed_at: float = -math.inf
    unresponsive_until: float = -math.inf

    @property
    def last_sign_of_life(self) -> float:
        return max(self.received_at, self.listed_at)


class Peers:
    """Addresses, zones and liveness of the other routers."""

    def __init__(self, address: str, zone: str) -> None:
        self._address = address
        self._zone = zone
        self._peers: dict[str, _Peer] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """The peer addresses of all known routers."""
        return tuple(self._peers)

    def add(self, address: str, zone: str, now: float) -> None:
        """Adds a router, or updates its zone unless `zone` is empty.

        This is no sign of life of a router that is already known.
        """
        if address == self._address:
            return
        peer = self._peers.get(address)
        if peer is None:
            self._peers[address] = _Peer(zone, now)
        elif zone:
            peer.zone = zone

    def record_listing(
        self, zone: str, addresses: Iterable[str], now: float
    ) -> None:
        """Records that another router listed these routers as live."""
        for address in addresses:
            if address == self._address:
                continue
            self.add(address, zone, now)
            self._peers[address].listed_at = now

    def record_message(self, address: str, now: float) -> bool:
        """Records a message from a router.

        Returns:
            Whether the router was silent before.
        """
        self.add(address, "", now)
        peer = self._peers[address]
        was_silent = now - peer.received_at > SILENT_S
        peer.received_at = now
        peer.unresponsive_until = -math.inf
        return was_silent

    def mark_unresponsive(self, address: str, now: float) -> None:
        """Marks a router as one that does not answer this router."""
        self._peers[address].unresponsive_until = now + UNRESPONSIVE_S

    def has_message_since(self, address: str, at: float) -> bool:
        """Returns whether a message from a router arrived after a time."""
        peer = self._peers.get(address)
        return peer is not None and peer.received_at > at

    def has_heard_any(self) -> bool:
        """Returns whether a message from any router has arrived."""
        return any(
            math.isfinite(peer.received_at) for peer in self._peers.values()
        )

    def live(self, now: float) -> dict[str, str]:
        """Returns the zones of the live routers, including this one."""
        found = {
            address: peer.zone
            for address, peer in self._peers.items()
            if now - max(peer.last_sign_of_life, peer.known_since) < LIVE_S
        }
        return {self._address: self._zone, **found}

    def unresponsive(self, now: float) -> frozenset[str]:
        """Returns the routers that are not relied on as hubs."""
        return frozenset(
            address
            for address, peer in self._peers.items()
            if now < peer.unresponsive_until
        )

    def known(self) -> dict[str, str]:
        """Returns the zones of all known routers, including this one."""
        found = {address: peer.zone for address, peer in self._peers.items()}
        return {self._address: self._zone, **found}

    def counted_in_budgets(self, now: float) -> tuple[str, ...]:
        """Returns the routers that may send requests, including this one."""
        found = (
            address
            for address, peer in self._peers.items()
            if now - peer.last_sign_of_life < BUDGET_S
            or now - peer.known_since < NEW_S
        )
        return (self._address, *found)

    def drop_gone(self, now: float) -> tuple[str, ...]:
        """Drops and returns the routers that are gone."""
        gone = tuple(
            address
            for address, peer in self._peers.items()
            if now - max(peer.last_sign_of_life, peer.known_since) > GONE_S
        )
        for address in gone:
            del self._peers[address]
        return gone
