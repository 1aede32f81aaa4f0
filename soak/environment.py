"""Deployment of a soak test: store, servers, links and router processes."""

import contextlib
import dataclasses
import pathlib
import random
import time
from typing import Any

from soak import programs, proxy
from standins import platform_server, platform_store

HOST = "a.example"
"""Host name of all routes."""

KEY_COUNT = 4
"""Number of API keys of the workspace. Faults revoke some of them."""

ZONES = ("z1", "z2")

EVENT_INTERVAL_S = 0.02
"""Pause of a server after each event of a stream."""

RETRY_AFTER_S = 3
"""Value of the Retry-After header of a full server."""

START_S = 15.0
"""Time within which all routers must be ready after the start. A busy machine
takes 2 s to start one process."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request that a server received or ran.

    Attributes:
        request_id: Value of its X-Request-Id header.
        server: Name of the server.
        zone: Availability zone of the server.
        at: Monotonic time.
        fault: Fault of the answer, if the request ran.
    """

    request_id: str
    server: str
    zone: str
    at: float
    fault: platform_server.AnyFault = platform_server.Fault.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change by an operator or by a server that the checks must know.

    Attributes:
        kind: What changed: `drain` and `undrain` of a server, its shutdown
            notice (`leaves`, `stays`), its Retry-After header (`full`,
            `room`), its death (`dies`) and next start (`starts`), a
            disturbance of its link (`disturbs`, at the start and end), the
            evacuation of a zone (`out`, `back`) or the revocation of an API
            key (`revoke`).
        name: Name of the server, zone or API key.
        at: Monotonic time.
    """

    kind: str
    name: str
    at: float


class Server(platform_server.PlatformServer):
    """A server that records the requests that it receives and runs.

    Attributes:
        zone: Its availability zone.
        state: State in its registration.
        stream_fault: Fault in streams that begin with their first event, where
            `faults` has none for them.
        continued_fault: The same for streams that continue after an event.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        runs: list[RequestRecord],
        arrivals: list[RequestRecord],
    ) -> None:
        super().__init__(name)
        self.zone = zone
        self.state = "ready"
        self.started_ms = _now_ms()
        self._fault: platform_server.AnyFault = platform_server.Fault.NONE
        self.stream_fault: platform_server.AnyFault = platform_server.Fault.NONE
        self.continued_fault: platform_server.AnyFault = self.stream_fault
        self._runs = runs
        self._arrivals = arrivals

    @property
    def is_normal(self) -> bool:
        """Whether the server is neither shutting down nor full."""
        return self.state == "ready" and not self.extra_headers

    def draw_fault(
        self, seen: platform_server.ReceivedRequest
    ) -> platform_server.AnyFault:
        """Returns the fault in the answer to a request that arrived."""
        self._fault = self._draw_fault(seen)
        return self._fault

    def _draw_fault(
        self, seen: platform_server.ReceivedRequest
    ) -> platform_server.AnyFault:
        fault = super().draw_fault(seen)
        if fault is not platform_server.Fault.NONE:
            return fault
        if "/stream/" not in seen.target:
            return fault
        if "Last-Event-Id" in seen.headers:
            return self.continued_fault
        return self.stream_fault

    def record_arrival(self, request_id: str) -> None:
        """Records a request that arrived."""
        now = time.monotonic()
        self._arrivals.append(
            RequestRecord(request_id, self.name, self.zone, now)
        )

    def record_run(self, request_id: str) -> None:
        """Records a request that begins to run."""
        super().record_run(request_id)
        now = time.monotonic()
        self._runs.append(
            RequestRecord(request_id, self.name, self.zone, now, self._fault)
        )


