"""The deployment of a soak: store, servers, links and router processes."""

import contextlib
import dataclasses
import pathlib
import random
import time
from typing import Any

from soak import programs, proxy
from standins import platform_server, platform_store

HOST = "a.example"
KEYS = 4
"""Keys of the workspace; some are revoked in the course of a run."""

ZONES = ("z1", "z2")

ADVICE_S = 3
"""Time for which a server that is full wants nothing."""

START_S = 15.0
"""Longest time until all routers are ready: a busy machine starts a process
in two seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server got or ran."""

    request_id: str
    server: str
    zone: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Something that operators or servers wrote to the store."""

    kind: str
    name: str
    at: float


class Server(platform_server.PlatformServer):
    """A server that notes when it got and ran what.

    Attributes:
        state: What its registration says.
        born: Tells its lives apart.
    """

    def __init__(
        self, name: str, zone: str, runs: list[Run], arrivals: list[Run]
    ) -> None:
        super().__init__(name)
        self.zone = zone
        self.state = "ready"
        self.born = 1
        self._runs = runs
        self._arrivals = arrivals

    @property
    def calm(self) -> bool:
        """Whether it neither leaves nor turns requests away."""
        return self.state == "ready" and not self.says

    def note_arrived(self, request_id: str) -> None:
        """Notes when and where a request arrived."""
        now = time.monotonic()
        self._arrivals.append(Run(request_id, self.name, self.zone, now))

    def note_run(self, request_id: str) -> None:
        """Notes when and where a request began to run."""
        super().note_run(request_id)
        now = time.monotonic()
        self._runs.append(Run(request_id, self.name, self.zone, now))


class World:
    """Everything outside of the routers, and the routers' processes.

    Attributes:
        runs: What servers ran, in order.
        arrivals: What servers got, in order.
        changes: What was written to the store, in order.
        programs: The routers.
        servers: The servers by name.
        links: Proxies by name: `store-ROUTER`, `callers-ROUTER`, `SERVER`.
    """

    def __init__(
        self, routers: int, folder: pathlib.Path, rng: random.Random
    ) -> None:
        self.rng = rng
        self.runs: list[Run] = []
        self.arrivals: list[Run] = []
        self.changes: list[Change] = []
        self.programs: list[programs.Program] = []
        self.servers: dict[str, Server] = {}
        self.links: dict[str, proxy.Proxy] = {}
        self.store = platform_store.PlatformStore()
        self.version = 1
        self.keys = [f"key-{number}" for number in range(KEYS)]
        self.routes: list[str] = []
        self._routers = routers
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "World":
        """Starts everything and waits until all routers are ready."""
        enter = self._stack.enter_async_context
        await enter(self.store)
        await self.async_configure()
        for number in range(4):
            zone = ZONES[number % len(ZONES)]
            await self.async_add_server(f"i-{number}", zone)
        for number in range(self._routers):
            await self._async_add_router(f"vm-{number}", number)
        seeds = [it.peers for it in self.programs[:3]]
        for program in self.programs:
            program.write_settings(seeds)
            await program.async_start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Ends everything."""
        await self._stack.aclose()

    async def async_add_server(self, name: str, zone: str) -> None:
        """Starts a server and registers it behind a proxy."""
        server = Server(name, zone, self.runs, self.arrivals)
        server.pace_s = 0.02
        await self._stack.enter_async_context(server)
        link = proxy.Proxy(server.address)
        await self._stack.enter_async_context(link)
        self.servers[name] = server
        self.links[name] = link
        await self.async_register(name)

    async def async_register(self, name: str) -> None:
        """Writes a server's registration."""
        server = self.servers[name]
        spec = {
            "service": "app",
            "address": self.links[name].address,
            "zone": server.zone,
            "slots": 16,
            "state": server.state,
            "born": server.born,
        }
        await self.store.async_put("servers", name, spec)

    async def async_configure(self) -> None:
        """Writes a new version of the configuration."""
        self.version += 1
        spec = _configuration(self.version, self.keys, self.routes)
        await self.store.async_put("config", "main", spec)

    def note(self, kind: str, name: str) -> None:
        """Notes a change as written."""
        self.changes.append(Change(kind, name, time.monotonic()))

    def callers_link(self, program: programs.Program) -> proxy.Proxy:
        """Returns the link between callers and a router."""
        return self.links[f"callers-{program.name}"]

    def store_link(self, program: programs.Program) -> proxy.Proxy:
        """Returns the link between a router and the store."""
        return self.links[f"store-{program.name}"]

    async def _async_add_router(self, name: str, number: int) -> None:
        store = proxy.Proxy(self.store.address)
        await self._stack.enter_async_context(store)
        zone = ZONES[number % len(ZONES)]
        program = programs.Program(name, zone, store.address, self._folder)
        callers = proxy.Proxy(program.callers)
        await self._stack.enter_async_context(callers)
        self.links[f"store-{name}"] = store
        self.links[f"callers-{name}"] = callers
        self.programs.append(program)
        self._stack.push_async_callback(program.async_close)


def _configuration(
    version: int, keys: list[str], more_routes: list[str]
) -> dict[str, Any]:
    routes = [
        _route("read", "idempotent"),
        _route("pay", "non_idempotent"),
        _route("stream", "streaming"),
        _route("resumed", "streaming", resumable=True),
        *(_route(name, "idempotent") for name in more_routes),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "max_connections": 200}],
        "limits": {"max_body_bytes": 20_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "w", "api_keys": keys}],
    }


def _route(name: str, kind: str, resumable: bool = False) -> dict[str, Any]:
    stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/stream/{name}/" if stream else f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "service": "app",
        "resumable": resumable,
    }
