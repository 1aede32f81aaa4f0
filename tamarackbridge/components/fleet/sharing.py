"""Service that exchanges reports with the other routers of the fleet."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
import contextlib
import math
from typing import Any

from tamarackbridge import background_task, core
from tamarackbridge.components.admission import observed_load, shares
from tamarackbridge.components.fleet import directory as fleet_directory
from tamarackbridge.components.fleet import messages, view
from tamarackbridge.components.gateway import offload
from tamarackbridge.components.knowledge import first_read, relay, source
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.transport import service as transport
from tamarackbridge.helpers import rendezvous

MIN_INTERVAL_S = 0.04
"""Shortest time between two reports to the same router. Until the other
routers' requests are reported, an engine gets a tenth of what it prefills
within a latency target."""

MIN_INTERVAL_PER_PEER_S = 0.007
"""Shortest time between two reports for each router that gets one, so that a
hub with the largest group spends a twentieth of a core on reports."""

MAX_INTERVAL_S = 0.25
"""Longest time between two reports to the same router, also if nothing has
changed."""

LACKING_INTERVAL_S = 0.05
"""Longest time between two reports of a router that has just started and lacks
some data of the store. Routers that have it send it in response."""

START_S = 3.0
"""Time after the start in which a router relies on the one that sent it the
store's data, though that may be no hub. Routers that start together know each
other and their hubs after it."""

ENTER_AGAIN_SPREAD_S = 5.0
"""Time over which the routers enter the directory again after the store came
back from an older copy. No router reads the directory of a running fleet."""

INTRODUCTION_INTERVAL_S = 1.0
"""Shortest time between two introductions sent to the same router."""

ROUTERS_REFRESH_S = 0.25
"""Interval at which the list of routers that count in budgets is refreshed."""


class SharingService(core.Service):
    """Exchanges reports with the other routers.

    Attributes:
        view: The state of the other routers.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: Iterable[str],
        directory: fleet_directory.Directory,
        clock: core.Clock,
        own: view.LocalState,
        store_relay: relay.Relay,
        on_report: Callable[[], None],
        first_read_draw: float = 0.0,
    ) -> None:
        """Initializes the service.

        Args:
            address: Peer address of this router.
            zone: Its zone.
            seeds: Peer addresses of some routers; may be outdated.
            directory: The stored list of routers.
            clock: Clock of the intervals.
            own: What is reported of this router.
            store_relay: Sends and receives the store's data.
            on_report: Called after a report was merged.
            first_read_draw: A number drawn uniformly from 0 to 1 that decides
                how long this router waits for the store's data from others
                at its start; 0 for no wait.
        """
        super().__init__()
        self.view = view.SharedView(address, zone, own)
        self._address = address
        self._zone = zone
        self._directory = directory
        self._clock = clock
        self._relay = store_relay
        self._on_report = on_report
        self._transport: transport.PeerService | None = None
        self._sharing_tasks: list[asyncio.Task[Any]] = []
        self._first_read_wait_s = first_read.wait_s(first_read_draw)
        self._started_at = clock.monotonic()
        self._relied_at = -math.inf
        self._entry = fleet_directory.Entry(
            directory,
            address,
            zone,
            clock,
            self._add_listed,
            lambda: not self.view.peers.has_heard_any(),
        )
        self._dirty = asyncio.Event()
        self._linked: tuple[str, ...] = ()
        self._introduced_at: dict[str, float] = {}
        self._routers: tuple[str, ...] = (address,)
        self._routers_refreshed_at = -math.inf
        for seed in seeds:
            self.view.peers.add(seed, "", clock.monotonic())

    def set_transport(self, peers: transport.PeerService) -> None:
        """Sets the links to the other routers; called before the start."""
        self._transport = peers

    def is_in_other_zone(self, address: str) -> bool:
        """Returns whether a router is known to be in another zone."""
        return self.view.peers.known().get(address, "") not in ("", self._zone)

    async def on_start(self) -> None:
        """Starts to send reports and to enter the directory."""
        self._started_at = self._clock.monotonic()
        self._sharing_tasks = [
            background_task.start("sharing", self._async_share_forever),
            background_task.start("directory", self._entry.async_run),
        ]

    async def on_stop(self) -> None:
        """Stops sending reports and entering the directory."""
        for task in self._sharing_tasks:
            task.cancel()

    def routers(self) -> tuple[str, ...]:
        """Returns the routers that may send requests, including this one."""
        now = self._clock.monotonic()
        if now - self._routers_refreshed_at >= ROUTERS_REFRESH_S:
            self._routers_refreshed_at = now
            self._routers = self.view.peers.counted_in_budgets(now)
        return self._routers

    def live_routers(self) -> Collection[str]:
        """Returns the live routers, including this one."""
        return self.view.peers.live(self._clock.monotonic())

    def peers_use(self) -> dict[str, shares.Usage]:
        """Returns the use of workspaces at the other routers."""
        return self.view.peers_use()

    def peers_engine_load(self) -> observed_load.ObservedLoad:
        """Returns the engine load that the other routers observe."""
        return self.view.peers_engine_load()

    def peer_headroom(self) -> Mapping[str, offload.HeadroomReport]:
        """Returns the processor headroom of the routers of the same zone."""
        return self.view.peer_headroom.current(self._clock.monotonic())

    def store_era(self) -> int | None:
        """Returns the era of the store; None before the first read."""
        return self._relay.era()

    def peers_use_age_s(self) -> float:
        """Returns the age of the oldest use that `peers_use` counts."""
        return self.view.peers_use_age_s(self._clock.monotonic())

    def is_relayed(self, kind: source.Kind) -> bool:
        """Returns whether another router relays this kind of store data.

        This is a hub, or in the first seconds the router that sent the data.
        In these the roles change, so a new hub has the usual time for its first
        message. Returns False also if this router has lacked a change of that
        kind for too long.
        """
        if self._relay.is_behind(kind):
            return False
        now = self._clock.monotonic()
        if self.view.store_reader(now):
            self._relied_at = now
            return True
        if now - self._started_at >= START_S or self.view.reads_for_fleet():
            return False
        sender = self._relay.sender(kind)
        if sender is not None and self.view.can_relay(sender, now):
            self._relied_at = now
        return now - self._relied_at < view.HUB_SILENT_S

    def may_read_first(self) -> bool:
        """Returns whether a router without the store's data reads it now.

        At its start a router waits a little for the data of others. It does
        not wait if it knows of none, or if it is one of those that read the
        store for the others. It can tell this only if the directory listed it
        at its start, as a list of routers that start for the first time is not
        complete.
        """
        now = self._clock.monotonic()
        if now - self._started_at >= self._first_read_wait_s:
            return True
        if not self.view.peers.addresses:
            return True
        return self._entry.was_listed and self.view.is_first_reader()

    def receive(self, delivery: core.Delivery) -> None:
        """Handles a message from another router."""
        now = self._clock.monotonic()
        msg = delivery.msg
        if isinstance(msg, messages.Report):
            self._handle_report(delivery.src, msg, delivery.age_s, now)
        elif isinstance(msg, messages.Introduction):
            self.view.add_introduced(msg, now)
        elif isinstance(msg, knowledge.Snapshot):
            self._relay.handle_snapshot(delivery.src, msg, delivery.age_s)
            # Its sender's first report may arrive only later.
            self._relied_at = now

    def ranks_first(self, name: str) -> bool:
        """Returns whether this router is the one live router for a name.

        What has to be done once in the fleet is left to it.
        """
        live = self.view.peers.live(self._clock.monotonic())
        return rendezvous.owner(name, live) == self._address

    def request_report(self) -> None:
        """Requests that a change of this router's work is reported soon."""
        self._dirty.set()

    async def async_leave(self) -> None:
        """Removes this router from the directory."""
        await self._entry.async_leave()

    def _add_listed(self, zones: Mapping[str, str]) -> None:
        now = self._clock.monotonic()
        for address, zone in zones.items():
            self.view.peers.add(address, zone, now)

    def _handle_report(
        self, src: str, report: messages.Report, age_s: float, now: float
    ) -> None:
        self._relay.handle_versions(report.versions, age_s)
        known_age_s = age_s if math.isfinite(age_s) else 0.0
        effect = self.view.handle_report(src, report, known_age_s, now)
        if src not in self._linked:
            # What is sent to it now would be dropped without a link.
            self._update_links()
        if effect.needs_introduction:
            self._introduce(src, now)
        follows = self.view.relays_store_to(src)
        for snapshot in self._relay.snapshots_to_send(
            src, report.versions, follows
        ):
            self._post(src, snapshot)
        if effect.is_urgent:
            self._dirty.set()
        self._on_report()

    def _introduce(self, src: str, now: float) -> None:
        if (
            now - self._introduced_at.get(src, -math.inf)
            < INTRODUCTION_INTERVAL_S
        ):
            return
        self._introduced_at[src] = now
        self._post(src, self.view.introduction(now))

    def _post(self, to: str, msg: core.Message) -> None:
        assert self._transport is not None
        self._transport.post(to, msg)

    async def _async_share_forever(self) -> None:
        receivers = 0
        while True:
            min_interval_s = max(
                MIN_INTERVAL_S, MIN_INTERVAL_PER_PEER_S * receivers
            )
            await asyncio.sleep(min_interval_s)
            with contextlib.suppress(TimeoutError):
                longest_s = self._max_interval_s() - min_interval_s
                async with asyncio.timeout(max(longest_s, 0.0)):
                    await self._dirty.wait()
            self._dirty.clear()
            receivers = self._share()
            self._check_era()
            await self._async_drop_gone()

    def _max_interval_s(self) -> float:
        """Returns the longest time between two reports to the same router."""
        is_starting = self._clock.monotonic() - self._started_at < START_S
        if is_starting and not self._relay.is_complete():
            return LACKING_INTERVAL_S
        return MAX_INTERVAL_S

    def _share(self) -> int:
        """Sends the reports that are due; returns their number."""
        now = self._clock.monotonic()
        reports = self.view.refresh_role(now)
        reports += self.view.due_reports(now)
        self._update_links()
        for outgoing in reports:
            self._post(outgoing.to, outgoing.report)
        return len(reports)

    def _check_era(self) -> None:
        """Enters the directory again if the store may have lost the entry."""
        era, entered_era = self._relay.era(), self._entry.era
        if era is None or entered_era is None or era <= entered_era:
            return
        self._entry.era = era
        delay_s = ENTER_AGAIN_SPREAD_S * rendezvous.share(
            str(era), self._address
        )
        self._sharing_tasks.append(
            background_task.start(
                "directory_again", lambda: self._async_enter_again(delay_s)
            )
        )

    async def _async_enter_again(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._entry.async_enter()

    async def _async_drop_gone(self) -> None:
        """Drops routers that are gone.

        The first of the live routers by address removes them from the
        directory, so that each is removed once.
        """
        now = self._clock.monotonic()
        gone = self.view.peers.drop_gone(now)
        for address in gone:
            self._relay.forget_router(address)
            self._introduced_at.pop(address, None)
        if gone and self._address == min(self.view.peers.live(now)):
            for address in gone:
                await self._directory.async_leave(address)

    def _update_links(self) -> None:
        addresses = self.view.peers.addresses
        if self._transport is not None and addresses != self._linked:
            self._linked = addresses
            self._transport.set_addresses(
                {address: address for address in addresses}
            )
