"""Routers that share their view, without a network between them."""

import collections
from collections.abc import Iterable
from typing import cast

from tamarackbridge import core
from tamarackbridge.components.admission import engine_load, shares
from tamarackbridge.components.fleet import messages, sharing
from tamarackbridge.components.fleet import view as fleet_view
from tamarackbridge.components.knowledge import applier, relay, state
from tamarackbridge.components.placement import ledger, notices, parts
from tamarackbridge.components.transport import service as transport
from tests import clocks
from tests.components.knowledge import builders


class Wire:
    """Takes what a router posts."""

    def __init__(self) -> None:
        self.posted: list[tuple[str, core.Message]] = []
        self.addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses

    def post(self, to: str, msg: core.Message) -> None:
        self.posted.append((to, msg))

    def reports(self) -> dict[str, messages.Report]:
        return {
            to: msg
            for to, msg in self.posted
            if isinstance(msg, messages.Report)
        }


class ListedRouters:
    def __init__(self, listed: dict[str, str] | None) -> None:
        self.listed = listed

    async def async_enter(self, address: str, zone: str) -> bool:
        return self.listed is not None

    async def async_leave(self, address: str) -> None:
        """Nothing is kept."""

    async def async_routers(self) -> dict[str, str] | None:
        return self.listed


class Router:
    def __init__(
        self,
        listed: dict[str, str] | None = None,
        seeds: tuple[str, ...] = (),
        address: str = "r1",
        zone: str = "z1",
        clock: clocks.VirtualClock | None = None,
    ) -> None:
        self.clock = clock or clocks.VirtualClock()
        self.notices = notices.Notices()
        self.work, self.held = ledger.Ledger(), parts.HeldParts()
        self.known = state.Knowledge(builders.BOUNDS)
        self.fresh: list[tuple[str, int]] = []
        self.wire = Wire()
        taking = applier.Applier(
            self.known, self.clock, lambda: None, lambda name: None
        )
        relaying = relay.Relay(self.known, taking, self.clock)
        own = fleet_view.Own(
            work=self.work,
            held=self.held,
            use=lambda: {"w": shares.Usage(10.0, 5.0)},
            seen=lambda: engine_load.ObservedLoad(1, 0.1, 0.5),
            fresh_parts=self._take_fresh,
            read_per_s=lambda server: 0.0,
            editions=relaying.editions,
            notices=self.notices,
        )
        self.sharing = sharing.SharingService(
            address,
            zone,
            seeds,
            ListedRouters(listed),
            self.clock,
            own,
            relaying,
            lambda: None,
        )
        self.sharing.use(cast(transport.PeerService, self.wire))

    def _take_fresh(self) -> list[tuple[str, int]]:
        fresh, self.fresh = self.fresh, []
        return fresh

    def hear(self, src: str, msg: core.Message, age_s: float = 0.0) -> None:
        self.sharing.receive(core.Delivery(src, msg, age_s))

    def run(self, server: str, requests: int) -> None:
        """Begins requests at a server."""
        registered = builders.server(server)
        for _ in range(requests):
            self.work.begin(ledger.Ticket(registered, "w", 1_000, 2_000, 0.0))

    def requests_at(self, server: str) -> int:
        """Returns the requests that the whole fleet has at a server."""
        return self.work.at(server, self.clock.now, 0.0).requests


class Fleet:
    """Routers on one virtual clock, with links that can be cut."""

    def __init__(self, count: int) -> None:
        self.clock = clocks.VirtualClock()
        self.zones = {f"r{it:02}": f"z{it % 3}" for it in range(count)}
        self.routers = {
            address: Router(address=address, zone=zone, clock=self.clock)
            for address, zone in self.zones.items()
        }
        self.cut: set[tuple[str, str]] = set()
        self.messages: collections.Counter[str] = collections.Counter()
        for router in self.routers.values():
            for address, zone in self.zones.items():
                peers_of = router.sharing.view.peers
                peers_of.know(address, zone, self.clock.now)

    def play(self, seconds: float) -> None:
        """Lets all routers share every 0.1 s; each message takes one turn."""
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            for router in self.routers.values():
                router.sharing._share()
            for src, router in self.routers.items():
                posted, router.wire.posted = router.wire.posted, []
                for to, msg in posted:
                    self.messages[src] += 1
                    if to in self.routers and (src, to) not in self.cut:
                        self.routers[to].hear(src, msg)

    def kill(self, addresses: Iterable[str]) -> None:
        for address in list(addresses):
            del self.routers[address]

    def hubs(self) -> set[str]:
        return {
            address
            for address, it in self.routers.items()
            if it.sharing.view.hub is None
        }

    def seen(self, server: str) -> set[int]:
        return {it.requests_at(server) for it in self.routers.values()}
