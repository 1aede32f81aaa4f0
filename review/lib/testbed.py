"""Stand-ins for the platform, and control of the router processes.

Everything listens on loopback addresses. Only the standard library is used.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "mela.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD = 0
BROKEN = 1
NOT_RUN = 2

Headers = dict[str, str]
Handler = Callable[["Request", asyncio.StreamWriter], Awaitable[bool]]


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line, also to standard output."""
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


@dataclasses.dataclass
class Request:
    """An HTTP request as received."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclasses.dataclass
class Answer:
    """An HTTP response as a client saw it; status 0 if it was incomplete."""

    status: int
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Reads the start line and the headers, whose names become lowercase."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunked body."""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Reads the body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: Headers | None = None,
    body: bytes = b"",
) -> None:
    """Writes a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Listener:
    """An HTTP/1.1 server on one address."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self, with_reset: bool = True) -> None:
        """Stops to listen and ends all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()

    def end_connections(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                req = Request(method, target, headers, body)
                if not await self._handler(req, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    Each router reaches it at an address of its own, so that it can turn single
    routers away.

    Attributes:
        era: Number in `Store-Era`; 0 for no such header.
        away: Whether it is down.
        refused: Addresses at which it answers 503.
    """

    def __init__(self, record: Record) -> None:
        self.era = 0
        self.away = False
        self.refused: set[str] = set()
        self._record = record
        self._revision = 10
        self._oldest = 0
        self._objects: dict[str, dict[str, str]] = {}
        self._history: list[tuple[int, str, str, str, bool]] = []
        self._changed = asyncio.Condition()
        self._listeners: list[Listener] = []

    async def listen(self, address: str) -> None:
        """Serves one more address."""

        async def handle(req: Request, writer: asyncio.StreamWriter) -> bool:
            return await self._handle(address, req, writer)

        listener = Listener(address, handle)
        await listener.start()
        self._listeners.append(listener)

    def close(self) -> None:
        """Stops all listeners."""
        for listener in self._listeners:
            listener.stop()

    async def put(self, kind: str, name: str, spec: str) -> None:
        """Writes an object; `spec` is JSON text, which is kept as it is."""
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        text = json.dumps(metadata)
        stored = f'{{"metadata":{text},"spec":{spec},"status":null}}'
        self._objects.setdefault(kind, {})[name] = stored
        await self._note(kind, name, stored, False)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            await self._note(kind, name, stored, True)

    def copy(self) -> tuple[int, dict[str, dict[str, str]]]:
        """Returns a copy of the whole state."""
        objects = {kind: dict(by) for kind, by in self._objects.items()}
        return self._revision, objects

    async def go_away(self) -> None:
        """Goes down: ends all connections and answers nothing."""
        self.away = True
        for listener in self._listeners:
            listener.end_connections()
        async with self._changed:
            self._changed.notify_all()

    async def turn_away(self, address: str) -> None:
        """Answers 503 at one address from now on, also to waiting watches."""
        self.refused.add(address)
        async with self._changed:
            self._changed.notify_all()

    async def come_back(
        self, saved: tuple[int, dict[str, dict[str, str]]]
    ) -> None:
        """Comes back from a copy."""
        self._revision, objects = saved
        self._objects = {kind: dict(by) for kind, by in objects.items()}
        self._history.clear()
        self._oldest = self._revision
        self.era += 1
        self.away = False

    async def _note(
        self, kind: str, name: str, stored: str, deleted: bool
    ) -> None:
        self._history.append((self._revision, kind, name, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(
        self, address: str, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        if self.away:
            reset(writer)
            return False
        if address in self.refused:
            await write(writer, 503)
            return True
        path, _, query = req.target.partition("?")
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            await write(writer, 404)
            return True
        args = dict(item.split("=", 1) for item in query.split("&") if item)
        kind, name = parts[1], parts[2] if len(parts) > 2 else ""
        status, body = await self._answer(address, req, kind, name, args)
        if self.away:
            reset(writer)
            return False
        headers = {"Content-Type": "application/json"}
        if self.era:
            headers["Store-Era"] = str(self.era)
        await write(writer, status, headers, body.encode())
        return True

    async def _answer(
        self,
        address: str,
        req: Request,
        kind: str,
        name: str,
        args: dict[str, str],
    ) -> tuple[int, str]:
        by_name = self._objects.get(kind, {})
        if req.method == "GET" and name:
            found = by_name.get(name)
            return (200, found) if found else (404, "{}")
        if req.method == "GET" and "watch" in args:
            return await self._watch(address, kind, args)
        if req.method == "GET":
            items = ",".join(by_name[key] for key in sorted(by_name))
            return 200, (
                f'{{"items":[{items}],"has_more":false,'
                f'"as_of":{self._revision}}}'
            )
        if req.method == "DELETE":
            await self.remove(kind, name)
            return 200, "{}"
        body = json.loads(req.body)
        name = name or body["metadata"]["name"]
        if req.method == "POST" and name in by_name:
            return 409, by_name[name]
        if req.method == "PUT" and name not in by_name:
            return 404, "{}"
        await self.put(kind, name, json.dumps(body.get("spec")))
        return 200, self._objects[kind][name]

    async def _watch(
        self, address: str, kind: str, args: dict[str, str]
    ) -> tuple[int, str]:
        since = int(args["watch"])
        if not self._oldest <= since <= self._revision:
            return 410, "{}"
        era = self.era

        def is_over() -> bool:
            return (
                bool(self._since(kind, since))
                or self.away
                or self.era != era
                or address in self.refused
            )

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(args.get("wait_ms", "0")) / 1000):
                async with self._changed:
                    await self._changed.wait_for(is_over)
        if self.era != era or address in self.refused:
            return 503, "{}"
        events = ",".join(
            f'{{"object":{stored},"deleted":{json.dumps(deleted)}}}'
            for stored, deleted in self._since(kind, since)
        )
        return 200, f'{{"events":[{events}],"as_of":{self._revision}}}'

    def _since(self, kind: str, revision: int) -> list[tuple[str, bool]]:
        return [
            (stored, deleted)
            for at, changed, _, stored, deleted in self._history
            if changed == kind and at > revision
        ]


class Engine:
    """A backend server that registers itself and runs requests.

    Attributes:
        state: State in its registration.
        runs: Times at which requests began to run, by request id.
        arrivals: Times at which requests arrived, by request id.
        work_s: Time that a plain request takes.
        running: Number of requests that run.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        address: str,
        zone: str,
        slots: int = 64,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.cold_ms = 0
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.running = 0
        self.runs: dict[str, list[float]] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.on_run: Handler | None = None
        self._sequence = 0
        self._store = store
        self._record = record
        self._beat: asyncio.Task[None] | None = None
        self._listener = Listener(address, self._handle)

    async def start(self) -> None:
        """Starts to serve, and registers."""
        await self._listener.start()
        self._beat = asyncio.create_task(self._beat_forever())

    async def register(self) -> None:
        """Writes the registration."""
        self._sequence += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": self._sequence,
            "born": self.born,
        }
        await self._store.put("servers", self.name, json.dumps(spec))

    async def _beat_forever(self) -> None:
        while True:
            if not self._store.away:
                await self.register()
            await asyncio.sleep(1.2)

    def stop_beat(self) -> None:
        """Registers no more."""
        if self._beat is not None:
            self._beat.cancel()

    def stop(self) -> None:
        """Ends at once."""
        self.stop_beat()
        self._listener.stop()

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        request_id = req.headers.get("x-request-id", "")
        target = req.headers.get("x-target-instance", self.name)
        if target != self.name:
            await write(writer, 421, {"X-Instance-Id": self.name})
            return True
        if not request_id:
            await write(writer, 200, {"X-Instance-Id": self.name})
            return True
        now = self._record.now()
        self.arrivals.append((now, request_id))
        self.runs.setdefault(request_id, []).append(now)
        self._record.write(
            f"RUN {request_id} at {self.name} {req.method} {req.target}"
            f" tenant={req.headers.get('x-tenant', '-')}"
            f" body={len(req.body)}"
        )
        self.running += 1
        try:
            if self.on_run is not None:
                return await self.on_run(req, writer)
            await asyncio.sleep(self.work_s)
            await write(writer, 200, seal(req), f"ok {request_id}".encode())
            return True
        finally:
            self.running -= 1


def seal(req: Request) -> Headers:
    """Returns the headers of an engine's own answer to a request."""
    request_id = req.headers.get("x-request-id", "")
    return {"X-Request-Id": request_id, "X-Response-Seal": f"s.{request_id}"}


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        ip: str,
        zone: str,
        ports: "Ports",
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f"{ip}:{ports.front}"
        self.control = f"{ip}:{ports.control}"
        self.readiness = f"{ip}:{ports.readiness}"
        self.process: asyncio.subprocess.Process | None = None
        self._ports = ports
        self._settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"

    def write_settings(
        self,
        store: str,
        zones: list[str],
        seeds: list[str],
        memory_mb: int,
        bootstrap: bool = True,
    ) -> None:
        """Writes the settings file, like that of a small deployment."""
        ports = self._ports
        lines = [
            f"node={self.name}",
            "role=router",
            "machine_class=edge",
            "serves=edge,control",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=punjab",
            *(f"zones.{zone}=punjab" for zone in zones),
            f"listen.front={self.front}",
            f"listen.readiness={self.readiness}",
            f"listen.control={self.control}",
            f"internal_ports={ports.internal},{ports.internal + 15}",
            f"seeds={','.join(seeds)}",
            f"bootstrap={json.dumps(bootstrap)}",
            "in_failure_budget=false",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            f"limits.memory_mb={memory_mb}",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=virtual_ip",
            "heartbeat_ms=1200",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
            f"provider.address={store}",
            "provider.form=objects",
            "provider.writes_per_s=400",
            "provider.reads_per_s=2000",
            "provider.history_s=20",
            "provider.value_bytes=1048576",
            "provider.min_ttl_ms=1000",
        ]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self) -> None:
        """Starts the process."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["TAMARACKBRIDGE_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run_command(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def rss_mb(self) -> float:
        """Returns the resident memory of the process in megabytes."""
        assert self.process is not None
        try:
            status = pathlib.Path(
                f"/proc/{self.process.pid}/status"
            ).read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1000 if found else 0.0

    async def is_ready(self) -> bool:
        """Asks the router whether it is ready, like the platform."""
        try:
            async with asyncio.timeout(0.9):
                answer = await call(self.readiness, "GET", "/readiness", {})
                return answer.status == 200
        except (OSError, TimeoutError):
            return False


BOUNDS = {
    "seed_lag_s": "3",
    "reuse_delay_s": "2",
    "stable_window_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "max_stretch_ms": "5000",
    "strict_revoke": "true",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "budget_slack": "54",
    "cold_overage": "1.5",
    "cold_slack": "5",
    "evacuate_ms": "5000",
    "recovery_s": "12",
    "pass_ms": "120",
    "reuse_window_s": "10",
    "quota_window_s": "4",
}
"""Bounds of the sheet of the site mela-entries."""


def run_command() -> list[str]:
    """Returns the words of the `run` line of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    found = re.search(r'^run = "(.*)"$', text, re.MULTILINE)
    if found is None:
        raise CannotRunError("no run line in the deploy file")
    return shlex.split(found[1])


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports of the routers, the same at all their addresses."""

    front: int
    readiness: int
    control: int
    internal: int


class Connection:
    """A client's connection to a router, kept open for several requests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection."""
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self._writer is not None and not self._writer.is_closing()

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def call(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> Answer:
        """Sends a request and reads the answer to it."""
        if not self.is_open:
            await self.open()
        assert self._reader is not None
        assert self._writer is not None
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        answer = Answer(0)
        try:
            self._writer.write(head + body)
            await self._writer.drain()
            await self._read(answer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
            answer.error = f"cut: {type(e).__name__} after {answer.status}"
            answer.status = 0
            self.close()
            return answer
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        line, answer.headers = await read_head(self._reader)
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            answer.body = await read_chunked(self._reader)
        elif "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(size)
        elif answer.status not in (204, 304):
            answer.body = await self._reader.read()


async def call(
    address: str, method: str, target: str, headers: Headers, body: bytes = b""
) -> Answer:
    """Sends one request over a connection of its own."""
    conn = Connection(address)
    await conn.open()
    try:
        return await conn.call(method, target, headers, body)
    finally:
        conn.close()


class Bed:
    """Store, engines and routers of one case.

    Attributes:
        record: The record of the case.
        store: The store.
        engines: The engines by name.
        routers: The routers.
        rng: Source of identifiers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.engines: dict[str, Engine] = {}
        self.routers: list[Router] = []
        self.rng = random.Random()
        self.keys = ["key-alpha-0001", "key-beta-0002"]
        self.version = 0
        self.more_routes: list[dict[str, Any]] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = (
            f"127.{self.rng.randint(16, 240)}.{self.rng.randint(1, 250)}"
        )
        self._next_ip = 1
        self._count = 0
        self._store_addresses: dict[str, str] = {}

    def new_ip(self) -> str:
        """Returns an unused loopback address."""
        self._next_ip += 1
        return f"{self._net}.{self._next_ip}"

    def new_id(self) -> str:
        """Returns an identifier for one client attempt."""
        self._count += 1
        return f"{self.rng.getrandbits(40):010x}{self._count:06x}"

    async def configure(self) -> None:
        """Writes a new version of the configuration."""
        self.version += 7
        spec = {
            "version": self.version,
            "routes": [
                route("read", "idempotent", "app", 1000, attempts=2),
                route("pay", "non_idempotent", "app", 1000),
                route("draft", "streaming", "lm", 12000, sticky=True),
                route(
                    "ask",
                    "streaming",
                    "lm",
                    12000,
                    sticky=True,
                    attempts=2,
                    resumable=True,
                ),
                *self.more_routes,
            ],
            "services": [
                {
                    "name": "app",
                    "health_path": "/health",
                    "max_connections": 100,
                    "cold_start_s": 0.0,
                    "cold_per_s": 0.0,
                },
                {
                    "name": "lm",
                    "health_path": "/health",
                    "max_connections": 360,
                    "cold_start_s": 3.0,
                    "cold_per_s": 16.0,
                    "engine": {
                        "slots": 64,
                        "kv_capacity_tokens": 668304,
                        "stride": 7,
                    },
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tokens_per_s": 145000,
            },
            "tenants": [
                {"name": f"tenant-{number}", "api_keys": [key], "priority": 1}
                for number, key in enumerate(self.keys)
            ],
        }
        await self.store.put("config", "main", json.dumps(spec))
        self.record.say(
            f"CONFIG version {self.version} acknowledged, keys {self.keys}"
        )

    async def add_engine(
        self, name: str, service: str, zone: str, slots: int = 6
    ) -> Engine:
        """Starts an engine."""
        address = f"{self.new_ip()}:8080"
        engine = Engine(
            self.store, self.record, name, service, address, zone, slots
        )
        await engine.start()
        self.engines[name] = engine
        return engine

    async def add_routers(self, zones: list[str], memory_mb: int = 300) -> None:
        """Starts one router in each zone of a list, and waits for them."""
        ips = [self.new_ip() for _ in zones]
        ports = Ports(*free_ports(ips, 3), free_ports(ips, 1)[0])
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            name = f"edge-{zone}-{number + 1}"
            router = Router(self._folder, name, ip, zone, ports)
            self.routers.append(router)
        seeds = [router.control for router in self.routers[:3]]
        for router in self.routers:
            address = f"{self.new_ip()}:8781"
            await self.store.listen(address)
            self._store_addresses[router.name] = address
            known = sorted(set(zones))
            router.write_settings(address, known, seeds, memory_mb)
            await router.start()
        await self.wait_ready(self.routers, 15.0)

    def store_address(self, router: Router) -> str:
        """Returns the address at which a router reaches the store."""
        return self._store_addresses[router.name]

    async def wait_ready(self, routers: list[Router], seconds: float) -> None:
        """Waits until routers are ready."""
        deadline = time.monotonic() + seconds
        for router in routers:
            while not await router.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.say(f"READY {', '.join(r.name for r in routers)}")

    async def request(
        self,
        conn: Connection,
        name: str,
        key: str,
        deadline_ms: int,
        method: str = "POST",
        body: bytes = b"",
        headers: Headers | None = None,
        to: str = "",
    ) -> tuple[str, Answer]:
        """Sends one client attempt; returns its identifier and the answer."""
        request_id = self.new_id()
        sent = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
            **(headers or {}),
        }
        self.record.write(f"SENT {request_id} {method} /{name}/x to {to}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                answer = await conn.call(method, f"/{name}/x", sent, body)
        except (OSError, TimeoutError) as exc:
            conn.close()
            answer = Answer(0, error=f"gave up: {type(exc).__name__}")
        self.record.write(
            f"ANSWER {request_id} {answer.status} {answer.error}"
            f" {len(answer.body)} bytes"
        )
        return request_id, answer

    async def close(self) -> None:
        """Ends everything that was started."""
        for engine in self.engines.values():
            engine.stop()
        self.store.close()
        for router in self.routers:
            await router.kill()
        if os.environ.get("KEEP"):
            print(f"logs are in {self._folder}", flush=True)
            return
        for file in self._folder.iterdir():
            file.unlink()
        self._folder.rmdir()


def route(
    name: str,
    kind: str,
    service: str,
    timeout_ms: int,
    attempts: int = 1,
    sticky: bool = False,
    resumable: bool = False,
    public: bool = False,
) -> dict[str, Any]:
    """Returns the record of a route."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400 if kind == "streaming" else 200,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": public,
        "sticky": sticky,
        "resumable": resumable,
        "target_gap_ms": 300 if kind == "streaming" else 0,
    }


def free_ports(ips: list[str], count: int) -> list[int]:
    """Returns ports that are free at all of some addresses."""
    found: list[int] = []
    rng = random.Random()
    for _ in range(1000):
        port = rng.randint(20000, 30000)
        sockets = []
        try:
            for ip in ips:
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((ip, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for sock in sockets:
                sock.close()
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


def main(
    file: str, case: Callable[[Bed], Awaitable[bool]], limit_s: float = 110.0
) -> None:
    """Runs a case and exits with its result.

    Args:
        file: File of the case, beside which the record is written.
        case: Runs the case; returns whether the rule was broken.
        limit_s: Time after which the case counts as not run.
    """
    folder = pathlib.Path(file).resolve().parent

    async def run() -> int:
        bed = Bed(folder)
        bed.record.say(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(limit_s):
                is_broken = await case(bed)
        except (CannotRunError, TimeoutError, OSError) as exc:
            bed.record.say(f"could not run: {type(exc).__name__} {exc}")
            return NOT_RUN
        finally:
            await bed.close()
        bed.record.say("RULE BROKEN" if is_broken else "RULE HELD")
        return BROKEN if is_broken else HELD

    sys.exit(asyncio.run(run()))
