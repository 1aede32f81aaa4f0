"""Service that exchanges reports with the other routers of the fleet."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
import contextlib
import math
from typing import Any, Protocol

from tamarackbridge import core
from tamarackbridge.components.admission import observed_load, shares
from tamarackbridge.components.fleet import messages, view
from tamarackbridge.components.gateway import offload
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.knowledge import relay, source
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

DIRECTORY_RETRY_S = 1.0
"""Interval between attempts to enter the directory and to read it; a call to
the store takes that long when it fails."""

DIRECTORY_SETTLED_S = 3.0
"""Time after the start at which the directory is read again: routers that start
together enter it within this time."""

ENTER_AGAIN_SPREAD_S = 5.0
"""Time over which the routers enter the directory again after the store came
back from an older copy. No router reads the directory of a running fleet."""

INTRODUCTION_INTERVAL_S = 1.0
"""Shortest time between two introductions sent to the same router."""

ROUTERS_REFRESH_S = 0.25
"""Interval at which the list of routers that count in budgets is refreshed."""


class Directory(Protocol):
    """The stored list of routers, read by each router at its start."""

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router; returns whether it is certain to be listed."""
        ...

    def era(self) -> int:
        """Returns the era that the store named last; 0 if it names none."""
        ...

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        ...

    async def async_routers(self) -> dict[str, str] | None:
        """Returns the listed routers' zones by address; None on failure."""
        ...


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
        directory: Directory,
        clock: core.Clock,
        own: view.LocalState,
        store_relay: relay.Relay,
        on_report: Callable[[], None],
    ) -> None:
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
        self._entered_era: int | None = None
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

    async def on_start(self) -> None:
        """Starts to send reports and to enter the directory."""
        self._sharing_tasks = [
            asyncio.create_task(self._async_share_forever()),
            asyncio.create_task(self._async_enter_directory()),
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
        """Returns whether a hub relays this kind of store data to this router.

        Returns False also if this router has lacked a change of that kind for
        too long.
        """
        if self._relay.is_behind(kind):
            return False
        return bool(self.view.store_reader(self._clock.monotonic()))

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

    def request_report(self) -> None:
        """Requests that a change of this router's work is reported soon."""
        self._dirty.set()

    async def async_leave(self) -> None:
        """Removes this router from the directory."""
        await self._directory.async_leave(self._address)

    def _handle_report(
        self, src: str, report: messages.Report, age_s: float, now: float
    ) -> None:
        self._relay.handle_versions(report.versions, age_s)
        known_age_s = age_s if math.isfinite(age_s) else 0.0
        effect = self.view.handle_report(src, report, known_age_s, now)
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
                async with asyncio.timeout(
                    max(MAX_INTERVAL_S - min_interval_s, 0.0)
                ):
                    await self._dirty.wait()
            self._dirty.clear()
            receivers = self._share()
            self._check_era()
            await self._async_drop_gone()

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
        era = self._relay.era()
        if era is None or self._entered_era is None or era <= self._entered_era:
            return
        self._entered_era = era
        delay_s = ENTER_AGAIN_SPREAD_S * rendezvous.share(
            str(era), self._address
        )
        self._sharing_tasks.append(
            asyncio.create_task(self._async_enter_again(delay_s))
        )

    async def _async_enter_again(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            if await self._directory.async_enter(self._address, self._zone):
                return
            await asyncio.sleep(DIRECTORY_RETRY_S)

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

    async def _async_enter_directory(self) -> None:
        """Enters the directory and adds the routers that it lists.

        Reads it a second time after `DIRECTORY_SETTLED_S`, unless a hub
        already relays the store's data by then.
        """
        entered = False
        settled_at = self._clock.monotonic() + DIRECTORY_SETTLED_S
        while True:
            if not entered:
                entered = await self._directory.async_enter(
                    self._address, self._zone
                )
                if entered:
                    self._entered_era = self._directory.era()
            listed = await self._directory.async_routers()
            now = self._clock.monotonic()
            for address, zone in (listed or {}).items():
                self.view.peers.add(address, zone, now)
            if entered and listed is not None:
                if now >= settled_at or self.view.store_reader(now):
                    return
                await asyncio.sleep(settled_at - now)
            else:
                await asyncio.sleep(DIRECTORY_RETRY_S)

    def _update_links(self) -> None:
        addresses = self.view.peers.addresses
        if self._transport is not None and addresses != self._linked:
            self._linked = addresses
            self._transport.set_addresses(
                {address: address for address in addresses}
            )
