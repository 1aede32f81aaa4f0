"""One router of the platform between a caller and stand-ins, on loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
import contextlib
import dataclasses

import aiohttp
import yarl

from standins import floods, platform_server, platform_store
from standins import ports as standin_ports
from tamarackbridge import platform_router
from tamarackbridge.components.gateway import shutdown
from tamarackbridge.components.telemetry import spans
from tamarackbridge.platform import settings

HOST = "a.example"
KEY = "key-1"
NO_TRACES = spans.NullTracer()
CUT = aiohttp.ClientPayloadError


@dataclasses.dataclass(slots=True)
class Place:
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
        more: dict[str, str] | None = None,
    ) -> "Got":
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
            **(more or {}),
        }
        url = yarl.URL(f"http://{self.cfg.callers}{path}", encoded=True)
        async with self.client.request(
            method, url, headers=headers, data=body
        ) as resp:
            return Got(resp.status, resp.headers, await resp.read())

    async def async_ready(self) -> int:
        """Asks as the balancer does; returns the status."""
        async with self.client.get(
            f"http://{self.cfg.readiness}/readiness"
        ) as resp:
            return resp.status

    async def async_until_status(self, path: str, status: int) -> None:
        """Sends until the answer has a status; fails after many tries."""
        for _ in range(300):
            if (await self.async_send(path)).status == status:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{path} never gave {status}")

    async def async_until_version(self, version: int) -> None:
        """Waits until a configuration is in force."""
        await async_until(lambda: self.router._version()[0] == version)

    async def async_begin_life(self, name: str, born: int) -> None:
        """Registers a life of a server, and waits until the router knows."""
        server = next(it for it in self.servers if it.name == name)
        await _async_register(self.store, server, born=born)
        known = self.router._copy.servers
        await async_until(
            lambda: name in known and known[name].server.started_ms == born
        )

    async def async_drain(self, name: str) -> None:
        """Lets a server leave, and waits until the router knows."""
        server = next(it for it in self.servers if it.name == name)
        await _async_register(self.store, server, state="draining")
        known = self.router._copy.servers
        await async_until(lambda: known[name].server.draining)

    def begin_shutdown(self) -> None:
        """Lets the router take the first step of a shutdown."""
        now = self.router._clock.monotonic()
        self.router._gateway.shutdown = shutdown.begin(now, 8.0)

    def set_fault(self, *faults: platform_server.Fault | floods.Flood) -> None:
        """The next requests have these faults, wherever they go."""
        shared = list(faults)
        for server in self.servers:
            server.faults = shared

    def ran(self) -> list[str]:
        return [it for server in self.servers for it in server.ran]


@dataclasses.dataclass(frozen=True, slots=True)
class Got:
    status: int
    headers: Mapping[str, str]
    body: bytes


async def async_until(check: Callable[[], bool]) -> None:
    """Waits until something is so; fails after many looks."""
    for _ in range(2000):
        if check():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it never came true")


def settings_text(store: str, ports: list[int]) -> str:
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
            f"internal_ports={ports[3]},{ports[3]}",
        )
    )


def route(name: str, kind: str, attempts: int = 2, **more: object) -> object:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "max_attempts": attempts,
        "service": "app",
        **more,
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
) -> None:
    spec = {
        "born": born,
        "service": "app",
        "address": server.address,
        "zone": "z1",
        "slots": 6,
        "state": state,
    }
    await store.async_put("servers", server.name, spec)


@contextlib.asynccontextmanager
async def async_place(
    servers: int = 2, tracer: spans.Tracer = NO_TRACES
) -> AsyncIterator[Place]:
    async with contextlib.AsyncExitStack() as stack:
        store = platform_store.PlatformStore()
        await stack.enter_async_context(store)
        await store.async_put("config", "main", CONFIGURATION)
        found = []
        for number in range(servers):
            server = platform_server.PlatformServer(f"i-{number}")
            await stack.enter_async_context(server)
            await _async_register(store, server)
            found.append(server)
        reserved = standin_ports.ReservedPorts(4)
        stack.callback(reserved.close)
        cfg = settings.parse(settings_text(store.address, reserved.ports))
        router = platform_router.PlatformRouter(cfg, tracer)
        await router.async_start()
        stack.push_async_callback(router.async_stop)
        await router.async_wait_ready()
        client = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        yield Place(router, store, found, client, cfg)
