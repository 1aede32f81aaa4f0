"""Router processes, driven by signals."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
import time

from standins import ports

ROOT = pathlib.Path(__file__).resolve().parents[1]

GRACE_S = 8.0
"""Time in which a router ends after SIGTERM."""

EXIT_MARGIN_S = 2.0
"""Time beyond it until a busy machine has noticed the exit."""


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A time in which a router may fail callers through no fault of its own.

    Attributes:
        kind: What was done to it.
        begin: Its begin.
        end: Its end; infinite while it lasts.
    """

    kind: str
    begin: float
    end: float = float("inf")


class Program:
    """One router process, started again as often as needed.

    Attributes:
        name: Name of the VM that it stands for.
        disturbed: What was done to it so far.
        failures: Exits that nobody asked for, and shutdowns that took too
            long.
    """

    def __init__(
        self, name: str, zone: str, store: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.disturbed: list[Disturbance] = []
        self.failures: list[str] = []
        self._store = store
        self._file = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._reserved = ports.ReservedPorts(3)
        callers, ready, peers = self._reserved.ports
        self.callers = f"127.0.0.1:{callers}"
        self.readiness = f"http://127.0.0.1:{ready}/readiness"
        self.peers = f"127.0.0.1:{peers}"
        self._ready_port = ready
        self._process: asyncio.subprocess.Process | None = None
        self._expected_exit = False
        self._starting = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def environment(self) -> dict[str, str]:
        """Variables that name the settings file."""
        return {"TAMARACKBRIDGE_SETTINGS": str(self._file)}

    def write_settings(self, seeds: list[str], revoke_ms: int = 5_000) -> None:
        """Writes the settings file."""
        lines = (
            f"node={self.name}",
            "role=router",
            f"zone={self.zone}",
            "zones.z1=r",
            "zones.z2=r",
            "ip=127.0.0.1",
            f"listen.front={self.callers}",
            f"listen.readiness=127.0.0.1:{self._ready_port}",
            f"listen.control={self.peers}",
            f"seeds={','.join(seeds)}",
            f"provider.address={self._store}",
            f"bounds.grace_s={GRACE_S}",
            f"bounds.revoke_ms={revoke_ms}",
            "metrics.port=0",
        )
        self._file.write_text("\n".join(lines), encoding="utf-8")

    async def async_start(self) -> None:
        """Starts the process, unless it runs."""
        async with self._starting:
            if not self.running:
                await self._async_start()

    async def _async_start(self) -> None:
        self._expected_exit = False
        env = {**os.environ, **self.environment}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tamarackbridge.platform",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def disturb(self, kind: str) -> Disturbance:
        """Notes the begin of a disturbance."""
        found = Disturbance(kind, time.monotonic())
        self.disturbed.append(found)
        return found

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it lives."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def async_kill(self) -> None:
        """Ends the process at once."""
        self._expected_exit = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def async_terminate(self) -> None:
        """Ends the process in good order."""
        self._expected_exit = True
        self.send(signal.SIGTERM)
        process = self._process
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S + EXIT_MARGIN_S):
                await process.wait()
        except TimeoutError:
            self.failures.append(f"{self.name}: not ended after SIGTERM")
            await self.async_kill()
        if process.returncode not in (0, -signal.SIGKILL):
            self.failures.append(f"{self.name}: exit {process.returncode}")

    async def async_close(self) -> None:
        """Ends the process and gives its ports back."""
        await self.async_kill()
        self._reserved.close()

    def check_exit(self) -> None:
        """Notes an exit that nobody asked for."""
        if self._process is None or self.running or self._expected_exit:
            return
        self._expected_exit = True
        self.failures.append(
            f"{self.name}: ended by itself, exit {self._process.returncode}"
        )
