"""Starts and stops programs of a fleet on the loopback interface."""

import os
import pathlib
import signal
import socket
import subprocess
import sys

STOP_TIMEOUT_S = 15.0


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago; they are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Processes:
    """Child processes of one run, by name."""

    def __init__(self, log_dir: pathlib.Path) -> None:
        self._log_dir = log_dir
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        log_dir.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, *args: str) -> None:
        """Starts `python -m ARGS`; its output is appended to NAME.log."""
        with open(self._log_dir / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def is_running(self, name: str) -> bool:
        """Returns whether a program was started and has not ended."""
        return name in self._running and self._running[name].poll() is None

    def pid(self, name: str) -> int:
        """Returns the process ID of a program."""
        return self._running[name].pid

    def ended(self) -> list[str]:
        """Returns the names of programs that have ended on their own."""
        return [
            name
            for name, process in self._running.items()
            if process.poll() is not None
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one program."""
        self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for a program to end and returns its exit code.

        The program is killed if it has not ended after `timeout_s`.
        """
        process = self._running.pop(name)
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> dict[str, int]:
        """Terminates all programs and returns their exit codes by name."""
        for process in self._running.values():
            if process.poll() is None:
                process.terminate()
        return {name: self.wait(name) for name in list(self._running)}
