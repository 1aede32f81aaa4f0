"""Router processes of the soak test, controlled by signals."""

import asyncio
import contextlib
import dataclasses
from importlib import machinery
import os
import pathlib
import re
import signal
import sys
import time

from standins import ports

ROOT = pathlib.Path(__file__).resolve().parents[1]

GRACE_S = 8.0
"""Longest graceful shutdown of a router, written to its settings."""

EXIT_MARGIN_S = 2.0
"""Time beyond GRACE_S within which a busy machine reports the exit."""

_SIGTERM_BIT = 1 << (signal.SIGTERM - 1)


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A period in which an injected fault may make a router fail requests.

    Attributes:
        kind: The fault: `kill`, `term`, `pause`, `link` or `store`.
        begin: Monotonic time of its start.
        end: Monotonic time of its end; infinite while it lasts.
    """

    kind: str
    begin: float
    end: float = float("inf")


@dataclasses.dataclass(slots=True)
class _Incarnation:
    """One process of a router.

    Attributes:
        process: The process.
        log_bytes: Size of the log file when the process was started.
        ran_code: Whether it was seen to run the router's code.
    """

    process: asyncio.subprocess.Process
    log_bytes: int
    ran_code: bool = False


class RouterProcess:
    """A router on one VM, whose process can be stopped and started again.

    Attributes:
        name: Name of its VM.
        disturbances: Faults that affected it so far.
        failures: Unexpected exits, and shutdowns that took too long.
        notes: Rare exits that are reported, but are no failures.
    """

    def __init__(
        self, name: str, zone: str, store_address: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.disturbances: list[Disturbance] = []
        self.failures: list[str] = []
        self.notes: list[str] = []
        self._store_address = store_address
        self._settings_file = folder / f"{name}.conf"
        self._log_file = folder / f"{name}.log"
        self._reserved = ports.ReservedPorts(3)
        front_port, readiness_port, control_port = self._reserved.ports
        self.front_address = f"127.0.0.1:{front_port}"
        self.readiness_url = f"http://127.0.0.1:{readiness_port}/readiness"
        self.control_address = f"127.0.0.1:{control_port}"
        self._readiness_port = readiness_port
        self._incarnation: _Incarnation | None = None
        self._exit_expected = False
        self._start_lock = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return (
            self._incarnation is not None
            and self._incarnation.process.returncode is None
        )

    @property
    def pid(self) -> int:
        """Identifier of the last process; 0 before the first start."""
        return self._incarnation.process.pid if self._incarnation else 0

    @property
    def has_run_code(self) -> bool:
        """Whether the last process has shown that the router's code ran.

        The evidence is a line in its log, a handler for SIGTERM, or a loaded
        extension module, of which the interpreter loads none by itself. The
        interpreter takes some 0.1 s until it runs any code; SIGTERM in that
        time ends the process without a graceful shutdown.
        """
        return self._incarnation is not None and self._check_ran_code(
            self._incarnation
        )

    @property
    def environment(self) -> dict[str, str]:
        """Environment variables that name the settings file."""
        return {"TAMARACKBRIDGE_SETTINGS": str(self._settings_file)}

    def write_settings(
        self,
        seeds: list[str],
        revoke_ms: int = 5_000,
        memory_mb: int = 256,
        max_descriptors: int = 4_096,
    ) -> None:
        """Writes the settings file.

        Args:
            seeds: Control addresses of the routers to contact first.
            revoke_ms: Time after which a revoked API key is rejected.
            memory_mb: Memory of its VM.
            max_descriptors: File descriptors that it may open.
        """
        lines = (
            f"node={self.name}",
            "role=router",
            f"zone={self.zone}",
            "zones.z1=r",
            "zones.z2=r",
            "ip=127.0.0.1",
            f"listen.front={self.front_address}",
            f"listen.readiness=127.0.0.1:{self._readiness_port}",
            f"listen.control={self.control_address}",
            f"seeds={','.join(seeds)}",
            f"provider.address={self._store_address}",
            f"bounds.grace_s={GRACE_S}",
            f"bounds.revoke_ms={revoke_ms}",
            f"limits.memory_mb={memory_mb}",
            f"limits.max_fds={max_descriptors}",
            "metrics.port=0",
        )
        self._settings_file.write_text("\n".join(lines), encoding="utf-8")

    async def async_start(self) -> None:
        """Starts the process, unless it is alive."""
        async with self._start_lock:
            if not self.running:
                await self._async_spawn()

    async def _async_spawn(self) -> None:
        self._exit_expected = False
        env = {**os.environ, **self.environment}
        with self._log_file.open("ab") as log:
            log_bytes = self._log_file.stat().st_size
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tamarackbridge.platform",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._incarnation = _Incarnation(process, log_bytes)

    def begin_disturbance(self, kind: str) -> Disturbance:
        """Records a fault that starts now.

        The caller sets its end.
        """
        disturbance = Disturbance(kind, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process, if it is alive."""
        if self._incarnation is not None and self.running:
            # Popen.send_signal() polls the process. If it has just ended, the
            # poll reaps its exit status, which the event loop then misses.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._incarnation.process.pid, signal_number)

    async def async_kill(self) -> None:
        """Kills the process, also when it is paused."""
        self._exit_expected = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._incarnation is not None:
            await self._incarnation.process.wait()

    async def async_terminate(self) -> None:
        """Stops the process with SIGTERM and records how it exited.

        It is killed if it takes longer than GRACE_S and a margin.
        """
        self._exit_expected = True
        incarnation = self._incarnation
        if incarnation is None:
            return
        self._check_ran_code(incarnation)  # /proc has no data after the exit.
        self.send_signal(signal.SIGTERM)
        process = incarnation.process
        try:
            async with asyncio.timeout(GRACE_S + EXIT_MARGIN_S):
                await process.wait()
        except TimeoutError:
            self.failures.append(
                f"{self.name}: did not exit in time after SIGTERM"
            )
            await self.async_kill()
        if process.returncode == -signal.SIGTERM and not self._check_ran_code(
            incarnation
        ):
            self.notes.append(
                f"{self.name}: SIGTERM before any of its code ran"
            )
            return
        if process.returncode not in (0, -signal.SIGKILL):
            self.failures.append(f"{self.name}: exit {process.returncode}")

    def _check_ran_code(self, incarnation: _Incarnation) -> bool:
        if incarnation.process.returncode is None and _runs_code(
            incarnation.process.pid
        ):
            incarnation.ran_code = True
        return (
            incarnation.ran_code
            or self._log_file.stat().st_size > incarnation.log_bytes
        )

    async def async_close(self) -> None:
        """Kills the process and releases its ports."""
        await self.async_kill()
        self._reserved.close()

    def check_exit(self) -> None:
        """Records an exit that no fault caused as a failure."""
        if self._incarnation is None or self.running or self._exit_expected:
            return
        self._exit_expected = True
        self.failures.append(
            f"{self.name}: ended unexpectedly,"
            f" exit {self._incarnation.process.returncode}"
        )


def _runs_code(pid: int) -> bool:
    """Returns whether a process handles SIGTERM or loaded compiled modules."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
    except OSError:  # The process has just ended.
        return False
    caught = re.search(r"^SigCgt:\s*(\w+)$", status, re.MULTILINE)
    if caught is not None and int(caught[1], 16) & _SIGTERM_BIT:
        return True
    return machinery.EXTENSION_SUFFIXES[0] in maps
