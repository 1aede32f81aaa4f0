"""Replays a fleet that follows a store, which rejects some routers."""

import asyncio
import collections
from collections.abc import Callable, Collection
import random
from typing import cast

import result

from tamarackbridge import core
from tamarackbridge.components.admission import observed_load
from tamarackbridge.components.fleet import directory as fleet_directory
from tamarackbridge.components.fleet import sharing, view
from tamarackbridge.components.knowledge import (
    applier,
    const,
    follower,
    positions,
    relay,
    source,
    state,
)
from tamarackbridge.components.placement import (
    ledger,
    notices,
    prefix_cache,
    quarantine,
)
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.fleet import rig
from tests.components.knowledge import builders

ZONES = 4
CALL_S = 0.004
"""Duration of a call to the store."""

LINK_S = 0.002
"""Delay of a message between two routers."""

SETTLE_S = 4.0
"""Time in which all routers find each other and read the store."""


class Store:
    """A store with the registrations of one service.

    Attributes:
        refused: Routers whose calls it rejects.
        calls: Number of calls so far, by kind of object and operation.
        call_s: Duration of a call.
        entries: Entries of the directory with the time of each; they outlive
            the routers.
        stale_s: Age of the data that a stale read of the directory returns.
        era: Era, which rises when it comes back from an older copy.
    """

    def __init__(self, servers: Collection[str]) -> None:
        self.refused: frozenset[str] = frozenset()
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.call_s = CALL_S
        self.entries: dict[str, tuple[str, float]] = {}
        self.stale_s = 0.0
        self.era = 0
        self._oldest_revision = 0
        self._servers = set(servers)
        self._draining: set[str] = set()
        self._changes: list[tuple[int, source.Update]] = []
        self._revision = 1
        self._change_event = asyncio.Event()

    def remove(self, server: str) -> None:
        """Ends a registration."""
        self._servers.discard(server)
        self._revision += 1
        self._changes.append((self._revision, source.ServerRemoval(server)))
        self._notify()

    def drain(self, server: str) -> None:
        """Marks a registration as draining."""
        self._draining.add(server)
        self._revision += 1
        draining = source.ServerUpdate(builders.server(server, draining=True))
        self._changes.append((self._revision, draining))
        self._notify()

    def lose_history(self) -> None:
        """Drops all changes so far, so that watches since then fail."""
        self._revision += 1
        self._changes.clear()
        self._oldest_revision = self._revision
        self._notify()

    def restore(self, missing: str) -> None:
        """Comes back from an older copy, which lacks a server."""
        self.era += 1
        self._servers.discard(missing)
        self._changes.clear()
        self._revision = self._oldest_revision = 1
        self._notify()

    def is_lost(self, position: int) -> bool:
        """Returns whether the changes since a position are not known."""
        return (
            positions.era(position) != self.era
            or positions.revision(position) < self._oldest_revision
        )

    def refuse(self, routers: Collection[str]) -> None:
        """Rejects the calls of these routers from now on, and of no others."""
        self.refused = frozenset(routers)
        self._notify()

    def read_all(self, kind: source.Kind) -> source.UpdateBatch:
        """Returns all data of a kind."""
        found: tuple[source.Update, ...] = ()
        if kind is source.Kind.SERVERS:
            found = tuple(
                source.ServerUpdate(
                    builders.server(name, draining=name in self._draining)
                )
                for name in sorted(self._servers)
            )
        elif kind is source.Kind.CONFIGURATION:
            found = (source.ConfigurationUpdate(builders.configuration()),)
        return source.UpdateBatch(found, self._position())

    def changes_since(
        self, kind: source.Kind, revision: int
    ) -> source.UpdateBatch:
        """Returns the changes of a kind after a revision."""
        found: tuple[source.Update, ...] = ()
        if kind is source.Kind.SERVERS:
            since = positions.revision(revision)
            found = tuple(it for at, it in self._changes if at > since)
        return source.UpdateBatch(found, self._position())

    async def async_wait_for_change(self) -> None:
        """Waits until something changes."""
        await self._change_event.wait()

    def _position(self) -> int:
        return positions.make(self.era, self._revision)

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


