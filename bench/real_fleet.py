"""One deployment of the examples as real processes on loopback."""

import asyncio
import dataclasses
import json
import pathlib
import re
import signal
import subprocess
import sys
import tomllib
from typing import Any

import aiohttp

from bench import processes

READY_TIMEOUT_S = 30.0
POLL_S = 0.1
_ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
_PORT = re.compile(r"(?m)^port = (\d+)$")

ENGINE_CONTROL = {
    "token_s": 0.004,
    "first_token_s": 0.02,
    "load_slope": 0.05,
    "load_lag_s": 0.3,
    "cold_s": 2.0,
}
PLAIN_CONTROL = {"work_s": 0.01, "load_lag_s": 0.3, "cold_s": 1.0}


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One backend server record, with its stand-in's address."""

    name: str
    service: str
    zone: str
    address: str
    limit_warm: int
    limit_cold: int
    engine: bool


class RealFleet:
    """Stand-ins and routers of one deployment.

    Attributes:
        deployment: Name of the folder under `examples`.
        keys: Plain key of each workspace.
        servers: The backend servers.
        callers: Base URL of each router's caller side, by process name.
        operators: Base URL of each router's operator side.
        processes: Everything that was started.
    """

    def __init__(
        self,
        deployment: str,
        routers: int,
        work_dir: pathlib.Path,
        examples: pathlib.Path = pathlib.Path("examples"),
    ) -> None:
        self.deployment = deployment
        self.processes = processes.Processes(work_dir / "logs")
        self._source = examples / deployment
        self._dir = work_dir / deployment
        self._dir.mkdir(parents=True, exist_ok=True)
        self._names = [f"router-{i}" for i in range(1, routers + 1)]
        self._copy()
        demo = self._toml("demo-plain-keys")
        self.keys: dict[str, str] = demo["workspace_keys"]
        self.token: str = demo["operator_token"]
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        for name in self._names:
            cfg = self._toml(name)
            self.callers[name] = _url(cfg["caller"]["port"])
            self.operators[name] = _url(cfg["operator"]["port"])
        platform = self._toml(self._names[0])["platform"]
        self.object_api: str = platform["object_api"]
        self.vm_list: str = platform["vm_list"]
        self.servers = self._servers()

    def _copy(self) -> None:
        files = [
            self._source / f"{name}.toml"
            for name in (*self._names, "records", "demo-plain-keys")
        ]
        texts = {path.name: path.read_text() for path in files}
        joined = "\n".join(texts.values())
        old = sorted(set(_ADDRESS.findall(joined)) | set(_PORT.findall(joined)))
        new = processes.free_ports(len(old))
        ports = dict(zip(old, map(str, new), strict=True))

        def swap(match: re.Match[str]) -> str:
            return match[0].replace(match[1], ports[match[1]])

        for name, text in texts.items():
            moved = _PORT.sub(swap, _ADDRESS.sub(swap, text))
            (self._dir / name).write_text(moved)

    def _toml(self, name: str) -> dict[str, Any]:
        return tomllib.loads((self._dir / f"{name}.toml").read_text())

    def _servers(self) -> list[Server]:
        records = self._toml("records")["records"]
        engines = {
            rec["name"]
            for rec in records
            if rec["kind"] == "service" and rec["protocol"] == "engine"
        }
        return [
            Server(
                rec["name"],
                rec["service"],
                rec["zone"],
                rec["address"],
                rec["limit_warm"],
                rec["limit_cold"],
                rec["service"] in engines,
            )
            for rec in records
            if rec["kind"] == "server"
        ]

    def start_stand_ins(self) -> None:
        """Starts the platform and the backend servers."""
        self._stand_in("object-api", "object-api", _port(self.object_api), {})
        self._stand_in("vm-list", "vm-list", _port(self.vm_list), {})
        for server in self.servers:
            kind = "engine" if server.engine else "plain"
            control = ENGINE_CONTROL if server.engine else PLAIN_CONTROL
            bears = {
                "bears_warm": server.limit_warm,
                "bears_cold": server.limit_cold,
            }
            port = int(server.address.rpartition(":")[2])
            self._stand_in(server.name, kind, port, {**control, **bears})

    def _stand_in(
        self, name: str, kind: str, port: int, control: dict[str, Any]
    ) -> None:
        args = (kind, "--port", str(port), "--control", json.dumps(control))
        self.processes.start(name, "standins", *args)

    def start_router(self, name: str) -> None:
        """Starts one router."""
        path = str(self._dir / f"{name}.toml")
        args = ("router", "--settings", path)
        self.processes.start(name, "tamarackbridge", *args)

    def start_routers(self) -> None:
        """Starts all routers."""
        for name in self._names:
            self.start_router(name)

    def stop_router(self, name: str) -> int:
        """Asks one router to shut down and returns its exit code."""
        self.processes.signal(name, signal.SIGTERM)
        return self.processes.wait(name)

    def operate(
        self, *args: str, router: str = "router-1"
    ) -> subprocess.CompletedProcess[str]:
        """Runs the operator's client against one router."""
        token_file = self._dir / "operator-token"
        token_file.write_text(self.token)
        command = [
            sys.executable,
            "-m",
            "tamarackbridge",
            *args,
            "--url",
            self.operators[router],
            "--token-file",
            str(token_file),
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def apply_records(self) -> str:
        """Applies the deployment's records; returns what was printed.

        Raises:
            RuntimeError: The records were not accepted.
        """
        done = self.operate("apply", "-f", str(self._dir / "records.toml"))
        if done.returncode != 0:
            raise RuntimeError(done.stdout + done.stderr)
        return done.stdout

    async def async_wait(
        self, path: str, names: list[str] | None = None
    ) -> None:
        """Waits until the routers answer 200 on an operator path.

        Raises:
            TimeoutError: One of them did not in time.
        """
        async with aiohttp.ClientSession() as session:
            for name in names or self._names:
                await _async_until_ok(session, self.operators[name] + path)

    def stop(self) -> dict[str, int]:
        """Stops routers first, then the stand-ins; returns exit codes."""
        codes = {}
        running = [
            name for name in self._names if self.processes.is_running(name)
        ]
        for name in running:
            self.processes.signal(name, signal.SIGTERM)
        for name in running:
            codes[name] = self.processes.wait(name)
        return codes | self.processes.stop_all()


def _url(port: int) -> str:
    return f"http://127.0.0.1:{port}"


def _port(url: str) -> int:
    return int(url.split(":")[2].partition("/")[0])


async def _async_status(session: aiohttp.ClientSession, url: str) -> int:
    try:
        async with session.get(url) as resp:
            return resp.status
    except aiohttp.ClientError:
        return 0


async def _async_until_ok(session: aiohttp.ClientSession, url: str) -> None:
    for _ in range(int(READY_TIMEOUT_S / POLL_S)):
        if await _async_status(session, url) == 200:
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(url)
