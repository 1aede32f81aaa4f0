"""Exchanges the shared view of work and use with the other routers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import contextlib
import math
from typing import Any, Protocol

from tamarackbridge import core
from tamarackbridge.components.admission import pressure, shares
from tamarackbridge.components.fleet import messages, view
from tamarackbridge.components.gateway import offload
from tamarackbridge.components.knowledge import messages as knowledge
from tamarackbridge.components.knowledge import relay, source
from tamarackbridge.components.transport import service as transport

SOON_S = 0.04
"""Least time between two messages to each router: while nothing is heard of
the others' requests, an engine gets a tenth of what it reads in a target."""

SOON_FOR_EACH_S = 0.007
"""The same for each router that is told, so that a hub with the largest group
spends a twentieth of a core on it."""

REST_S = 0.25
"""Longest time between two messages, also if nothing has changed."""

ENTER_S = 1.0
"""Interval at which a router tries to enter the list of routers; a call to
the store takes that long when it fails."""

SETTLED_S = 3.0
"""The list of routers is read again this long after the start: routers that
start together enter it within this time."""

INTRODUCE_S = 1.0
"""Least time between two introductions of the fleet to one router."""

ROUTERS_S = 0.25
"""Interval at which the list of routers that budgets count is made anew."""


class Directory(Protocol):
    """Where routers find each other at their start."""

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router; says whether it is certainly in."""
        ...

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        ...

    async def async_routers(self) -> dict[str, str] | None:
        """Returns routers' addresses and zones; None if they can't be read."""
        ...


class SharingService(core.Service):
    """Exchanges the shared view with the other routers."""

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: Iterable[str],
        directory: Directory,
        clock: core.Clock,
        own: view.Own,
        relaying: relay.Relay,
        changed: Callable[[], None],
    ) -> None:
        super().__init__()
        self.view = view.SharedView(address, zone, own)
        self._address = address
        self._zone = zone
        self._directory = directory
        self._clock = clock
        self._relay = relaying
        self._changed = changed
        self._transport: transport.PeerService | None = None
        self._running: list[asyncio.Task[Any]] = []
        self._dirty = asyncio.Event()
        self._published: tuple[str, ...] = ()
        self._introduced: dict[str, float] = {}
        self._routers: tuple[str, ...] = (address,)
        self._routers_at = -math.inf
        for seed in seeds:
            self.view.peers.know(seed, "", clock.monotonic())

    def use(self, peers: transport.PeerService) -> None:
        """Names the links to the other routers."""
        self._transport = peers

    async def on_start(self) -> None:
        """Begins to share."""
        self._running = [
            asyncio.create_task(self._async_share()),
            asyncio.create_task(self._async_enter()),
        ]

    async def on_stop(self) -> None:
        """Ends sharing."""
        for task in self._running:
            task.cancel()

    def routers(self) -> tuple[str, ...]:
        """Returns the routers that may be sending, this one among them."""
        now = self._clock.monotonic()
        if now - self._routers_at >= ROUTERS_S:
            self._routers_at = now
            self._routers = self.view.peers.remembered(now)
        return self._routers

    def others_use(self) -> dict[str, shares.Use]:
        """Returns the use of workspaces at the other routers."""
        return self.view.use_elsewhere()

    def others_seen(self) -> pressure.Seen:
        """Returns how busy the other routers see the engines."""
        return self.view.seen_elsewhere()

    def spare(self) -> Mapping[str, offload.PeerHeadroom]:
        """Returns what peers of the same zone have to spare."""
        return self.view.spares.told(self._clock.monotonic())

    def use_age_s(self) -> float:
        """Returns the age of the oldest use that `others_use` counts."""
        return self.view.use_age_s(self._clock.monotonic())

    def is_told(self, kind: source.Kind) -> bool:
        """Whether another router tells this one all that the store holds."""
        if self._relay.is_behind(kind):
            return False
        return bool(self.view.teller(self._clock.monotonic()))

    def receive(self, delivery: core.Delivery) -> None:
        """Takes a message of another router."""
        now = self._clock.monotonic()
        msg = delivery.msg
        if isinstance(msg, messages.Report):
            self._take_report(delivery.src, msg, delivery.age_s, now)
        elif isinstance(msg, messages.Introduction):
            self.view.meet(msg, now)
        elif isinstance(msg, knowledge.Snapshot):
            self._relay.take(delivery.src, msg, delivery.age_s)

    def note_change(self) -> None:
        """Notes that the others should soon hear of this router's work."""
        self._dirty.set()

    async def async_leave(self) -> None:
        """Removes this router from the directory."""
        await self._directory.async_leave(self._address)

    def _take_report(
        self, src: str, msg: messages.Report, age_s: float, now: float
    ) -> None:
        self._relay.hear(msg.editions, age_s)
        told_s = age_s if math.isfinite(age_s) else 0.0
        heard = self.view.hear(src, msg, told_s, now)
        if heard.is_lost:
            self._introduce(src, now)
        follows = self.view.follows(src)
        for snapshot in self._relay.lacking(src, msg.editions, follows):
            self._post(src, snapshot)
        if heard.is_news:
            self._dirty.set()
        self._changed()

    def _introduce(self, src: str, now: float) -> None:
        if now - self._introduced.get(src, -math.inf) < INTRODUCE_S:
            return
        self._introduced[src] = now
        self._post(src, self.view.introduction(now))

    def _post(self, to: str, msg: core.Message) -> None:
        assert self._transport is not None
        self._transport.post(to, msg)

    async def _async_share(self) -> None:
        links = 0
        while True:
            least_s = max(SOON_S, SOON_FOR_EACH_S * links)
            await asyncio.sleep(least_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(REST_S - least_s, 0.0)):
                    await self._dirty.wait()
            self._dirty.clear()
            links = self._share()
            await self._async_drop_gone()

    def _share(self) -> int:
        """Tells the others what is due; returns how many were told."""
        now = self._clock.monotonic()
        reports = self.view.settle(now)
        reports += self.view.outgoing(now)
        self._publish_addresses()
        for item in reports:
            self._post(item.to, item.report)
        return len(reports)

    async def _async_drop_gone(self) -> None:
        """Drops routers that are gone.

        The first of the live routers takes them off the list, so that each
        goes once.
        """
        now = self._clock.monotonic()
        gone = self.view.peers.drop_gone(now)
        for address in gone:
            self._relay.forget(address)
            self._introduced.pop(address, None)
        if gone and self._address == min(self.view.peers.live(now)):
            for address in gone:
                await self._directory.async_leave(address)

    async def _async_enter(self) -> None:
        entered = False
        settled_at = self._clock.monotonic() + SETTLED_S
        while True:
            if not entered:
                entered = await self._directory.async_enter(
                    self._address, self._zone
                )
            found = await self._directory.async_routers()
            now = self._clock.monotonic()
            for address, zone in (found or {}).items():
                self.view.peers.know(address, zone, now)
            if entered and found is not None:
                if now >= settled_at or self.view.teller(now):
                    return
                await asyncio.sleep(settled_at - now)
            else:
                await asyncio.sleep(ENTER_S)

    def _publish_addresses(self) -> None:
        known = self.view.peers.addresses
        if self._transport is not None and known != self._published:
            self._published = known
            self._transport.set_addresses({it: it for it in known})
