"""A small deployment on loopback addresses for the review's scripts.

Real router processes, started by the command of the deploy file, with the
project's stand-in for the store.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from standins import platform_store  # noqa: E402

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
NETWORK = f"127.{20 + os.getpid() % 200}"
"""Start of the loopback addresses of the machines; each run has its own."""

RESTART_S = 0.3
READY_S = 20.0
MAX_FDS = 4_100

_numbers = itertools.count(1)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Writes one line with the time since the start."""
        passed_s = time.monotonic() - self._began
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


def allow_descriptors(count: int) -> None:
    """Uses as many descriptors as the kernel already allows, up to a count."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        count = min(count, hard)
    if soft != resource.RLIM_INFINITY and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all these addresses."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 4_000, 31_000):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CaseError("no free ports")


def configuration(
    services: list[dict[str, object]], routes: list[dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
            "tokens_per_s": 145_000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


class Router:
    """One machine of the system with its router process."""

    def __init__(
        self,
        number: int,
        zone: str,
        store: str,
        folder: pathlib.Path,
        ports: list[int],
        seeds: list[str],
        memory_mb: int = 150,
    ) -> None:
        self.ip = f"{NETWORK}.{number}.33"
        self.front = ports[0]
        self.memory_mb = memory_mb
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"router-{number}.log"
        self._readiness = ports[1]
        self._settings = folder / f"router-{number}.conf"
        self._settings.write_text(
            "\n".join(
                (
                    f"node=edge-{zone}-{number}",
                    "role=router",
                    "machine_class=edge",
                    "serves=edge,control",
                    f"ip={self.ip}",
                    f"zone={zone}",
                    "region=hokkaido",
                    "zones.asahikawa=hokkaido",
                    "zones.sapporo=hokkaido",
                    "zones.obihiro=hokkaido",
                    f"listen.front={self.ip}:{ports[0]}",
                    f"listen.readiness={self.ip}:{ports[1]}",
                    f"listen.control={self.ip}:{ports[2]}",
                    f"internal_ports={ports[3]},{ports[3]}",
                    f"metrics.port={ports[4]}",
                    f"seeds={','.join(seeds)}",
                    "limits.cpu_share=0.537",
                    "limits.cores=2",
                    f"limits.memory_mb={memory_mb}",
                    f"limits.max_fds={MAX_FDS}",
                    "heartbeat_ms=1200",
                    "bounds.stable_window_ms=3000",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=8",
                    "bounds.config_apply_ms=2000",
                    "bounds.strict_revoke=true",
                    "bounds.revoke_ms=5000",
                    "bounds.retry_budget_ratio=0.2",
                    "bounds.budget_window_s=10",
                    "bounds.budget_slack=52",
                    "bounds.cold_overage=1.5",
                    "bounds.cold_slack=5",
                    "bounds.evacuate_ms=5000",
                    "bounds.quota_window_s=4",
                    f"provider.address={store}",
                    "provider.form=objects",
                )
            )
            + "\n",
            encoding="utf-8",
        )

    async def async_start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        command = tomllib.loads(text)["roles"]["router"]["run"]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TAMARACKBRIDGE_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(command),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: allow_descriptors(MAX_FDS),
            )

    async def async_is_ready(self) -> bool:
        """Returns whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self._readiness
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def async_wait_ready(self) -> None:
        """Waits until the process is ready."""
        end = time.monotonic() + READY_S
        while not await self.async_is_ready():
            if time.monotonic() > end:
                raise CaseError(f"{self.ip} did not become ready")
            await asyncio.sleep(0.1)

    async def async_kill(self) -> None:
        """Kills the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def anonymous_mb(self) -> float:
        """Returns the process's own memory, without pages of files, in MB.

        Bytes that were received and not yet read are not in it.
        """
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Deployment:
    """Store and routers."""

    def __init__(self, folder: pathlib.Path, count: int) -> None:
        self.store = platform_store.PlatformStore()
        self.routers: list[Router] = []
        self._folder = folder
        self._count = count

    async def async_start(self, config: dict[str, object]) -> None:
        """Starts the store with a configuration, and then the routers."""
        await self.store.async_start()
        await self.store.async_put("config", "main", config)
        hosts = [f"{NETWORK}.{number}.33" for number in range(self._count)]
        ports = free_ports(hosts, 5)
        seeds = [f"{host}:{ports[2]}" for host in hosts[:3]]
        zones = ("asahikawa", "sapporo", "obihiro")
        for number in range(self._count):
            router = Router(
                number,
                zones[number % 3],
                self.store.address,
                self._folder,
                ports,
                seeds,
            )
            self.routers.append(router)
            await router.async_start()
        for router in self.routers:
            await router.async_wait_ready()

    async def async_stop(self) -> None:
        """Ends the routers and the store."""
        for router in self.routers:
            await router.async_kill()
        await self.store.async_stop()


def next_id() -> str:
    """Returns the identifier of the next request."""
    return f"{os.getpid():08x}{next(_numbers):08x}"


def head(
    method: str, path: str, request_id: str, deadline_ms: int, *more: str
) -> bytes:
    """Returns the head of a request of a proper client."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        *more,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Answer:
    """What a client has received.

    Attributes:
        status: Status; 0 without an answer.
        body: The body, without chunk framing.
        is_complete: Whether the answer ended as its framing says.
        detail: How it ended.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.detail = "no answer"


async def async_request(
    ip: str, port: int, data: bytes, timeout_s: float
) -> Answer:
    """Sends a request on a new connection; returns what came back."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(data)
                await _async_read(reader, answer)
            finally:
                writer.close()
    except TimeoutError:
        answer.detail = "timed out"
    except ConnectionResetError:
        answer.detail = "reset"
    except asyncio.IncompleteReadError:
        answer.detail = "closed early"
    except OSError as exc:
        answer.detail = type(exc).__name__
    return answer


async def _async_read(reader: asyncio.StreamReader, answer: Answer) -> None:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = text.rstrip().split("\r\n")
    answer.status = int(status_line.split(" ")[1])
    fields: collections.defaultdict[str, str] = collections.defaultdict(str)
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    answer.detail = "closed early"
    if fields["transfer-encoding"] == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        answer.detail = "final chunk"
    elif fields["content-length"]:
        length = int(fields["content-length"])
        answer.body = await reader.readexactly(length)
        answer.detail = "length"
    else:
        while data := await reader.read(65_536):
            answer.body += data
        answer.detail = "closed in order"
    answer.is_complete = True


def problem(text: str) -> int:
    """Says why a case could not run; returns the exit code for that."""
    print(json.dumps({"could not run": text}))
    return 2
