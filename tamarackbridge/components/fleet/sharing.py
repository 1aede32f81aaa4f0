"""Exchanges the shared view of work and use with the other routers."""

import asyncio
from collections.abc import Callable, Iterable
import contextlib
import dataclasses
import math
from typing import Any, Protocol

from tamarackbridge import core
from tamarackbridge.components.admission import shares
from tamarackbridge.components.fleet import messages
from tamarackbridge.components.placement import ledger, parts
from tamarackbridge.components.telemetry import events
from tamarackbridge.components.transport import service as transport

SOON_S = 0.04
"""Least time between two messages to each router: while nothing is heard of
the others' requests, an engine gets a tenth of what it reads in a target."""

SOON_FOR_EACH_S = 0.006
"""The same for each router of the fleet, so that a large fleet spends no more
of a processor on it than a small one."""

REST_S = 0.25
"""Longest time between two messages, also if nothing has changed."""

USE_S = 0.4
"""Interval at which the use of workspaces goes along: a tenth of its window."""

SILENT_S = 1.0
"""A router that said nothing for this long is taken to have no work; five
messages in a row are not lost without a cause."""

REMEMBERED_S = 60.0
"""A router counts for budgets this long after it was last heard, so that one
that is cut off does not take the others' part."""

GONE_S = 300.0
"""A router that was not heard for this long has been replaced: outages of a
zone last minutes."""

ENTER_S = 1.0
"""Interval at which a router tries to enter the list of routers; a call to
the store takes that long when it fails."""


