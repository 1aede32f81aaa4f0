"""Routers that exchange reports on a virtual clock, without a network."""

import collections
from collections.abc import Iterable
import random
from typing import cast

from tamarackbridge import core
from tamarackbridge.components.admission import (
    observed_load,
    service_demand,
    shares,
)
from tamarackbridge.components.fleet import messages, sharing
from tamarackbridge.components.fleet import models as fleet_models
from tamarackbridge.components.fleet import view as fleet_view
from tamarackbridge.components.knowledge import applier, relay, state
from tamarackbridge.components.placement import (
    ledger,
    notices,
    prefix_cache,
    quarantine,
    server_speeds,
)
from tamarackbridge.components.rollout import gate
from tamarackbridge.components.transport import service as transport
from tests import clocks
from tests.components.knowledge import builders


class RecordedLinks:
    """Records the messages that a router sends and the links it opens."""

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


class FixedDirectory:
    """A directory with a fixed list of routers; None where it fails."""

    def __init__(self, listed: dict[str, str] | None) -> None:
        self.listed = listed

    async def async_enter(self, address: str, zone: str) -> bool:
        return self.listed is not None

    def era(self) -> int:
        return 0

    async def async_leave(self, address: str) -> None:
        """Does nothing: the list is fixed."""

    async def async_routers(
        self, allow_stale: bool = False
    ) -> dict[str, str] | None:
        return self.listed


class Router:
    """The sharing service of one router, with what it reads and sends."""

    def __init__(
        self,
        listed: dict[str, str] | None = None,
        seeds: tuple[str, ...] = (),
        address: str = "r1",
        zone: str = "z1",
        clock: clocks.VirtualClock | None = None,
        bounds: fleet_models.Bounds = builders.BOUNDS,
    ) -> None:
        self.clock = clock or clocks.VirtualClock()
        self.notices = notices.ServerNotices()
        self.quarantine = quarantine.BlockQuarantine(address)
        self.work, self.cache_index = (
            ledger.ReservationLedger(),
            prefix_cache.PrefixCacheIndex(),
        )
        self.local_copy = state.LocalCopy(bounds)
        self.speeds = server_speeds.ServerSpeeds(self.local_copy)
        self.demand = service_demand.ServiceDemand()
        self.gate = gate.Gate(
            address,
            bounds,
            self.local_copy,
            self.work,
            random.Random(address),
        )
        self.new_blocks: list[tuple[str, int]] = []
        self.links = RecordedLinks()
        knowledge_applier = applier.Applier(
            self.local_copy, self.clock, lambda: None, lambda name: None
        )
        store_relay = relay.Relay(
            self.local_copy, knowledge_applier, self.clock
        )
        own = fleet_view.LocalState(
            work=self.work,
            cache_index=self.cache_index,
            use=lambda: {"w": shares.Usage(10.0, 5.0)},
            engine_load=lambda: observed_load.ObservedLoad(1, 0.1, 0.5),
            take_new_blocks=self._take_new_blocks,
            prefill_tokens_per_s=lambda server: 0.0,
            versions=store_relay.versions,
            server_notices=self.notices,
            block_quarantine=self.quarantine,
            speeds=self.speeds.store,
            demand=self.demand,
            rollouts=self.gate if bounds.exposure_share else None,
        )
        self.sharing = sharing.SharingService(
            address,
            zone,
            seeds,
            FixedDirectory(listed),
            self.clock,
            own,
            store_relay,
            lambda: None,
        )
        self.gate.set_fleet(
            lambda: len(self.sharing.routers()) - 1,
            self.sharing.live_routers,
            self.sharing.request_report,
        )
        self.sharing.set_transport(cast(transport.PeerService, self.links))

    def _take_new_blocks(self) -> list[tuple[str, int]]:
        new_blocks, self.new_blocks = self.new_blocks, []
        return new_blocks

    def receive(self, src: str, msg: core.Message, age_s: float = 0.0) -> None:
        self.sharing.receive(core.Delivery(src, msg, age_s))

    def start_requests(self, server: str, requests: int) -> None:
        """Records requests of this router that are in flight at a server."""
        registered = builders.server(server)
        for _ in range(requests):
            self.work.begin(
                ledger.Reservation(registered, "w", 1_000, 2_000, 0.0)
            )

    def requests_at(self, server: str) -> int:
        """Returns the fleet's requests at a server in this router's view."""
        return self.work.at(server, self.clock.now, 0.0).requests


class Fleet:
    """Routers on one virtual clock, with links that can be cut."""

    def __init__(
        self, count: int, bounds: fleet_models.Bounds = builders.BOUNDS
    ) -> None:
        self.clock = clocks.VirtualClock()
        self.zones = {
            f"r{number:02}": f"z{number % 3}" for number in range(count)
        }
        self.routers = {
            address: Router(
                address=address, zone=zone, clock=self.clock, bounds=bounds
            )
            for address, zone in self.zones.items()
        }
        self.cut: set[tuple[str, str]] = set()
        self.message_counts: collections.Counter[str] = collections.Counter()
        for router in self.routers.values():
            for address, zone in self.zones.items():
                its_peers = router.sharing.view.peers
                its_peers.add(address, zone, self.clock.now)

    def run_for(self, seconds: float) -> None:
        """Lets all routers send reports every 0.1 s, until the time is over.

        Each report arrives in the same step, unless its link is cut.
        """
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            for router in self.routers.values():
                router.sharing._share()
            for src, router in self.routers.items():
                posted, router.links.posted = router.links.posted, []
                for to, msg in posted:
                    self.message_counts[src] += 1
                    if to in self.routers and (src, to) not in self.cut:
                        self.routers[to].receive(src, msg)

    def kill(self, addresses: Iterable[str]) -> None:
        for address in list(addresses):
            del self.routers[address]

    def hubs(self) -> set[str]:
        """Returns the routers that take themselves for hubs."""
        return {
            address
            for address, router in self.routers.items()
            if router.sharing.view.hub is None
        }

    def requests_seen(self, server: str) -> set[int]:
        """Returns the different views of the fleet's requests at a server."""
        return {router.requests_at(server) for router in self.routers.values()}
