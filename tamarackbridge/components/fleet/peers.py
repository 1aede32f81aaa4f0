"""The other routers, and which of them live."""

from collections.abc import Iterable
import dataclasses
import math

SILENT_S = 1.0
"""A router that said nothing for this long is taken to have no work; four
messages in a row are not lost without a cause."""

LIVE_S = 6.0
"""A router counts as live this long after it was last heard or listed: time
to replace several hubs that were lost at once, each found out in 0.7 s, while
nobody lists the routers of their groups."""

MUTED_S = 15.0
"""A hub that this router does not hear is not relied on for this long, unless
it is heard again: the time of a common partition."""

REMEMBERED_S = 60.0
"""A router counts for budgets this long after it was last heard of, so that
one that is cut off does not take the others' part."""

GONE_S = 300.0
"""A router that was not heard of for this long has been replaced: outages of
a zone last minutes."""


@dataclasses.dataclass(slots=True)
class _Peer:
    zone: str
    known_since: float
    heard_at: float = -math.inf
    listed_at: float = -math.inf
    muted_until: float = -math.inf

    @property
    def last(self) -> float:
        return max(self.heard_at, self.listed_at)


class Peers:
    """What is known of the other routers."""

    def __init__(self, address: str, zone: str) -> None:
        self._address = address
        self._zone = zone
        self._peers: dict[str, _Peer] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """The peer addresses of all routers that are known."""
        return tuple(self._peers)

    def know(self, address: str, zone: str, now: float) -> None:
        """Notes that a router is said to exist."""
        if address == self._address:
            return
        peer = self._peers.get(address)
        if peer is None:
            self._peers[address] = _Peer(zone, now)
        elif zone:
            peer.zone = zone

    def listed(self, zone: str, addresses: Iterable[str], now: float) -> None:
        """Notes that another router hears these routers."""
        for address in addresses:
            if address == self._address:
                continue
            self.know(address, zone, now)
            self._peers[address].listed_at = now

    def heard(self, address: str, now: float) -> bool:
        """Notes that a router was heard; says whether it was silent before."""
        self.know(address, "", now)
        peer = self._peers[address]
        was_silent = now - peer.heard_at > SILENT_S
        peer.heard_at = now
        peer.muted_until = -math.inf
        return was_silent

    def mute(self, address: str, now: float) -> None:
        """Notes that a router does not answer this one."""
        self._peers[address].muted_until = now + MUTED_S

    def heard_since(self, address: str, at: float) -> bool:
        """Whether a router was heard after a time."""
        peer = self._peers.get(address)
        return peer is not None and peer.heard_at > at

    def live(self, now: float) -> dict[str, str]:
        """Returns the live routers with their zones, this one among them."""
        found = {
            address: it.zone
            for address, it in self._peers.items()
            if now - max(it.last, it.known_since) < LIVE_S
        }
        return {self._address: self._zone, **found}

    def muted(self, now: float) -> frozenset[str]:
        """Returns the routers that are not relied on as hubs."""
        return frozenset(
            address
            for address, it in self._peers.items()
            if now < it.muted_until
        )

    def known(self) -> dict[str, str]:
        """Returns all routers with their zones, this one among them."""
        found = {address: it.zone for address, it in self._peers.items()}
        return {self._address: self._zone, **found}

    def remembered(self, now: float) -> tuple[str, ...]:
        """Returns the routers that may be sending, this one among them."""
        found = (
            address
            for address, it in self._peers.items()
            if now - it.last < REMEMBERED_S
        )
        return (self._address, *found)

    def drop_gone(self, now: float) -> tuple[str, ...]:
        """Drops and returns routers that are gone."""
        gone = tuple(
            address
            for address, it in self._peers.items()
            if now - max(it.last, it.known_since) > GONE_S
        )
        for address in gone:
            del self._peers[address]
        return gone