class Source:
    """The store as one router sees it."""

    def __init__(self, store: Store, router: str) -> None:
        self._store = store
        self._router = router

    async def async_all(self, kind: source.Kind) -> source.Answer:
        """Returns all data of a kind."""
        self._store.calls[kind.value, "list"] += 1
        await asyncio.sleep(self._store.call_s)
        if self._router in self._store.refused:
            return result.Err(source.Failure.UNREACHABLE)
        return result.Ok(self._store.read_all(kind))

    async def async_changes(
        self, kind: source.Kind, revision: int, wait_s: float
    ) -> source.Answer:
        """Waits for a change of a kind and returns all since a revision."""
        loop = asyncio.get_running_loop()
        self._store.calls[kind.value, "watch"] += 1
        end = loop.time() + wait_s
        await asyncio.sleep(self._store.call_s)
        while self._router not in self._store.refused:
            if self._store.is_lost(revision):
                return result.Err(source.Failure.HISTORY_LOST)
            found = self._store.changes_since(kind, revision)
            left_s = end - loop.time()
            if found.updates or left_s <= 0:
                return result.Ok(found)
            try:
                async with asyncio.timeout(left_s):
                    await self._store.async_wait_for_change()
            except TimeoutError:
                continue
        return result.Err(source.Failure.UNREACHABLE)


class Directory:
    """The directory as one router sees it."""

    def __init__(self, store: Store, router: str) -> None:
        self._store = store
        self._router = router

    async def async_enter(self, address: str, zone: str) -> bool:
        """Adds this router."""
        if not await self._async_call("create"):
            return False
        now = asyncio.get_running_loop().time()
        self._store.entries[address] = (zone, now)
        return True

    def era(self) -> int:
        """Returns the era of the store."""
        return self._store.era

    async def async_leave(self, address: str) -> None:
        """Removes a router."""
        if await self._async_call("delete"):
            self._store.entries.pop(address, None)

    async def async_routers(
        self, allow_stale: bool = False
    ) -> dict[str, str] | None:
        """Returns the listed routers' zones by address."""
        if not await self._async_call("stale_list" if allow_stale else "list"):
            return None
        limit = asyncio.get_running_loop().time()
        if allow_stale:
            limit -= self._store.stale_s
        return {
            address: zone
            for address, (zone, at) in self._store.entries.items()
            if at <= limit
        }

    async def _async_call(self, operation: str) -> bool:
        self._store.calls["members", operation] += 1
        await asyncio.sleep(self._store.call_s)
        return self._router not in self._store.refused


class Router:
    """One router with its copy of the store's data and what relays it."""

    def __init__(
        self,
        address: str,
        zones: dict[str, str],
        origin: source.Source,
        clock: core.Clock,
        post: Callable[[str, str, core.Message], None],
        directory: fleet_directory.Directory | None = None,
        seeds: tuple[str, ...] = (),
        first_read_draw: float = 0.0,
    ) -> None:
        self.local_copy = state.LocalCopy(builders.BOUNDS)
        knowledge_applier = applier.Applier(
            self.local_copy, clock, lambda: None, lambda name: None
        )
        store_relay = relay.Relay(self.local_copy, knowledge_applier, clock)
        own = view.LocalState(
            work=ledger.ReservationLedger(),
            cache_index=prefix_cache.PrefixCacheIndex(),
            use=dict,
            engine_load=lambda: observed_load.NO_LOAD,
            take_new_blocks=list,
            prefill_tokens_per_s=lambda server: 0.0,
            versions=store_relay.versions,
            server_notices=notices.ServerNotices(),
            block_quarantine=quarantine.BlockQuarantine(address),
        )
        self.sharing = sharing.SharingService(
            address,
            zones[address],
            seeds,
            directory or rig.FixedDirectory(zones),
            clock,
            own,
            store_relay,
            lambda: None,
            first_read_draw,
        )
        links = _Links(address, post)
        self.sharing.set_transport(cast(transport.PeerService, links))
        self.followers = [
            follower.Follower(
                kind,
                origin,
                self.local_copy,
                knowledge_applier,
                clock,
                random.Random(f"{address}{kind}"),
                self.sharing.is_relayed,
                self.sharing.may_read_first,
            )
            for kind in self.local_copy.kinds
        ]

    async def async_start(self) -> None:
        """Starts following the store and exchanging reports."""
        for service in (*self.followers, self.sharing):
            await service.on_start()

    async def async_stop(self) -> None:
        """Stops both."""
        for service in (*self.followers, self.sharing):
            await service.on_stop()


