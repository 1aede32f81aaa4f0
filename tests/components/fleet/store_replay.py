"""Routers that follow a store, of which some are turned away for a time."""

import asyncio
import collections
from collections.abc import Callable, Collection
import random
from typing import cast

import result

from tamarackbridge import core
from tamarackbridge.components.admission import engine_load
from tamarackbridge.components.fleet import sharing, view
from tamarackbridge.components.knowledge import (
    applier,
    const,
    follower,
    relay,
    source,
    state,
)
from tamarackbridge.components.placement import ledger, notices, parts
from tamarackbridge.components.transport import service as transport
from tests import virtual_loop
from tests.components.fleet import rig
from tests.components.knowledge import builders

ZONES = 4
CALL_S = 0.004
LINK_S = 0.002
SETTLE_S = 4.0
"""Routers know each other and the store this long before anything happens."""


class Store:
    """A store with one service's servers."""

    def __init__(self, servers: Collection[str]) -> None:
        self.refused: frozenset[str] = frozenset()
        self._servers = set(servers)
        self._changes: list[tuple[int, source.Fact]] = []
        self._revision = 1
        self._stirred = asyncio.Event()

    def remove(self, server: str) -> None:
        """Ends a registration."""
        self._servers.discard(server)
        self._revision += 1
        self._changes.append((self._revision, source.ServerGone(server)))
        self._stir()

    def drain(self, server: str) -> None:
        """Takes that a server leaves."""
        self._revision += 1
        leaving = source.ServerIs(builders.server(server, draining=True))
        self._changes.append((self._revision, leaving))
        self._stir()

    def refuse(self, routers: Collection[str]) -> None:
        """Turns these routers away from now on, and no others."""
        self.refused = frozenset(routers)
        self._stir()

    def read(self, kind: source.Kind) -> source.Facts:
        """Returns all of a kind."""
        found: tuple[source.Fact, ...] = ()
        if kind is source.Kind.SERVERS:
            found = tuple(
                source.ServerIs(builders.server(it))
                for it in sorted(self._servers)
            )
        elif kind is source.Kind.CONFIGURATION:
            found = (source.ConfigurationIs(builders.configuration()),)
        return source.Facts(found, self._revision)

    def since(self, kind: source.Kind, revision: int) -> source.Facts:
        """Returns what of a kind has changed after a revision."""
        found: tuple[source.Fact, ...] = ()
        if kind is source.Kind.SERVERS:
            found = tuple(it for at, it in self._changes if at > revision)
        return source.Facts(found, self._revision)

    async def async_stirred(self) -> None:
        """Waits until something changes."""
        await self._stirred.wait()

    def _stir(self) -> None:
        self._stirred.set()
        self._stirred = asyncio.Event()


class Source:
    """The store as one router reaches it."""

    def __init__(self, store: Store, router: str) -> None:
        self._store = store
        self._router = router

    async def async_all(self, kind: source.Kind) -> source.Answer:
        """Returns all of a kind."""
        await asyncio.sleep(CALL_S)
        if self._router in self._store.refused:
            return result.Err(source.Trouble.AWAY)
        return result.Ok(self._store.read(kind))

    async def async_changes(
        self, kind: source.Kind, revision: int, wait_s: float
    ) -> source.Answer:
        """Returns what has changed, once there is something."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        await asyncio.sleep(CALL_S)
        while self._router not in self._store.refused:
            found = self._store.since(kind, revision)
            left_s = end - loop.time()
            if found.facts or left_s <= 0:
                return result.Ok(found)
            try:
                async with asyncio.timeout(left_s):
                    await self._store.async_stirred()
            except TimeoutError:
                continue
        return result.Err(source.Trouble.AWAY)


class Router:
    """What a router knows of the store, and tells of it."""

    def __init__(
        self,
        address: str,
        zones: dict[str, str],
        origin: source.Source,
        clock: core.Clock,
        post: Callable[[str, str, core.Message], None],
    ) -> None:
        self.known = state.Knowledge(builders.BOUNDS)
        taking = applier.Applier(
            self.known, clock, lambda: None, lambda name: None
        )
        relaying = relay.Relay(self.known, taking, clock)
        own = view.Own(
            work=ledger.Ledger(),
            held=parts.HeldParts(),
            use=dict,
            seen=lambda: engine_load.NO_LOAD,
            fresh_parts=list,
            read_per_s=lambda server: 0.0,
            editions=relaying.editions,
            notices=notices.Notices(),
        )
        self.sharing = sharing.SharingService(
            address,
            zones[address],
            (),
            rig.ListedRouters(zones),
            clock,
            own,
            relaying,
            lambda: None,
        )
        links = _Links(address, post)
        self.sharing.use(cast(transport.PeerService, links))
        self.followers = [
            follower.Follower(
                kind,
                origin,
                self.known,
                taking,
                clock,
                random.Random(f"{address}{kind}"),
                self.sharing.is_told,
            )
            for kind in source.Kind
        ]

    async def async_start(self) -> None:
        """Begins to follow the store and to share."""
        for svc in (*self.followers, self.sharing):
            await svc.on_start()

    async def async_stop(self) -> None:
        """Ends both."""
        for svc in (*self.followers, self.sharing):
            await svc.on_stop()


class _Links:
    def __init__(
        self, src: str, post: Callable[[str, str, core.Message], None]
    ) -> None:
        self._src = src
        self._post = post

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """All links are there from the beginning."""

    def post(self, to: str, msg: core.Message) -> None:
        self._post(self._src, to, msg)


class StoreReplay:
    """A fleet before one store, on a virtual clock."""

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

    async def async_stop(self) -> None:
        """Stops all routers."""
        for router in self.routers.values():
            await router.async_stop()

    def readers(self) -> set[str]:
        """Returns the routers that read the store for themselves."""
        return {
            address
            for address, it in self.routers.items()
            if not it.sharing.is_told(source.Kind.SERVERS)
        }

    async def async_used_s(self, server: str, most_s: float) -> float:
        """Returns for how long from now on some router uses a server."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        used_s = 0.0
        while loop.time() - begin < most_s:
            await asyncio.sleep(0.02)
            now = loop.time()
            if any(
                server == it.server.name
                for router in self.routers.values()
                for it in router.known.usable("lm", now)
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
"""Time for which a server that leaves may be chosen."""
