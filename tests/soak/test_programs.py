"""Start, stop and exit of the router processes of the soak test."""

import asyncio
import os
import pathlib
import signal
import sys
import threading

import pytest

from soak import programs
from tests.components.gateway import rig

_SILENT = "exec sleep 60"
_WRITES = "echo line; exec sleep 60"
_CATCHES = (
    "trap 'trap - TERM; kill -TERM $$' TERM; while :; do sleep 0.02; done"
)
_IMPORTS = f"exec {sys.executable} -c 'import time, msgspec; time.sleep(60)'"


def _patch(monkeypatch: pytest.MonkeyPatch, script: str) -> list[object]:
    """Runs a shell script in place of the router.

    Returns:
        The command lines of the processes that were started.
    """
    command_lines: list[object] = []
    create_process = asyncio.create_subprocess_exec

    async def async_create_process(*args: str, **kwargs: object) -> object:
        command_lines.append(args)
        return await create_process("sh", "-c", script, **kwargs)

    monkeypatch.setattr(asyncio, "create_subprocess_exec", async_create_process)
    return command_lines


async def test_concurrent_starts_start_one_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    command_lines = _patch(monkeypatch, _SILENT)
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await asyncio.gather(program.async_start(), program.async_start())
    assert len(command_lines) == 1
    await program.async_close()


async def test_signal_to_an_ended_process_keeps_its_exit_status(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A signal must not reap the exit status before the event loop does.

    Under load the thread that waits for the process may come late. Here it
    waits until the signal was sent.
    """
    wait_pid = os.waitpid
    signal_sent = threading.Event()

    def wait_pid_late(pid: int, options: int) -> tuple[int, int]:
        if threading.current_thread() is not threading.main_thread():
            signal_sent.wait(10.0)
        return wait_pid(pid, options)

    monkeypatch.setattr(os, "waitpid", wait_pid_late)
    _patch(monkeypatch, "exit 3")
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    process = program._incarnation.process
    await rig.async_wait_until(lambda: _state(process.pid) == "Z")
    program.send_signal(signal.SIGTERM)
    signal_sent.set()
    assert await process.wait() == 3
    await program.async_close()


def _state(pid: int) -> str:
    """Returns the state of a process from /proc; Z is a zombie."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return text.rpartition(")")[2].split()[0]


async def test_sigterm_may_end_a_process_that_has_not_run_code(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With seed 7601 the soak test reported such an exit as a failure.

    SIGTERM came while the interpreter was still starting, before any code of
    the router ran.
    """
    _patch(monkeypatch, _SILENT)
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    log = tmp_path / "vm-0.log"
    log.write_text("a line of the previous process\n")
    await program.async_start()
    # Faults overlap, so that a second one may find the process ended.
    await asyncio.gather(program.async_terminate(), program.async_terminate())
    assert program.failures == []
    assert program.notes == ["vm-0: SIGTERM before any of its code ran"] * 2
    await program.async_close()


@pytest.mark.parametrize("script", [_WRITES, _CATCHES, _IMPORTS])
async def test_sigterm_must_not_end_a_process_that_has_run_code(
    script: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    _patch(monkeypatch, script)
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    await rig.async_wait_until(lambda: program.has_run_code)
    await asyncio.gather(program.async_terminate(), program.async_terminate())
    assert program.failures == [f"vm-0: exit {-signal.SIGTERM}"] * 2
    assert program.notes == []
    await program.async_close()


async def test_process_that_has_not_run_code_must_not_exit_with_an_error(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    _patch(monkeypatch, "exit 3")
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    await program.async_start()
    await rig.async_wait_until(lambda: not program.running)
    await program.async_terminate()
    assert program.failures == ["vm-0: exit 3"]
    await program.async_close()


async def test_router_can_be_terminated_at_any_time_of_its_start(
    tmp_path: pathlib.Path,
) -> None:
    program = programs.RouterProcess("vm-0", "z1", "127.0.0.1:1", tmp_path)
    program.write_settings([])
    for wait_s in (0.0, 0.1, 0.2):
        await program.async_start()
        await asyncio.sleep(wait_s)
        await program.async_terminate()
    assert program.failures == []
    await program.async_close()