class Environment:
    """The router processes, and everything that they communicate with.

    Attributes:
        runs: Requests that servers ran, in order.
        arrivals: Requests that servers received, in order.
        changes: Changes by operators and servers, in order.
        routers: The router processes.
        servers: The servers by name.
        links: Proxies by name: `store-ROUTER` between a router and the store,
            `callers-ROUTER` in front of a router, `SERVER` in front of a
            server.
        version: Version of the configuration.
        keys: API keys that are valid.
        routes: Names of the routes that were added during the run.
    """

    def __init__(
        self, router_count: int, folder: pathlib.Path, rng: random.Random
    ) -> None:
        self.rng = rng
        self.runs: list[RequestRecord] = []
        self.arrivals: list[RequestRecord] = []
        self.changes: list[Change] = []
        self.routers: list[programs.RouterProcess] = []
        self.servers: dict[str, Server] = {}
        self.links: dict[str, proxy.Proxy] = {}
        self.store = platform_store.PlatformStore()
        self.version = 1
        self.keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self.routes: list[str] = []
        self._router_count = router_count
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Environment":
        """Starts the store, the servers, the links and the router processes.

        It does not wait until the routers are ready.
        """
        enter = self._stack.enter_async_context
        await enter(self.store)
        await self.async_configure()
        for number in range(4):
            zone = ZONES[number % len(ZONES)]
            await self.async_add_server(f"i-{number}", zone)
        for number in range(self._router_count):
            await self._async_add_router(f"vm-{number}", number)
        seeds = [peer.control_address for peer in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds)
            await router.async_start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stops everything."""
        await self._stack.aclose()

    async def async_add_server(self, name: str, zone: str) -> None:
        """Starts a server and registers it behind a proxy."""
        server = Server(name, zone, self.runs, self.arrivals)
        server.event_interval_s = EVENT_INTERVAL_S
        await self._stack.enter_async_context(server)
        link = proxy.Proxy(server.address)
        await self._stack.enter_async_context(link)
        self.servers[name] = server
        self.links[name] = link
        await self.async_register(name)

    async def async_register(self, name: str) -> None:
        """Writes the registration of a server to the store."""
        server = self.servers[name]
        spec = {
            "service": "app",
            "address": self.links[name].address,
            "zone": server.zone,
            "slots": 16,
            "state": server.state,
            "born": server.started_ms,
        }
        await self.store.async_put("servers", name, spec)

    async def async_configure(self) -> None:
        """Writes a new version of the configuration to the store."""
        self.version += 1
        spec = _configuration_spec(self.version, self.keys, self.routes)
        await self.store.async_put("config", "main", spec)

    def kill_server(self, name: str) -> None:
        """Closes the connections of a server as the kernel does when it dies.

        It refuses connections until `async_restart_server`.
        """
        self.record_change("dies", name)
        self.links[name].crash()

    async def async_restart_server(self, name: str) -> None:
        """Starts a server that died, as another process."""
        self.record_change("starts", name)
        self.servers[name].started_ms = _now_ms()
        await self.links[name].async_listen()
        await self.async_register(name)

    def record_link_disturbance(self, name: str) -> None:
        """Records that the link to a server begins or ends to be disturbed."""
        if name in self.servers:
            self.record_change("disturbs", name)

    def record_change(self, kind: str, name: str) -> None:
        """Records a change for the checks."""
        self.changes.append(Change(kind, name, time.monotonic()))

    def callers_link(self, router: programs.RouterProcess) -> proxy.Proxy:
        """Returns the link between callers and a router."""
        return self.links[f"callers-{router.name}"]

    def store_link(self, router: programs.RouterProcess) -> proxy.Proxy:
        """Returns the link between a router and the store."""
        return self.links[f"store-{router.name}"]

    async def _async_add_router(self, name: str, number: int) -> None:
        store_link = proxy.Proxy(self.store.address)
        await self._stack.enter_async_context(store_link)
        zone = ZONES[number % len(ZONES)]
        router = programs.RouterProcess(
            name, zone, store_link.address, self._folder
        )
        front_link = proxy.Proxy(router.front_address)
        await self._stack.enter_async_context(front_link)
        self.links[f"store-{name}"] = store_link
        self.links[f"callers-{name}"] = front_link
        self.routers.append(router)
        self._stack.push_async_callback(router.async_close)


def _now_ms() -> int:
    return int(time.time() * 1000)


def _configuration_spec(
    version: int, keys: list[str], added_routes: list[str]
) -> dict[str, Any]:
    routes = [
        _route_spec("read", "idempotent"),
        _route_spec("pay", "non_idempotent"),
        _route_spec("stream", "streaming"),
        _route_spec("resumed", "streaming", resumable=True),
        *(_route_spec(name, "idempotent") for name in added_routes),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "max_connections": 200}],
        "limits": {"max_body_bytes": 20_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "w", "api_keys": keys}],
    }


def _route_spec(
    name: str, kind: str, resumable: bool = False
) -> dict[str, Any]:
    is_stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/stream/{name}/" if is_stream else f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "service": "app",
        "resumable": resumable,
    }
