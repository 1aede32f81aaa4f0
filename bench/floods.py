"""Memory of a router whose backend servers flood it.

Plays each flood on a router process of its own: many concurrent requests, at
one or several servers, get answers that never end. Meanwhile another service is
asked for plain answers.
"""

import argparse
import asyncio
import collections
from collections.abc import Sequence
import contextlib
import dataclasses
import functools
import itertools
import json
import pathlib
import re
import socket
import tempfile
import time

import aiohttp

from soak import programs
from standins import floods, platform_server, platform_store

OUTPUT = pathlib.Path("build/measure/floods.json")
HOST = "a.example"
KEY = "key-1"
DEADLINE_MS = 2_500
READY_S = 15.0
PROBE_INTERVAL_S = 0.05
SLOW_CALLER_BUFFER_BYTES = 4096

_EVENT = b"id: %018d\ndata: piece\n\n"
_EVENTS_PER_CHUNK = 1000


@functools.cache
def _event_chunk(number: int) -> bytes:
    first = number * _EVENTS_PER_CHUNK
    events = b"".join(
        _EVENT % (first + each) for each in range(_EVENTS_PER_CHUNK)
    )
    return b"%x\r\n%b\r\n" % (len(events), events)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One flood.

    Attributes:
        path: Path of the requests.
        flood: What the servers send; None for valid events without end.
        reads: Whether the callers read their answers.
    """

    path: str
    flood: floods.Flood | None
    reads: bool = True


_LARGE_BYTES = 4 * 1024 * 1024
_LARGE_BODY = floods.Flood(
    b"HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n"
    b"Content-Length: %d\r\n\r\n" % _LARGE_BYTES + bytes(_LARGE_BYTES),
    b"x",
    pause_s=10.0,
)
"""A valid answer of 4 MB."""

SCENARIOS = {
    "head-no_http": Scenario("/pay/1", floods.IN_HEAD["no_http"]),
    "head-line": Scenario("/pay/1", floods.IN_HEAD["header_line"]),
    "head-blanks": Scenario("/pay/1", floods.IN_HEAD["header_blanks"]),
    "body": Scenario("/pay/1", floods.IN_BODY["no_length"]),
    "body-retried": Scenario("/read/1", floods.IN_BODY["no_length"]),
    "body-small_chunks": Scenario("/pay/1", floods.IN_BODY["small_chunks"]),
    "body-valid-slow": Scenario("/pay/1", _LARGE_BODY, reads=False),
    "stream-event": Scenario("/stream/1", floods.IN_EVENTS["event"]),
    "stream-lines": Scenario("/stream/1", floods.IN_EVENTS["lines"]),
    "stream-valid": Scenario("/stream/1", None),
    "stream-valid-slow": Scenario("/stream/1", None, reads=False),
}


class _Server(platform_server.PlatformServer):
    """A server that answers each request with the same flood."""

    def __init__(self, name: str, flood: floods.Flood | None) -> None:
        super().__init__(name)
        self._flood = flood
        self.flooded = 0
        self.is_healthy = False

    async def _async_answer(
        self,
        seen: platform_server.ReceivedRequest,
        fault: platform_server.AnyFault,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.is_healthy:
            return await super()._async_answer(seen, fault, writer)
        self.flooded += 1
        if self._flood is None:
            await self._async_send_events(seen, writer)
            return False
        return await super()._async_answer(seen, self._flood, writer)

    async def _async_send_events(
        self,
        seen: platform_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends events whose identifiers rise for ever."""
        head = self._stream_head(seen.headers["X-Request-Id"], 200)
        writer.write(head.encode())
        for number in itertools.count():
            writer.write(_event_chunk(number))
            await writer.drain()


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one flood did.

    Attributes:
        scenario: Name of the flood.
        idle_mb: Resident memory before it.
        peak_mb: Highest resident memory.
        after_mb: Resident memory after it.
        flooded: Requests that got a flood.
        ends: Number of requests by status; `cut` if the stream was cut.
        others: Answers that other callers got meanwhile, by status.
        others_max_s: Longest time of these.
    """

    scenario: str
    idle_mb: float
    peak_mb: float
    after_mb: float
    flooded: int
    ends: dict[str, int]
    others: dict[str, int]
    others_max_s: float


def _memory_mb(pid: int, key: str) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    match = re.search(rf"^{key}:\s*(\d+) kB$", status, re.MULTILINE)
    if match is None:
        raise RuntimeError("the router has ended")
    return int(match[1]) / 1024


def _route(name: str, kind: str, service: str) -> object:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "service": service,
    }


def _configuration() -> object:
    return {
        "version": 1,
        "routes": [
            _route("read", "idempotent", "bad"),
            _route("pay", "non_idempotent", "bad"),
            _route("stream", "streaming", "bad"),
            _route("other", "idempotent", "good"),
        ],
        "services": [
            {"name": "bad", "max_connections": 5000},
            {"name": "good", "max_connections": 100},
        ],
        "limits": {"max_body_bytes": 2000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "w", "api_keys": [KEY]}],
    }


class _Callers:
    """Callers of one router."""

    def __init__(
        self, session: aiohttp.ClientSession, router: programs.RouterProcess
    ) -> None:
        self._session = session
        self._router = router

    async def async_send(self, path: str, number: int, reads: bool) -> str:
        """Sends a request; returns its status, or `cut`."""
        headers = {
            "Host": HOST,
            "X-Request-Id": f"q{path}{number}".replace("/", "-"),
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Api-Key": KEY,
        }
        url = f"http://{self._router.front_address}{path}"
        try:
            async with self._session.post(
                url, headers=headers, data=b"question"
            ) as resp:
                if not reads:
                    await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
                async for _ in resp.content.iter_any():
                    pass
                return str(resp.status)
        except aiohttp.ClientError:
            return "cut"

    async def async_ask_others(
        self, ends: collections.Counter[str], times: list[float]
    ) -> None:
        """Sends plain requests to another service until cancelled."""
        number = 0
        while True:
            number += 1
            began = time.monotonic()
            ends[await self.async_send("/other/1", number, True)] += 1
            times.append(time.monotonic() - began)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def async_wait_ready(self) -> None:
        """Waits until the router is ready."""
        async with asyncio.timeout(READY_S):
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                with contextlib.suppress(aiohttp.ClientError):
                    async with self._session.get(
                        self._router.readiness_url
                    ) as resp:
                        if resp.status == 200:
                            return


def _open_slow(addr_info: aiohttp.AddrInfoType) -> socket.socket:
    sock = socket.socket(addr_info[0], addr_info[1], addr_info[2])
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_CALLER_BUFFER_BYTES
    )
    return sock


async def _async_register(
    store: platform_store.PlatformStore,
    server: platform_server.PlatformServer,
    service: str,
) -> None:
    spec = {
        "born": 0,
        "service": service,
        "address": server.address,
        "zone": "z1",
        "slots": 1000,
        "state": "ready",
    }
    await store.async_put("servers", server.name, spec)


async def _async_measure(
    name: str, memory_mb: int, requests: int, servers: int
) -> Figures:
    scenario = SCENARIOS[name]
    async with contextlib.AsyncExitStack() as stack:
        store = platform_store.PlatformStore()
        await stack.enter_async_context(store)
        await store.async_put("config", "main", _configuration())
        bad = [
            _Server(f"i-bad-{number}", scenario.flood)
            for number in range(servers)
        ]
        good = _Server("i-good", None)
        good.is_healthy = True
        for server in [*bad, good]:
            await stack.enter_async_context(server)
            await _async_register(
                store, server, "good" if server is good else "bad"
            )
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        router = programs.RouterProcess("vm-1", "z1", store.address, folder)
        stack.push_async_callback(router.async_close)
        router.write_settings([], memory_mb=memory_mb)
        await router.async_start()
        session, slow = [
            await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(
                        limit=0, force_close=True, socket_factory=factory
                    ),
                    read_bufsize=2048 if factory else 65536,
                )
            )
            for factory in (None, _open_slow)
        ]
        callers = _Callers(session, router)
        await callers.async_wait_ready()
        pid = router.pid
        for number in range(20):
            await callers.async_send("/other/warm", number, True)
        idle_mb = _memory_mb(pid, "VmRSS")
        others: collections.Counter[str] = collections.Counter()
        times: list[float] = []
        asking = asyncio.create_task(callers.async_ask_others(others, times))
        flooded = _Callers(session if scenario.reads else slow, router)
        ends = collections.Counter(
            await asyncio.gather(
                *(
                    flooded.async_send(scenario.path, number, scenario.reads)
                    for number in range(requests)
                )
            )
        )
        asking.cancel()
        return Figures(
            name,
            round(idle_mb, 1),
            round(_memory_mb(pid, "VmHWM"), 1),
            round(_memory_mb(pid, "VmRSS"), 1),
            sum(server.flooded for server in bad),
            dict(ends),
            dict(others),
            round(max(times, default=0.0), 3),
        )


def main(argv: Sequence[str]) -> None:
    """Plays the floods, prints a table and writes the figures."""
    parser = argparse.ArgumentParser(prog="floods")
    parser.add_argument("--memory-mb", type=int, default=150)
    parser.add_argument("--requests", type=int, default=64)
    parser.add_argument("--servers", type=int, default=1)
    parser.add_argument("--only", default="", choices=["", *SCENARIOS])
    args = parser.parse_args(argv)
    names = [args.only] if args.only else list(SCENARIOS)
    figures = []
    for name in names:
        figures.append(
            asyncio.run(
                _async_measure(
                    name, args.memory_mb, args.requests, args.servers
                )
            )
        )
        print(json.dumps(dataclasses.asdict(figures[-1])), flush=True)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(
        json.dumps([dataclasses.asdict(each) for each in figures], indent=1),
        encoding="utf-8",
    )
