"""Test environment: one platform router, stand-in servers and a store.

All of them listen on the loopback interface.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
import contextlib
import dataclasses

import aiohttp
import yarl

from standins import platform_server, platform_store
from standins import ports as standin_ports
from tamarackbridge import platform_router
from tamarackbridge.components.gateway import shutdown
from tamarackbridge.components.telemetry import spans
from tamarackbridge.platform import settings

HOST = "a.example"
KEY = "key-1"
NO_TRACES = spans.NullTracer()
STREAM_CUT = aiohttp.ClientPayloadError


@dataclasses.dataclass(slots=True)
class Environment:
    router: platform_router.PlatformRouter
    store: platform_store.PlatformStore
    servers: list[platform_server.PlatformServer]
    client: aiohttp.ClientSession
    cfg: settings.Settings

    async def async_send(
        self,
        path: str,
        method: str = "POST",
        key: str = KEY,
        request_id: str = "q1",
        deadline_ms: int = 3000,
        body: bytes = b"question",
        extra_headers: dict[str, str] | None = None,
    ) -> "Response":
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
            **(extra_headers or {}),
        }
        url = yarl.URL(f"http://{self.cfg.callers}{path}", encoded=True)
        async with self.client.request(
            method, url, headers=headers, data=body
        ) as resp:
            return Response(resp.status, resp.headers, await resp.read())

    async def async_ready(self) -> int:
        """Probes readiness as the load balancer does; returns the status."""
        async with self.client.get(
            f"http://{self.cfg.readiness}/readiness"
        ) as resp:
            return resp.status

    async def async_wait_for_status(self, path: str, status: int) -> None:
        """Repeats a request until it gets a status; fails after 300 tries."""
        for _ in range(300):
            if (await self.async_send(path)).status == status:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{path} never returned status {status}")

    async def async_wait_for_configuration(self, version: int) -> None:
        """Waits until the router has applied a configuration."""
        await async_wait_until(lambda: self.router._version()[0] == version)

    async def async_register_start(self, name: str, born: int) -> None:
        """Registers a server anew, and waits until the router has noticed.

        Args:
            name: Name of the server.
            born: Time of the server's start, in ms.
        """
        server = next(
            candidate for candidate in self.servers if candidate.name == name
        )
        await _async_register(self.store, server, born=born)
        registered = self.router._local_copy.servers
        await async_wait_until(
            lambda: (
                name in registered
                and registered[name].server.started_ms == born
            )
        )

    async def async_drain_server(self, name: str) -> None:
        """Registers a server as draining; waits until the router noticed."""
        server = next(
            candidate for candidate in self.servers if candidate.name == name
        )
        await _async_register(self.store, server, state="draining")
        registered = self.router._local_copy.servers
        await async_wait_until(lambda: registered[name].server.draining)

    def begin_shutdown(
        self, ago_s: float = 0.0, shutdown_s: float = 8.0
    ) -> None:
        """Puts the router into the phase of a shutdown that began a while ago.

        Args:
            ago_s: Time since the signal.
            shutdown_s: Time from the signal to the end.
        """
        signalled_at = self.router._clock.monotonic() - ago_s
        schedule = shutdown.begin(signalled_at, shutdown_s)
        self.router._gateway.shutdown = schedule

    def set_faults(
        self,
        *faults: platform_server.AnyFault,
    ) -> None:
        """Sets the faults of the next requests, whichever server gets them."""
        shared = list(faults)
        for server in self.servers:
            server.faults = shared

    def ran(self) -> list[str]:
        """Returns the IDs of the requests that the servers have run."""
        return [request for server in self.servers for request in server.ran]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: Mapping[str, str]
    body: bytes


async def async_wait_until(check: Callable[[], bool]) -> None:
    """Waits until a condition holds; fails after 2000 checks."""
    for _ in range(2000):
        if check():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("condition did not hold after 2000 checks")


def settings_text(
    store: str, ports: list[int], memory_mb: float = 256.0
) -> str:
    return "\n".join(
        (
            "node=vm-1",
            "zone=z1",
            "zones.z1=r",
            "ip=127.0.0.1",
            f"listen.front=127.0.0.1:{ports[0]}",
            f"listen.readiness=127.0.0.1:{ports[1]}",
            f"listen.control=127.0.0.1:{ports[2]}",
            f"provider.address={store}",
            "bounds.grace_s=3",
            "metrics.port=0",
            f"limits.memory_mb={memory_mb}",
            f"internal_ports={ports[3]},{ports[3]}",
        )
    )


def route(
    name: str, kind: str, attempts: int = 2, **overrides: object
) -> object:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "max_attempts": attempts,
        "service": "app",
        **overrides,
    }


LIMITS = {"max_body_bytes": 2000, "idle_timeout_ms": 15000}

CONFIGURATION = {
    "version": 1,
    "routes": [
        route("read", "idempotent"),
        route("pay", "non_idempotent"),
        route("stream", "streaming"),
        route("resumed", "streaming", path_prefix="/stream/r/", resumable=True),
        route("open", "idempotent", public=True),
        route("short", "idempotent", timeout_ms=300),
    ],
    "services": [{"name": "app", "max_connections": 100}],
    "limits": LIMITS,
    "tenants": [{"name": "w", "api_keys": [KEY]}],
}


async def _async_register(
    store: platform_store.PlatformStore,
    server: platform_server.PlatformServer,
    state: str = "ready",
    born: int = 0,
    version: str = "",
) -> None:
    spec = {
        **({"version": version} if version else {}),
        "born": born,
        "service": "app",
        "address": server.address,
        "zone": "z1",
        "slots": 6,
        "state": state,
    }
    await store.async_put("servers", server.name, spec)


@contextlib.asynccontextmanager
async def async_environment(
    servers: int = 2,
    tracer: spans.Tracer = NO_TRACES,
    memory_mb: float = 256.0,
    started_ms: int = 0,
    versions: tuple[str, ...] = (),
    extra_settings: str = "",
) -> AsyncIterator[Environment]:
    async with contextlib.AsyncExitStack() as stack:
        store = platform_store.PlatformStore()
        await stack.enter_async_context(store)
        await store.async_put("config", "main", CONFIGURATION)
        started = []
        for number in range(servers):
            server = platform_server.PlatformServer(f"i-{number}")
            server.started_ms = started_ms
            await stack.enter_async_context(server)
            version = versions[number] if versions else ""
            await _async_register(
                store, server, born=started_ms, version=version
            )
            started.append(server)
        reserved_ports = standin_ports.ReservedPorts(4)
        stack.callback(reserved_ports.close)
        cfg = settings.parse(
            settings_text(store.address, reserved_ports.ports, memory_mb)
            + f"\n{extra_settings}"
        )
        router = platform_router.PlatformRouter(cfg, tracer)
        await router.async_start()
        stack.push_async_callback(router.async_stop)
        await router.async_wait_ready()
        client = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        yield Environment(router, store, started, client, cfg)
