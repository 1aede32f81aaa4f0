"""Runs a deployment of the examples as real processes on loopback.

The files are copied, with all ports replaced by free ones.
"""

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
    """Backend server record, with the address of its stand-in."""

    name: str
    service: str
    zone: str
    address: str
    limit_warm: int
    limit_cold: int
    engine: bool


class RealFleet:
    """Processes of one deployment: stand-ins and routers.

    Attributes:
        deployment: Name of the folder under `examples`.
        keys: Plain API key of each workspace.
        token: Plain token of the operator.
        servers: Backend servers of the records.
        callers: Base URL of each router's caller listener, by router name.
        operators: Base URL of each router's operator listener, by router name.
        object_api: Base URL of the stand-in object API.
        vm_list: URL of the stand-in VM list.
        processes: All started processes.
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
        self._copy_with_free_ports()
        plain_keys = self._read_toml("demo-plain-keys")
        self.keys: dict[str, str] = plain_keys["workspace_keys"]
        self.token: str = plain_keys["operator_token"]
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        for name in self._names:
            settings = self._read_toml(name)
            self.callers[name] = _url(settings["caller"]["port"])
            self.operators[name] = _url(settings["operator"]["port"])
        platform = self._read_toml(self._names[0])["platform"]
        self.object_api: str = platform["object_api"]
        self.vm_list: str = platform["vm_list"]
        self.servers = self._read_servers()

    def _copy_with_free_ports(self) -> None:
        files = [
            self._source / f"{name}.toml"
            for name in (*self._names, "records", "demo-plain-keys")
        ]
        texts = {path.name: path.read_text() for path in files}
        joined = "\n".join(texts.values())
        old_ports = sorted(
            set(_ADDRESS.findall(joined)) | set(_PORT.findall(joined))
        )
        new_ports = processes.free_ports(len(old_ports))
        ports = dict(zip(old_ports, map(str, new_ports), strict=True))

        def replace_port(match: re.Match[str]) -> str:
            return match[0].replace(match[1], ports[match[1]])

        for name, text in texts.items():
            with_new_ports = _PORT.sub(
                replace_port, _ADDRESS.sub(replace_port, text)
            )
            (self._dir / name).write_text(with_new_ports)

    def _read_toml(self, name: str) -> dict[str, Any]:
        return tomllib.loads((self._dir / f"{name}.toml").read_text())

    def _read_servers(self) -> list[Server]:
        records = self._read_toml("records")["records"]
        engines = {
            record["name"]
            for record in records
            if record["kind"] == "service" and record["protocol"] == "engine"
        }
        return [
            Server(
                record["name"],
                record["service"],
                record["zone"],
                record["address"],
                record["limit_warm"],
                record["limit_cold"],
                record["service"] in engines,
            )
            for record in records
            if record["kind"] == "server"
        ]

    def start_stand_ins(self) -> None:
        """Starts the stand-ins of the platform and of the backend servers."""
        self._start_stand_in(
            "object-api", "object-api", _port(self.object_api), {}
        )
        self._start_stand_in("vm-list", "vm-list", _port(self.vm_list), {})
        for server in self.servers:
            kind = "engine" if server.engine else "plain"
            control = ENGINE_CONTROL if server.engine else PLAIN_CONTROL
            capacity = {
                "bears_warm": server.limit_warm,
                "bears_cold": server.limit_cold,
            }
            port = int(server.address.rpartition(":")[2])
            self._start_stand_in(
                server.name, kind, port, {**control, **capacity}
            )

    def _start_stand_in(
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
        """Shuts down one router with SIGTERM and returns its exit code."""
        self.processes.signal(name, signal.SIGTERM)
        return self.processes.wait(name)

    def operate(
        self, *args: str, router: str = "router-1"
    ) -> subprocess.CompletedProcess[str]:
        """Runs an operator command against one router."""
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
        """Applies the deployment's records; returns the output of the command.

        Raises:
            RuntimeError: The records were not accepted.
        """
        completed = self.operate("apply", "-f", str(self._dir / "records.toml"))
        if completed.returncode != 0:
            raise RuntimeError(completed.stdout + completed.stderr)
        return completed.stdout

    async def async_wait(
        self, path: str, names: list[str] | None = None
    ) -> None:
        """Waits until the routers answer 200 on a path for operators.

        Raises:
            TimeoutError: A router did not within `READY_TIMEOUT_S`.
        """
        async with aiohttp.ClientSession() as session:
            for name in names or self._names:
                await _async_wait_for_ok(session, self.operators[name] + path)

    def stop(self) -> dict[str, int]:
        """Stops the routers, then the stand-ins; returns exit codes by name."""
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
    """Returns the HTTP status of a GET request; 0 if there was no answer."""
    try:
        async with session.get(url) as resp:
            return resp.status
    except aiohttp.ClientError:
        return 0


async def _async_wait_for_ok(session: aiohttp.ClientSession, url: str) -> None:
    for _ in range(int(READY_TIMEOUT_S / POLL_S)):
        if await _async_status(session, url) == 200:
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(url)