class _Links:
    def __init__(
        self, src: str, post: Callable[[str, str, core.Message], None]
    ) -> None:
        self._src = src
        self._post = post
        self._addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        self._addresses = addresses

    def post(self, to: str, msg: core.Message) -> None:
        """Sends a message; like the transport only to a known address."""
        if to in self._addresses:
            self._post(self._src, to, msg)


class StoreReplay:
    """A fleet with one store, on a virtual clock."""

    def __init__(self, routers: int) -> None:
        self.zones = {f"r{n:03}": f"z{n % ZONES}" for n in range(routers)}
        self.routers: dict[str, Router] = {}
        self.store = Store([f"s{n}" for n in range(20)])
        self.last_used: collections.defaultdict[str, float]
        self.last_used = collections.defaultdict(float)

    async def async_start(self) -> None:
        """Starts all routers and lets them settle."""
        loop = asyncio.get_running_loop()
        clock = virtual_loop.LoopClock(loop)
        for address in self.zones:
            origin = Source(self.store, address)
            self.routers[address] = Router(
                address, self.zones, origin, clock, self._post
            )
        for router in self.routers.values():
            await router.async_start()
        await asyncio.sleep(SETTLE_S)

    async def async_start_spread(
        self, seeds: tuple[str, ...], spread_s: float = 0.3, seed: int = 1
    ) -> None:
        """Starts all routers within some time; each knows only the seeds.

        Args:
            seeds: Addresses of routers; some may not exist.
            spread_s: Time from the first start to the last.
            seed: Seed of the routers' random numbers.
        """
        loop = asyncio.get_running_loop()
        clock = virtual_loop.LoopClock(loop)
        for address in self.zones:
            await asyncio.sleep(spread_s / len(self.zones))
            router = self.routers[address] = Router(
                address,
                self.zones,
                Source(self.store, address),
                clock,
                self._post,
                Directory(self.store, address),
                seeds,
                random.Random(f"{address} {seed}").random(),
            )
            await router.async_start()

    async def async_kill(self) -> None:
        """Ends all routers at once, without a word."""
        killed = list(self.routers.values())
        self.routers.clear()
        for router in killed:
            await router.async_stop()

    async def async_stop(self) -> None:
        """Stops all routers."""
        for router in self.routers.values():
            await router.async_stop()

    def readers(self) -> set[str]:
        """Returns the routers that read the store themselves."""
        return {
            address
            for address, router in self.routers.items()
            if not router.sharing.is_relayed(source.Kind.SERVERS)
        }

    async def async_used_s(self, server: str, observed_s: float) -> float:
        """Returns for how long from now some router uses a server.

        Args:
            server: Name of the server.
            observed_s: Time for which this is observed.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        used_s = 0.0
        while loop.time() - begin < observed_s:
            await asyncio.sleep(0.02)
            now = loop.time()
            if any(
                server == registered.server.name
                for router in self.routers.values()
                for registered in router.local_copy.usable("lm", now)
            ):
                used_s = now - begin
        return used_s

    def _post(self, src: str, to: str, msg: core.Message) -> None:
        router = self.routers.get(to)
        if router is not None:
            delivery = core.Delivery(src, msg, LINK_S)
            asyncio.get_running_loop().call_later(
                LINK_S, router.sharing.receive, delivery
            )


ALLOWED_S = builders.BOUNDS.server_leave_s - const.LEAVE_MARGIN_S
"""Time for which a server may still be chosen after it has left."""
