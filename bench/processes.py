"""Starts the real programs on loopback and stops every one of them."""

import os
import pathlib
import signal
import socket
import subprocess
import sys

STOP_TIMEOUT_S = 15.0


def free_ports(count: int) -> list[int]:
    """Returns ports that the kernel just gave out."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Processes:
    """Owns the processes of one run, by name."""

    def __init__(self, log_dir: pathlib.Path) -> None:
        self._log_dir = log_dir
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        log_dir.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, *args: str) -> None:
        """Starts `python -m ARGS`; its output goes to a file."""
        with open(self._log_dir / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def is_running(self, name: str) -> bool:
        """Tells whether a program was started and has not been waited for."""
        return name in self._running and self._running[name].poll() is None

    def pid(self, name: str) -> int:
        """Returns the process identifier of a running program."""
        return self._running[name].pid

    def ended(self) -> list[str]:
        """Returns the names of programs that have ended by themselves."""
        return [
            name
            for name, proc in self._running.items()
            if proc.poll() is not None
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one program."""
        self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for one program's end and returns its exit code."""
        proc = self._running.pop(name)
        try:
            return proc.wait(timeout_s)
        except subprocess.TimeoutExpired:
            proc.kill()
            return proc.wait()

    def stop_all(self) -> dict[str, int]:
        """Stops every program; returns the exit codes by name."""
        for proc in self._running.values():
            if proc.poll() is None:
                proc.terminate()
        return {name: self.wait(name) for name in list(self._running)}