@dataclasses.dataclass(slots=True)
class _Peer:
    heard_at: float = -math.inf
    known_since: float = 0.0
    live: bool = False
    use: dict[str, shares.Use] = dataclasses.field(default_factory=dict)
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What sharing reads of this router."""

    work: ledger.Ledger
    held: parts.HeldParts
    use: Callable[[], dict[str, shares.Use]]
    fresh_parts: Callable[[], list[tuple[str, int]]]
    waiting: Callable[[], int]
    configuration: Callable[[], tuple[int, float]]


class Directory(Protocol):
    """Where routers find each other at their start."""

    async def async_enter(self, address: str) -> bool:
        """Adds this router; says whether it is certainly in."""
        ...

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        ...

    async def async_routers(self) -> tuple[str, ...] | None:
        """Returns the routers' addresses; None if they can't be read."""
        ...


class SharingService(core.Service):
    """Exchanges the shared view with every other router."""

    def __init__(
        self,
        address: str,
        seeds: Iterable[str],
        directory: Directory,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self.leaving = False
        self._address = address
        self._directory = directory
        self._clock = clock
        now = clock.monotonic()
        self._peers = {
            seed: _Peer(known_since=now) for seed in seeds if seed != address
        }
        self._transport: transport.PeerService | None = None
        self._view: View | None = None
        self._changed: Callable[[], None] = _nothing
        self._running: list[asyncio.Task[Any]] = []
        self._use_at = -math.inf
        self._dirty = asyncio.Event()

    def use(
        self,
        peers: transport.PeerService,
        view: View,
        changed: Callable[[], None],
    ) -> None:
        """Names the parts that this service joins."""
        self._transport = peers
        self._view = view
        self._changed = changed

    async def on_start(self) -> None:
        """Begins to share."""
        self._publish_addresses()
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
        heard = (
            address
            for address, it in self._peers.items()
            if now - it.heard_at < REMEMBERED_S
        )
        return (self._address, *heard)

    def others_use(self) -> dict[str, shares.Use]:
        """Returns the use of workspaces at the other routers."""
        now = self._clock.monotonic()
        total: dict[str, shares.Use] = {}
        for peer in self._peers.values():
            if now - peer.heard_at > SILENT_S:
                continue
            for workspace, used in peer.use.items():
                known = total.get(workspace, shares.NOTHING)
                total[workspace] = known.plus(used)
        return total

    def receive(self, delivery: core.Delivery) -> None:
        """Takes a message of another router."""
        msg = delivery.msg
        if not isinstance(msg, messages.Status) or self._view is None:
            return
        now = self._clock.monotonic()
        peer = self._peers.get(delivery.src)
        if peer is None:
            peer = self._peers[delivery.src] = _Peer(known_since=now)
            self._publish_addresses()
        if not peer.live:
            peer.live = True
            events.write(events.RouterHeard(delivery.src))
        age_s = delivery.age_s if math.isfinite(delivery.age_s) else 0.0
        peer.heard_at = now
        peer.leaving = msg.leaving
        work = {
            it.server: ledger.Work(it.requests, it.unread, it.memory)
            for it in msg.work
        }
        self._view.work.hear(delivery.src, ledger.Told(work, now - age_s))
        for held in msg.held:
            self._view.held.note(held.server, held.chain, now - age_s)
        if msg.use is not None:
            peer.use = {
                it.workspace: shares.Use(it.asked, it.served) for it in msg.use
            }
        self._changed()

    def note_change(self) -> None:
        """Notes that the others should soon hear of this router's work."""
        self._dirty.set()

    async def _async_share(self) -> None:
        while True:
            least_s = max(SOON_S, SOON_FOR_EACH_S * len(self._peers))
            await asyncio.sleep(least_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(REST_S - least_s, 0.0)):
                    await self._dirty.wait()
            self._dirty.clear()
            self._drop_silent()
            for address in self._drop_gone():
                await self._directory.async_leave(address)
            msg = self._status()
            assert self._transport is not None
            for address in self._peers:
                self._transport.post(address, msg)

    def _status(self) -> messages.Status:
        view = self._view
        assert view is not None
        now = self._clock.monotonic()
        version, age_s = view.configuration()
        use = None
        if now - self._use_at >= USE_S:
            self._use_at = now
            use = tuple(
                messages.WorkspaceUse(name, int(it.asked), int(it.served))
                for name, it in view.use().items()
            )
        return messages.Status(
            work=tuple(
                messages.ServerWork(name, it.requests, it.unread, it.memory)
                for name, it in view.work.own().items()
            ),
            held=tuple(
                messages.Held(server, chain)
                for server, chain in view.fresh_parts()
            ),
            use=use,
            waiting=view.waiting(),
            configuration=version,
            configuration_age_ms=int(min(age_s, 3600.0) * 1000),
            leaving=self.leaving,
        )

    def _drop_silent(self) -> None:
        assert self._view is not None
        now = self._clock.monotonic()
        for address, peer in self._peers.items():
            if peer.live and now - peer.heard_at > SILENT_S:
                peer.live = False
                silent_s = round(now - peer.heard_at, 3)
                events.write(events.RouterSilent(address, silent_s))
                self._view.work.forget(address)
                peer.use = {}

    def _drop_gone(self) -> list[str]:
        """Drops routers that are gone; returns those to take off the list.

        The first of the live routers takes them off, so that each goes once.
        """
        now = self._clock.monotonic()
        gone = [
            address
            for address, it in self._peers.items()
            if now - max(it.heard_at, it.known_since) > GONE_S
        ]
        for address in gone:
            del self._peers[address]
        if not gone:
            return []
        self._publish_addresses()
        live = [address for address, it in self._peers.items() if it.live]
        return gone if self._address < min(live, default="~") else []

    async def _async_enter(self) -> None:
        entered = False
        while True:
            if not entered:
                entered = await self._directory.async_enter(self._address)
            found = await self._directory.async_routers()
            if found is not None:
                for address in found:
                    if address != self._address:
                        now = self._clock.monotonic()
                        new = _Peer(known_since=now)
                        self._peers.setdefault(address, new)
                self._publish_addresses()
                if entered:
                    return
            await asyncio.sleep(ENTER_S)

    async def async_leave(self) -> None:
        """Removes this router from the directory."""
        await self._directory.async_leave(self._address)

    def _publish_addresses(self) -> None:
        if self._transport is not None:
            self._transport.set_addresses({it: it for it in self._peers})


def _nothing() -> None:
    """Stands for a listener that is not there yet."""
